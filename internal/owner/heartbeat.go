package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// holdFresh begins to hold the lives of workers that were just heard of.
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

// holdLoop keeps one hold after the other at a life of a worker, until it is over.
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

// report takes in the answer to a hold; false: it is of a life that counts no more.
func (o *Owner) report(l gauge.Life, call gauge.HoldCall, rep *gauge.WorkerReport) (taken bool) {
	o.act(func(now time.Duration) { taken = o.core.Report(l, call, rep, now) })
	o.holdFresh()
	return taken
}

// outdated tells whether a call was refused for a fencing token that this owner itself has
// replaced, or at a life that is over.
func (o *Owner) outdated(l gauge.Life, sent gauge.Fence) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Outdated(l, sent)
}

// nextHold is the next hold for a life of a worker; false: there is none any more.
func (o *Owner) nextHold(l gauge.Life, now time.Duration) (gauge.Worker, gauge.HoldCall, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return gauge.Worker{}, gauge.HoldCall{}, false
	}
	return o.core.Holding(l, now)
}

// restBehind waits until the table has the ends that a worker has listed: a hold that
// doesn't acknowledge them would be answered at once, and list them again.
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

// rest waits for a while, or until something is closed.
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
