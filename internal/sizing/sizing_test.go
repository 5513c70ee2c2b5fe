package sizing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

type harness struct {
	sizer    *sizing.Sizer
	machines []gauge.Machine
	now      time.Duration
}

func never(string) bool { return false }

func newHarness(counts map[string]int) *harness {
	g := &harness{sizer: sizing.New(sizing.Config{Logs: logr.Discard()}), now: time.Second}
	for pool, n := range counts {
		for i := range n {
			id := fmt.Sprintf("%s-%02d", pool, i)
			g.machines = append(g.machines, gauge.Machine{
				ID: id, Pool: pool, State: gauge.MachineUp, Worker: "i-" + id, Capacity: gauge.Resources{MilliCPU: 16000},
			})
		}
	}
	g.list()
	return g
}

func (g *harness) list() { g.sizer.SetMachines(g.machines, []string{"spare"}, g.now) }

// load reports a load of a pool whose machines all run something; the given number of them run
// long-running tasks.
func (g *harness) load(l gauge.PoolLoad, longRunning int) {
	for i, m := range g.machines {
		if m.Pool == l.Pool {
			w := gauge.WorkerLoad{ID: m.Worker, Runs: 1 + i%3}
			if longRunning > 0 {
				w.LongRunning = 1
				longRunning--
			}
			l.Workers = append(l.Workers, w)
		}
	}
	g.sizer.RecordLoad(l, g.now)
}

func (g *harness) next() []sizing.Move { return g.sizer.Next(g.now, never, never) }

func countTo(moves []sizing.Move, pool string) int {
	n := 0
	for _, m := range moves {
		if m.To == pool {
			n++
		}
	}
	return n
}

// At its peak one queue needs five times its mean for some seconds while the others are nearly
// idle; a fixed split would leave it short of half its demand.
func TestMachinesGoToThePoolAtItsPeak(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "b": 9, "spare": 8})
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{RunningCores: 140, WaitingCores: 210}}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{RunningCores: 5}}, 0)
	moves := g.next()
	assert.Equal(t, countTo(moves, "a"), 8+6, "all from standby, and what b has above its base")
	for _, m := range moves {
		assert.Equal(t, m.Drained, m.From == "spare", "a machine in use is drained first")
	}
}

func TestMachinesWithLongRunningTasksStay(t *testing.T) {
	g := newHarness(map[string]int{"a": 4, "b": 9})
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{WaitingCores: 300}}, 0)
	g.load(gauge.PoolLoad{Pool: "b", LongRunningCores: 10}, 9)
	assert.Equal(t, countTo(g.next(), "a"), 0)
}

// Two pools that need more machines than there are share them; the first one doesn't take all.
func TestPoolsThatAreBothShortShareTheMachines(t *testing.T) {
	g := newHarness(map[string]int{"a": 3, "b": 3, "spare": 20})
	for _, pool := range []string{"a", "b"} {
		g.load(gauge.PoolLoad{Pool: pool, Timely: gauge.Demand{WaitingCores: 400}}, 0)
	}
	moves := g.next()
	assert.Equal(t, countTo(moves, "a"), 10)
	assert.Equal(t, countTo(moves, "b"), 10)
}

func TestLateWorkComesAfterTimelyWork(t *testing.T) {
	g := newHarness(map[string]int{"a": 3, "b": 3, "spare": 10})
	g.load(gauge.PoolLoad{Pool: "a", Late: gauge.Demand{WaitingCores: 400}}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 96}}, 0)
	assert.Equal(t, countTo(g.next(), "b"), 5, "96 cores with headroom are eight machines, three are there")
}

// A surplus goes to standby only after a while, so that a short dip in demand moves nothing.
func TestSurplusIsKeptForAWhile(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "spare": 1})
	for range 35 {
		g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{RunningCores: 5}}, 0)
		assert.Equal(t, len(g.next()), 0)
		g.now += 100 * time.Millisecond
	}
	g.now += time.Second
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{RunningCores: 5}}, 0)
	assert.Equal(t, countTo(g.next(), "spare"), 6)
}

// roundTrip lets pool a need machines for a second, and then none until it gives some away; it
// returns how long that took.
func (g *harness) roundTrip(t *testing.T) time.Duration {
	t.Helper()
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{WaitingCores: 100}}, 0)
	moves := g.next()
	assert.Assert(t, len(moves) > 0, "machines come from standby")
	g.carryOut(moves)
	g.now += time.Second
	for began := g.now; ; g.now += 100 * time.Millisecond {
		g.load(gauge.PoolLoad{Pool: "a"}, 0)
		if moves := g.next(); countTo(moves, "spare") > 0 {
			g.carryOut(moves)
			return g.now - began
		}
	}
}

// carryOut completes the moves: the machines arrive in their new pools.
func (g *harness) carryOut(moves []sizing.Move) {
	for _, v := range moves {
		g.sizer.SetDrained(v.Machine, true)
		g.sizer.RecordOrder(v.Machine, nil, g.now)
		for i := range g.machines {
			if g.machines[i].ID == v.Machine {
				g.machines[i].Pool = v.To
			}
		}
	}
	g.now += 500 * time.Millisecond
	g.list()
}

// Machines that go to standby at the end of one queue's peak are needed again seconds later for the
// next. Each round trip takes two moves of 1.5 s.
func TestSurplusIsKeptLongerWhereItIsNeededAgainSoon(t *testing.T) {
	g := newHarness(map[string]int{"a": 3, "spare": 9})
	var periods []time.Duration
	for range 6 {
		g.now += 5 * time.Second
		periods = append(periods, g.roundTrip(t))
	}
	assert.Assert(t, periods[0] < 5*time.Second, periods)
	assert.Assert(t, periods[1] > 7*time.Second && periods[2] > 15*time.Second, periods)
	assert.Assert(t, periods[5] > 29*time.Second && periods[5] < 31*time.Second, "%s: not for ever", periods)
}

func TestSurplusIsGivenAwaySoonWhereItIsNotNeededAgain(t *testing.T) {
	g := newHarness(map[string]int{"a": 3, "spare": 9})
	for range 4 {
		g.now += 3 * time.Minute
		assert.Assert(t, g.roundTrip(t) < 5*time.Second)
	}
}

func TestNextHolderTakesOverTheRetention(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "spare": 1})
	g.sizer.SetRetention(16*time.Second, g.now)
	assert.Equal(t, g.sizer.Retention(g.now), 16*time.Second)
	assert.Equal(t, g.sizer.Retention(g.now+longAfter), 8*time.Second, "nothing was taken back for long")
	g.sizer.SetRetention(time.Hour, g.now)
	assert.Equal(t, g.sizer.Retention(g.now), 30*time.Second)
	g.sizer.SetRetention(0, g.now)
	assert.Equal(t, g.sizer.Retention(g.now), 4*time.Second)
}

// longAfter is longer than the learnt retention lasts without a machine being taken back.
const longAfter = 3 * time.Minute

// A pool whose owner reports no load keeps its machines.
func TestPoolWithoutARecentLoadIsNotResized(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "b": 9})
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.now += 10 * time.Second
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 400}}, 0)
	assert.Equal(t, len(g.next()), 0)
}

// Guards against a machine that is ordered to two pools. A move gets no answer and the list still
// shows the machine in its old pool; the move was forgotten before its result was known.
func TestUnansweredMoveIsOrderedAgainUnchanged(t *testing.T) {
	g := newHarness(map[string]int{"a": 3, "spare": 1})
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{WaitingCores: 100}}, 0)
	first := g.next()
	assert.Equal(t, len(first), 1)
	g.sizer.RecordOrder(first[0].Machine, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.now += time.Second
	g.list()
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	again := g.next()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].To, "a")
}

// idleUntilSurplus lets two pools be idle until they give machines away.
func (g *harness) idleUntilSurplus() []sizing.Move {
	idle := func() []sizing.Move {
		g.load(gauge.PoolLoad{Pool: "a"}, 0)
		g.load(gauge.PoolLoad{Pool: "b"}, 0)
		return g.next()
	}
	idle()
	g.now += 4100 * time.Millisecond
	return idle()
}

// When the peak moves from one pool to another, surplus machines go there directly: by way of
// standby they would move twice.
func TestSurplusOnItsWayToStandbyIsRedirected(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "b": 3, "spare": 0})
	assert.Equal(t, countTo(g.idleUntilSurplus(), "spare"), 6)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 200}}, 0)
	moves := g.next()
	assert.Equal(t, countTo(moves, "b"), 6)
	assert.Equal(t, countTo(moves, "spare"), 0)
}

// Guards against a machine that goes to the wrong pool or is ordered twice. Its order to move to
// standby is in flight when another pool needs machines; the move was changed in spite of that.
func TestMoveInFlightIsNotRedirected(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "b": 3, "spare": 0})
	moves := g.idleUntilSurplus()
	assert.Equal(t, countTo(moves, "spare"), 6)
	for _, m := range moves {
		g.sizer.MarkInFlight(m.Machine)
	}
	g.now += 5 * time.Second
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 200}}, 0)
	assert.Equal(t, countTo(g.next(), "spare"), 6, "neither redirected nor given up")
	for _, m := range moves {
		g.sizer.SetDrained(m.Machine, false)
	}
	assert.Equal(t, countTo(g.next(), "spare"), 0)
}

// Guards against a pool that gives away machines it still needs. Demand falls from 600 cores to 220
// within two seconds, and the fall was extrapolated as a rise is. The last five of twenty rounds, a
// tenth of a second apart, bring 130 core-seconds within half a second, which is 260 cores; with a
// quarter more that is 20.3 machines of 16 cores.
func TestFallingDemandIsNotExtrapolated(t *testing.T) {
	g := newHarness(map[string]int{"a": 40, "spare": 1})
	wanted := 0
	g.sizer = sizing.New(sizing.Config{Logs: funcr.New(func(_, line string) {
		if _, rest, found := strings.Cut(line, `"machines"=`); found {
			_, err := fmt.Sscan(rest, &wanted)
			assert.NilError(t, err)
		}
	}, funcr.Options{})})
	g.list()
	arrived := 0.0
	for i := range 20 {
		g.now += 100 * time.Millisecond
		arrived += 60 - 2*float64(i)
		g.load(gauge.PoolLoad{Pool: "a", ArrivedCoreSeconds: arrived}, 0)
		g.next()
	}
	assert.Assert(t, wanted > 20, "%d machines", wanted)
}

// Guards against a pool that waits at its peak for three to four seconds for machines of a pool
// whose own peak is over. A machine is drained once its longest run ends; machines with the fewest
// runs went first, no matter how much time those runs had left.
func TestMachinesThatDrainSoonestMove(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "b": 3})
	l := gauge.PoolLoad{Pool: "a"}
	for i := range 9 {
		l.Workers = append(l.Workers, gauge.WorkerLoad{
			ID: fmt.Sprintf("i-a-%02d", i), Runs: 1 + i%3, RemainingTime: time.Duration(9-i) * 100 * time.Millisecond,
		})
	}
	g.sizer.RecordLoad(l, g.now)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 70}}, 0)
	var moved []string
	for _, m := range g.next() {
		moved = append(moved, m.Machine)
	}
	assert.DeepEqual(t, moved, []string{"a-06", "a-07", "a-08"})
}
