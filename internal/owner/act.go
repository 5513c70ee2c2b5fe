package owner

import (
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// act changes the state and dispatches the orders that follow from it.
func (o *Owner) act(do func(now time.Duration)) {
	if o.change(do) {
		o.plan()
	}
}

// change changes the state and reports whether a plan is due now; if it isn't, one is scheduled.
func (o *Owner) change(do func(now time.Duration)) bool {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if do != nil {
		do(now)
	}
	wait := o.planned + planGap - now
	if wait <= 0 {
		return true
	}
	if !o.planning {
		o.planning = true
		time.AfterFunc(wait, o.guard(o.plan))
	}
	return false
}

// plan sends the orders that follow from the state and wakes the writer for urgent changes.
func (o *Owner) plan() {
	orders, urgent := o.decide()
	for _, order := range orders {
		shared, own := o.lane(&order)
		o.queued.Add(1)
		o.run(func() {
			place := shared
			select {
			case shared <- struct{}{}:
			case own <- struct{}{}:
				place = own
			}
			o.queued.Add(-1)
			defer func() { <-place }()
			o.send(order)
		})
	}
	if urgent {
		o.poke()
	}
}

func (o *Owner) decide() (orders []sched.Order, urgent bool) {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planned, o.planning = now, false
	if o.loaded && !o.ended && !o.stopping {
		o.core.Limit(o.conf.Lease.Until() + o.conf.Grace)
		orders = o.core.Plan(now)
	}
	return orders, o.core.Urgent()
}

// run starts a goroutine of this owner. Once the owner has ended it starts nothing: somebody may be
// waiting for the run group, and joining a group that has just finished panics.
func (o *Owner) run(work func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ended {
		o.group.Go(o.guard(work))
	}
}

// guard ends the owner when its work panics, because its state may be half changed. Otherwise the
// group would keep the panic until all work has ended, which never happens, and the pool would
// stand still under a lease that is still renewed. Once the owner has ended, another entry claims
// the pool.
func (o *Owner) guard(work func()) func() {
	return func() {
		defer func() {
			if cause := recover(); cause != nil {
				o.conf.Logs.Error(eris.Errorf("%v", cause), "panic", "pool", o.conf.Pool, "stack", string(debug.Stack()))
				o.lose("a panic")
			}
		}()
		work()
	}
}

// lane returns the semaphores that bound the concurrent orders to one worker: each order takes a
// connection, and new connections are billed. Stops have extra slots beside the shared ones;
// otherwise, when orders take long, they would wait behind starts and a cancelled task would run
// on. For other orders own is nil.
func (o *Owner) lane(order *sched.Order) (shared, own chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	shared = laneIn(o.lanes, order.Worker.Life(), ordersAtOnce)
	if order.Kind == sched.OrderStop {
		own = laneIn(o.stopLanes, order.Worker.Life(), stopsAtOnce)
	}
	return shared, own
}

func laneIn(lanes map[gauge.Life]chan struct{}, of gauge.Life, places int) chan struct{} {
	l := lanes[of]
	if l == nil {
		l = make(chan struct{}, places)
		lanes[of] = l
	}
	return l
}

// void reports whether an order that has waited for its slot is of no use any more. A start carries
// its payload: on a saturated link, sending starts that are too late delays the others beyond their
// deadlines as well.
func (o *Owner) void(order sched.Order, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Void(order, now)
}

func (o *Owner) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// send carries out one order. The lease is checked again right before the call, because the process
// may have been suspended since the order was planned.
func (o *Owner) send(order sched.Order) {
	began := o.conf.Now()
	if order.Kind == sched.OrderAdvise {
		o.advise(order, began)
		return
	}
	if o.void(order, began) {
		err := gauge.Fail(gauge.KindLate, "it waited here for too long, or is not wanted any more")
		o.act(func(now time.Duration) { o.core.Answered(order, 0, err, now) })
		return
	}
	clock, err := o.order(order, began)
	now := o.conf.Now()
	o.conf.Count(string(order.Kind), now-began)
	o.watchLag(order.Worker.Life(), now-began, now)
	if gauge.Is(err, gauge.KindFenced) && !o.outdated(order.Worker.Life(), order.Fence()) {
		o.lose("a worker has seen a newer fencing token")
		return
	}
	o.act(func(now time.Duration) { o.core.Answered(order, clock, err, now) })
}

// watchLag requests a handover of the pool when most orders take far too long, because jobs would
// wait here that another entry could start. Orders to silent workers are not counted: they say
// nothing about this host, and an unreachable rack would move the pool from owner to owner.
func (o *Owner) watchLag(of gauge.Life, took, now time.Duration) {
	o.mu.Lock()
	lags := !o.conf.Without.Has(gauge.MechanismLag) && !o.core.Silent(of) && o.lag.Note(of.Worker, took, now) && !o.leaving && !o.ended && o.stuck != nil
	o.leaving = o.leaving || lags
	seen := o.lag.Seen(now)
	o.mu.Unlock()
	if !lags {
		return
	}
	o.conf.Logs.Info("owner lags", "pool", o.conf.Pool, "took", took, "calls", seen.Calls, "slow", seen.Slow, "targets", seen.Peers)
	o.stuck(0)
	o.mu.Lock()
	o.leaving = false
	o.mu.Unlock()
}

func (o *Owner) order(order sched.Order, now time.Duration) (time.Duration, error) {
	o.mu.Lock()
	stale := o.ended || now >= o.conf.Lease.Until()+o.conf.Grace
	stopping := o.stopping
	o.mu.Unlock()
	if stale {
		return 0, gauge.Fail(gauge.KindOutage, "the lease is over")
	}
	if stopping && order.Kind == sched.OrderStart {
		return 0, gauge.Fail(gauge.KindOutage, "the pool is handed over")
	}
	w := &order.Worker
	switch order.Kind {
	case sched.OrderLook:
		return 0, o.look(order)
	case sched.OrderStart:
		return o.conf.Workers.Start(o.ctx, w, order.Start)
	case sched.OrderStop:
		return o.conf.Workers.Stop(o.ctx, w, order.Stop)
	default:
		return o.conf.Workers.Pace(o.ctx, w, order.Pace)
	}
}

// advise queries the advice service.
func (o *Owner) advise(order sched.Order, asked time.Duration) {
	var tickets []gauge.Ticket
	var valid time.Duration
	var err error = gauge.Fail(gauge.KindOutage, "there is no advice service")
	if o.conf.Adviser != nil {
		tickets, valid, err = o.conf.Adviser.Advise(o.ctx, order.Step, order.About)
	}
	if err != nil {
		o.rest(nil, adviseAgain)
	}
	o.act(func(time.Duration) { o.core.Advised(order, tickets, valid, err, asked) })
}

// look asks a worker for its report without waiting for a run to end.
func (o *Owner) look(order sched.Order) error {
	rep, err := o.conf.Workers.Hold(o.ctx, &order.Worker, order.Look)
	if err != nil {
		return err
	}
	o.report(order.Worker.Life(), order.Look, rep)
	return nil
}
