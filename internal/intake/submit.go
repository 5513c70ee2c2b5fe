package intake

import (
	"context"
	"maps"
	"time"

	gauge "sapphiregauge"
)

// Submit stores a job, once however often it is handed in.
//
// A transaction without an answer may take effect later, so "not stored" is only
// said when every try was surely not carried out. The job is sent again under the
// same condition, which lets only one of the tries take effect. If the table
// doesn't answer here, the owner of the queue's pool is asked to store it.
func (n *Intake) Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error {
	return n.submit(ctx, q, id, j, n.conf.Relay)
}

// SubmitHere is Submit for a job that another entry passes on: it goes no further.
func (n *Intake) SubmitHere(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error {
	return n.submit(ctx, q, id, j, nil)
}

func (n *Intake) submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec, relay Relay) error {
	p, err := n.pend(q, id, j)
	if err != nil {
		return err
	}
	o := n.settle(ctx, p, relay)
	if gauge.Is(o.err, gauge.KindOutage) && (n.doubts(id) || n.conf.Known != nil && n.conf.Known(q, id)) {
		o.err = unsettled(o.err)
	}
	n.tell(p, o)
	return o.err
}

// doubtFor is how long a hand-in without an answer may yet be carried out: some
// seconds by the platform's word, with a margin of as much again.
const doubtFor = 15 * time.Second

// remember keeps the ids of hand-ins that may yet be carried out: a repeat of one
// must not be told that the job never runs.
func (n *Intake) remember(id string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if gauge.Is(err, gauge.KindExpired) {
		n.unsure[id] = now + doubtFor
	}
	n.prune(now)
}

// Doubt takes in that a hand-in of this id at another entry may yet be carried out.
func (n *Intake) Doubt(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	n.unsure[id] = now + doubtFor
	n.prune(now)
}

// prune drops ids that nothing is to be waited for any more. The lock is held.
func (n *Intake) prune(now time.Duration) {
	if now < n.pruned+doubtFor {
		return
	}
	n.pruned = now
	maps.DeleteFunc(n.unsure, func(_ string, until time.Duration) bool { return now > until })
}

// doubts tells whether a hand-in of this id may yet be carried out.
func (n *Intake) doubts(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conf.Now() < n.unsure[id]
}

// settle has a job stored, by the owner of its pool or here.
func (n *Intake) settle(ctx context.Context, p *pending, relay Relay) outcome {
	l := n.lane(p.queue.Name)
	if relay == nil {
		return l.store(ctx, p)
	}
	if !relay.Prefer(p.queue) || n.conf.Without.Has(gauge.MechanismRelay) {
		here := l.store(ctx, p)
		if !undecided(here.err) {
			return here
		}
		return merge(here, relay.Submit(ctx, p.queue, p.id, p.spec))
	}
	there := relay.Submit(ctx, p.queue, p.id, p.spec)
	late := n.conf.Now()-p.began > handInWait/2
	if !undecided(there) || late && !gauge.Is(there, gauge.KindOutage) {
		return merge(outcome{err: gauge.Fail(gauge.KindOutage, "not tried here")}, there)
	}
	if gauge.Is(there, gauge.KindOutage) && !l.sound(p.id) {
		return merge(outcome{err: l.refusal()}, there)
	}
	return merge(l.store(ctx, p), there)
}

// undecided tells whether the job may be stored by another entry yet, or surely isn't
// stored by the one that was asked.
func undecided(err error) bool {
	switch gauge.KindOf(err) {
	case gauge.KindOutage, gauge.KindExpired, gauge.KindUnknown, gauge.KindEmpty:
		return true
	default:
		return false
	}
}

// merge is what is known of a job after a try here and one by the owner of its pool.
// That it is not stored is the owner's word only: a hand-in may be a repeat of one
// that another entry sent off without an answer, and all of them pass the owner.
func merge(here outcome, there error) outcome {
	switch {
	case !undecided(here.err):
		return here
	case there == nil:
		return outcome{relayed: true}
	case gauge.Is(here.err, gauge.KindExpired), gauge.Is(there, gauge.KindOutage):
		return here
	case undecided(there):
		return outcome{err: unsettled(there)}
	default:
		return outcome{err: there}
	}
}

func unsettled(cause error) error {
	return gauge.Fail(gauge.KindExpired, "it is not known whether the job was stored; ask again with the same id").Because(cause)
}

// tell logs the outcome of a hand-in and tells the pool's owner of a new job.
func (n *Intake) tell(p *pending, o outcome) {
	n.remember(p.id, o.err)
	switch {
	case gauge.Is(o.err, gauge.KindExpired):
		n.conf.Event("job unsettled")
		n.log("job unsettled", p.queue, p.id, o.err)
		if n.conf.Unsure != nil {
			// A repeat at another entry is refused by the owner's word: it has to know.
			n.conf.Unsure(p.queue, p.id)
		}
	case o.err != nil:
		n.conf.Event("job refused")
		n.log("job refused", p.queue, p.id, o.err)
	case o.relayed:
		n.conf.Event("job relayed")
		n.conf.Logs.Info("job relayed", "job", p.id, "queue", p.queue.Name, "pool", p.queue.Pool, "took", n.conf.Now()-p.began)
	default:
		n.stored(p, o)
	}
}

// stored takes in that a job is in the table.
func (n *Intake) stored(p *pending, o outcome) {
	q, took := p.queue, n.conf.Now()-p.began
	if o.known {
		n.conf.Logs.Info("job known", "job", p.id, "queue", q.Name, "version", o.version, "unsure", p.unsure, "took", took)
		n.tellUnsure(q, p, p.spec, o)
		return
	}
	n.conf.Event("job accepted")
	n.conf.Logs.Info("job accepted", "job", p.id, "queue", q.Name, "pool", q.Pool, "version", o.version, "took", took, "left", p.left)
	n.conf.Tell(Notice{Pool: q.Pool, Queue: q.Name, ID: p.id, Spec: p.spec, Row: p.row, Version: o.version})
}

// tellUnsure tells the owner of a job that a transaction without an answer has
// stored. Its row is told as the table has it: the job may have been cancelled
// since.
func (n *Intake) tellUnsure(q *gauge.Queue, p *pending, j *gauge.JobSpec, o outcome) {
	if !p.unsure {
		return
	}
	row, err := gauge.DecodeJobRow(o.row)
	if err != nil {
		n.conf.Logs.Error(err, "job row not read", "job", p.id, "queue", q.Name)
		return
	}
	if row.State == gauge.JobPending {
		n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: p.id, Spec: j, Row: row, Version: o.version})
	}
}
