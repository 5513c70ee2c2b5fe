package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// holdFresh starts a heartbeat loop for each incarnation of a worker that doesn't have one yet.
func (o *Owner) holdFresh() {
	var fresh []gauge.Worker
	o.locked(func() { fresh = o.core.Unheld() })
	for _, w := range fresh {
		o.run(func() { o.holdLoop(w.Life()) })
	}
	if len(fresh) > 0 {
		o.poke() // the lease row has to name them before they are used
	}
}

// holdLoop sends one heartbeat after the other to an incarnation of a worker until that is over.
func (o *Owner) holdLoop(l gauge.Life) {
	defer func() {
		o.mu.Lock()
		delete(o.lanes, l)
		delete(o.stopLanes, l)
		o.mu.Unlock()
	}()
	for o.ctx.Err() == nil {
		now := o.conf.Now()
		w, call, ok := o.nextHold(l, now)
		if !ok {
			return
		}
		rep, err := o.conf.Workers.Hold(o.ctx, &w, call)
		o.conf.Count("hold", o.conf.Now()-now)
		if o.ctx.Err() != nil {
			return
		}
		if gauge.Is(err, gauge.KindFenced) {
			if !o.outdated(l, call.Fence) {
				o.lose("a worker has seen a newer fencing token")
				return
			}
		}
		if err == nil && !o.report(l, call, rep) {
			err = gauge.Fail(gauge.KindUnknown, "the answer is of an earlier life")
		}
		if err != nil {
			o.act(func(now time.Duration) { o.core.HoldFailed(l, err, now) })
			o.rest(nil, holdAgain)
			continue
		}
		if len(rep.Ended) > 0 {
			o.restBehind(l)
		}
	}
}

// report applies the answer to a heartbeat. It reports false if the answer is from an incarnation
// that is over.
func (o *Owner) report(l gauge.Life, call gauge.HoldCall, rep *gauge.WorkerReport) (taken bool) {
	o.act(func(now time.Duration) { taken = o.core.Report(l, call, rep, now) })
	o.holdFresh()
	return taken
}

// outdated reports whether a call was refused because of a fencing token that this owner itself has
// replaced, or because its incarnation of the worker is over.
func (o *Owner) outdated(l gauge.Life, sent gauge.Fence) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Outdated(l, sent)
}

// nextHold returns the next heartbeat for an incarnation of a worker. It reports false if there is
// none any more.
func (o *Owner) nextHold(l gauge.Life, now time.Duration) (gauge.Worker, gauge.HoldCall, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return gauge.Worker{}, gauge.HoldCall{}, false
	}
	return o.core.Holding(l, now)
}

// restBehind waits, for at most ackWait, until the ended runs that a worker has reported are
// written to the table. A heartbeat that doesn't acknowledge them would be answered at once and
// report them again.
func (o *Owner) restBehind(l gauge.Life) {
	ctx, cancel := context.WithTimeout(o.ctx, ackWait)
	defer cancel()
	for {
		o.mu.Lock()
		behind, written := o.core.Behind(l), o.written
		o.mu.Unlock()
		if !behind {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-written:
		}
	}
}

// rest waits for the given time, or until the channel is closed or the owner ends.
func (o *Owner) rest(until <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-o.ctx.Done():
	case <-until:
	case <-timer.C:
	}
}

func (o *Owner) tickLoop() {
	for o.ctx.Err() == nil {
		o.act(func(now time.Duration) { o.core.Tick(now, o.conf.Wall()) })
		o.lookAtBacklog()
		o.rest(nil, tickEvery)
	}
}
