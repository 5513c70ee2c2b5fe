package intake

import (
	"maps"
	"time"

	gauge "sapphiregauge"
)

// A refusal for lack of capacity is stored before it is sent, as a row in state JobRefused that is
// inserted on the condition that the job has no row. Transactions of earlier attempts to store the
// job, at any entry, have the same condition and fail from then on, however late they arrive. Only
// an attempt that certainly began after the refusal replaces the row, on the condition of its
// version.

const (
	// minRefusalAge is how long after a refusal an attempt must have begun to replace it.
	minRefusalAge = time.Second
	// maxClockDifference bounds the difference between the table's clock as two entries read it.
	maxClockDifference = 100 * time.Millisecond
	// repeatedRetryAfter is sent with a refusal that repeats a stored one, renewedRetryAfter if that
	// is stored anew. After minRefusalAge alone, a client that comes back at an entry whose clock is
	// behind would be refused, and its refusal be stored anew, each time.
	repeatedRetryAfter = minRefusalAge
	renewedRetryAfter  = 2 * minRefusalAge
)

// admit asks whether the job can be served, if this entry owns the queue's pool and knows of no
// other attempt that may be stored. A job that isn't admitted is stored as refused.
func (n *Intake) admit(p *pendingJob) error {
	if n.conf.Admit == nil || n.ownership(p.queue) != OwnedForLong || n.mayBeStored(p.queue, p.id) {
		return nil
	}
	refusal := n.conf.Admit(p.queue, p.id, p.spec)
	if refusal == nil {
		return nil
	}
	p.refusal = refusal
	return n.prepare(p, 0)
}

// refusalTxn returns the transaction that stores a refusal. It neither precedes the attempt that it
// refuses nor has the account: a refused id is no job of anyone.
func (n *Intake) refusalTxn(p *pendingJob, version int64) (gauge.PartitionTxn, error) {
	p.refusedAt = max(n.conf.TableClock(), p.began)
	row := gauge.JobRow{State: gauge.JobRefused, Pool: p.queue.Pool, Ended: p.refusedAt}
	return replaceRowTxn(p.queue, p.id, &row, version)
}

// resolveRefused handles a job whose id was refused before. It reports false if the job has to be
// sent again, to replace the row.
//
// An attempt that began before the refusal, or too soon after it, is refused again. The stored row
// is enough for that unless another attempt may be replacing it, because its entry's clock is ahead:
// then the row is stored anew, so that the other attempt's condition fails.
func (n *Intake) resolveRefused(p *pendingJob, row *gauge.JobRow, version int64) (outcome, bool) {
	if p.began-row.Ended <= (minRefusalAge - maxClockDifference).Milliseconds() {
		p.refuseIfTooSoon(row.Ended, repeatedRetryAfter)
		return p.storedOutcome(version), true
	}
	if err := n.prepareForRefused(p, row.Ended, version); err != nil {
		return outcome{err: err}, true
	}
	return outcome{}, false
}

// refuseIfTooSoon has the job refused again if its attempt didn't certainly begin after the refusal.
func (p *pendingJob) refuseIfTooSoon(refusedAt int64, retryAfter time.Duration) {
	if p.refusal == nil && p.began-refusedAt <= minRefusalAge.Milliseconds() {
		p.refusal = gauge.Errorf(gauge.KindNoSlot, "the job was refused a moment ago").WithRetryAfter(retryAfter)
	}
}

// prepareForRefused builds the transaction that replaces a refused row, by the job or by a refusal.
func (n *Intake) prepareForRefused(p *pendingJob, refusedAt, version int64) error {
	p.refuseIfTooSoon(refusedAt, renewedRetryAfter)
	p.replaces = p.refusal == nil
	return n.prepare(p, version)
}

// storedRefusal is a refused row that this entry has written.
type storedRefusal struct {
	version int64
	ended   int64 // by the table's clock in milliseconds
	at      time.Duration
}

// refusalMemory is how long this entry remembers the refused rows that it has written: the longest
// Retry-After, and as much again.
const refusalMemory = time.Minute

// expectRefusedRow builds the transaction of a job for the refused row that this entry has written.
// Otherwise the transaction would be in conflict, with all others that share it, whenever a refused
// client comes back.
func (n *Intake) expectRefusedRow(p *pendingJob) error {
	n.mu.Lock()
	known, ok := n.refusals[p.id]
	n.mu.Unlock()
	if !ok {
		return nil
	}
	return n.prepareForRefused(p, known.ended, known.version)
}

// rememberRefusal records a refused row that was written, or that it was replaced.
func (n *Intake) rememberRefusal(p *pendingJob, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if p.refusal == nil {
		delete(n.refusals, p.id)
		return
	}
	n.refusals[p.id] = storedRefusal{version: version, ended: p.refusedAt, at: now}
	if now < n.refusalsPrunedAt+refusalMemory {
		return
	}
	n.refusalsPrunedAt = now
	maps.DeleteFunc(n.refusals, func(_ string, r storedRefusal) bool { return now > r.at+refusalMemory })
}

// isRefusal reports whether an error is a refusal for lack of capacity. Between entries it is always
// a stored one, which holds for all earlier attempts too.
func isRefusal(err error) bool {
	return gauge.IsKind(err, gauge.KindNoSlot) || gauge.IsKind(err, gauge.KindQuota)
}

// reportRefused logs and counts a refusal that is stored.
func (n *Intake) reportRefused(p *pendingJob, err error) {
	event := "job refused for room"
	if gauge.IsKind(err, gauge.KindQuota) {
		event = "job refused for share"
	}
	n.conf.CountEvent("job refused")
	n.conf.CountEvent(event)
	n.conf.Logs.Info(event, "job", p.id, "queue", p.queue.Name, "pool", p.queue.Pool, "account", p.spec.Account,
		"kind", gauge.KindOf(err), "retry", gauge.AsError(err).RetryAfter, "took", n.conf.Now()-p.startedAt)
}
