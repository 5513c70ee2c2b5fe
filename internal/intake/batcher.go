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
	// probeRetryDelay is the pause between two such reads. Jobs may be refused for this much longer
	// than the outage lasts.
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
// opens: jobs are refused at once until a read is answered. Otherwise each job would be refused
// only after its caller had waited for nothing. And a job that is never sent certainly doesn't run,
// whereas a transaction without an answer may take effect later.
type batcher struct {
	intake *Intake
	queue  string

	mu            sync.Mutex
	queued        []*pendingJob // queued for a transaction
	retries       int           // how many of the first of them share the next transaction with no others
	running       bool
	breakerOpen   bool
	openSince     time.Duration // since when the circuit breaker is open
	lastSubmitted time.Duration // last submission
}

// store queues a job and waits for its outcome, at most for submitTimeout or until ctx ends, which
// means that the caller has gone or this entry stops.
func (b *batcher) store(ctx context.Context, p *pendingJob) outcome {
	if !b.enqueue(p) {
		return outcome{err: b.breakerError()}
	}
	select {
	case o := <-p.result:
		return o
	case <-b.intake.conf.After(submitTimeout):
	case <-ctx.Done():
	}
	return b.abandon(p)
}

// enqueue queues a job. It reports false if the circuit breaker is open.
func (b *batcher) enqueue(p *pendingJob) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSubmitted = p.startedAt
	if b.breakerOpen {
		return false
	}
	b.queued = append(b.queued, p)
	if !b.running {
		b.running = true
		go b.run()
	}
	return true
}

// abandon stops waiting for a job. A job that is in a transaction may still be stored.
func (b *batcher) abandon(p *pendingJob) outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case o := <-p.result:
		return o
	default:
	}
	p.abandoned = true
	p.unsettled = p.unsettled || p.inFlight
	return p.givenUpOutcome()
}

// settle sends the outcome of a job to its caller. If the caller no longer waits, the owner is
// notified of a job that was stored after all.
func (b *batcher) settle(p *pendingJob, o outcome) {
	b.mu.Lock()
	abandoned := p.abandoned
	if !abandoned {
		p.result <- o
	}
	b.mu.Unlock()
	if abandoned && o.err == nil {
		b.intake.reportStored(p, o)
	}
}

// run sends transactions until no job is queued or the circuit breaker opens.
func (b *batcher) run() {
	delay := minRetryDelay
	for {
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		retry, failed := b.commit(batch)
		if !failed {
			delay = minRetryDelay
			b.requeueAfterConflict(retry)
			continue
		}
		if !b.isTableAnswering(retry[0].id) {
			b.trip(retry)
			return
		}
		time.Sleep(rand.N(delay) + delay/2)
		delay = min(2*delay, maxRetryDelay)
		b.requeue(retry)
	}
}

// markInFlight marks the jobs of the transaction that is sent now. Jobs whose callers no longer
// wait are left out: some callers were told that their jobs are not stored.
func (b *batcher) markInFlight(batch []*pendingJob) []*pendingJob {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = slices.DeleteFunc(batch, func(p *pendingJob) bool { return p.abandoned })
	for _, p := range batch {
		p.inFlight = true
	}
	return batch
}

// commit sends one transaction and settles the jobs whose outcome it shows. It returns the other
// jobs, and whether the transaction wasn't executed or got no answer.
func (b *batcher) commit(batch []*pendingJob) (retry []*pendingJob, failed bool) {
	batch = b.markInFlight(batch)
	if len(batch) == 0 {
		return nil, false
	}
	var txn gauge.PartitionTxn
	for _, p := range batch {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Writes = append(txn.Writes, p.txn.Writes...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	position, rows, err := b.intake.conf.Store.Commit(ctx, txn)
	b.recordAttempt(batch, err)
	switch {
	case err == nil:
		for _, p := range batch {
			b.intake.rememberRefusal(p, position.Version)
			b.settle(p, p.storedOutcome(position.Version))
		}
		return nil, false
	case gauge.IsKind(err, gauge.KindConflict):
		return b.settleExisting(batch, rows), false
	case gauge.IsKind(err, gauge.KindUnknown), gauge.IsKind(err, gauge.KindOutage):
		return batch, true
	case len(batch) > 1:
		return b.commitEach(batch) // one of the jobs is the cause
	default:
		b.settle(batch[0], outcome{err: err})
		return nil, false
	}
}

func (b *batcher) recordAttempt(batch []*pendingJob, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range batch {
		p.lastErr, p.inFlight = err, false
		p.unsettled = p.unsettled || gauge.IsKind(err, gauge.KindUnknown)
	}
}

func (b *batcher) commitEach(batch []*pendingJob) (retry []*pendingJob, failed bool) {
	for _, p := range batch {
		remaining, commitFailed := b.commit([]*pendingJob{p})
		retry = append(retry, remaining...)
		failed = failed || commitFailed
	}
	return retry, failed
}

// QueuedJobs returns how many jobs of a queue are queued for a transaction.
func (n *Intake) QueuedJobs(queue string) int {
	b := n.batcher(queue)
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queued)
}
