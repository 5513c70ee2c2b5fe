package intake

import (
	"context"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// These methods are the circuit breaker of a batcher: they refuse submissions during an outage of
// the queue's partition of the table.

// isTableAnswering reports whether the queue's partition of the table answers a read.
func (b *batcher) isTableAnswering(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, _, err := b.intake.conf.Store.Range(ctx, gauge.TableJobs, b.queue, id, id+"\x00")
	return err == nil
}

// trip opens the circuit breaker and gives up all queued jobs and those of the last transaction.
func (b *batcher) trip(last []*pendingJob) {
	b.mu.Lock()
	jobs := slices.Concat(last, b.queued)
	b.queued, b.running = nil, false
	b.openBreaker()
	for _, p := range jobs {
		if !p.abandoned {
			p.result <- p.givenUpOutcome()
		}
	}
	b.mu.Unlock()
	b.watchOutage(jobs[0].id, len(jobs))
}

// watchOutage logs the outage and starts a goroutine that closes the circuit breaker when the table
// answers.
func (b *batcher) watchOutage(id string, jobs int) {
	b.intake.conf.Logs.Info("dependency lost", "table", gauge.TableJobs, "queue", b.queue, "given", jobs)
	go b.closeBreakerWhenAnswering(id)
}

// openBreaker opens the circuit breaker: submissions are refused from now on. b.mu is held.
func (b *batcher) openBreaker() { b.breakerOpen, b.openSince = true, b.intake.conf.Now() }

// canSend reports whether to pass a job to the batcher after its pool's owner couldn't store it. If
// neither the circuit breaker nor other queued jobs decide that, a read shows whether the table
// answers. A job that was sent without this check could be stored later, so its caller could only
// be asked to retry, until its attempts are used up. In an outage that happened to each job once at
// each entry.
func (b *batcher) canSend(id string) bool {
	b.mu.Lock()
	decided := b.breakerOpen || b.running // it is refused, or joins the other queued jobs
	b.mu.Unlock()
	if decided || b.isTableAnswering(id) {
		return true
	}
	b.mu.Lock()
	first := !b.breakerOpen && !b.running
	if first {
		b.openBreaker()
	}
	b.mu.Unlock()
	if first {
		b.watchOutage(id, 0)
	}
	return false
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that callers are given during a table
	// outage. In between, the delay is as long as the outage has lasted so far: then the few
	// attempts of a caller outlast outages of any length, and the caller misses the end of the
	// outage by no more than its duration. With a delay of 1 s each time, five attempts were used
	// up in an outage of 4 s, and every tenth of the largest jobs of a day was lost.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// breakerError returns the error that callers get while the circuit breaker is open.
func (b *batcher) breakerError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	outage := b.intake.conf.Now() - b.openSince
	if b.intake.conf.Disabled.Has(gauge.MechanismBackoff) {
		outage = minRetryAfter
	}
	return gauge.Errorf(gauge.KindOutage, "the table doesn't answer").WithRetryAfter(min(max(outage, minRetryAfter), maxRetryAfter))
}

// closeBreakerWhenAnswering waits until the partition of the table answers, and then closes the
// circuit breaker. A read that was sent during the outage may hang beyond its end, so others are
// sent meanwhile.
func (b *batcher) closeBreakerWhenAnswering(id string) {
	startedAt := b.intake.conf.Now()
	answers := make(chan bool, 1)
	for {
		answered := false
		select {
		case answered = <-answers:
		case <-b.intake.conf.After(probeRetryDelay):
			go func() {
				if b.isTableAnswering(id) {
					select {
					case answers <- true:
					default:
					}
				}
			}()
		}
		if answered || b.isIdle() {
			b.mu.Lock()
			b.breakerOpen = false
			b.mu.Unlock()
			b.intake.conf.Logs.Info("dependency regained", "table", gauge.TableJobs, "queue", b.queue, "answered", answered,
				"away", b.intake.conf.Now()-startedAt)
			return
		}
	}
}

// isIdle reports whether no job has been submitted for probeIdleTimeout.
func (b *batcher) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.intake.conf.Now()-b.lastSubmitted > probeIdleTimeout
}
