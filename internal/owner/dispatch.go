package owner

import (
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// update changes the state and dispatches the orders that follow from it.
func (o *Owner) update(do func(now time.Duration)) {
	if o.updateState(do) {
		o.dispatchOrders()
	}
}

// updateState changes the state and reports whether a plan is due now; if it isn't, one is
// scheduled.
func (o *Owner) updateState(do func(now time.Duration)) bool {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if do != nil {
		do(now)
	}
	wait := o.lastPlan + minPlanInterval - now
	if wait <= 0 {
		return true
	}
	if !o.planScheduled {
		o.planScheduled = true
		time.AfterFunc(wait, o.endOnPanic(o.dispatchOrders))
	}
	return false
}

// dispatchOrders sends the orders that follow from the state and wakes the writer for urgent
// changes.
func (o *Owner) dispatchOrders() {
	orders, urgent := o.planOrders()
	for _, order := range orders {
		shared, stopsOnly := o.slotsFor(&order)
		o.waitingOrders.Add(1)
		o.spawn(func() {
			slot := shared
			select {
			case shared <- struct{}{}:
			case stopsOnly <- struct{}{}:
				slot = stopsOnly
			}
			o.waitingOrders.Add(-1)
			defer func() { <-slot }()
			o.sendOrder(order)
		})
	}
	if urgent {
		o.wakeWriter()
	}
}

// planOrders returns the orders that follow from the state, and whether a change must be written
// without delay.
func (o *Owner) planOrders() (orders []sched.Order, urgent bool) {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastPlan, o.planScheduled = now, false
	if o.loaded && !o.ended && !o.stopping {
		o.applyLeaseEnd()
		orders = o.pool.Plan(now)
		if o.limits.Wants() {
			o.wakeLimits()
		}
	}
	return orders, o.pool.HasUrgent() || o.pool.NeedsRenewal()
}

// applyLeaseEnd tells the state until when the lease is known to be held. The lock is held.
func (o *Owner) applyLeaseEnd() {
	until := o.conf.Lease.Until()
	o.pool.SetLease(until, until+o.conf.OrderGrace)
}

// spawn starts a goroutine of this owner. Once the owner has ended it starts nothing: Run may be
// waiting for the group, and adding to it while Wait returns panics.
func (o *Owner) spawn(work func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ended {
		o.group.Go(o.endOnPanic(work))
	}
}

// endOnPanic ends the owner when its work panics, because its state may be half changed. Otherwise
// the group would keep the panic until all work has ended, which never happens, and the pool would
// start nothing under a lease that is still renewed. Once the owner has ended, another entry claims
// the pool.
func (o *Owner) endOnPanic(work func()) func() {
	return func() {
		defer func() {
			if cause := recover(); cause != nil {
				o.conf.Logs.Error(eris.Errorf("%v", cause), "panic", "pool", o.conf.Pool, "stack", string(debug.Stack()))
				o.loseLease("a panic")
			}
		}()
		work()
	}
}

// slotsFor returns the semaphores that bound the concurrent orders to one worker: each order takes
// a connection, and new connections are billed. Stops have extra slots beside the shared ones;
// otherwise, when orders take long, they would wait behind starts and a cancelled task would run
// on. For other orders stopsOnly is nil.
func (o *Owner) slotsFor(order *sched.Order) (shared, stopsOnly chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	shared = semaphoreOf(o.orderSlots, order.Worker.Incarnation(), maxConcurrentOrders)
	if order.Kind == sched.OrderStop {
		stopsOnly = semaphoreOf(o.stopSlots, order.Worker.Incarnation(), extraConcurrentStops)
	}
	return shared, stopsOnly
}

func semaphoreOf(semaphores map[gauge.Incarnation]chan struct{}, incarnation gauge.Incarnation, slots int) chan struct{} {
	semaphore := semaphores[incarnation]
	if semaphore == nil {
		semaphore = make(chan struct{}, slots)
		semaphores[incarnation] = semaphore
	}
	return semaphore
}

// isObsolete reports whether an order that has waited for its slot is of no use any more. A start
// carries its payload: on a saturated link, sending starts that are too late delays the others
// beyond their deadlines as well.
func (o *Owner) isObsolete(order sched.Order, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.IsObsolete(order, now)
}

// wakeWriter has writeLoop write without waiting for the next renewal.
func (o *Owner) wakeWriter() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// sendOrder carries out one order. The lease is checked again right before the call, because the
// process may have been suspended since the order was planned.
func (o *Owner) sendOrder(order sched.Order) {
	began := o.conf.Now()
	if order.Kind == sched.OrderAdvise {
		o.askAdvice(order, began)
		return
	}
	if o.isObsolete(order, began) {
		err := gauge.Errorf(gauge.KindPastDeadline, "the order waited here for too long, or is obsolete")
		o.update(func(now time.Duration) { o.pool.OrderAnswered(order, 0, err, now) })
		return
	}
	clock, err := o.callWorker(order, began)
	now := o.conf.Now()
	o.conf.ObserveCall(string(order.Kind), now-began)
	o.checkLag(order.Worker.Incarnation(), now-began, now)
	if gauge.IsKind(err, gauge.KindFenced) && !o.isOutdated(order.Worker.Incarnation(), order.Fence()) {
		o.loseLease("a worker has seen a newer fencing token")
		return
	}
	o.update(func(now time.Duration) { o.pool.OrderAnswered(order, clock, err, now) })
}

// checkLag requests a handover of the pool when most orders take far too long, because jobs would
// wait here that another entry could start. Orders to silent workers are not counted: they say
// nothing about this host, and an unreachable rack would move the pool from owner to owner.
func (o *Owner) checkLag(incarnation gauge.Incarnation, took, now time.Duration) {
	o.mu.Lock()
	isLagging := !o.conf.Disabled.Has(gauge.MechanismLag) && !o.pool.IsSilent(incarnation) && o.orderLag.Record(incarnation.Worker, took, now) && !o.seekingSuccessor && !o.ended && o.onHandoverNeeded != nil
	o.seekingSuccessor = o.seekingSuccessor || isLagging
	counts := o.orderLag.Counts(now)
	o.mu.Unlock()
	if !isLagging {
		return
	}
	o.conf.Logs.Info("owner lags", "pool", o.conf.Pool, "took", took, "calls", counts.Calls, "slow", counts.Slow, "targets", counts.Peers)
	o.onHandoverNeeded(0)
	o.mu.Lock()
	o.seekingSuccessor = false
	o.mu.Unlock()
}

// callWorker calls the worker of an order and returns the reading of its monotonic clock, or 0 for a
// probe. It fails if the lease is over, and for starts if the pool is being handed over.
func (o *Owner) callWorker(order sched.Order, now time.Duration) (time.Duration, error) {
	o.mu.Lock()
	leaseOver := o.ended || now >= o.conf.Lease.Until()+o.conf.OrderGrace
	stopping := o.stopping
	o.mu.Unlock()
	if leaseOver {
		return 0, gauge.Errorf(gauge.KindOutage, "the lease is over")
	}
	if stopping && order.Kind == sched.OrderStart {
		return 0, gauge.Errorf(gauge.KindOutage, "the pool is being handed over")
	}
	w := &order.Worker
	switch order.Kind {
	case sched.OrderProbe:
		return 0, o.probeWorker(order)
	case sched.OrderStart:
		return o.conf.Workers.Start(o.ctx, w, order.Start)
	case sched.OrderStop:
		return o.conf.Workers.Stop(o.ctx, w, order.Stop)
	default:
		return o.conf.Workers.Pace(o.ctx, w, order.Pace)
	}
}

// askAdvice queries the advice service.
func (o *Owner) askAdvice(order sched.Order, queriedAt time.Duration) {
	var tickets []gauge.Ticket
	var valid time.Duration
	var err error = gauge.Errorf(gauge.KindOutage, "no advice service is configured")
	if o.conf.Adviser != nil {
		tickets, valid, err = o.conf.Adviser.Advise(o.ctx, order.Step, order.AdviceWorkers)
	}
	if err != nil {
		o.pause(nil, adviseRetryDelay)
	}
	o.update(func(time.Duration) { o.pool.AdviceAnswered(order, tickets, valid, err, queriedAt) })
}

// probeWorker asks a worker for its report without waiting for a run to end.
func (o *Owner) probeWorker(order sched.Order) error {
	rep, err := o.conf.Workers.Heartbeat(o.ctx, &order.Worker, order.Probe)
	if err != nil {
		return err
	}
	o.applyReport(order.Worker.Incarnation(), order.Probe, rep)
	return nil
}
