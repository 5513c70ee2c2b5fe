// Package intake takes jobs from callers: it stores them, tells how far they
// are, and cancels them. It implements gauge.Jobs at every entry alike, and needs
// nothing but the table for it; the owner of the job's pool is told, but a
// message that is lost delays the job only.
package intake

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up an Intake.
type Config struct {
	Store gauge.Parted
	Logs  logr.Logger
	Event func(event string)               // counts outcomes of hand-ins
	Now   func() time.Duration             // steady clock
	Clock func() int64                     // the table's clock in milliseconds, about
	Depth func(q *gauge.Queue) (int, bool) // as the pool's owner last told
	Tell  func(n Notice)                   // tells the owner of the pool
	// Ask asks the owner of the queue's pool how far a job is; false: it doesn't
	// know, or can't be asked.
	Ask   func(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, bool)
	Relay Relay                                  // nil: there are no other entries
	After func(d time.Duration) <-chan time.Time // default time.After
}

// Relay has the owner of a queue's pool do what the table denies this entry: it
// writes to that part of the table all the time, or has another entry take over.
// Errors: KindOutage: surely not done, by the owner's word; KindEmpty: no owner could be
// asked; KindUnknown: it may be done.
type Relay interface {
	// Prefer tells whether the owner should be asked before the table. A part of the
	// table carries out one transaction after the other: when it is slow, those of
	// all entries have to go together, and it gets slow from one moment to the next.
	Prefer(q *gauge.Queue) bool
	Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error
	Cancel(ctx context.Context, q *gauge.Queue, id string) error
}

// Notice tells the owner of a pool of a new or cancelled job.
type Notice struct {
	Pool      string
	Queue     string
	ID        string
	Cancelled bool
	Spec      *gauge.JobSpec
	Row       *gauge.JobRow
	Version   int64
}

// Intake implements gauge.Jobs.
type Intake struct {
	conf   Config
	mu     sync.Mutex
	lanes  map[string]*lane         // by queue
	unsure map[string]time.Duration // ids of hand-ins that may yet be carried out, until when
	pruned time.Duration            // when old ones were last dropped
}

// New makes an Intake.
func New(c Config) *Intake {
	if c.After == nil {
		c.After = time.After
	}
	return &Intake{conf: c, lanes: make(map[string]*lane), unsure: make(map[string]time.Duration)}
}

const (
	// firstPause and lastPause bound the wait before a repeat at the table.
	firstPause = 20 * time.Millisecond
	lastPause  = 200 * time.Millisecond
)

func jobKey(queue, id string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableJobs, Part: queue, Key: id}
}

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
	if gauge.Is(o.err, gauge.KindOutage) && n.doubts(id) {
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
	if !relay.Prefer(p.queue) {
		here := l.store(ctx, p)
		if !open(here.err) {
			return here
		}
		return merge(here, relay.Submit(ctx, p.queue, p.id, p.spec))
	}
	there := relay.Submit(ctx, p.queue, p.id, p.spec)
	late := n.conf.Now()-p.began > handInWait/2
	if !open(there) || late && !gauge.Is(there, gauge.KindOutage) {
		return merge(outcome{err: gauge.Fail(gauge.KindOutage, "not tried here")}, there)
	}
	return merge(l.store(ctx, p), there)
}

// open tells whether the job may be stored by another entry yet, or surely isn't
// stored by the one that was asked.
func open(err error) bool {
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
	case !open(here.err):
		return here
	case there == nil:
		return outcome{relayed: true}
	case gauge.Is(here.err, gauge.KindExpired), gauge.Is(there, gauge.KindOutage):
		return here
	case open(there):
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

// lane returns the lane of a queue.
func (n *Intake) lane(queue string) *lane {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.lanes[queue]
	if l == nil {
		l = &lane{intake: n, queue: queue}
		n.lanes[queue] = l
	}
	return l
}

func (n *Intake) log(what string, q *gauge.Queue, id string, err error) {
	n.conf.Logs.Info(what, "job", id, "queue", q.Name, "pool", q.Pool, "kind", gauge.KindOf(err), "error", err.Error())
}

// read fetches a job's row.
func (n *Intake) read(ctx context.Context, q *gauge.Queue, id string) (*gauge.JobRow, int64, error) {
	rows, _, err := n.conf.Store.Range(ctx, gauge.TableJobs, q.Name, id, id+"\x00")
	if err != nil {
		return nil, 0, gauge.Fail(gauge.KindOutage, "the table can't be reached").Because(err)
	}
	if len(rows) == 0 {
		return nil, 0, gauge.Fail(gauge.KindGone, "there is no job %s in this queue", id)
	}
	row, err := gauge.DecodeJobRow(rows[0].Value)
	return row, rows[0].Version, err
}

// State tells how far a job is: by its owner's word, which costs no call to the
// table, else by the table's.
func (n *Intake) State(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, error) {
	if state, ok := n.conf.Ask(ctx, q, id); ok {
		return state, nil
	}
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		row, _, err := n.read(ctx, q, id)
		if err == nil {
			return row.State, nil
		}
		if gauge.Is(err, gauge.KindOutage) && wait(ctx, pause) {
			continue
		}
		if !gauge.Is(err, gauge.KindGone) {
			n.log("state not told", q, id, err)
		}
		return "", err
	}
}

// Cancel ends a job. Once it returns nil no task of the job starts any more but
// for those that the owner had ordered before it learnt of it.
func (n *Intake) Cancel(ctx context.Context, q *gauge.Queue, id string) error {
	return n.cancel(ctx, q, id, n.conf.Relay)
}

// CancelHere is Cancel for a call that another entry passes on.
func (n *Intake) CancelHere(ctx context.Context, q *gauge.Queue, id string) error {
	return n.cancel(ctx, q, id, nil)
}

func (n *Intake) cancel(ctx context.Context, q *gauge.Queue, id string, relay Relay) error {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := n.tryCancel(ctx, q, id)
		if relay != nil && err != nil && !gauge.Is(err, gauge.KindGone) {
			err = relayedCancel(err, relay.Cancel(ctx, q, id))
		}
		if err == nil {
			return nil
		}
		if gauge.Is(err, gauge.KindGone) || !wait(ctx, rand.N(pause)) {
			n.log("job not cancelled", q, id, err)
			return err
		}
	}
}

// relayedCancel is what a caller is told if another entry was asked after a try
// here had failed.
func relayedCancel(here, there error) error {
	if there == nil || gauge.Is(there, gauge.KindGone) {
		return there
	}
	return here
}

// tryCancel reads the job's row and marks it cancelled, once.
func (n *Intake) tryCancel(ctx context.Context, q *gauge.Queue, id string) error {
	row, version, err := n.read(ctx, q, id)
	if err != nil {
		return err
	}
	if row.State.Final() {
		n.conf.Logs.Info("job over before its cancel", "job", id, "state", row.State, "version", version)
		if row.State == gauge.JobCancelled {
			// An earlier try may have been carried out without an answer.
			n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: version})
		}
		return nil
	}
	stamp, err := n.drop(ctx, q, id, row, version)
	if err != nil {
		return gauge.Fail(gauge.KindExpired, "it is not known whether the job was cancelled; ask again").Because(err)
	}
	n.conf.Event("job cancelled")
	n.conf.Logs.Info("job cancelled", "job", id, "queue", q.Name, "pool", row.Pool, "version", stamp.Version)
	n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: stamp.Version})
	return nil
}

func (n *Intake) drop(ctx context.Context, q *gauge.Queue, id string, row *gauge.JobRow, version int64) (gauge.Stamp, error) {
	row.State = gauge.JobCancelled
	row.Ended = n.conf.Clock()
	value, err := row.Encode()
	if err != nil {
		return gauge.Stamp{}, err
	}
	key := jobKey(q.Name, id)
	stamp, _, err := n.conf.Store.Commit(ctx, gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: version}},
		Writes: []gauge.RowWrite{
			{RowKey: key, Value: value},
			{RowKey: gauge.RowKey{Table: gauge.TableOpen, Part: q.Name, Key: id}, Value: gauge.Mark{Pool: row.Pool, Cancelled: true}.Encode()},
		},
	})
	return stamp, err
}

// Depth tells how many jobs of a queue have not begun.
func (n *Intake) Depth(_ context.Context, q *gauge.Queue) (int, error) {
	depth, ok := n.conf.Depth(q)
	if !ok {
		return 0, gauge.Fail(gauge.KindOutage, "the queue's pool has no owner at the moment")
	}
	return depth, nil
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
