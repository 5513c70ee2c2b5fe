package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
	"sapphiregauge/internal/turns"
	"sapphiregauge/internal/waves"
)

const (
	// fleetInterval is the interval between two rounds of the fleet lease holder.
	fleetEvery = 100 * time.Millisecond
	// drainedBatchDelay is how long a drained machine waits for others before it is ordered: each
	// round with new orders is a write.
	readyGap = 40 * time.Millisecond
	// fleetRenewInterval is the interval at which the fleet lease is renewed if nothing else is
	// written.
	fleetRenew = 400 * time.Millisecond
	// machineListInterval is the interval at which the machines are listed.
	listEvery = 400 * time.Millisecond
	// initialOrderDelay is how long after the very first start no machine is ordered: until then
	// not all of them are listed.
	firstWait = 2 * time.Second
)

// fleet carries out maintenance waves and moves of machines between pools for as long as this entry
// holds the fleet lease.
type fleet struct {
	node    *Node
	held    *held
	keeper  *waves.Keeper
	sizer   *sizing.Sizer
	taken   time.Duration
	from    time.Duration // no machine is ordered before this
	turns   *turns.Turns
	renewed time.Duration
	offered time.Duration // last offer of the lease
	listed  time.Duration
	states  map[int64]bool // waves whose running state was reported to the operator
	async   *async
	ready   chan struct{} // wakes the next round: a machine that is to move has been drained
	unsaved map[int64]bool // waves with orders that aren't in the table yet

	next atomic.Pointer[string] // address of the entry that the lease is to move to

	gate sync.Mutex // guards over, so that no order is sent after the lease was given away
	over bool // no more orders
}

// runFleet runs the fleet until its lease is lost or given up.
func (n *Node) keep(ctx context.Context, h *held) {
	f := &fleet{
		node: n, held: h, states: make(map[int64]bool),
		keeper: waves.New(waves.Config{
			Upkeep: n.conf.Upkeep, Without: n.conf.Without, Logs: n.conf.Logs,
		}),
		sizer: sizing.New(sizing.Config{Without: n.conf.Without, Logs: n.conf.Logs}),
		turns: turns.New(n.conf.TurnGap+grantMargin, turns.Lists{Own: h.before.Ordered, Earlier: h.before.Earlier},
			n.wasMine(&h.before), n.clock(), n.conf.Now()),
		renewed: n.conf.Now(), taken: n.conf.Now(),
		async: newAsync(), ready: make(chan struct{}, 1),
		unsaved: make(map[int64]bool),
	}
	f.sizer.Learnt(time.Duration(h.before.Kept)*time.Millisecond, n.conf.Now())
	f.from = n.conf.Now() + firstWait
	if h.term > 0 {
		f.from = n.turnFrom(h)
	}
	n.holdFleet(f)
	defer n.holdFleet(nil)
	for ctx.Err() == nil && n.going.Load() && !h.lease.Lost() {
		f.round(ctx)
		if f.leave(ctx) {
			return
		}
		if to := f.next.Load(); to != nil {
			f.handOver(ctx, lessBurdened, *to)
			return
		}
		f.rest(ctx)
	}
	f.handOver(ctx, "the entry stops", "")
}

func (n *Node) holdFleet(f *fleet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet = f
}

// requestMove has the lease handed to an entry after the current round. An empty address leaves it
// here.
func (f *fleet) moveTo(addr string) {
	if addr != "" {
		f.next.Store(&addr)
	}
}

// handOver ends the work here and has another entry take over the fleet. An empty address means
// that none has been chosen yet.
func (f *fleet) handOver(ctx context.Context, why, to string) {
	n, h := f.node, f.held
	f.end()
	if h.lease.Lost() {
		n.conf.Logs.Info("fleet left", "fence", h.fence, "reason", "the lease is lost")
		return
	}
	n.conf.Logs.Info("fleet left", "fence", h.fence, "reason", why)
	n.offering.Lock()
	defer n.offering.Unlock()
	if to == "" {
		to = n.successor(ctx, fleetPool, 0)
	}
	if to != "" && n.offer(ctx, to, f.offer()) {
		return
	}
	if err := h.lease.GiveUp(ctx, f.row(nil)); err != nil {
		n.conf.Logs.Info("lease not given up", "pool", fleetPool, "error", err.Error())
	}
}

// handOverIfStuck offers the fleet to another entry when writes fail here. It reports whether the
// lease was offered.
func (f *fleet) leave(ctx context.Context) bool {
	now := f.node.conf.Now()
	if now-f.renewed < fleetRenew+stuckAfter || now-f.offered < offerAgain {
		return false
	}
	f.offered = now
	f.node.offering.Lock()
	defer f.node.offering.Unlock()
	to := f.node.successor(ctx, fleetPool, now-f.renewed-fleetRenew)
	if to == "" {
		return false
	}
	f.end()
	f.held.lease.Lose()
	f.node.conf.Logs.Info("fleet left", "fence", f.held.fence, "reason", "writes fail here")
	f.node.offer(ctx, to, f.offer())
	return true
}

// leaseOffer returns the offer of the fleet lease, which includes the orders since its row was last
// written.
func (f *fleet) offer() offerCall {
	row := f.row(nil)
	row.Term = f.held.term
	return offerCall{Pool: fleetPool, Row: row, Version: f.held.lease.Version()}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runRound handles waves and pools once. It waits for calls to the table only: a pool owner or a
// machine service that doesn't answer would delay all others, and the renewal of the lease. Their
// answers are applied in a later round.
func (f *fleet) round(ctx context.Context) {
	f.async.settle()
	for number := range f.unsaved {
		if f.save(ctx, number, false) {
			delete(f.unsaved, number)
		}
	}
	if f.node.conf.Now()-f.renewed >= fleetRenew {
		f.commit(ctx, gauge.PartTxn{})
	}
	if !f.takeIn(ctx) {
		return
	}
	f.list(ctx)
	f.loads(ctx)
	if f.listed == 0 || f.node.conf.Now() < f.from {
		return
	}
	steps := f.keeper.Next(f.node.conf.Now(), waves.Sight{
		Moving: f.sizer.Moving, Ordered: f.orderedBefore, Pressed: f.sizer.Pressed, Lasting: f.sizer.Lasting,
	})
	moves := f.moves()
	f.announce(ctx, ordered(steps, moves))
	f.ask(ctx, steps.Asks)
	f.begin(ctx, steps.Begins)
	for _, number := range steps.Complete {
		f.complete(ctx, number)
	}
	f.resize(ctx, moves)
}

// commit writes on condition that this entry still holds the fleet lease, and reports whether it
// succeeded.
func (f *fleet) commit(ctx context.Context, txn gauge.PartTxn) bool {
	return f.commitRow(ctx, f.row(f.turns.Announced()), txn)
}

func (f *fleet) commitRow(ctx context.Context, row gauge.LeaseRow, txn gauge.PartTxn) bool {
	sent := f.node.conf.Now()
	stamp, _, err := f.held.lease.Commit(ctx, row, txn)
	if err != nil {
		f.node.conf.Logs.Info("fleet write failed", "kind", gauge.KindOf(err), "error", err.Error())
		return false
	}
	f.renewed = sent
	f.node.stamp(stamp, sent)
	return true
}

// refreshMachines has the machines listed if the last list is too old.
func (f *fleet) list(ctx context.Context) {
	now := f.node.conf.Now()
	if f.listed > 0 && now-f.listed < listEvery {
		return
	}
	f.async.do("list", func() func() {
		machines, err := f.node.conf.Machines.List(ctx)
		if err != nil {
			f.node.conf.Logs.Info("machines not listed", "error", err.Error())
			return func() {}
		}
		return func() { f.machines(machines, now) }
	})
}

// setMachines applies a list of the machines that was requested at the given time.
func (f *fleet) machines(list []gauge.Machine, asked time.Duration) {
	f.listed = asked
	f.keeper.Machines(list, asked)
	var standby []string
	if site := f.node.Site(); site != nil {
		for _, p := range site.Pools {
			if p.Standby {
				standby = append(standby, p.Name)
			}
		}
	}
	f.keeper.Standby(standby)
	f.sizer.Machines(list, standby, asked)
}
