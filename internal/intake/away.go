package intake

import (
	"context"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// These methods are the circuit breaker of a batcher: they refuse submissions during an outage of
// the queue's partition of the table.

// isTableAnswering reports whether the queue's partition of the table isTableAnswering a read.
func (l *batcher) isTableAnswering(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, _, err := l.intake.conf.Store.Range(ctx, gauge.TableJobs, l.queue, id, id+"\x00")
	return err == nil
}

// trip opens the circuit breaker and gives up all queued jobs and those of the last transaction.
func (l *batcher) trip(last []*pendingJob) {
	l.mu.Lock()
	given := slices.Concat(last, l.queued)
	l.queued, l.running = nil, false
	l.openBreaker()
	for _, p := range given {
		if !p.abandoned {
			p.result <- p.abandonedOutcome()
		}
	}
	l.mu.Unlock()
	l.awaitTable(given[0].id, len(given))
}

// awaitTable logs the outage and starts waiting for its end.
func (l *batcher) awaitTable(id string, given int) {
	l.intake.conf.Logs.Info("dependency lost", "table", gauge.TableJobs, "queue", l.queue, "given", given)
	go l.closeBreakerWhenAnswering(id)
}

// openBreaker has submissions refused from now on. b.mu is held.
func (l *batcher) openBreaker() { l.breakerOpen, l.openSince = true, l.intake.conf.Now() }

// canSend reports whether a job may be sent to the table after the table has refused the owner of
// its pool. A read shows it. A job that was sent without this check could be stored later, so its
// caller could only be asked to retry, until its attempts are used up. In an outage that happened
// to each job once at each entry.
func (l *batcher) canSend(id string) bool {
	l.mu.Lock()
	known := l.breakerOpen || l.running // it is refused, or joins the other queued jobs
	l.mu.Unlock()
	if known || l.isTableAnswering(id) {
		return true
	}
	l.mu.Lock()
	first := !l.breakerOpen && !l.running
	if first {
		l.openBreaker()
	}
	l.mu.Unlock()
	if first {
		l.awaitTable(id, 0)
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
	maxRetryAfter  = 4 * time.Second
)

// refusalError returns the error that callers get while the circuit breaker is open.
func (l *batcher) refusalError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	away := l.intake.conf.Now() - l.openSince
	if l.intake.conf.Without.Has(gauge.MechanismBackoff) {
		away = minRetryAfter
	}
	return gauge.Fail(gauge.KindOutage, "the table doesn't answer").After(min(max(away, minRetryAfter), maxRetryAfter))
}

// closeBreakerWhenAnswering waits until the partition of the table answers, and then closes the
// circuit breaker. A read that was sent during the outage may hang beyond its end, so others are
// sent meanwhile.
func (l *batcher) closeBreakerWhenAnswering(id string) {
	began := l.intake.conf.Now()
	answers := make(chan bool, 1)
	for {
		answered := false
		select {
		case answered = <-answers:
		case <-l.intake.conf.After(probeRetryDelay):
			go func() {
				if l.isTableAnswering(id) {
					select {
					case answers <- true:
					default:
					}
				}
			}()
		}
		if answered || l.isIdle() {
			l.mu.Lock()
			l.breakerOpen = false
			l.mu.Unlock()
			l.intake.conf.Logs.Info("dependency regained", "table", gauge.TableJobs, "queue", l.queue, "answered", answered,
				"away", l.intake.conf.Now()-began)
			return
		}
	}
}

// isIdle reports whether no job has been submitted for probeIdleTimeout.
func (l *batcher) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.intake.conf.Now()-l.lastSubmitted > probeIdleTimeout
}
