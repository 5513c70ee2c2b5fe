package sizing

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// chooseMoves picks machines for pools that are short, from standby first and then from pools with
// a surplus, and sends the machines that no pool needs to standby.
func (s *Sizer) chooseMoves(pools []string, now time.Duration, isTaken func(string) bool) {
	byShortfall := slices.Clone(pools)
	slices.SortFunc(byShortfall, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.shortfall(b), s.shortfall(a)), cmp.Compare(a, b))
	})
	for _, pool := range byShortfall {
		for s.shortfall(pool) > 0 {
			if s.redirect(pool) {
				continue
			}
			if !s.mayChooseSpare() {
				break
			}
			m, ok := s.findSpare(pools, pool, now, isTaken)
			if !ok {
				break
			}
			s.move(m, pool, now)
		}
	}
	if len(s.standbyPools) == 0 || s.conf.Disabled.Has(gauge.MechanismStandby) {
		return
	}
	for _, pool := range pools {
		w := s.wanted[pool]
		for w.surplusSince > 0 && now-w.surplusSince > s.retention.current(now) && s.shortfall(pool) < 0 && s.mayChooseSurplus() {
			m, ok := s.nextCandidate(pool, isTaken)
			if !ok {
				break
			}
			s.move(m, s.standbyPool(m), now)
		}
	}
}

// shortfall returns how many machines a pool lacks; negative: it has a surplus.
func (s *Sizer) shortfall(pool string) int { return s.wanted[pool].count - s.assigned(pool) }

func (s *Sizer) move(m gauge.Machine, to string, now time.Duration) {
	standby := slices.Contains(s.standbyPools, m.Pool)
	switch {
	case standby:
		s.retention.recordTaken(now)
	case slices.Contains(s.standbyPools, to):
		s.retention.recordGiven(now)
	}
	s.index.assigned[m.Pool]--
	s.index.assigned[to]++
	s.index.unordered++
	if standby {
		s.index.ready++
	}
	s.moves[m.ID] = &Move{Machine: m.ID, From: m.Pool, To: to, Worker: m.Worker, Drained: standby, chosenAt: now}
	s.conf.Logs.Info("move chosen", "machine", m.ID, "from", m.Pool, "to", to)
}

// redirect sends a machine that is bound for standby, and not yet ordered to move, to a pool that
// needs it: by way of standby it would move twice.
func (s *Sizer) redirect(pool string) bool {
	if s.conf.Disabled.Has(gauge.MechanismRedirect) {
		return false
	}
	var best *Move
	for _, v := range s.moves {
		if v.orderedAt > 0 || v.inFlight || v.From == pool || !slices.Contains(s.standbyPools, v.To) {
			continue
		}
		if best == nil || v.Machine < best.Machine {
			best = v
		}
	}
	if best == nil {
		return false
	}
	s.index.assigned[best.To]--
	s.index.assigned[pool]++
	best.To = pool
	s.conf.Logs.Info("move redirected", "machine", best.Machine, "from", best.From, "to", pool)
	return true
}

// standbyPool returns the standby pool that a machine goes to.
func (s *Sizer) standbyPool(gauge.Machine) string { return s.standbyPools[0] }

// findSpare finds a machine for a pool: on standby, or else in a pool with a surplus.
func (s *Sizer) findSpare(pools []string, to string, now time.Duration, isTaken func(string) bool) (gauge.Machine, bool) {
	for _, pool := range s.standbyPools {
		if m, ok := s.nextCandidate(pool, isTaken); ok {
			return m, true
		}
	}
	for _, pool := range pools {
		if pool == to || s.shortfall(pool) >= 0 || now-s.loads[pool].receivedAt > maxLoadAge {
			continue
		}
		if m, ok := s.nextCandidate(pool, isTaken); ok {
			return m, true
		}
	}
	return gauge.Machine{}, false
}

// orderAhead is how far ahead of its order a move is chosen. A move that is chosen long before the
// machine service takes the order is of no use by then, or of less than another one.
const orderAhead = time.Second

// mayChooseSpare reports whether the order of one more drained machine would be taken in time.
func (s *Sizer) mayChooseSpare() bool {
	return s.conf.MaxOrderRate == 0 || float64(s.index.ready) < s.conf.MaxOrderRate*orderAhead.Seconds()
}

// mayChooseSurplus reports whether one more machine may be sent to standby. Those that are still
// being drained count, as nothing is urgent about them.
func (s *Sizer) mayChooseSurplus() bool {
	return s.conf.MaxOrderRate == 0 || float64(s.index.unordered) < s.conf.MaxOrderRate*orderAhead.Seconds()
}
