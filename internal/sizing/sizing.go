// Package sizing decides which machine moves to which pool. It is a state machine without input or
// output.
//
// Demand moves from pool to pool within seconds, and at its peak a pool needs several times its
// mean, so no fixed split serves it; machines in pools are paid for, those on standby aren't. A
// move takes one to two seconds and ends all that runs on the machine, so machines are drained
// first, and those with long-running tasks stay.
package sizing

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up a Sizer.
type Config struct {
	// MaxOrderRate is the most orders that the machine service takes in a second; 0: unknown.
	MaxOrderRate float64
	Disabled     gauge.Disabled // mechanisms that are switched off
	Logs         logr.Logger
}

// Move is a machine on its way to another pool.
type Move struct {
	Machine    string
	From       string
	To         string
	Worker     string
	Drained    bool // nothing runs there any more, so the move can be ordered
	chosenAt   time.Duration
	inFlight   bool // a call for it is in flight: it must not change until the call has ended
	unanswered bool // an order got no answer: it is repeated until one does
	orderedAt  time.Duration
}

// Sizer decides on moves. It is not safe for concurrent use.
type Sizer struct {
	conf         Config
	loads        map[string]load
	machines     map[string]gauge.Machine
	standbyPools []string
	moves        map[string]*Move
	wanted       map[string]want
	arrivals     map[string]arrivals
	longRunning  map[string]int // number of long-running tasks by worker
	loggedCounts map[string]int
	retention    retention
	isPending    func(machine string) bool
	index        index
}

type load struct {
	gauge.PoolLoad
	receivedAt time.Duration
	workers    map[string]gauge.WorkerLoad // by worker ID
}

// want is how many machines a pool should have, and since when it has had more than that.
type want struct {
	count        int
	surplusSince time.Duration
}

// index groups the machines by pool. It is built once a round: with thousands of machines each pass
// over all of them is costly.
type index struct {
	machines  map[string][]gauge.Machine // by current pool
	cores     map[string]float64         // by current pool
	assigned  map[string]int             // machines that stay in the pool or are on their way to it
	usable    int                        // machines that aren't down
	unordered int                        // moves that haven't been ordered
	ready     int                        // those of them whose machines are drained
	// candidates holds, by pool, the machines that may leave it; built when the first is chosen.
	candidates map[string]*candidates
}

func (s *Sizer) buildIndex() index {
	x := index{machines: make(map[string][]gauge.Machine), cores: make(map[string]float64), assigned: make(map[string]int), candidates: make(map[string]*candidates)}
	for _, v := range s.moves {
		if v.orderedAt > 0 {
			continue
		}
		x.unordered++
		if v.Drained {
			x.ready++
		}
	}
	for id, m := range s.machines {
		x.machines[m.Pool] = append(x.machines[m.Pool], m)
		x.cores[m.Pool] += float64(m.Capacity.MilliCPU) / 1000
		if m.State == gauge.MachineDown {
			continue
		}
		x.usable++
		to := m.Pool
		if v := s.moves[id]; v != nil {
			to = v.To
		}
		x.assigned[to]++
	}
	return x
}

// New returns a Sizer without machines and loads.
func New(c Config) *Sizer {
	return &Sizer{
		conf: c, loads: make(map[string]load), machines: make(map[string]gauge.Machine),
		moves: make(map[string]*Move), wanted: make(map[string]want), arrivals: make(map[string]arrivals), longRunning: make(map[string]int), loggedCounts: make(map[string]int),
	}
}

const (
	// headroom is the factor by which the cores in demand are multiplied: not all cores are usable,
	// since tasks don't fit exactly, and estimates are off by half.
	headroom = 1.25
	// minPoolMachines is the least number of machines that a pool keeps, so that new work starts at
	// once and long-running tasks find room elsewhere.
	minPoolMachines = 3
	// maxUnplacedMachines bounds the machines that are added at a time for long-running tasks
	// without a worker.
	maxUnplacedMachines = 2
	// maxLoadAge is the age from which a load report is ignored.
	maxLoadAge = 2 * time.Second
	// drainTimeout is how long a machine may take to drain before its move is cancelled.
	drainTimeout = 4 * time.Second
	// listDelay is how long after a move's order the list of machines may not show it yet.
	listDelay = 400 * time.Millisecond
)

// Retention returns how long surplus machines are kept in their pool, to be passed on to the next
// holder.
func (s *Sizer) Retention(now time.Duration) time.Duration { return s.retention.current(now) }

// SetRetention sets the retention that the previous holder had learnt; 0: unknown.
func (s *Sizer) SetRetention(span, now time.Duration) {
	s.retention = retention{period: min(max(span, minRetention), maxRetention), lastChanged: now}
}

// RecordLoad records a load report of a pool's owner.
func (s *Sizer) RecordLoad(l gauge.PoolLoad, now time.Duration) {
	old, ok := s.loads[l.Pool]
	if ok && l.ArrivedCoreSeconds >= old.ArrivedCoreSeconds {
		s.arrivals[l.Pool] = s.arrivals[l.Pool].add(arrival{at: now, previous: old.receivedAt, coreSeconds: l.ArrivedCoreSeconds - old.ArrivedCoreSeconds, jobs: l.ArrivedJobs - old.ArrivedJobs})
	}
	workers := make(map[string]gauge.WorkerLoad, len(l.Workers))
	for _, w := range l.Workers {
		workers[w.ID] = w
		s.longRunning[w.ID] = w.LongRunning
	}
	for id := range old.workers {
		if _, listed := workers[id]; !listed {
			delete(s.longRunning, id)
		}
	}
	s.loads[l.Pool] = load{PoolLoad: l, receivedAt: now, workers: workers}
}

// SetMachines replaces the list of machines and the standby pools. RequestedAt is when the list was
// requested.
func (s *Sizer) SetMachines(list []gauge.Machine, standby []string, requestedAt time.Duration) {
	clear(s.machines)
	for _, m := range list {
		s.machines[m.ID] = m
	}
	s.standbyPools = standby
	for id, v := range s.moves {
		m, listed := s.machines[id]
		switch {
		case !listed, m.Pool == v.To && m.State == gauge.MachineUp:
			delete(s.moves, id)
		case v.unanswered || v.orderedAt > 0 && requestedAt < v.orderedAt+listDelay:
		case v.orderedAt > 0 && m.State == gauge.MachineUp && m.Pool == v.From:
			delete(s.moves, id) // refused, or lost with a restart: choose again
		}
	}
}

// IsMoving reports whether the machine is on its way to another pool.
func (s *Sizer) IsMoving(machine string) bool { return s.moves[machine] != nil }

// LongRunningTasks returns how many long-running tasks run on the worker, according to the latest
// loads.
func (s *Sizer) LongRunningTasks(worker string) int { return s.longRunning[worker] }

// IsShort reports whether the pool is short of machines for its current work.
func (s *Sizer) IsShort(pool string) bool {
	return s.loads[pool].Timely.WaitingCores > 0 || s.shortfall(pool) > 0
}

// MarkInFlight records that a call for a machine's move is in flight: the request to drain it, or
// the order to move it.
func (s *Sizer) MarkInFlight(machine string) {
	if v := s.moves[machine]; v != nil {
		v.inFlight = true
	}
}

// SetDrained records whether nothing runs on a machine, as its pool's owner reported.
func (s *Sizer) SetDrained(machine string, drained bool) {
	if v := s.moves[machine]; v != nil {
		v.Drained, v.inFlight = drained, false
	}
}

// Postpone records that a drained machine isn't ordered yet. Runs may start there soon, so its
// pool's owner has to be asked again; on a standby machine none do, nor on one whose order may have
// been carried out.
func (s *Sizer) Postpone(machine string) {
	if v := s.moves[machine]; v != nil && !v.unanswered {
		v.Drained = slices.Contains(s.standbyPools, v.From)
	}
}

// RecordOrder records the result of an order.
func (s *Sizer) RecordOrder(machine string, err error, now time.Duration) {
	v := s.moves[machine]
	if v == nil {
		return
	}
	v.unanswered = gauge.IsKind(err, gauge.KindUnknown)
	v.orderedAt = now
	if err != nil && !v.unanswered {
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

// IsInFlight reports whether a call for the move is in flight.
func (m Move) IsInFlight() bool { return m.inFlight }

// Next returns the machines to drain and the moves to order, the most urgent first. IsTaken reports whether a machine is
// reserved by a wave or may not be ordered yet; isPending reports whether a wave will take it,
// which makes it a less suitable choice.
func (s *Sizer) Next(now time.Duration, isTaken, isPending func(machine string) bool) []Move {
	s.isPending = isPending
	s.expireMoves(now)
	if len(s.machines) == 0 {
		return nil
	}
	s.index = s.buildIndex()
	pools := s.poolNames()
	s.updateWanted(pools, now)
	s.chooseMoves(pools, now, isTaken)
	out := make([]Move, 0, len(s.moves))
	for _, v := range s.moves {
		if v.orderedAt == 0 || v.unanswered {
			out = append(out, *v)
		}
	}
	slices.SortFunc(out, func(a, b Move) int { return cmp.Or(s.compareUrgency(a, b), cmp.Compare(a.Machine, b.Machine)) })
	return out
}

// compareUrgency orders moves to a pool, where work waits, before those to standby.
func (s *Sizer) compareUrgency(a, b Move) int {
	rank := func(m Move) int {
		if slices.Contains(s.standbyPools, m.To) {
			return 1
		}
		return 0
	}
	return cmp.Compare(rank(a), rank(b))
}

func (s *Sizer) expireMoves(now time.Duration) {
	for id, v := range s.moves {
		if v.orderedAt == 0 && !v.inFlight && now-v.chosenAt > drainTimeout {
			s.conf.Logs.Info("move cancelled: machine not drained in time", "machine", id, "from", v.From, "to", v.To)
			delete(s.moves, id)
		}
	}
}

// poolNames lists the pools that have reported a load, sorted by name.
func (s *Sizer) poolNames() []string {
	var names []string
	for n := range s.loads {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// assigned returns how many machines stay in the pool or are on their way to it.
func (s *Sizer) assigned(pool string) int { return s.index.assigned[pool] }
