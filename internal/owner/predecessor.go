package owner

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
	"sapphiregauge/internal/sched"
)

// predecessor is what an owner knows of the owners before it. Its times are on this process's clock, but
// for earlierLeaseUntil.
type predecessor struct {
	ordersEnd         time.Duration                       // they may have sent orders until then
	leaseEnd          time.Duration                       // when their leases have certainly run out; 0: they have ended
	runsEnd           time.Duration                       // when what they ordered has certainly ended
	earlierLeaseUntil int64                               // as in LeaseRow, for the next owner; 0: they have ended
	workerRunsEnd     map[gauge.Incarnation]time.Duration // see runDeadlines
	drainedUntil      map[string]time.Duration            // by worker, see drainedUntil
}

func newPredecessor(c *Config, now time.Duration) predecessor {
	left := earlierLeaseLeft(c)
	p := predecessor{
		ordersEnd: now, runsEnd: now + left + c.OrderGrace + clockMargin,
		workerRunsEnd: runDeadlines(&c.PreviousRow, now), drainedUntil: drainedUntil(&c.PreviousRow, now),
	}
	if left > 0 {
		p.leaseEnd = now + left + clockMargin
		p.ordersEnd = p.leaseEnd
		p.earlierLeaseUntil = c.TableClock() + left.Milliseconds() + 1
	}
	return p
}

// poolConfig returns the settings of an owner's pool.
func poolConfig(c *Config, previous *predecessor, limits *limit.Parts) sched.Config {
	return sched.Config{
		Name: c.Pool, Fence: c.Fence, Term: c.Term, Limits: limits, Disabled: c.Disabled, Logs: c.Logs, CountEvent: c.CountEvent,
		LeaseExtension: c.LeaseExtension, MaxWorkerLease: c.MaxWorkerLease, MaxRowBytes: c.MaxRowBytes,
		StartTimeout: startTimeout, HeartbeatWait: maxHeartbeatWait, StartWindow: maxUnansweredStarts, WorkerStartWindow: maxConcurrentOrders,
		PreviousWorkers: parseIncarnations(c.PreviousWorkers), UnrecordedOwners: c.PreviousRow.UnrecordedOwners,
		PreviousOrdersEnd: previous.ordersEnd, PreviousLeaseEnd: previous.leaseEnd, PreviousRunsEnd: previous.runsEnd,
		WorkerRunsEnd: previous.workerRunsEnd, DrainedUntil: previous.drainedUntil,
	}
}

// earlierLeaseLeft returns how much may be left of the lease of an earlier owner that may be alive.
func earlierLeaseLeft(c *Config) time.Duration {
	if c.PreviousRow.EarlierLeaseUntil == 0 {
		return c.PreviousLeaseLeft
	}
	left := time.Duration(c.PreviousRow.EarlierLeaseUntil-c.TableClock())*time.Millisecond + tableClockMargin
	return max(0, left, c.PreviousLeaseLeft)
}

// runDeadlines returns, for each worker that didn't answer the previous owner, when nothing can run
// there any more. The previous owner writes this when it gives up the lease; a row written while it
// still held the lease doesn't cover what it granted later.
func runDeadlines(previous *gauge.LeaseRow, now time.Duration) map[gauge.Incarnation]time.Duration {
	if previous.Holder != "" {
		return nil
	}
	until := make(map[gauge.Incarnation]time.Duration, len(previous.RemainingLeases))
	for name, left := range previous.RemainingLeases {
		until[gauge.ParseIncarnation(name)] = now + time.Duration(left)*time.Millisecond + clockMargin
	}
	return until
}

// drainedUntil returns until when a worker must not get starts because the previous owner reported
// it as drained. The previous owner writes this when it gives up the lease.
func drainedUntil(previous *gauge.LeaseRow, now time.Duration) map[string]time.Duration {
	if previous.Holder != "" {
		return nil
	}
	until := make(map[string]time.Duration, len(previous.DrainedFor))
	for id, left := range previous.DrainedFor {
		until[id] = now + time.Duration(left)*time.Millisecond
	}
	return until
}
