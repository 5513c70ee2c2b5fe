package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// requestLoads asks all pool owners for the demand of their pools. A pool without a recent answer
// keeps its size.
func (f *fleet) requestLoads(ctx context.Context) {
	site := f.node.Site()
	if site == nil {
		return
	}
	reachable := f.reachable()
	for _, p := range site.Pools {
		if p.Standby {
			continue
		}
		call := loadCall{Pool: p.Name, UpcomingDrains: f.scheduler.PendingWorkers(p.Name), ReachableMilliCPU: reachable[p.Name]}
		f.calls.start("load "+p.Name, func() func() {
			l, err := f.node.poolLoad(ctx, call)
			if err != nil {
				return func() {}
			}
			now := f.node.conf.Now()
			return func() { f.sizer.RecordLoad(l, now) }
		})
	}
}

// maxListAge is the age of the list of machines from which owners aren't told what their pools
// could get: a list is requested every machineListInterval.
const maxListAge = 2 * time.Second

// reachable returns, by pool, the thousandths of a core that it has or could get; nil: not known.
func (f *fleet) reachable() map[string]int {
	now := f.node.conf.Now()
	if f.listedAt == 0 || now-f.listedAt > maxListAge {
		return nil
	}
	return f.sizer.Reachable(now)
}

// nextMoves returns the machines to drain or to order now.
func (f *fleet) nextMoves() []sizing.Move {
	now := f.node.conf.Now()
	isTaken := func(id string) bool { return f.scheduler.IsReserved(id) || f.orderGuard.IsBlocked(id, now) }
	return f.sizer.Next(now, isTaken, f.scheduler.IsPending)
}

// moveMachines moves machines between pools. A machine that is in use is drained first and ordered
// in a later round, once the lease row names it. If the row named the machine while it is drained,
// which takes up to two seconds, and this holder was lost, the next one couldn't order the machine
// at once. After a power loss of all entries while demand moved from one pool to another, half of a
// pool's machines came two seconds late for that reason.
func (f *fleet) moveMachines(ctx context.Context, moves []sizing.Move) {
	byPool := make(map[string][]sizing.Move)
	for _, m := range moves {
		if m.Drained {
			f.startMove(ctx, m)
		} else {
			byPool[m.From] = append(byPool[m.From], m)
		}
	}
	for pool, group := range byPool {
		f.drainMachines(ctx, pool, group)
	}
}

// startMove orders the move of a drained machine.
func (f *fleet) startMove(ctx context.Context, m sizing.Move) {
	began := f.calls.start(moveCall(m.Machine), func() func() {
		err := f.orderMove(ctx, m)
		return func() {
			f.sizer.SetDrained(m.Machine, true)
			f.sizer.RecordOrder(m.Machine, err, f.node.conf.Now())
		}
	})
	if began {
		f.sizer.MarkInFlight(m.Machine)
	}
}

// drainMachines asks a pool's owner to drain the machines that are to leave it.
func (f *fleet) drainMachines(ctx context.Context, pool string, moves []sizing.Move) {
	began := f.calls.start("drain "+pool, func() func() {
		call := drainCall{Pool: pool}
		for _, m := range moves {
			call.Workers = append(call.Workers, m.Worker)
		}
		drained := f.drainWorkers(ctx, call)
		if len(drained) > 0 {
			f.wake()
		}
		return func() {
			for _, m := range moves {
				f.sizer.SetDrained(m.Machine, drained[m.Worker])
			}
		}
	})
	if !began {
		return
	}
	for _, m := range moves {
		f.sizer.MarkInFlight(m.Machine)
	}
}

// wake starts the next round soon, since a machine can be ordered.
func (f *fleet) wake() {
	select {
	case f.drained <- struct{}{}:
	default:
	}
}

// waitForRound waits for the next round.
func (f *fleet) waitForRound(ctx context.Context) {
	timer := time.NewTimer(fleetInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.drained:
		sleep(ctx, orderBatchDelay)
	}
}

// orderMove orders the move of one machine within orderWindow after the last renewal of the lease.
func (f *fleet) orderMove(ctx context.Context, m sizing.Move) error {
	if !f.allowOrder(m.Machine) {
		return gauge.Errorf(gauge.KindOutage, "the lease has ended")
	}
	err := f.node.conf.Machines.Move(ctx, gauge.OrderIssuer{Holder: f.node.conf.Name, Fence: f.held.token}, m.Machine, m.To)
	if gauge.IsKind(err, gauge.KindFenced) {
		f.held.lease.MarkLost()
	}
	return err
}
