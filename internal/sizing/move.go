package sizing

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// choose picks machines for pools that want more, from standby and then from
// pools with too many, and sends what nobody wants to standby.
func (s *Sizer) choose(pools []string, now time.Duration, taken func(string) bool) {
	short := slices.Clone(pools)
	slices.SortFunc(short, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.missing(b), s.missing(a)), cmp.Compare(a, b))
	})
	for _, pool := range short {
		for s.missing(pool) > 0 {
			if s.redirect(pool) {
				continue
			}
			m, ok := s.spare(pools, pool, now, taken)
			if !ok {
				break
			}
			s.move(m, pool, now)
		}
	}
	if len(s.standby) == 0 || s.conf.Without.Has(gauge.MechanismStandby) {
		return
	}
	for _, pool := range pools {
		w := s.wanted[pool]
		for w.below > 0 && now-w.below > s.keep.now(now) && s.missing(pool) < 0 {
			m, ok := s.idle(pool, taken, s.later)
			if !ok {
				break
			}
			s.move(m, s.home(m), now)
		}
	}
}

// missing is how many machines a pool wants more than it has.
func (s *Sizer) missing(pool string) int { return s.wanted[pool].count - s.has(pool) }

func (s *Sizer) move(m gauge.Machine, to string, now time.Duration) {
	standby := slices.Contains(s.standby, m.Pool)
	switch {
	case standby:
		s.keep.taken(now)
	case slices.Contains(s.standby, to):
		s.keep.given(now)
	}
	s.index.has[m.Pool]--
	s.index.has[to]++
	s.moves[m.ID] = &Move{Machine: m.ID, From: m.Pool, To: to, Worker: m.Worker, Empty: standby, chosen: now}
	s.conf.Logs.Info("move chosen", "machine", m.ID, "from", m.Pool, "to", to)
}

// redirect sends a machine that is to go to standby, and isn't ordered yet, to a
// pool that wants it: there and back would take two moves.
func (s *Sizer) redirect(pool string) bool {
	if s.conf.Without.Has(gauge.MechanismRedirect) {
		return false
	}
	var best *Move
	for _, v := range s.moves {
		if v.ordered > 0 || v.busy || v.From == pool || !slices.Contains(s.standby, v.To) {
			continue
		}
		if best == nil || v.Machine < best.Machine {
			best = v
		}
	}
	if best == nil {
		return false
	}
	s.index.has[best.To]--
	s.index.has[pool]++
	best.To = pool
	s.conf.Logs.Info("move redirected", "machine", best.Machine, "from", best.From, "to", pool)
	return true
}

// home is the standby pool that a machine goes to.
func (s *Sizer) home(gauge.Machine) string { return s.standby[0] }

// spare finds a machine for a pool: on standby, else in a pool with too many.
func (s *Sizer) spare(pools []string, to string, now time.Duration, taken func(string) bool) (gauge.Machine, bool) {
	for _, pool := range s.standby {
		if m, ok := s.idle(pool, taken, s.later); ok {
			return m, true
		}
	}
	for _, pool := range pools {
		if pool == to || s.missing(pool) >= 0 || now-s.loads[pool].at > staleAfter {
			continue
		}
		if m, ok := s.idle(pool, taken, s.later); ok {
			return m, true
		}
	}
	return gauge.Machine{}, false
}

// idle finds the machine of a pool that is the least work to empty. None with
// lasting tasks: these would have to move, and their users would notice.
func (s *Sizer) idle(pool string, taken, later func(string) bool) (gauge.Machine, bool) {
	runs := s.loads[pool].runs
	var best gauge.Machine
	found := false
	for _, m := range s.index.machines[pool] {
		if m.State != gauge.MachineUp || s.moves[m.ID] != nil || taken(m.ID) {
			continue
		}
		w := runs[m.Worker]
		if w.Lasting > 0 {
			continue
		}
		if !found || better(m, w, best, runs[best.Worker], later) {
			best, found = m, true
		}
	}
	return best, found
}

// better tells whether one machine is a better choice than another: one that no
// wave waits for, then the one with less to end, then the lower id.
func better(a gauge.Machine, onA gauge.WorkerLoad, b gauge.Machine, onB gauge.WorkerLoad, later func(string) bool) bool {
	if later(a.ID) != later(b.ID) {
		return later(b.ID)
	}
	return cmp.Or(cmp.Compare(onA.Busy, onB.Busy), cmp.Compare(onA.Runs, onB.Runs), cmp.Compare(a.ID, b.ID)) < 0
}
