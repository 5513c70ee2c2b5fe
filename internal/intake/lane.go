package intake

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	gauge "sapphiregauge"
)

const (
	// maxBatch is the maximum number of jobs in a transaction, which has at most 100 entries: each
	// job has a check and three writes.
	maxBatch = 24
	// submitTimeout is how long a caller waits at this entry for its job to be stored. A
	// transaction takes some 10 ms, in a slow period 0.4 to 0.9 s, and one may be in progress
	// already; after that another entry may do better.
	submitTimeout = 2 * time.Second
	// commitTimeout bounds one transaction, in addition to the table's own timeout.
	commitTimeout = 2 * time.Second
	// probeTimeout bounds a read that shows whether a partition of the table answers. A read takes
	// 4 ms, in a slow period 60 to 90 times as long.
	probeTimeout = 500 * time.Millisecond
	// probeRetryDelay is the pause between two such reads. It delays the end of the refusals after
	// the outage.
	probeRetryDelay = 150 * time.Millisecond
	// probeIdleTimeout is how long the reads go on without a submission. After that the circuit
	// breaker is closed, and the next job shows whether the table answers.
	probeIdleTimeout = 5 * time.Second
)

// batcher stores the jobs of one queue, one transaction at a time. Jobs that are submitted during a
// transaction share the next one. A partition of the table executes transactions one after the
// other: in a slow period it would refuse most of them if there was one for each job.
//
// When a transaction and then a read of the partition both fail, the batcher's circuit breaker
// opens: jobs are refused at once until a read is answered. Otherwise each job would be kept for as
// long as its caller waits, only to be refused then. And since a transaction without an answer may
// take effect later, only for jobs that are never sent can callers be certain that they don't run.
type batcher struct {
	intake *Intake
	queue  string

	mu   sync.Mutex
	queued []*pendingJob // queued for a transaction
	running bool
	breakerOpen bool
	openSince time.Duration // since when the circuit breaker is open
	lastSubmitted time.Duration // last submission
}

// store queues a job and waits for its outcome, at most for submitTimeout or until ctx ends, which
// means that the caller has gone or this entry stops.
func (l *batcher) store(ctx context.Context, p *pendingJob) outcome {
	if !l.enqueue(p) {
		return outcome{err: l.refusalError()}
	}
	select {
	case o := <-p.result:
		return o
	case <-l.intake.conf.After(submitTimeout):
	case <-ctx.Done():
	}
	return l.abandon(p)
}

// enqueue queues a job. It reports false if the circuit breaker is open.
func (l *batcher) enqueue(p *pendingJob) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSubmitted = p.startedAt
	if l.breakerOpen {
		return false
	}
	l.queued = append(l.queued, p)
	if !l.running {
		l.running = true
		go l.run()
	}
	return true
}

// abandon stops waiting for a job. A job that is in a transaction may still be stored.
func (l *batcher) abandon(p *pendingJob) outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case o := <-p.result:
		return o
	default:
	}
	p.abandoned = true
	p.unsettled = p.unsettled || p.inFlight
	return p.abandonedOutcome()
}

// settle sends the outcome of a job to its caller. If the caller no longer waits, the owner is
// notified of a job that was stored after all.
func (l *batcher) settle(p *pendingJob, o outcome) {
	l.mu.Lock()
	left := p.abandoned
	if !left {
		p.result <- o
	}
	l.mu.Unlock()
	if left && o.err == nil {
		l.intake.reportStored(p, o)
	}
}

// run sends transactions until no job is queued or the circuit breaker opens.
func (l *batcher) run() {
	pause := minRetryDelay
	for {
		group := l.nextBatch()
		if group == nil {
			return
		}
		again, failed := l.commit(group)
		if !failed {
			pause = minRetryDelay
			l.requeue(again)
			continue
		}
		if !l.isTableAnswering(again[0].id) {
			l.trip(again)
			return
		}
		time.Sleep(rand.N(pause) + pause/2)
		pause = min(2*pause, maxRetryDelay)
		l.requeue(again)
	}
}

// nextBatch removes the next batch from the queue. It returns nil if no job is queued.
func (l *batcher) nextBatch() []*pendingJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(maxBatch, len(l.queued))
	group := slices.Clone(l.queued[:n])
	l.queued = slices.Delete(l.queued, 0, n)
	l.running = n > 0
	if n == 0 {
		return nil
	}
	return group
}

// requeue puts jobs requeue in front of those that were queued meanwhile.
func (l *batcher) requeue(jobs []*pendingJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = append(jobs, l.queued...)
}

// markInFlight marks the jobs of the transaction that is sent now. Jobs whose callers no longer
// wait are left out: some callers were told that their jobs are not stored.
func (l *batcher) markInFlight(group []*pendingJob) []*pendingJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	group = slices.DeleteFunc(group, func(p *pendingJob) bool { return p.abandoned })
	for _, p := range group {
		p.inFlight = true
	}
	return group
}

// commit sends one transaction and settles the jobs whose outcome it shows. It returns the other
// jobs, and whether the transaction wasn't executed or got no answer.
func (l *batcher) commit(group []*pendingJob) (again []*pendingJob, failed bool) {
	group = l.markInFlight(group)
	if len(group) == 0 {
		return nil, false
	}
	var txn gauge.PartTxn
	for _, p := range group {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Writes = append(txn.Writes, p.txn.Writes...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	stamp, rows, err := l.intake.conf.Store.Commit(ctx, txn)
	l.recordAttempt(group, err)
	switch {
	case err == nil:
		for _, p := range group {
			l.settle(p, outcome{version: stamp.Version})
		}
		return nil, false
	case gauge.Is(err, gauge.KindConflict):
		return l.settleExisting(group, rows), false
	case gauge.Is(err, gauge.KindUnknown), gauge.Is(err, gauge.KindOutage):
		return group, true
	case len(group) > 1:
		return l.commitEach(group) // one of the jobs is the cause
	default:
		l.settle(group[0], outcome{err: err})
		return nil, false
	}
}

func (l *batcher) recordAttempt(group []*pendingJob, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range group {
		p.lastErr, p.inFlight = err, false
		p.unsettled = p.unsettled || gauge.Is(err, gauge.KindUnknown)
	}
}

func (l *batcher) commitEach(group []*pendingJob) (again []*pendingJob, failed bool) {
	for _, p := range group {
		some, bad := l.commit([]*pendingJob{p})
		again = append(again, some...)
		failed = failed || bad
	}
	return again, failed
}

// settleExisting settles the jobs whose ids exist already: they were submitted before, or a
// transaction that got no answer took effect. It returns the other jobs.
func (l *batcher) settleExisting(group []*pendingJob, rows []gauge.PartRow) []*pendingJob {
	taken := make(map[string]gauge.PartRow, len(rows))
	for _, r := range rows {
		if r.Version > 0 {
			taken[r.Key] = r
		}
	}
	var again []*pendingJob
	for _, p := range group {
		if r, ok := taken[p.id]; ok {
			l.settle(p, outcome{version: r.Version, duplicate: true, row: r.Value})
			continue
		}
		again = append(again, p)
	}
	return again
}

// QueuedJobs returns how many jobs of a queue are queued for a transaction.
func (n *Intake) QueuedJobs(queue string) int {
	l := n.batcher(queue)
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queued)
}
