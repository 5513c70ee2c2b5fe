package owner

import (
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
		w, call, written, ok := o.nextHold(id, now)
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
			// A hold that doesn't acknowledge them would be answered at once.
			o.rest(written, ackWait)
		}
	}
}

func (o *Owner) nextHold(id string, now time.Duration) (gauge.Worker, gauge.HoldCall, <-chan struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, call, ok := o.core.Holding(id, now)
	return w, call, o.written, ok
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
