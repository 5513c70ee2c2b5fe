package serve

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/holds"
)

// quotaTimeout is how long a synchronous request waits for a slot of its team's quota, which
// may have to be lent by another entry, before it is refused.
const quotaTimeout = 250 * time.Millisecond

// run dispatches the request to workers until one answers or no further attempt is due.
func (p *Server) run(ctx context.Context, t *call) (gauge.Response, gauge.Attempts, error) {
	if t.team != nil {
		slot, err := p.acquireQuota(ctx, t)
		if err != nil {
			return gauge.Response{}, nil, err
		}
		defer t.team.Release(slot)
	}
	var attempts gauge.Attempts
	for {
		slot, err := t.desk.Acquire(ctx, t.req.Class, t.req.Deadline, attempts)
		if err != nil {
			return gauge.Response{}, attempts, err
		}
		resp, a, err := p.dispatch(ctx, t, slot)
		attempts = append(attempts, a)
		if err == nil {
			return resp, attempts, nil
		}
		if final := p.awaitRetry(ctx, t, attempts, err); final != nil {
			return gauge.Response{}, attempts, final
		}
	}
}

// acquireQuota takes a slot of the team's quota.
func (p *Server) acquireQuota(ctx context.Context, t *call) (*gauge.Place, error) {
	if !t.req.Async { // an accepted request waits until its deadline
		quotaCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
		defer cancel()
		ctx = quotaCtx
	}
	slot, err := t.team.Acquire(ctx, gauge.ClassQuick, t.req.Deadline, nil)
	if gauge.Is(err, gauge.KindFull) {
		return nil, gauge.Refuse(nil, gauge.KindQuota, "team "+t.req.Team+" uses all of its quota", gauge.AsError(err).Retry)
	}
	return slot, err
}

// dispatch sends the request once. While it runs, a quick request that exceeds the service's
// bound for quick requests is reclassified as long.
func (p *Server) dispatch(ctx context.Context, t *call, slot *gauge.Place) (gauge.Response, gauge.Attempt, error) {
	defer t.desk.Release(slot)
	if slot.Class == gauge.ClassQuick {
		reclassify := time.AfterFunc(t.svc.Quick, func() { t.desk.Turn(slot) })
		defer reclassify.Stop()
	}
	began := p.conf.Clock()
	resp, a, err := p.conf.Send.Dispatch(ctx, slot.Target, t.req)
	if t.declared == gauge.ClassQuick && a.MayHaveRun() {
		p.sizeMu.Lock()
		p.sizes.Ended(t.req.Service, t.req.Team, p.conf.Clock().Sub(began) > t.svc.Quick)
		p.sizeMu.Unlock()
	}
	p.conf.Meter.Attempt(t.svc.Pool, err)
	if err == nil {
		p.conf.Holds.Work(holds.Whole, "the last answer was whole and bore its request's id")
	}
	if counted, failed := workerOutcome(a, err); counted && t.desk.Outcome(slot.Target.Host, failed) {
		p.conf.Meter.Ejected(t.svc.Pool)
		p.conf.Logs.Info("worker ejected", "target", slot.Target.Host, "pool", t.svc.Pool)
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
func (p *Server) awaitRetry(ctx context.Context, t *call, attempts gauge.Attempts, err error) error {
	last := attempts[len(attempts)-1]
	if last.Kind == gauge.KindCancelled || last.Kind == gauge.KindExpired || ctx.Err() != nil {
		return finalError(attempts, err)
	}
	if attempts.MayHaveRun() && !t.req.Repeatable {
		return finalError(attempts, err)
	}
	if len(attempts) >= t.svc.Tries || !t.desk.Untried(attempts) {
		return exhaustedError(attempts, err)
	}
	pause, ok := t.desk.Repeat(len(attempts))
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

// exhaustedError returns KindPoison for a request that failed on more than one worker, in
// every attempt, and the final error where workers could not be reached.
func exhaustedError(attempts gauge.Attempts, err error) error {
	ran := 0
	for _, a := range attempts {
		if a.MayHaveRun() {
			ran++
		}
	}
	if ran == len(attempts) && attempts.Hosts() > 1 {
		return gauge.Fail(gauge.KindPoison, "the request failed on %d workers", attempts.Hosts()).Because(err)
	}
	return finalError(attempts, err)
}

// finalError returns the error for the caller. If no attempt can have run, it is a refusal,
// which states that; otherwise it is err.
func finalError(attempts gauge.Attempts, err error) error {
	if attempts.MayHaveRun() {
		return err
	}
	kind := gauge.KindOf(err)
	switch kind {
	case gauge.KindCancelled, gauge.KindFull:
	case gauge.KindExpired:
		kind = gauge.KindFull
	default:
		kind = gauge.KindEmpty
	}
	return gauge.Refuse(attempts, kind, gauge.AsError(err).Reason, time.Second)
}
