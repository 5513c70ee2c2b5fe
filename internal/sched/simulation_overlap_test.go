package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

const (
	// simTableLease is how long an owner's lease lasts after a renewal, and simOrderGrace how far its orders
	// and grants reach beyond that.
	simTableLease = 2 * time.Second
	simOrderGrace = 6 * time.Second
	// minClaimAge and maxClaimAge bound the age of an owner's last renewal when its successor claims.
	minClaimAge = time.Second
	maxClaimAge = 2100 * time.Millisecond
)

// replacedOwner is an owner that goes on after a successor has claimed its pool, as it can't reach the
// table. It ends when a worker refuses its token, or when its orders may reach no further.
type replacedOwner struct {
	w            *simulation
	pool         *sched.Pool
	ordersEnd    time.Duration
	orders       []sched.Order
	heartbeatsTo map[string]gauge.Incarnation
	connectedTo  map[string]int64
	unreached    map[string]bool // workers that don't hear it
	isOver       bool
}

// replaceOwner has a successor claim the pool while the owner goes on. Each of the two reaches some of
// the workers. An owner renews its lease as it claims it, so that it isn't replaced so soon after that.
func (w *simulation) replaceOwner() {
	if w.now < w.claimedAt+minClaimAge {
		return
	}
	claimAge := w.drawMillis(minClaimAge, min(maxClaimAge, w.now-w.claimedAt), "age of the lease, ms")
	o := &replacedOwner{
		w: w, pool: w.pool, ordersEnd: w.now - claimAge + simTableLease + simOrderGrace, orders: w.orders, heartbeatsTo: w.heartbeatsTo, connectedTo: w.connectedTo,
		unreached: make(map[string]bool),
	}
	w.heartbeatsTo, w.connectedTo = make(map[string]gauge.Incarnation), make(map[string]int64)
	w.replaced = append(w.replaced, o)
	w.startOwner(w.leaseWorkers)
	for i := 1; i <= w.joined; i++ {
		m := w.workers[fmt.Sprintf("w%d", i)]
		if m == nil || !m.alive {
			continue
		}
		if rapid.Bool().Draw(w.t, "not reached by the successor") {
			m.cut = cut{until: w.now + w.drawMillis(0, maxCut, "cut ms"), listing: listingCurrent}
		}
		o.unreached[m.id] = rapid.IntRange(0, 2).Draw(w.t, "not reached by the old owner") == 0
	}
}

// leasesEnd is until when the leases of owners that were replaced may last, as the lease row tells.
func (w *simulation) leasesEnd() time.Duration {
	var end time.Duration
	for _, o := range w.replaced {
		end = max(end, o.ordersEnd-simOrderGrace)
	}
	return end
}

// actReplaced has the owners that were replaced do all that is due.
func (w *simulation) actReplaced() {
	for _, o := range w.liveReplaced() {
		for i := 1; i <= w.joined && o.goesOn(); i++ {
			o.heartbeat(fmt.Sprintf("w%d", i))
		}
		o.tick()
		for len(o.orders) > 0 && o.goesOn() {
			o.resolve(0)
		}
	}
}

// liveReplaced returns the owners that were replaced and go on.
func (w *simulation) liveReplaced() []*replacedOwner {
	w.replaced = slices.DeleteFunc(w.replaced, func(o *replacedOwner) bool { return !o.goesOn() })
	return slices.Clone(w.replaced)
}

// goesOn reports whether the owner may still act.
func (o *replacedOwner) goesOn() bool { return !o.isOver && o.w.now < o.ordersEnd }

// actAtRandom has one thing happen at the owner.
func (o *replacedOwner) actAtRandom() {
	if !o.goesOn() {
		return
	}
	switch rapid.IntRange(0, 3).Draw(o.w.t, "old owner") {
	case 0:
		o.tick()
	case 1:
		o.heartbeat(fmt.Sprintf("w%d", rapid.IntRange(1, o.w.joined).Draw(o.w.t, "worker of the old owner")))
	default:
		if len(o.orders) > 0 {
			o.resolve(rapid.IntRange(0, len(o.orders)-1).Draw(o.w.t, "order of the old owner"))
		}
	}
}

func (o *replacedOwner) tick() {
	if !o.goesOn() {
		return
	}
	o.pool.Tick(o.w.now, o.w.wallClock())
	o.pool.SetLease(o.ordersEnd-simOrderGrace, o.ordersEnd)
	o.orders = append(o.orders, o.pool.Plan(o.w.now)...)
}

// reaches reports whether a worker hears this owner.
func (o *replacedOwner) reaches(m *simWorker) bool { return m != nil && m.alive && !o.unreached[m.id] }

// heartbeat sends a heartbeat to a worker and handles its answer.
func (o *replacedOwner) heartbeat(id string) {
	asked, known := o.heartbeatsTo[id]
	m := o.w.workers[id]
	if !known {
		return
	}
	_, call, ok := o.pool.NextHeartbeat(asked, o.w.now)
	switch {
	case !ok:
		return
	case !o.reaches(m):
		o.pool.HeartbeatFailed(asked, gauge.Errorf(gauge.KindUnknown, "no answer"), o.w.now)
		return
	case call.Fence < m.fence:
		o.refused(asked, call.Fence)
		o.pool.HeartbeatFailed(asked, gauge.Errorf(gauge.KindFenced, "lower fencing token"), o.w.now)
		return
	}
	o.w.applyHeartbeat(m, o.w.withAck(m, o.connectedTo[id], call))
	o.connectedTo[id] = m.startedAt
	r := &gauge.WorkerReport{StartedAt: m.startedAt, Clock: o.w.workerClock(m), Ended: append([]gauge.EndReport(nil), m.ends...)}
	for task, run := range m.runs {
		r.Running = append(r.Running, o.w.runReport(task, run))
	}
	o.pool.HandleReport(asked, call, r, o.w.now)
	for _, info := range o.pool.NewIncarnations() {
		o.heartbeatsTo[info.ID] = info.Incarnation()
	}
}

// refused ends the owner if the refusal of its token shows that it has a successor.
func (o *replacedOwner) refused(incarnation gauge.Incarnation, sent gauge.FencingToken) {
	if !o.pool.IsOutdated(incarnation, sent) {
		o.isOver = true
	}
}

// resolve settles an order in one of several ways.
func (o *replacedOwner) resolve(i int) {
	order := o.orders[i]
	o.orders = append(o.orders[:i:i], o.orders[i+1:]...)
	m := o.w.workers[order.Worker.ID]
	lost := gauge.Errorf(gauge.KindUnknown, "no answer")
	if o.pool.IsObsolete(order, o.w.now) {
		o.pool.OrderAnswered(order, 0, gauge.Errorf(gauge.KindPastDeadline, "not sent"), o.w.now)
		return
	}
	if !o.reaches(m) {
		o.pool.OrderAnswered(order, 0, gauge.Errorf(rapid.SampledFrom([]gauge.Kind{gauge.KindUnknown, gauge.KindOutage}).Draw(o.w.t, "failure"), "not reached"), o.w.now)
		return
	}
	switch rapid.IntRange(0, 4).Draw(o.w.t, "fate of an order of the old owner") {
	case 0: // executed later
		o.w.delayedOrders = append(o.w.delayedOrders, order)
		o.pool.OrderAnswered(order, 0, lost, o.w.now)
	case 1: // executed, answer lost
		_ = o.w.executeOrder(order)
		o.pool.OrderAnswered(order, 0, lost, o.w.now)
	default:
		err := o.w.executeOrder(order)
		if gauge.IsKind(err, gauge.KindFenced) {
			o.refused(order.Worker.Incarnation(), order.Fence())
		}
		o.pool.OrderAnswered(order, o.w.workerClock(m), err, o.w.now)
	}
}

// handleOverlapEvent has one event happen: of an owner that was replaced, a replacement, or any other.
func (w *simulation) handleOverlapEvent() {
	old := w.liveReplaced()
	switch {
	case len(old) > 0 && rapid.Bool().Draw(w.t, "event of an old owner"):
		old[rapid.IntRange(0, len(old)-1).Draw(w.t, "which")].actAtRandom()
	case rapid.IntRange(0, 14).Draw(w.t, "replaced") == 0:
		w.replaceOwner()
	default:
		jobs := len(w.specs)
		w.handleRandomEvent()
		for ; jobs < len(w.specs); jobs++ {
			w.relayJob(jobID(jobs))
		}
	}
}

// relayJob may tell owners that were replaced, and whose leases aren't over, of a job.
func (w *simulation) relayJob(id string) {
	for _, o := range w.liveReplaced() {
		if w.now >= o.ordersEnd-simOrderGrace || rapid.Bool().Draw(w.t, "not told") || w.rows[id] == nil {
			continue
		}
		row, err := gauge.DecodeJobRow(w.rows[id])
		assert.NilError(w.t, err)
		o.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: w.specs[id], Row: row, Version: w.versions[id], Arrived: w.now}, w.now)
	}
}

// Guards against two runs of a task, or a start after its end, by orders that owners give beside their
// successors, which may reach other workers. No worker restarts.
func TestInvariantsHoldBesideReplacedOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.noRestarts, w.noCopies = true, true
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			w.handleOverlapEvent()
		}
		w.replaced = nil
		w.runWithoutFaults()
		w.checkCancelledStopped()
	})
}
