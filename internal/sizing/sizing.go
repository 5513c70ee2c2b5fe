// Package sizing decides which machine moves to which pool. It is a state
// machine without input or output.
//
// The pattern it answers: demand moves from pool to pool within seconds, and is
// several times a pool's mean in its turn, so that no fixed split serves it;
// machines in pools are paid for, those on standby aren't. A move takes one to
// two seconds and ends all that runs on the machine, so machines are emptied
// first and those with lasting tasks stay.
package sizing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up a Sizer.
type Config struct {
	Without gauge.Without // what is switched off
	Logs    logr.Logger
}

// Move is a machine on its way to another pool.
type Move struct {
	Machine string
	From    string
	To      string
	Worker  string
	Empty   bool // nothing runs there any more: order it
	chosen  time.Duration
	busy    bool // its call is under way: it stays as it is until that has ended
	unsure  bool // an order got no answer: it has to be asked again until it has one
	ordered time.Duration
}

// Sizer decides on moves. It is not safe for concurrent use.
type Sizer struct {
	conf     Config
	loads    map[string]load
	machines map[string]gauge.Machine
	standby  []string
	moves    map[string]*Move
	wanted   map[string]want
	came     map[string]arrivals
	lasting  map[string]int // lasting tasks by worker
	logged   map[string]int
	keep     keep
	later    func(machine string) bool
	index    index
}

type load struct {
	gauge.PoolLoad
	at   time.Duration
	runs map[string]gauge.WorkerLoad // by worker
}

// want is how many machines a pool should have, and since when it should have
// fewer than it has.
type want struct {
	count int
	below time.Duration
}

// index is the machines by pool, worked out once a round: at thousands of machines
// each look at all of them counts.
type index struct {
	machines map[string][]gauge.Machine // by the pool that has them
	cores    map[string]float64         // in all
	has      map[string]int             // that stay, or are on their way there
	supply   int                        // that can serve
}

func (s *Sizer) work() index {
	x := index{machines: make(map[string][]gauge.Machine), cores: make(map[string]float64), has: make(map[string]int)}
	for id, m := range s.machines {
		x.machines[m.Pool] = append(x.machines[m.Pool], m)
		x.cores[m.Pool] += float64(m.Capacity.MilliCPU) / 1000
		if m.State == gauge.MachineDown {
			continue
		}
		x.supply++
		to := m.Pool
		if v := s.moves[id]; v != nil {
			to = v.To
		}
		x.has[to]++
	}
	return x
}

// New makes a Sizer.
func New(c Config) *Sizer {
	return &Sizer{
		conf: c, loads: make(map[string]load), machines: make(map[string]gauge.Machine),
		moves: make(map[string]*Move), wanted: make(map[string]want), came: make(map[string]arrivals), lasting: make(map[string]int), logged: make(map[string]int),
	}
}

const (
	// headroom over what is asked now: cores are never all usable, since tasks
	// don't fit exactly, and estimates are off by half.
	headroom = 1.25
	// least machines a pool keeps: work that comes meanwhile starts at once, and
	// lasting tasks find another place.
	least = 3
	// mostAway bounds the machines that are added for lasting tasks without a
	// place at a time.
	mostAway = 2
	// staleAfter: an older load says nothing.
	staleAfter = 2 * time.Second
	// giveUpAfter ends a move whose machine doesn't get empty.
	giveUpAfter = 4 * time.Second
	// settleAfter is how long after a move's order the list may still be old.
	settleAfter = 400 * time.Millisecond
)

// Kept is how long surplus machines are kept, as learnt here, for the next holder.
func (s *Sizer) Kept(now time.Duration) time.Duration { return s.keep.now(now) }

// Learnt takes in how long the holder before kept surplus machines; 0: nothing is known.
func (s *Sizer) Learnt(span, now time.Duration) {
	s.keep = keep{span: min(max(span, shortestKeep), longestKeep), moved: now}
}

// Load takes in what an owner told.
func (s *Sizer) Load(l gauge.PoolLoad, now time.Duration) {
	old, ok := s.loads[l.Pool]
	if ok && l.Arrived >= old.Arrived {
		s.came[l.Pool] = s.came[l.Pool].add(arrival{at: now, since: old.at, work: l.Arrived - old.Arrived, jobs: l.Jobs - old.Jobs})
	}
	runs := make(map[string]gauge.WorkerLoad, len(l.Workers))
	for _, w := range l.Workers {
		runs[w.ID] = w
		s.lasting[w.ID] = w.Lasting
	}
	for id := range old.runs {
		if _, there := runs[id]; !there {
			delete(s.lasting, id)
		}
	}
	s.loads[l.Pool] = load{PoolLoad: l, at: now, runs: runs}
}

// Machines takes in the list, as asked for at a time, and the pools on standby.
func (s *Sizer) Machines(list []gauge.Machine, standby []string, asked time.Duration) {
	clear(s.machines)
	for _, m := range list {
		s.machines[m.ID] = m
	}
	s.standby = standby
	for id, v := range s.moves {
		m, there := s.machines[id]
		switch {
		case !there, m.Pool == v.To && m.State == gauge.MachineUp:
			delete(s.moves, id)
		case v.unsure || v.ordered > 0 && asked < v.ordered+settleAfter:
		case v.ordered > 0 && m.State == gauge.MachineUp && m.Pool == v.From:
			delete(s.moves, id) // refused, or lost with a restart: choose anew
		}
	}
}

// Moving tells whether a machine is on its way.
func (s *Sizer) Moving(machine string) bool { return s.moves[machine] != nil }

// Lasting is how many lasting tasks run on a worker, as far as loads have told.
func (s *Sizer) Lasting(worker string) int { return s.lasting[worker] }

// Pressed tells whether a pool has too few machines for its work now.
func (s *Sizer) Pressed(pool string) bool {
	return s.loads[pool].Timely.Waiting > 0 || s.missing(pool) > 0
}

// Begun takes in that a machine's owner is asked to empty it, and that it is ordered
// if it is empty.
func (s *Sizer) Begun(machine string) {
	if v := s.moves[machine]; v != nil {
		v.busy = true
	}
}

// Emptied takes in an owner's answer about a machine.
func (s *Sizer) Emptied(machine string, empty bool) {
	if v := s.moves[machine]; v != nil {
		v.Empty, v.busy = empty, false
	}
}

// Ordered takes in the outcome of an order.
func (s *Sizer) Ordered(machine string, err error, now time.Duration) {
	v := s.moves[machine]
	if v == nil {
		return
	}
	v.unsure = gauge.Is(err, gauge.KindUnknown)
	v.ordered = now
	if err != nil && !v.unsure {
		delete(s.moves, machine)
	}
	s.conf.Logs.Info("machine moved", "machine", machine, "from", v.From, "to", v.To, "error", errText(err))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Next returns the machines to empty and the moves to order. Taken machines are
// in the hands of a wave; those that one will take later are better left alone.
func (s *Sizer) Next(now time.Duration, taken, later func(machine string) bool) []Move {
	s.later = later
	s.expire(now)
	if len(s.machines) == 0 {
		return nil
	}
	s.index = s.work()
	pools := s.pools()
	s.want(pools, now)
	s.choose(pools, now, taken)
	out := make([]Move, 0, len(s.moves))
	for _, v := range s.moves {
		if v.ordered == 0 || v.unsure {
			out = append(out, *v)
		}
	}
	slices.SortFunc(out, func(a, b Move) int { return cmp.Compare(a.Machine, b.Machine) })
	return out
}

func (s *Sizer) expire(now time.Duration) {
	for id, v := range s.moves {
		if v.ordered == 0 && !v.busy && now-v.chosen > giveUpAfter {
			s.conf.Logs.Info("move given up", "machine", id, "from", v.From, "to", v.To)
			delete(s.moves, id)
		}
	}
}

// pools lists those with a fresh load, in a steady order.
func (s *Sizer) pools() []string {
	var names []string
	for n := range s.loads {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// want works out how many machines each pool should have.
func (s *Sizer) want(pools []string, now time.Duration) {
	needs := make(map[string]need, len(pools))
	for _, pool := range pools {
		needs[pool] = s.need(pool, now)
	}
	counts := share(needs, pools, s.index.supply)
	for _, pool := range pools {
		w := s.wanted[pool]
		w.count = counts[pool]
		switch {
		case now-s.loads[pool].at > staleAfter:
			w = want{count: s.has(pool)} // nothing is known: it stays as it is
		case w.count >= s.has(pool):
			w.below = 0
		case w.below == 0:
			w.below = now
		}
		s.wanted[pool] = w
		s.log(pool, needs[pool], now)
	}
}

func (s *Sizer) log(pool string, n need, now time.Duration) {
	count := s.wanted[pool].count
	if s.logged[pool] == count {
		return
	}
	s.logged[pool] = count
	l := s.loads[pool]
	s.conf.Logs.Info("pool wants", "pool", pool, "machines", count, "has", s.has(pool), "base", n.base, "timely", n.timely,
		"late", n.late, "lasting", l.Lasting, "busy", l.Timely.Busy, "waiting", l.Timely.Waiting,
		"rate", s.rate(pool, now), "age", now-l.at)
}

// need works out what a pool would use, in machines.
func (s *Sizer) need(pool string, now time.Duration) need {
	l, cores := s.loads[pool], s.cores(pool)
	timely := l.Timely.Cores()
	if !s.conf.Without.Has(gauge.MechanismRate) {
		timely = max(timely, s.rate(pool, now))
	}
	// One machine more than lasting tasks need, so that any of them can be
	// emptied, and more while some have no place.
	n := need{base: max(least, ceil(l.Lasting*headroom/cores)+1, l.Spread+1) + min(l.Away, mostAway)}
	n.timely = max(0, ceil((l.Lasting+timely*headroom)/cores)-n.base)
	if !s.conf.Without.Has(gauge.MechanismOverdue) {
		n.late = ceil(l.Late.Cores() / cores)
	}
	return n
}

// rate is the cores that a pool's arrivals ask for.
func (s *Sizer) rate(pool string, now time.Duration) float64 {
	came := s.came[pool]
	rate := came.rate(now)
	if !s.conf.Without.Has(gauge.MechanismRise) {
		rate = max(rate, came.rise(now))
	}
	if !s.conf.Without.Has(gauge.MechanismAhead) {
		rate += came.ahead(now)
	}
	return rate
}

func ceil(f float64) int { return int(math.Ceil(f)) }

// defaultCores is used for a pool without machines.
const defaultCores = 16

// cores is what one machine of a pool has, on average.
func (s *Sizer) cores(pool string) float64 {
	n, sum := len(s.index.machines[pool]), s.index.cores[pool]
	if n == 0 || sum == 0 {
		return defaultCores
	}
	return sum / float64(n)
}

// has counts the machines of a pool that stay there or are on their way to it.
func (s *Sizer) has(pool string) int { return s.index.has[pool] }
