package waves

import (
	"cmp"
	"slices"

	gauge "sapphiregauge"
)

// A machine with lasting tasks is emptied by a chain: a few tasks of a step may be away at
// a time, and the next leave when these serve elsewhere. A wave lasts as long as the
// longest chain, whatever else it has to do: with such machines among the others, in the
// order of their names, 140 of 250 machines began within eight seconds and the last forty
// one by one until after the wave's end. So chains begin at once and go on all the time,
// and other machines fill the places that are left.

const (
	// poolShare of a pool's machines at most are emptied or down at once while a
	// wave is in time: the rest carries the pool's work.
	poolShare = 0.34
	// ahead: so many machines more than may be down are emptied beforehand, since
	// emptying takes about as long as an upkeep.
	ahead = 1.5
	// chainShare of the machines that a pool may have away go to those with lasting tasks
	// while there are others: what waits in a chain does no work meanwhile.
	chainShare = 0.5
	// pressedShare of a pool's machines may be away for a chain though it has too few: a
	// turn of a pool lasts a third of a wave, in which the chain would stand still.
	pressedShare = 0.05
)

// places are what a pool can give a wave now.
type places struct {
	size, away, chained int
	chains, others      []gauge.Machine
	standby, pressed    bool
}

// choose picks machines to be emptied, from the pools with the smallest share away first.
func (k *Keeper) choose(w *wave, left []gauge.Machine, force bool) {
	most := max(1, w.order.AtOnce) - len(w.asked)
	if !k.conf.Without.Has(gauge.MechanismEarly) {
		most = int(float64(max(1, w.order.AtOnce))*ahead) - len(w.asked)
	}
	if most <= 0 {
		return
	}
	spared := !force && !k.conf.Without.Has(gauge.MechanismSpared)
	pools := k.places(w, left)
	for ; most > 0; most-- {
		p := next(pools, spared)
		if p == nil {
			return
		}
		w.asked[p.take().ID] = true
	}
}

// places sorts the machines that may be chosen by pool, those with the most lasting tasks
// first.
func (k *Keeper) places(w *wave, left []gauge.Machine) []*places {
	byName := make(map[string]*places)
	of := func(pool string) *places {
		p := byName[pool]
		if p == nil {
			p = &places{standby: k.standby[pool], pressed: k.sight.Pressed(pool)}
			byName[pool] = p
		}
		return p
	}
	for _, m := range k.machines {
		p := of(m.Pool)
		p.size++
		if m.State != gauge.MachineUp || w.asked[m.ID] {
			p.away++
		}
		if w.asked[m.ID] && k.lasting(m) > 0 {
			p.chained++
		}
	}
	for _, m := range left {
		if w.asked[m.ID] || m.State != gauge.MachineUp || k.sight.Moving(m.ID) || k.sight.Ordered(m.ID) {
			continue
		}
		p := of(m.Pool)
		if k.lasting(m) > 0 && !k.conf.Without.Has(gauge.MechanismChains) {
			p.chains = append(p.chains, m)
		} else {
			p.others = append(p.others, m)
		}
	}
	names := make([]string, 0, len(byName))
	for name, p := range byName {
		slices.SortStableFunc(p.chains, func(a, b gauge.Machine) int { return cmp.Compare(k.lasting(b), k.lasting(a)) })
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]*places, len(names))
	for i, name := range names {
		list[i] = byName[name]
	}
	return list
}

func (k *Keeper) lasting(m gauge.Machine) int {
	if k.sight.Lasting == nil || m.Worker == "" {
		return 0
	}
	return k.sight.Lasting(m.Worker)
}

// next is the pool with the smallest share away of those that may give a machine; nil:
// none may.
func next(pools []*places, spared bool) *places {
	var best *places
	for _, p := range pools {
		if p.may(spared) && (best == nil || p.share() < best.share()) {
			best = p
		}
	}
	return best
}

// share of the pool's machines that are away with one more.
func (p *places) share() float64 { return float64(p.away+1) / float64(max(1, p.size)) }

func (p *places) may(spared bool) bool {
	switch {
	case len(p.chains)+len(p.others) == 0:
		return false
	case p.standby || !spared:
		return true
	case p.pressed:
		return len(p.chains) > 0 && p.share() <= pressedShare
	default:
		return p.away == 0 || p.share() <= poolShare
	}
}

// take takes the pool's next machine.
func (p *places) take() gauge.Machine {
	from := &p.others
	if len(p.chains) > 0 && (len(p.others) == 0 || p.pressed || float64(p.chained) <= chainShare*float64(p.away)) {
		from = &p.chains
		p.chained++
	}
	p.away++
	m := (*from)[0]
	*from = (*from)[1:]
	return m
}
