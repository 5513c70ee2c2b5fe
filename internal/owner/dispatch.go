package owner

import (
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// act does something to the state, and has what follows from it done.
func (o *Owner) act(do func(now time.Duration)) {
	if o.change(do) {
		o.plan()
	}
}

// change does something to the state; true: a plan is due now.
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

// plan sends the orders that follow from the state and has changes written.
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

// run does work of this owner beside what else it does. Once the owner has ended
// nothing is begun: its run group may be waited for, and a notice that comes then
// would join a group that is just over, which panics.
func (o *Owner) run(work func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ended {
		o.group.Go(o.guard(work))
	}
}

// guard ends the owner when work of it panics: its state may be half changed.
// Without this the panic would be kept until all work has ended, which it never
// does, and the pool would stand still under a lease that is renewed. Another
// entry takes the pool from the table.
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

// lane bounds the orders under way to one worker: each takes a connection, and
// new ones are paid for. Stops have a place of their own beside those that they share:
// where orders take long, they would wait behind starts, and what was cancelled would
// run on. Other orders have none.
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

// void tells whether an order that has waited for its turn is of no use any more. A
// start carries its payload: on a full link those that come too late keep the others
// from coming in time.
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

// send carries out one order. Right before it goes out the lease is looked at
// again: a process that was paused may wake up here.
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

// watchLag has the pool handed over when most orders take far too long: jobs would
// wait here that another entry could start. Orders to workers that are silent tell
// nothing of this host: a rack that is cut off would send the pool from owner to owner.
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

// advise asks the advice service.
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

// look asks a worker what runs there, without waiting for an end.
func (o *Owner) look(order sched.Order) error {
	rep, err := o.conf.Workers.Hold(o.ctx, &order.Worker, order.Look)
	if err != nil {
		return err
	}
	o.report(order.Worker.Life(), order.Look, rep)
	return nil
}
