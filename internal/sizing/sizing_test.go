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

type rig struct {
	sizer    *sizing.Sizer
	machines []gauge.Machine
	now      time.Duration
}

func never(string) bool { return false }

func newRig(counts map[string]int) *rig {
	g := &rig{sizer: sizing.New(sizing.Config{Logs: logr.Discard()}), now: time.Second}
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

func (g *rig) list() { g.sizer.Machines(g.machines, []string{"spare"}, g.now) }

// load tells of a pool whose machines all run something, the first so many of
// them lasting tasks.
func (g *rig) load(l gauge.PoolLoad, lasting int) {
	for i, m := range g.machines {
		if m.Pool == l.Pool {
			w := gauge.WorkerLoad{ID: m.Worker, Runs: 1 + i%3}
			if lasting > 0 {
				w.Lasting = 1
				lasting--
			}
			l.Workers = append(l.Workers, w)
		}
	}
	g.sizer.Load(l, g.now)
}

func (g *rig) next() []sizing.Move { return g.sizer.Next(g.now, never, never) }

func to(moves []sizing.Move, pool string) int {
	n := 0
	for _, m := range moves {
		if m.To == pool {
			n++
		}
	}
	return n
}

// The pattern: one queue asks for five times its mean for some seconds while the
// others are nearly idle. A fixed split leaves it short of half its demand.
func TestMachinesGoToThePoolInItsTurn(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "b": 9, "spare": 8})
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{Busy: 140, Waiting: 210}}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{Busy: 5}}, 0)
	moves := g.next()
	assert.Equal(t, to(moves, "a"), 8+6, "all from standby, and what b has above its base")
	for _, m := range moves {
		assert.Equal(t, m.Empty, m.From == "spare", "a machine in use is emptied first")
	}
}

func TestMachinesWithLastingTasksStay(t *testing.T) {
	g := newRig(map[string]int{"a": 4, "b": 9})
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{Waiting: 300}}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Lasting: 10}, 9)
	assert.Equal(t, to(g.next(), "a"), 0)
}

// Two pools that ask for more than there is share it, rather than the first one
// taking all.
func TestPoolsThatAreBothShortShare(t *testing.T) {
	g := newRig(map[string]int{"a": 3, "b": 3, "spare": 20})
	for _, pool := range []string{"a", "b"} {
		g.load(gauge.PoolLoad{Pool: pool, Timely: gauge.Demand{Waiting: 400}}, 0)
	}
	moves := g.next()
	assert.Equal(t, to(moves, "a"), 10)
	assert.Equal(t, to(moves, "b"), 10)
}

func TestLateWorkComesAfterTimelyWork(t *testing.T) {
	g := newRig(map[string]int{"a": 3, "b": 3, "spare": 10})
	g.load(gauge.PoolLoad{Pool: "a", Late: gauge.Demand{Waiting: 400}}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{Waiting: 96}}, 0)
	assert.Equal(t, to(g.next(), "b"), 5, "96 cores with headroom are eight machines, three are there")
}

// Surplus goes to standby only after a while, so that a short lull moves nothing.
func TestSurplusIsKeptForAWhile(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "spare": 1})
	for range 35 {
		g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{Busy: 5}}, 0)
		assert.Equal(t, len(g.next()), 0)
		g.now += 100 * time.Millisecond
	}
	g.now += time.Second
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{Busy: 5}}, 0)
	assert.Equal(t, to(g.next(), "spare"), 6)
}

// trip lets pool a want machines for a second, and then none until it gives some away;
// it returns how long that took.
func (g *rig) trip(t *testing.T) time.Duration {
	t.Helper()
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{Waiting: 100}}, 0)
	moves := g.next()
	assert.Assert(t, len(moves) > 0, "machines come from standby")
	g.carryOut(moves)
	g.now += time.Second
	for began := g.now; ; g.now += 100 * time.Millisecond {
		g.load(gauge.PoolLoad{Pool: "a"}, 0)
		if moves := g.next(); to(moves, "spare") > 0 {
			g.carryOut(moves)
			return g.now - began
		}
	}
}

// carryOut has machines arrive where they are sent.
func (g *rig) carryOut(moves []sizing.Move) {
	for _, v := range moves {
		g.sizer.Emptied(v.Machine, true)
		g.sizer.Ordered(v.Machine, nil, g.now)
		for i := range g.machines {
			if g.machines[i].ID == v.Machine {
				g.machines[i].Pool = v.To
			}
		}
	}
	g.now += 500 * time.Millisecond
	g.list()
}

// The pattern: machines that go to standby at the end of one queue's turn are wanted
// back seconds later for the next one's. Grounds: a trip takes two moves of 1.5 s.
func TestSurplusIsKeptLongerWhereItIsWantedBack(t *testing.T) {
	g := newRig(map[string]int{"a": 3, "spare": 9})
	var spans []time.Duration
	for range 6 {
		g.now += 5 * time.Second
		spans = append(spans, g.trip(t))
	}
	assert.Assert(t, spans[0] < 5*time.Second, spans)
	assert.Assert(t, spans[1] > 7*time.Second && spans[2] > 15*time.Second, spans)
	assert.Assert(t, spans[5] > 29*time.Second && spans[5] < 31*time.Second, "%s: not for ever", spans)
}

func TestSurplusIsGivenAwaySoonWhereItIsNotWantedBack(t *testing.T) {
	g := newRig(map[string]int{"a": 3, "spare": 9})
	for range 4 {
		g.now += 3 * time.Minute
		assert.Assert(t, g.trip(t) < 5*time.Second)
	}
}

func TestNextHolderKeepsSurplusAsLongAsTheOneBefore(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "spare": 1})
	g.sizer.Learnt(16*time.Second, g.now)
	assert.Equal(t, g.sizer.Kept(g.now), 16*time.Second)
	assert.Equal(t, g.sizer.Kept(g.now+forget), 8*time.Second, "nothing was taken back for long")
	g.sizer.Learnt(time.Hour, g.now)
	assert.Equal(t, g.sizer.Kept(g.now), 30*time.Second)
	g.sizer.Learnt(0, g.now)
	assert.Equal(t, g.sizer.Kept(g.now), 4*time.Second)
}

// forget is longer than what was learnt is kept.
const forget = 3 * time.Minute

// A pool whose owner doesn't tell is left as it is.
func TestPoolWithoutAFreshLoadIsLeftAlone(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "b": 9})
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.now += 10 * time.Second
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{Waiting: 400}}, 0)
	assert.Equal(t, len(g.next()), 0)
}

// Symptom: a machine is ordered to one pool and, since the answer was lost, to
// another.
// Sequence: a move gets no answer; the list still shows the machine where it was.
// Cause: the move is forgotten before it is known what came of it.
func TestUnansweredMoveIsAskedAgainAsItWas(t *testing.T) {
	g := newRig(map[string]int{"a": 3, "spare": 1})
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{Waiting: 100}}, 0)
	first := g.next()
	assert.Equal(t, len(first), 1)
	g.sizer.Ordered(first[0].Machine, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.now += time.Second
	g.list()
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	again := g.next()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].To, "a")
}

// surplus lets two pools be idle until they give machines away.
func (g *rig) surplus() []sizing.Move {
	idle := func() []sizing.Move {
		g.load(gauge.PoolLoad{Pool: "a"}, 0)
		g.load(gauge.PoolLoad{Pool: "b"}, 0)
		return g.next()
	}
	idle()
	g.now += 4100 * time.Millisecond
	return idle()
}

// While a pool moves from its turn to the next one's, its machines go straight
// there: by way of standby they would move twice.
func TestSurplusOnItsWayToStandbyIsRedirected(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "b": 3, "spare": 0})
	assert.Equal(t, to(g.surplus(), "spare"), 6)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{Waiting: 200}}, 0)
	moves := g.next()
	assert.Equal(t, to(moves, "b"), 6)
	assert.Equal(t, to(moves, "spare"), 0)
}

// Symptom: a machine goes to the wrong pool, or is ordered twice.
// Sequence: a machine is on its way to standby, its order under way; another pool
// wants machines.
// Cause: a move was changed while its order was under way.
func TestMoveUnderWayIsNotRedirected(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "b": 3, "spare": 0})
	moves := g.surplus()
	assert.Equal(t, to(moves, "spare"), 6)
	for _, m := range moves {
		g.sizer.Begun(m.Machine)
	}
	g.now += 5 * time.Second
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{Waiting: 200}}, 0)
	assert.Equal(t, to(g.next(), "spare"), 6, "neither redirected nor given up")
	for _, m := range moves {
		g.sizer.Emptied(m.Machine, false)
	}
	assert.Equal(t, to(g.next(), "spare"), 0)
}

// Symptom: a pool gives machines away that its work needs still.
// Sequence: demand falls, from 600 cores to 220 within two seconds.
// Cause: a fall was expected to go on, as a rise is.
// Grounds: the last five of twenty rounds, a tenth of a second apart, bring 130
// core-seconds within half a second, which is 260 cores; with a quarter more, 20.3
// machines of 16.
func TestFallingDemandIsNotExtrapolated(t *testing.T) {
	g := newRig(map[string]int{"a": 40, "spare": 1})
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
		g.load(gauge.PoolLoad{Pool: "a", Arrived: arrived}, 0)
		g.next()
	}
	assert.Assert(t, wanted > 20, "%d machines", wanted)
}

// Symptom: a pool in its turn waits three to four seconds for machines of a pool whose own
// turn is over.
// Sequence: the machines are emptied by the end of what runs there, of which the longest
// takes as long as the longest task; those with the fewest runs go first.
// Cause: what is left of the runs didn't count.
func TestMachinesThatGetEmptyFirstMove(t *testing.T) {
	g := newRig(map[string]int{"a": 9, "b": 3})
	l := gauge.PoolLoad{Pool: "a"}
	for i := range 9 {
		l.Workers = append(l.Workers, gauge.WorkerLoad{
			ID: fmt.Sprintf("i-a-%02d", i), Runs: 1 + i%3, Busy: time.Duration(9-i) * 100 * time.Millisecond,
		})
	}
	g.sizer.Load(l, g.now)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{Waiting: 70}}, 0)
	var moved []string
	for _, m := range g.next() {
		moved = append(moved, m.Machine)
	}
	assert.DeepEqual(t, moved, []string{"a-06", "a-07", "a-08"})
}
