package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// loads asks all owners what their pools have to do. Without a fresh load a pool
// stays as it is.
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

// moves are those that are to be emptied or ordered.
func (f *fleet) moves() []sizing.Move {
	now := f.node.conf.Now()
	taken := func(machine string) bool { return f.keeper.Takes(machine) || f.turns.Waits(machine, now) }
	return f.sizer.Next(now, taken, f.keeper.Waits)
}

// resize moves machines between pools. One that is in use is emptied first and ordered in
// a later round, once the lease's row names it: named while it is emptied, which takes up
// to two seconds, it would have to be left alone by the next holder if this one is gone.
// After all entries had lost power in a change of turns half of a pool's machines came two
// seconds later for that.
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

// hurry has the next round begin soon, as a machine can be ordered.
func (f *fleet) hurry() {
	select {
	case f.ready <- struct{}{}:
	default:
	}
}

// rest waits for the next round.
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

// order moves one machine, while the lease surely lasts.
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
