package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// requestLoads asks all pool owners for the demand of their pools. A pool without a recent answer
// keeps its size.
func (f *fleet) loads(ctx context.Context) {
	site := f.node.Site()
	if site == nil {
		return
	}
	for _, p := range site.Pools {
		if p.Standby {
			continue
		}
		call := loadCall{Pool: p.Name, Soon: f.keeper.Workers(p.Name)}
		f.async.do("load "+p.Name, func() func() {
			l, err := f.node.load(ctx, call)
			if err != nil {
				return func() {}
			}
			now := f.node.conf.Now()
			return func() { f.sizer.Load(l, now) }
		})
	}
}

// nextMoves returns the machines to drain or to order now.
func (f *fleet) moves() []sizing.Move {
	now := f.node.conf.Now()
	taken := func(machine string) bool { return f.keeper.Takes(machine) || f.turns.Waits(machine, now) }
	return f.sizer.Next(now, taken, f.keeper.Waits)
}

// moveMachines moves machines between pools. A machine that is in use is drained first and ordered
// in a later round, once the lease row names it. If the row named it during draining, which takes
// up to two seconds, a next holder would have to leave the machine alone if this one is lost: after
// a power loss of all entries while demand moved from one pool to another, half of a pool's
// machines came two seconds later for that reason.
func (f *fleet) resize(ctx context.Context, moves []sizing.Move) {
	for _, m := range moves {
		began := f.async.do("move "+m.Machine, func() func() {
			if !m.Empty {
				empty := f.emptied(ctx, m)
				return func() { f.sizer.Emptied(m.Machine, empty) }
			}
			err := f.order(ctx, m)
			return func() {
				f.sizer.Emptied(m.Machine, true)
				f.sizer.Ordered(m.Machine, err, f.node.conf.Now())
			}
		})
		if began {
			f.sizer.Begun(m.Machine)
		}
	}
}

func (f *fleet) emptied(ctx context.Context, m sizing.Move) bool {
	empty, err := f.node.empty(ctx, emptyCall{Pool: m.From, Worker: m.Worker})
	if err != nil {
		f.node.conf.Logs.Info("machine not emptied", "machine", m.Machine, "pool", m.From, "error", err.Error())
	}
	if !empty || err != nil {
		return false
	}
	f.hurry()
	return true
}

// wake starts the next round soon, since a machine can be ordered.
func (f *fleet) hurry() {
	select {
	case f.ready <- struct{}{}:
	default:
	}
}

// waitForRound waits for the next round.
func (f *fleet) rest(ctx context.Context) {
	timer := time.NewTimer(fleetEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.ready:
		pause(ctx, readyGap)
	}
}

// orderMove orders the move of one machine while the lease is certain to last.
func (f *fleet) order(ctx context.Context, m sizing.Move) error {
	if !f.mayOrder(m.Machine) {
		return gauge.Fail(gauge.KindOutage, "the lease is over")
	}
	err := f.node.conf.Machines.Move(ctx, gauge.Duty{Holder: f.node.conf.Name, Fence: f.held.fence}, m.Machine, m.To)
	if gauge.Is(err, gauge.KindFenced) {
		f.held.lease.Lose()
	}
	return err
}
