package serve

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/holds"
)

// quotaWait is how long a request may wait for its team's quota to be lent
// from another entry before it is refused.
const quotaWait = 250 * time.Millisecond

// run tries workers until one answers or it makes no sense to go on.
func (p *Path) run(ctx context.Context, t *task) (gauge.Response, gauge.Attempts, error) {
	if t.team != nil {
		place, err := p.quota(ctx, t)
		if err != nil {
			return gauge.Response{}, nil, err
		}
		defer t.team.Release(place)
	}
	var tried gauge.Attempts
	for {
		place, err := t.desk.Acquire(ctx, t.req.Class, t.req.Deadline, tried)
		if err != nil {
			return gauge.Response{}, tried, err
		}
		resp, a, err := p.dispatch(ctx, t, place)
		tried = append(tried, a)
		if err == nil {
			return resp, tried, nil
		}
		if final := p.again(ctx, t, tried, err); final != nil {
			return gauge.Response{}, tried, final
		}
	}
}

func (p *Path) quota(ctx context.Context, t *task) (*gauge.Place, error) {
	if !t.req.Async { // what was accepted already waits its turn
		short, cancel := context.WithTimeout(ctx, quotaWait)
		defer cancel()
		ctx = short
	}
	place, err := t.team.Acquire(ctx, gauge.ClassQuick, t.req.Deadline, nil)
	if gauge.Is(err, gauge.KindFull) {
		return nil, gauge.Refuse(nil, gauge.KindQuota, "team "+t.req.Team+" uses all of its quota", gauge.AsError(err).Retry)
	}
	return place, err
}

// dispatch sends the request once. A quick request that outlives the bound is
// counted as long while it still runs.
func (p *Path) dispatch(ctx context.Context, t *task, place *gauge.Place) (gauge.Response, gauge.Attempt, error) {
	defer t.desk.Release(place)
	if place.Class == gauge.ClassQuick {
		turn := time.AfterFunc(t.svc.Quick, func() { t.desk.Turn(place) })
		defer turn.Stop()
	}
	began := p.conf.Clock()
	resp, a, err := p.conf.Send.Dispatch(ctx, place.Target, t.req)
	if t.declared == gauge.ClassQuick && a.MayHaveRun() {
		p.sizeMu.Lock()
		p.sizes.Ended(t.req.Service, t.req.Team, p.conf.Clock().Sub(began) > t.svc.Quick)
		p.sizeMu.Unlock()
	}
	p.conf.Meter.Attempt(t.svc.Pool, err)
	if err == nil {
		p.conf.Holds.Work(holds.Whole, "the last answer was whole and bore its request's id")
	}
	if judged, failed := verdict(a, err); judged && t.desk.Outcome(place.Target.Host, failed) {
		p.conf.Meter.Ejected(t.svc.Pool)
		p.conf.Logs.Info("worker ejected", "target", place.Target.Host, "pool", t.svc.Pool)
	}
	return resp, a, err
}

// verdict tells whether an attempt says something about the worker, and what.
// A caller that left or a deadline that passed says nothing.
func verdict(a gauge.Attempt, err error) (judged, failed bool) {
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

// again decides after a failed attempt whether to try another worker: nil, or
// the final error. It has waited the pause before the repeat.
func (p *Path) again(ctx context.Context, t *task, tried gauge.Attempts, err error) error {
	last := tried[len(tried)-1]
	if last.Kind == gauge.KindCancelled || last.Kind == gauge.KindExpired || ctx.Err() != nil {
		return final(tried, err)
	}
	if tried.MayHaveRun() && !t.req.Repeatable {
		return final(tried, err)
	}
	if len(tried) >= t.svc.Tries || !t.desk.Untried(tried) {
		return exhausted(tried, err)
	}
	pause, ok := t.desk.Repeat(len(tried))
	if !ok {
		return final(tried, err)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return final(tried, err)
	}
}

// exhausted tells a request that fails wherever it runs from workers that could
// not be reached.
func exhausted(tried gauge.Attempts, err error) error {
	ran := 0
	for _, a := range tried {
		if a.MayHaveRun() {
			ran++
		}
	}
	if ran == len(tried) && tried.Hosts() > 1 {
		return gauge.Fail(gauge.KindPoison, "the request failed on %d workers", tried.Hosts()).Because(err)
	}
	return final(tried, err)
}

// final is the error told to the caller. If nothing can have run, Refuse proves
// it; else the error says what is known.
func final(tried gauge.Attempts, err error) error {
	if tried.MayHaveRun() {
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
	return gauge.Refuse(tried, kind, gauge.AsError(err).Reason, time.Second)
}
