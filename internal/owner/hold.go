package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// holdLoop keeps one hold after the other at a worker, until it is over.
func (o *Owner) holdLoop(id string) {
	defer func() {
		o.mu.Lock()
		delete(o.lanes, id)
		delete(o.stopLanes, id)
		o.mu.Unlock()
	}()
	for o.ctx.Err() == nil {
		now := o.conf.Now()
		w, call, ok := o.nextHold(id, now)
		if !ok {
			return
		}
		rep, err := o.conf.Workers.Hold(o.ctx, &w, call)
		o.conf.Count("hold", o.conf.Now()-now)
		if o.ctx.Err() != nil {
			return
		}
		if gauge.Is(err, gauge.KindFenced) {
			o.lose("a worker has seen a newer fencing token")
			return
		}
		if err != nil {
			o.act(func(now time.Duration) { o.core.HoldFailed(id, err, now) })
			o.rest(nil, holdAgain)
			continue
		}
		o.act(func(now time.Duration) { o.core.Report(id, rep, now) })
		if len(rep.Ended) > 0 {
			o.restBehind(id)
		}
	}
}

// nextHold is the next hold for a worker; false: there is none any more.
func (o *Owner) nextHold(id string, now time.Duration) (gauge.Worker, gauge.HoldCall, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return gauge.Worker{}, gauge.HoldCall{}, false
	}
	return o.core.Holding(id, now)
}

// restBehind waits until the table has the ends that a worker has listed: a hold that
// doesn't acknowledge them would be answered at once, and list them again.
func (o *Owner) restBehind(id string) {
	ctx, cancel := context.WithTimeout(o.ctx, ackWait)
	defer cancel()
	for {
		o.mu.Lock()
		behind, written := o.core.Behind(id), o.written
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
