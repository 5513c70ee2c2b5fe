package intake

import (
	"context"
	"maps"
	"time"

	gauge "sapphiregauge"
)

// Submit stores a job once, however often it is submitted.
//
// A transaction without an answer may take effect later, so callers are only told that a job is not
// stored if no attempt can have taken effect. Each retry has the same condition, which lets only
// one of the attempts take effect. If the table doesn't answer here, the owner of the queue's pool
// is asked to store the job.
func (n *Intake) Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error {
	return n.submit(ctx, q, id, j, n.conf.TableClock(), n.conf.Relay)
}

// SubmitLocally is Submit for a job that another entry has forwarded: it isn't forwarded again. Began
// is when the submission reached that entry, by the table's clock in milliseconds; 0: that isn't
// known, and the submission never replaces a refusal.
func (n *Intake) SubmitLocally(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec, began int64) error {
	return n.submit(ctx, q, id, j, began, nil)
}

func (n *Intake) submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec, began int64, relay Relay) error {
	if err := n.checkLimit(j); err != nil {
		return err
	}
	p, err := n.newPendingJob(q, id, j, began)
	if err != nil {
		return err
	}
	before := n.ownership(q)
	n.beginAttempt(id)
	defer n.endAttempt(id)
	o := n.storeOrForward(ctx, p, relay)
	if gauge.IsKind(o.err, gauge.KindOutage) && (n.mayBeStored(q, id) || !n.mayRefuse(q, before, relay)) {
		o.err, o.notSent = unsettledError(o.err), true
	}
	n.reportOutcome(p, o)
	return o.err
}

// checkLimit returns an error of kind KindImpossible for a job with a task, or a gang, that needs
// more than its account may have running at all.
func (n *Intake) checkLimit(j *gauge.JobSpec) error {
	if n.conf.AccountLimit == nil || j.Account == "" {
		return nil
	}
	limit := n.conf.AccountLimit(j.Account)
	for i := range j.Steps {
		need := j.Steps[i].Together()
		if !need.Within(limit) {
			return gauge.Errorf(gauge.KindImpossible, "steps[%d] needs %d thousandths of a core and %d MB at once, the account may use %d and %d", i, need.MilliCPU, need.MemoryMB, limit.MilliCPU, limit.MemoryMB)
		}
	}
	return nil
}

// beginAttempt records an attempt to store a job. While it is under way no other attempt for the
// same job shows that the job is not stored.
func (n *Intake) beginAttempt(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attempts[id]++
}

func (n *Intake) endAttempt(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attempts[id]--; n.attempts[id] == 0 {
		delete(n.attempts, id)
	}
}

// mayBeStored reports whether this entry knows that a job is stored, or of an attempt by which it may be.
func (n *Intake) mayBeStored(q *gauge.Queue, id string) bool {
	return n.isUnsettled(id) || n.hasOtherAttempts(id) || n.conf.OwnsJob != nil && n.conf.OwnsJob(q, id)
}

// hasOtherAttempts reports whether several attempts to store a job are under way.
func (n *Intake) hasOtherAttempts(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempts[id] > 1
}

// ownership returns what this entry knows as the owner of a queue's pool.
func (n *Intake) ownership(q *gauge.Queue) Ownership {
	if n.conf.Ownership == nil {
		return OwnedForLong
	}
	return n.conf.Ownership(q)
}

// mayRefuse reports whether a caller may be told that its job is not stored. The job may be a
// repetition of one whose first submission got no answer, and only the pool's owner can know: by
// its own memory, which begins when it takes the pool over. Before is the ownership before the
// attempt to store the job; an entry that isn't the owner has asked the one that is.
func (n *Intake) mayRefuse(q *gauge.Queue, before Ownership, relay Relay) bool {
	now := n.ownership(q)
	if before == OwnedElsewhere && now == OwnedElsewhere {
		return relay != nil
	}
	return now == OwnedForLong
}

// UnsettledSpan is how long a submission without an answer may still take effect: some seconds
// according to the platform, with a margin of as much again.
const UnsettledSpan = 15 * time.Second

// recordUnsettled records the id of an unsettled submission: a caller that repeats it must not be
// told that the job never runs.
func (n *Intake) recordUnsettled(id string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if gauge.IsKind(err, gauge.KindExpired) {
		n.unsettledUntil[id] = now + UnsettledSpan
	}
	n.pruneUnsettled(now)
}

// MarkUnsettled records that a submission of this id at another entry may still be stored.
func (n *Intake) MarkUnsettled(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	n.unsettledUntil[id] = now + UnsettledSpan
	n.pruneUnsettled(now)
}

// pruneUnsettled drops the ids of submissions that can't take effect any more. n.mu is held.
func (n *Intake) pruneUnsettled(now time.Duration) {
	if now < n.prunedAt+UnsettledSpan {
		return
	}
	n.prunedAt = now
	maps.DeleteFunc(n.unsettledUntil, func(_ string, until time.Duration) bool { return now > until })
}

// MayBeStored reports whether a submission of this id may still be stored, as far as this entry
// knows.
func (n *Intake) MayBeStored(id string) bool {
	n.mu.Lock()
	underWay := n.attempts[id] > 0
	n.mu.Unlock()
	return underWay || n.isUnsettled(id)
}

// isUnsettled reports whether a submission of this id may still be stored.
func (n *Intake) isUnsettled(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conf.Now() < n.unsettledUntil[id]
}

// reportOutcome logs and counts the outcome of a submission, and notifies the pool's owner of a new
// job.
func (n *Intake) reportOutcome(p *pendingJob, o outcome) {
	if !o.notSent {
		n.recordUnsettled(p.id, o.err)
	}
	switch {
	case o.notSent:
		n.conf.CountEvent("job unsettled")
		n.logFailure("job may be stored", p.queue, p.id, o.err)
	case gauge.IsKind(o.err, gauge.KindExpired):
		n.conf.CountEvent("job unsettled")
		n.logFailure("job unsettled", p.queue, p.id, o.err)
		if n.conf.ReportUnsettled != nil {
			// Another entry asks the owner about a retry, and refuses it unless the owner knows.
			n.conf.ReportUnsettled(p.queue, p.id)
		}
	case o.refused:
		n.reportRefused(p, o.err)
	case o.err != nil:
		n.conf.CountEvent("job refused")
		n.logFailure("job refused", p.queue, p.id, o.err)
	case o.relayed:
		n.conf.CountEvent("job relayed")
		n.conf.Logs.Info("job relayed", "job", p.id, "queue", p.queue.Name, "pool", p.queue.Pool, "took", n.conf.Now()-p.startedAt)
	default:
		n.reportStored(p, o)
	}
}

// reportStored logs a job that is in the table. It notifies the owner of a new job, and of a
// pending duplicate that an earlier transaction without an answer has stored.
func (n *Intake) reportStored(p *pendingJob, o outcome) {
	q, took := p.queue, n.conf.Now()-p.startedAt
	if o.duplicate {
		n.conf.Logs.Info("job known", "job", p.id, "queue", q.Name, "version", o.version, "unsure", p.unsettled, "took", took)
		n.notifyOfStoredUnsettled(q, p, p.spec, o)
		return
	}
	if o.replaced {
		n.conf.CountEvent("job accepted after refusal")
		n.conf.Logs.Info("job accepted after refusal", "job", p.id, "queue", q.Name, "pool", q.Pool)
	}
	n.conf.CountEvent("job accepted")
	n.conf.Logs.Info("job accepted", "job", p.id, "queue", q.Name, "pool", q.Pool, "version", o.version, "took", took, "left", p.abandoned)
	n.conf.NotifyOwner(Notification{Pool: q.Pool, Queue: q.Name, ID: p.id, Spec: p.spec, Row: p.row, Version: o.version})
}

// notifyOfStoredUnsettled notifies the owner of a job that was stored by a transaction without an
// answer. The notification has the row as it is stored now: the job may have been cancelled since.
func (n *Intake) notifyOfStoredUnsettled(q *gauge.Queue, p *pendingJob, j *gauge.JobSpec, o outcome) {
	if !p.unsettled {
		return
	}
	row, err := gauge.DecodeJobRow(o.row)
	if err != nil {
		n.conf.Logs.Error(err, "job row not read", "job", p.id, "queue", q.Name)
		return
	}
	if row.State == gauge.JobPending {
		n.conf.NotifyOwner(Notification{Pool: row.Pool, Queue: q.Name, ID: p.id, Spec: j, Row: row, Version: o.version})
	}
}
