package serve

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/holds"
)

// quotaTimeout is how long a synchronous request waits for a slot of its team's quota, which
// may have to be leased from another entry, before it is refused.
const quotaTimeout = 250 * time.Millisecond

// run dispatches the request to workers until one answers or no further attempt is to be made.
func (s *Server) run(ctx context.Context, c *call) (gauge.Response, gauge.Attempts, error) {
	if c.quota != nil {
		slot, err := s.acquireQuota(ctx, c)
		if err != nil {
			return gauge.Response{}, nil, err
		}
		defer c.quota.Release(slot)
	}
	var attempts gauge.Attempts
	for {
		slot, err := c.slots.Acquire(ctx, c.req.Class, c.req.Deadline, attempts)
		if err != nil {
			return gauge.Response{}, attempts, err
		}
		resp, a, err := s.dispatch(ctx, c, slot)
		attempts = append(attempts, a)
		if err == nil {
			return resp, attempts, nil
		}
		if final := s.awaitRetry(ctx, c, attempts, err); final != nil {
			return gauge.Response{}, attempts, final
		}
	}
}

// acquireQuota takes a slot of the team's quota.
func (s *Server) acquireQuota(ctx context.Context, c *call) (*gauge.Slot, error) {
	if !c.req.Async { // an accepted request waits until its deadline
		quotaCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
		defer cancel()
		ctx = quotaCtx
	}
	slot, err := c.quota.Acquire(ctx, gauge.ClassQuick, c.req.Deadline, nil)
	if gauge.IsKind(err, gauge.KindNoSlot) {
		return nil, gauge.Refuse(nil, gauge.KindQuota, "team "+c.req.Team+" uses all of its quota", gauge.AsError(err).RetryAfter)
	}
	return slot, err
}

// dispatch sends the request once. While it runs, a quick request that exceeds the service's
// bound for quick requests is reclassified as long.
func (s *Server) dispatch(ctx context.Context, c *call, slot *gauge.Slot) (gauge.Response, gauge.Attempt, error) {
	defer c.slots.Release(slot)
	if slot.Class == gauge.ClassQuick {
		reclassify := time.AfterFunc(c.svc.QuickLimit, func() { c.slots.CountAsLong(slot) })
		defer reclassify.Stop()
	}
	began := s.conf.Clock()
	resp, a, err := s.conf.Dispatcher.Dispatch(ctx, slot.Target, c.req)
	if c.declared == gauge.ClassQuick && a.MayHaveRun() {
		s.sizeMu.Lock()
		s.sizes.RecordEnd(c.req.Service, c.req.Team, s.conf.Clock().Sub(began) > c.svc.QuickLimit)
		s.sizeMu.Unlock()
	}
	s.conf.Meter.CountAttempt(c.svc.Pool, err)
	if err == nil {
		s.conf.Promises.RecordEvent(holds.WholeAnswers, "the last answer was whole and bore its request's id")
	}
	if counted, failed := workerOutcome(a, err); counted && c.slots.RecordOutcome(slot.Target.Host, failed) {
		s.conf.Meter.CountEjection(c.svc.Pool)
		s.conf.Logs.Info("worker ejected", "target", slot.Target.Host, "pool", c.svc.Pool)
	}
	return resp, a, err
}

// workerOutcome reports whether an attempt counts for or against the worker, and whether the
// worker failed. A caller that left or a deadline that passed doesn't count.
func workerOutcome(a gauge.Attempt, err error) (counted, failed bool) {
	if err == nil {
		return true, false
	}
	switch a.Kind {
	case gauge.KindOutage, gauge.KindUnknown, gauge.KindFailed:
		return true, true
	default:
		return false, false
	}
}

// awaitRetry decides after a failed attempt whether to try another worker. It returns nil
// after the pause before the retry, or else the final error.
func (s *Server) awaitRetry(ctx context.Context, c *call, attempts gauge.Attempts, err error) error {
	last := attempts[len(attempts)-1]
	if last.Kind == gauge.KindCancelled || last.Kind == gauge.KindExpired || ctx.Err() != nil {
		return finalError(attempts, err)
	}
	if attempts.MayHaveRun() && !c.req.Repeatable {
		return finalError(attempts, err)
	}
	if len(attempts) >= c.svc.MaxTries || !c.slots.HasUntriedHost(attempts) {
		return exhaustedError(attempts, err)
	}
	pause, ok := c.slots.SpendRetry(len(attempts))
	if !ok {
		return finalError(attempts, err)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return finalError(attempts, err)
	}
}

// exhaustedError returns the error of a request that has no attempts left: one of KindPoison if it
// may have run in every attempt, on more than one worker; otherwise the final error, as some workers
// could not be reached.
func exhaustedError(attempts gauge.Attempts, err error) error {
	ran := 0
	for _, a := range attempts {
		if a.MayHaveRun() {
			ran++
		}
	}
	if ran == len(attempts) && attempts.Hosts() > 1 {
		return gauge.Errorf(gauge.KindPoison, "the request failed on %d workers", attempts.Hosts()).WithCause(err)
	}
	return finalError(attempts, err)
}

// finalError returns the error for the caller: err if an attempt may have run, otherwise a refusal,
// which tells the caller that nothing ran.
func finalError(attempts gauge.Attempts, err error) error {
	if attempts.MayHaveRun() {
		return err
	}
	kind := gauge.KindOf(err)
	switch kind {
	case gauge.KindCancelled, gauge.KindNoSlot:
	case gauge.KindExpired:
		kind = gauge.KindNoSlot
	default:
		kind = gauge.KindNoWorker
	}
	return gauge.Refuse(attempts, kind, gauge.AsError(err).Reason, time.Second)
}
