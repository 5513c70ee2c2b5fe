package waves

import (
	"cmp"
	"slices"

	gauge "sapphiregauge"
)

// A machine with long-running tasks drains slowly: only a few tasks of a step may be unplaced at a
// time, and the next ones leave only when these run elsewhere. A wave takes at least as long as its
// slowest drain. When such machines were taken among the others, in the order of their names, 140
// of 250 machines started maintenance within eight seconds, and the last 40 followed one by one
// until after the end of the wave. So slow drains start first and run all the time, and other
// machines use the remaining capacity.

const (
	// maxUnavailableShare is the largest share of a pool's machines that are being drained or down
	// at once while a wave is on time; the others carry the pool's work.
	maxUnavailableShare = 0.34
	// drainAheadFactor is how many machines are drained at once, as a multiple of those that may be
	// down: draining takes about as long as maintenance.
	drainAheadFactor = 1.5
	// slowDrainShare is the share of a pool's unavailable machines that go to slow drains while
	// there are other machines to take: a machine that waits for its tasks to move does no other
	// work.
	slowDrainShare = 0.5
	// shortPoolShare is the share of machines that may be unavailable for slow drains in a pool
	// that is short of machines: a pool's demand peak lasts a third of a wave, during which the
	// drains would otherwise stop.
	shortPoolShare = 0.05
)

// poolState is how many machines of a pool are unavailable, and which ones a wave may select.
type poolState struct {
	size, unavailable, slowSelected int
	slow, fast                      []gauge.Machine
	standby, short                  bool
}

// selectMachines picks the machines to drain, from the pools with the smallest unavailable share
// first.
func (s *Scheduler) selectMachines(w *wave, left []gauge.Machine, force bool) {
	budget := max(1, w.spec.MaxConcurrent) - len(w.selected)
	if !s.conf.Disabled.Has(gauge.MechanismDrainAhead) {
		budget = int(float64(max(1, w.spec.MaxConcurrent))*drainAheadFactor) - len(w.selected)
	}
	if budget <= 0 {
		return
	}
	spareShortPools := !force && !s.conf.Disabled.Has(gauge.MechanismSpareShortPools)
	pools := s.poolStates(w, left)
	for ; budget > 0; budget-- {
		p := nextPool(pools, spareShortPools)
		if p == nil {
			return
		}
		w.selected[p.takeNext().ID] = true
	}
}

// poolStates groups the machines that may be selected by pool, those with the most long-running
// tasks first.
func (s *Scheduler) poolStates(w *wave, left []gauge.Machine) []*poolState {
	byName := make(map[string]*poolState)
	stateOf := func(pool string) *poolState {
		p := byName[pool]
		if p == nil {
			p = &poolState{standby: s.standbyPools[pool], short: s.view.IsShort(pool)}
			byName[pool] = p
		}
		return p
	}
	for _, m := range s.machines {
		p := stateOf(m.Pool)
		p.size++
		if m.State != gauge.MachineUp || w.selected[m.ID] {
			p.unavailable++
		}
		if w.selected[m.ID] && s.longRunningTasks(m) > 0 {
			p.slowSelected++
		}
	}
	for _, m := range left {
		if w.selected[m.ID] || m.State != gauge.MachineUp || s.view.IsMoving(m.ID) || s.view.WasOrderedBefore(m.ID) {
			continue
		}
		p := stateOf(m.Pool)
		if s.longRunningTasks(m) > 0 && !s.conf.Disabled.Has(gauge.MechanismLongDrainsFirst) {
			p.slow = append(p.slow, m)
		} else {
			p.fast = append(p.fast, m)
		}
	}
	names := make([]string, 0, len(byName))
	for name, p := range byName {
		slices.SortStableFunc(p.slow, func(a, b gauge.Machine) int { return cmp.Compare(s.longRunningTasks(b), s.longRunningTasks(a)) })
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]*poolState, len(names))
	for i, name := range names {
		list[i] = byName[name]
	}
	return list
}

func (s *Scheduler) longRunningTasks(m gauge.Machine) int {
	if s.view.LongRunningTasks == nil || m.Worker == "" {
		return 0
	}
	return s.view.LongRunningTasks(m.Worker)
}

// nextPool returns the pool with the smallest unavailable share among those of which a machine may
// be selected, or nil if there is none.
func nextPool(pools []*poolState, spareShortPools bool) *poolState {
	var best *poolState
	for _, p := range pools {
		if p.canSelect(spareShortPools) && (best == nil || p.nextShare() < best.nextShare()) {
			best = p
		}
	}
	return best
}

// nextShare returns the share of the pool's machines that are unavailable once one more is
// taken.
func (p *poolState) nextShare() float64 { return float64(p.unavailable+1) / float64(max(1, p.size)) }

func (p *poolState) canSelect(spareShortPools bool) bool {
	switch {
	case len(p.slow)+len(p.fast) == 0:
		return false
	case p.standby || !spareShortPools:
		return true
	case p.short:
		return len(p.slow) > 0 && p.nextShare() <= shortPoolShare
	default:
		return p.unavailable == 0 || p.nextShare() <= maxUnavailableShare
	}
}

// takeNext removes and returns the machine of the pool that is selected next.
func (p *poolState) takeNext() gauge.Machine {
	from := &p.fast
	if len(p.slow) > 0 && (len(p.fast) == 0 || p.short || float64(p.slowSelected) <= slowDrainShare*float64(p.unavailable)) {
		from = &p.slow
		p.slowSelected++
	}
	p.unavailable++
	m := (*from)[0]
	*from = (*from)[1:]
	return m
}
