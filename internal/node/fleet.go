package node

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/quota"
	"sapphiregauge/internal/sizing"
	"sapphiregauge/internal/turns"
	"sapphiregauge/internal/waves"
)

const (
	// fleetInterval is the interval between two rounds of the fleet lease holder.
	fleetInterval = 100 * time.Millisecond
	// orderBatchDelay is how long the move of a drained machine waits for other machines to be
	// drained, since each round with new orders costs a write to the table.
	orderBatchDelay = 40 * time.Millisecond
	// fleetRenewInterval is the interval at which the fleet lease is renewed if nothing else is
	// written.
	fleetRenewInterval = 400 * time.Millisecond
	// machineListInterval is the interval at which the machines are listed.
	machineListInterval = 400 * time.Millisecond
	// initialOrderDelay is how long after the very first start no machine is ordered: until then
	// not all of them are listed.
	initialOrderDelay = 2 * time.Second
)

// fleet carries out maintenance waves and moves of machines between pools for as long as this entry
// holds the fleet lease.
type fleet struct {
	node          *Node
	held          *takenLease
	scheduler     *waves.Scheduler
	sizer         *sizing.Sizer
	orderQuota    *quota.Quota
	takenAt       time.Duration
	ordersFrom    time.Duration // no machine is ordered before this
	orderGuard    *turns.OrderGuard
	renewedAt     time.Duration
	offeredAt     time.Duration // last offer of the lease
	listedAt      time.Duration
	statusWritten map[int64]bool        // waves whose running state was reported to the operator
	wavePartSizes map[int64]map[int]int // by wave and part: how many machines the part in the table names
	calls         *backgroundCalls
	drained       chan struct{}  // wakes the next round: a machine that is to move has been drained
	unsaved       map[int64]bool // waves with orders that aren't in the table yet

	moveTarget atomic.Pointer[string] // address of the entry that the lease is to move to

	// orderMu guards ordersEnded, so that no order is permitted after the orders were listed for
	// the successor.
	orderMu     sync.Mutex
	ordersEnded bool // no more orders
}

// runFleet runs the fleet until its lease is lost or given up.
func (n *Node) runFleet(ctx context.Context, l *takenLease) {
	f := &fleet{
		node: n, held: l, statusWritten: make(map[int64]bool), wavePartSizes: make(map[int64]map[int]int),
		scheduler: waves.New(waves.Config{
			MaintenanceDuration: n.conf.MaintenanceDuration, Disabled: n.conf.Disabled, Logs: n.conf.Logs,
		}),
		sizer:      sizing.New(sizing.Config{MaxOrderRate: n.conf.MaxOrderRate, Disabled: n.conf.Disabled, Logs: n.conf.Logs}),
		orderQuota: quota.New(quota.Config{Calls: int(math.Ceil(n.conf.MaxOrderRate)), Period: time.Second + orderQuotaMargin}),
		orderGuard: turns.New(n.conf.MinOrderInterval+monotonicClockMargin, turns.RecentOrders{Own: l.previousRow.OwnOrders, Previous: l.previousRow.PreviousOrders},
			n.wasOwnLease(&l.previousRow), n.tableClock(), n.conf.Now()),
		renewedAt: n.conf.Now(), takenAt: n.conf.Now(),
		calls: newBackgroundCalls(), drained: make(chan struct{}, 1),
		unsaved: make(map[int64]bool),
	}
	f.sizer.SetRetention(time.Duration(l.previousRow.Retention)*time.Millisecond, n.conf.Now())
	f.ordersFrom = n.conf.Now() + initialOrderDelay
	if l.term > 0 {
		f.ordersFrom = n.firstOrderTime(l)
	}
	n.setFleet(f)
	defer n.setFleet(nil)
	for ctx.Err() == nil && n.running.Load() && !l.lease.IsLost() {
		f.runRound(ctx)
		if f.handOverIfStuck(ctx) {
			return
		}
		if to := f.moveTarget.Load(); to != nil {
			f.handOver(ctx, reasonLessLoaded, *to)
			return
		}
		f.waitForRound(ctx)
	}
	f.handOver(ctx, "the entry stops", "")
}

func (n *Node) setFleet(f *fleet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet = f
	n.updateWorkerListGate()
}

// requestMove hands the lease to an entry after the current round. An empty address leaves it here.
func (f *fleet) requestMove(addr string) {
	if addr != "" {
		f.moveTarget.Store(&addr)
	}
}

// handOver ends the work here and has another entry take over the fleet. An empty address means
// that none has been chosen yet.
func (f *fleet) handOver(ctx context.Context, why, to string) {
	n, l := f.node, f.held
	f.endOrders()
	if l.lease.IsLost() {
		n.conf.Logs.Info("fleet left", "fence", l.token, "reason", "the lease is lost")
		return
	}
	n.conf.Logs.Info("fleet left", "fence", l.token, "reason", why)
	n.offerMu.Lock()
	defer n.offerMu.Unlock()
	if to == "" {
		to = n.findSuccessor(ctx, fleetPool, 0)
	}
	if to != "" && n.offerLease(ctx, to, f.leaseOffer()) {
		return
	}
	if err := l.lease.GiveUp(ctx, f.leaseRow(nil)); err != nil {
		n.conf.Logs.Info("lease not given up", "pool", fleetPool, "error", err.Error())
	}
}

// handOverIfStuck offers the fleet to another entry when writes fail here. It reports whether the
// lease was offered.
func (f *fleet) handOverIfStuck(ctx context.Context) bool {
	now := f.node.conf.Now()
	if now-f.renewedAt < fleetRenewInterval+stuckAfter || now-f.offeredAt < offerRetryDelay {
		return false
	}
	f.offeredAt = now
	f.node.offerMu.Lock()
	defer f.node.offerMu.Unlock()
	to := f.node.findSuccessor(ctx, fleetPool, now-f.renewedAt-fleetRenewInterval)
	if to == "" {
		return false
	}
	f.endOrders()
	f.held.lease.MarkLost()
	f.node.conf.Logs.Info("fleet left", "fence", f.held.token, "reason", "writes fail here")
	f.node.offerLease(ctx, to, f.leaseOffer())
	return true
}

// leaseOffer returns the offer of the fleet lease, which includes the orders since its row was last
// written.
func (f *fleet) leaseOffer() offerCall {
	row := f.leaseRow(nil)
	row.Term = f.held.term
	return offerCall{Pool: fleetPool, Row: row, Version: f.held.lease.Version()}
}

func sleep(ctx context.Context, d time.Duration) {
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
func (f *fleet) runRound(ctx context.Context) {
	f.calls.applyResults()
	for number := range f.unsaved {
		if f.saveWave(ctx, number, false) {
			delete(f.unsaved, number)
		}
	}
	if f.node.conf.Now()-f.renewedAt >= fleetRenewInterval {
		f.commit(ctx, gauge.PartitionTxn{})
	}
	if !f.addNewWaves(ctx) {
		return
	}
	f.refreshMachines(ctx)
	f.requestLoads(ctx)
	if f.listedAt == 0 || f.node.conf.Now() < f.ordersFrom {
		return
	}
	steps := f.scheduler.Next(f.node.conf.Now(), waves.View{
		IsMoving: f.sizer.IsMoving, WasOrderedBefore: f.wasOrderedBefore, IsShort: f.sizer.IsShort, LongRunningTasks: f.sizer.LongRunningTasks,
	})
	moves := f.nextMoves()
	steps.Starts, moves = f.limitOrders(steps.Starts, moves)
	f.announceOrders(ctx, machinesToOrder(steps, moves))
	f.requestDraining(ctx, steps.Drains)
	f.orderMaintenance(ctx, steps.Starts)
	for _, number := range steps.CompletedWaves {
		f.completeWave(ctx, number)
	}
	f.moveMachines(ctx, moves)
}

// commit writes on condition that this entry still holds the fleet lease, and reports whether it
// succeeded.
func (f *fleet) commit(ctx context.Context, txn gauge.PartitionTxn) bool {
	return f.commitRow(ctx, f.leaseRow(f.orderGuard.Announced()), txn)
}

func (f *fleet) commitRow(ctx context.Context, row gauge.LeaseRow, txn gauge.PartitionTxn) bool {
	sent := f.node.conf.Now()
	position, _, err := f.held.lease.Commit(ctx, row, txn)
	if err != nil {
		f.node.conf.Logs.Info("fleet write failed", "kind", gauge.KindOf(err), "error", err.Error())
		return false
	}
	f.renewedAt = sent
	f.node.recordTableClock(position, sent)
	return true
}

// refreshMachines starts listing the machines if the last list is too old.
func (f *fleet) refreshMachines(ctx context.Context) {
	now := f.node.conf.Now()
	if f.listedAt > 0 && now-f.listedAt < machineListInterval {
		return
	}
	f.calls.start("list", func() func() {
		machines, err := f.node.conf.Machines.List(ctx)
		if err != nil {
			f.node.conf.Logs.Info("machines not listed", "error", err.Error())
			return func() {}
		}
		return func() { f.setMachines(machines, now) }
	})
}

// setMachines applies a list of the machines that was requested at the given time.
func (f *fleet) setMachines(list []gauge.Machine, requestedAt time.Duration) {
	f.listedAt = requestedAt
	f.scheduler.SetMachines(list, requestedAt)
	var standby []string
	if site := f.node.Site(); site != nil {
		for _, p := range site.Pools {
			if p.Standby {
				standby = append(standby, p.Name)
			}
		}
	}
	f.scheduler.SetStandbyPools(standby)
	f.sizer.SetMachines(list, standby, requestedAt)
}
