package node

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// loads asks all owners what their pools have to do.
func (f *fleet) loads(ctx context.Context) {
	site := f.node.Site()
	if site == nil {
		return
	}
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, p := range site.Pools {
		if p.Standby {
			continue
		}
		group.Go(func() {
			l, err := f.node.load(ctx, p.Name)
			if err != nil {
				return // without a fresh load the pool stays as it is
			}
			mu.Lock()
			defer mu.Unlock()
			f.sizer.Load(l, f.node.conf.Now())
		})
	}
	group.Wait()
}

// resize moves machines between pools.
func (f *fleet) resize(ctx context.Context) {
	now := f.node.conf.Now()
	taken := func(machine string) bool { return f.keeper.Takes(machine) || f.turns.Waits(machine, now) }
	moves := f.sizer.Next(now, taken, f.keeper.Waits)
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, m := range moves {
		group.Go(func() {
			empty := m.Empty || f.emptied(ctx, m)
			mu.Lock()
			f.sizer.Emptied(m.Machine, empty)
			mu.Unlock()
			if !empty {
				return
			}
			err := f.order(ctx, m)
			mu.Lock()
			f.sizer.Ordered(m.Machine, err, f.node.conf.Now())
			mu.Unlock()
		})
	}
	group.Wait()
}

func (f *fleet) emptied(ctx context.Context, m sizing.Move) bool {
	empty, err := f.node.empty(ctx, emptyCall{Pool: m.From, Worker: m.Worker})
	if err != nil {
		f.node.conf.Logs.Info("machine not emptied", "machine", m.Machine, "pool", m.From, "error", err.Error())
	}
	return empty && err == nil
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
