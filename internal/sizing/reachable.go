package sizing

import (
	"slices"
	"time"

	gauge "sapphiregauge"
)

// Reachable returns, for each pool with a recent load, the thousandths of a core that it has or
// could get, according to the last call of Next: its own machines and those on their way to it, and
// its part of those that no other pool needs.
func (s *Sizer) Reachable(now time.Duration) map[string]int {
	if s.index.assigned == nil {
		return nil
	}
	own := s.assignedCapacity()
	lacking := 0
	for pool := range s.loads {
		lacking += max(0, s.shortfall(pool))
	}
	reachable := make(map[string]int, len(s.loads))
	for pool, l := range s.loads {
		if now-l.receivedAt <= maxLoadAge {
			reachable[pool] = own[pool] + s.gain(pool, lacking, now)
		}
	}
	return reachable
}

// assignedCapacity returns the thousandths of a core of the machines that stay in each pool or are
// on their way to it, without those that are down.
func (s *Sizer) assignedCapacity() map[string]int {
	sum := make(map[string]int)
	for id, m := range s.machines {
		if m.State == gauge.MachineDown {
			continue
		}
		pool := m.Pool
		if v := s.moves[id]; v != nil {
			pool = v.To
		}
		sum[pool] += m.Capacity.MilliCPU
	}
	return sum
}

// gain returns the thousandths of a core that a pool could get from standby and from the surplus of
// others, where all pools together lack so many machines. If there are too few for all of them, it
// is the pool's part in proportion to what it lacks; otherwise it is what the others leave.
func (s *Sizer) gain(pool string, lacking int, now time.Duration) int {
	machines, capacity := s.available(pool, now)
	if machines == 0 {
		return 0
	}
	own := max(0, s.shortfall(pool))
	part := machines - (lacking - own)
	if lacking > machines {
		return capacity * own / lacking
	}
	return capacity * part / machines
}

// available returns how many machines could move to a pool, and their thousandths of a core.
func (s *Sizer) available(to string, now time.Duration) (machines, capacity int) {
	for _, pool := range s.standbyPools {
		n, sum := s.movable(pool)
		machines, capacity = machines+n, capacity+sum
	}
	for pool, l := range s.loads {
		surplus := -s.shortfall(pool)
		if pool == to || surplus <= 0 || now-l.receivedAt > maxLoadAge || slices.Contains(s.standbyPools, pool) {
			continue
		}
		n, sum := s.movable(pool)
		if n == 0 {
			continue
		}
		part := min(n, surplus)
		machines, capacity = machines+part, capacity+sum*part/n
	}
	return machines, capacity
}

// movable returns how many machines of a pool may move, and their thousandths of a core.
func (s *Sizer) movable(pool string) (machines, capacity int) {
	workers := s.loads[pool].workers
	for _, m := range s.index.machines[pool] {
		if m.State != gauge.MachineUp || s.moves[m.ID] != nil || workers[m.Worker].LongRunning > 0 {
			continue
		}
		machines++
		capacity += m.Capacity.MilliCPU
	}
	return machines, capacity
}
