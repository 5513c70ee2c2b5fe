package sizing

import (
	"math"
	"time"

	gauge "sapphiregauge"
)

// updateWanted computes how many machines each pool should have.
func (s *Sizer) updateWanted(pools []string, now time.Duration) {
	needs := make(map[string]need, len(pools))
	for _, pool := range pools {
		needs[pool] = s.poolNeed(pool, now)
	}
	counts := share(needs, pools, s.index.usable)
	for _, pool := range pools {
		w := s.wanted[pool]
		w.count = counts[pool]
		switch {
		case now-s.loads[pool].receivedAt > maxLoadAge:
			w = want{count: s.assigned(pool)} // without a recent load it keeps what it has
		case w.count >= s.assigned(pool):
			w.surplusSince = 0
		case w.surplusSince == 0:
			w.surplusSince = now
		}
		s.wanted[pool] = w
		s.logWanted(pool, needs[pool], now)
	}
}

func (s *Sizer) logWanted(pool string, n need, now time.Duration) {
	count := s.wanted[pool].count
	if s.loggedCounts[pool] == count {
		return
	}
	s.loggedCounts[pool] = count
	l := s.loads[pool]
	s.conf.Logs.Info("pool wants", "pool", pool, "machines", count, "has", s.assigned(pool), "base", n.base, "timely", n.timely,
		"late", n.late, "lasting", l.LongRunningCores, "busy", l.Timely.RunningCores, "waiting", l.Timely.WaitingCores,
		"rate", s.rate(pool, now), "age", now-l.receivedAt)
}

// maxRoomWait is how long a task may wait for room before the memory of long-running tasks counts.
// Most tasks start within some tenths of a second where the cores of a pool suffice.
const maxRoomWait = 500 * time.Millisecond

// poolNeed computes how many machines a pool could use.
func (s *Sizer) poolNeed(pool string, now time.Duration) need {
	l, cores := s.loads[pool], s.cores(pool)
	timely := l.Timely.Cores()
	if !s.conf.Disabled.Has(gauge.MechanismRate) {
		timely = max(timely, s.rate(pool, now))
	}
	// One machine more than long-running tasks need, so that any of them can be drained, and more
	// while some of the tasks have no worker.
	n := need{base: max(minPoolMachines, ceil(l.LongRunningCores*headroom/cores)+1, l.MinWorkers+1) + min(l.Unplaced, maxUnplacedMachines)}
	n.timely = max(0, ceil((l.LongRunningCores+timely*headroom)/cores)-n.base)
	if l.Timely.WaitingCores > 0 && l.LongestWait > maxRoomWait {
		n.memory = max(0, ceil((l.LongRunningRoom-l.LongRunningCores)/cores))
	}
	if !s.conf.Disabled.Has(gauge.MechanismOverdue) {
		n.late = ceil(l.Late.Cores() / cores)
	}
	return n
}

// rate returns the cores that a pool's arrivals need.
func (s *Sizer) rate(pool string, now time.Duration) float64 {
	arrivals := s.arrivals[pool]
	rate := arrivals.rate(now)
	if !s.conf.Disabled.Has(gauge.MechanismRise) {
		rate = max(rate, arrivals.riseRate(now))
	}
	if !s.conf.Disabled.Has(gauge.MechanismForecast) {
		rate += arrivals.forecast(now)
	}
	return rate
}

func ceil(f float64) int { return int(math.Ceil(f)) }

// defaultCores is the cores per machine that is assumed for a pool without machines.
const defaultCores = 16

// cores returns the average cores per machine of a pool.
func (s *Sizer) cores(pool string) float64 {
	n, sum := len(s.index.machines[pool]), s.index.cores[pool]
	if n == 0 || sum == 0 {
		return defaultCores
	}
	return sum / float64(n)
}
