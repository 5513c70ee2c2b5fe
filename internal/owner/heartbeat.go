package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// startHeartbeats starts a heartbeat loop for each incarnation of a worker that doesn't have one
// yet.
func (o *Owner) startHeartbeats() {
	var fresh []gauge.Worker
	o.withLock(func() { fresh = o.pool.NewIncarnations() })
	for _, w := range fresh {
		o.spawn(func() { o.heartbeatLoop(w.Incarnation()) })
	}
	if len(fresh) > 0 {
		o.wakeWriter() // the lease row has to name them before they are used
	}
}

// heartbeatLoop sends one heartbeat after the other to an incarnation of a worker until that
// incarnation is dead.
func (o *Owner) heartbeatLoop(incarnation gauge.Incarnation) {
	defer func() {
		o.mu.Lock()
		delete(o.orderSlots, incarnation)
		delete(o.stopSlots, incarnation)
		o.mu.Unlock()
	}()
	for o.ctx.Err() == nil {
		now := o.conf.Now()
		w, call, ok := o.nextHeartbeat(incarnation, now)
		if !ok {
			return
		}
		rep, err := o.conf.Workers.Heartbeat(o.ctx, &w, call)
		o.conf.ObserveCall("hold", o.conf.Now()-now)
		if o.ctx.Err() != nil {
			return
		}
		if gauge.IsKind(err, gauge.KindFenced) {
			if !o.isOutdated(incarnation, call.Fence) {
				o.loseLease("a worker has seen a newer fencing token")
				return
			}
		}
		if err == nil && !o.applyReport(incarnation, call, rep) {
			err = gauge.Errorf(gauge.KindUnknown, "the answer is from an earlier incarnation of the worker")
		}
		if err != nil {
			o.update(func(now time.Duration) { o.pool.HeartbeatFailed(incarnation, err, now) })
			o.pause(nil, heartbeatRetryDelay)
			continue
		}
		if len(rep.Ended) > 0 {
			o.waitForWrittenEnds(incarnation)
			o.pauseForHeldEnds(incarnation)
		}
	}
}

// applyReport applies the answer to a heartbeat. It reports false if the answer is from an
// incarnation that is dead.
func (o *Owner) applyReport(incarnation gauge.Incarnation, call gauge.Heartbeat, rep *gauge.WorkerReport) (applied bool) {
	o.update(func(now time.Duration) { applied = o.pool.HandleReport(incarnation, call, rep, now) })
	o.startHeartbeats()
	return applied
}

// isOutdated reports whether a call was refused because of a fencing token that this owner itself
// has replaced, or because its incarnation of the worker is dead.
func (o *Owner) isOutdated(incarnation gauge.Incarnation, sent gauge.FencingToken) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.IsOutdated(incarnation, sent)
}

// nextHeartbeat returns the next heartbeat for an incarnation of a worker. It reports false if
// there is none any more.
func (o *Owner) nextHeartbeat(incarnation gauge.Incarnation, now time.Duration) (gauge.Worker, gauge.Heartbeat, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return gauge.Worker{}, gauge.Heartbeat{}, false
	}
	return o.pool.NextHeartbeat(incarnation, now)
}

// waitForWrittenEnds waits, for at most ackTimeout, until the ended runs that a worker has reported
// are written to the table. A heartbeat that doesn't acknowledge them would be answered at once and
// report them again.
func (o *Owner) waitForWrittenEnds(incarnation gauge.Incarnation) {
	ctx, cancel := context.WithTimeout(o.ctx, ackTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		hasUnstored, writeDone := o.pool.HasUnstoredEnds(incarnation), o.writeDone
		o.mu.Unlock()
		if !hasUnstored {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-writeDone:
		}
	}
}

// pauseForHeldEnds pauses if end reports of a worker aren't acknowledged yet although the table has
// them. Heartbeats without a pause would be answered at once with the same reports.
func (o *Owner) pauseForHeldEnds(incarnation gauge.Incarnation) {
	o.mu.Lock()
	held := o.pool.HoldsEnds(incarnation, o.conf.Now())
	o.mu.Unlock()
	if held {
		o.pause(nil, heldEndsDelay)
	}
}

// pause waits for the given time, or until the channel is closed or the owner ends.
func (o *Owner) pause(until <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-o.ctx.Done():
	case <-until:
	case <-timer.C:
	}
}

// tickLoop checks deadlines and reports the backlog at regular intervals.
func (o *Owner) tickLoop() {
	for o.ctx.Err() == nil {
		o.update(func(now time.Duration) {
			o.applyLeaseEnd()
			o.pool.Tick(now, o.conf.WallClock())
		})
		o.reportBacklog()
		o.pause(nil, tickInterval)
	}
}
