package sizing_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// newRatedHarness is newHarness with a machine service that takes some orders in a second.
func newRatedHarness(counts map[string]int, rate float64) *harness {
	g := newHarness(counts)
	g.sizer = sizing.New(sizing.Config{MaxOrderRate: rate, Logs: logr.Discard()})
	g.list()
	return g
}

// surplusRound has pool a idle for longer than its surplus is kept, and returns the moves then and
// how often a machine was looked at to find them.
func (g *harness) surplusRound() (moves []sizing.Move, looks int) {
	g.sizer.RecordLoad(gauge.PoolLoad{Pool: "a"}, g.now)
	g.next()
	g.now += 5 * time.Second
	g.sizer.RecordLoad(gauge.PoolLoad{Pool: "a"}, g.now)
	moves = g.sizer.Next(g.now, func(string) bool { looks++; return false }, never)
	return moves, looks
}

// Guards against moves that come to nothing: with thousands of idle machines all of them were chosen
// at once, some hundred were ordered in a second, and the rest expired and were chosen again.
func TestSurplusIsChosenAtTheRateOfOrders(t *testing.T) {
	for _, machines := range []int{1_000, 4_000} {
		g := newRatedHarness(map[string]int{"a": machines, "spare": 1}, 100)
		moves, _ := g.surplusRound()
		assert.Equal(t, countTo(moves, "spare"), 100)
		assert.Equal(t, countTo(g.next(), "spare"), 100, "those that wait for their order count")
	}
}

func TestMachinesFromStandbyAreChosenAtTheRateOfOrders(t *testing.T) {
	g := newRatedHarness(map[string]int{"a": 3, "spare": 4_000}, 100)
	g.load(gauge.PoolLoad{Pool: "a", Timely: gauge.Demand{WaitingCores: 10_000}}, 0)
	assert.Equal(t, countTo(g.next(), "a"), 100)
	g.carryOut(g.next())
	assert.Equal(t, countTo(g.next(), "a"), 100)
}

// A pool with work that waits gets its machines before others are sent to standby.
func TestMovesToPoolsComeBeforeMovesToStandby(t *testing.T) {
	g := newRatedHarness(map[string]int{"a": 50, "b": 3, "spare": 5}, 10)
	g.surplusRound()
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 80}}, 0)
	moves := g.next()
	assert.Assert(t, countTo(moves, "b") > 0 && countTo(moves, "spare") > 0)
	for i, m := range moves {
		assert.Equal(t, m.To == "b", i < countTo(moves, "b"))
	}
}

// Guards against a round that grows with the square of a pool: each chosen machine was searched for
// among all machines of its pool.
func TestChoosingMachinesLooksAtEachOnce(t *testing.T) {
	looksOf := func(machines int) int {
		g := newHarness(map[string]int{"a": machines, "spare": 1})
		moves, looks := g.surplusRound()
		assert.Equal(t, countTo(moves, "spare"), machines-3)
		return looks
	}
	assert.Assert(t, looksOf(2_000) <= 2*looksOf(1_000))
}

// Guards against work that is killed by a move: a machine was drained, waited for its order longer
// than its pool's owner keeps it drained, and was ordered all the same.
func TestPostponedOrderIsDrainedAgain(t *testing.T) {
	g := newHarness(map[string]int{"a": 9, "b": 3, "spare": 1})
	g.surplusRound()
	m := g.next()[0]
	g.sizer.SetDrained(m.Machine, true)
	g.sizer.Postpone(m.Machine)
	for _, again := range g.next() {
		assert.Assert(t, !again.Drained)
	}
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 500}}, 0)
	for _, fromStandby := range g.next() {
		if fromStandby.From == "spare" {
			g.sizer.Postpone(fromStandby.Machine)
		}
	}
	for _, m := range g.next() {
		assert.Equal(t, m.Drained, m.From == "spare", "nothing runs on a standby machine")
	}
}

// Guards against a pool in which tasks wait beside idle cores, as its long-running tasks take up the
// memory of its machines.
func TestRoomOfLongRunningTasksCountsBesideTheirCores(t *testing.T) {
	for _, tt := range []struct {
		name string
		load gauge.PoolLoad
		want int // machines beyond the first three
	}{
		{"cores", gauge.PoolLoad{LongRunningCores: 160, LongRunningRoom: 160}, 11},                                                                                  // with headroom 12.5, and one more
		{"memory, but nothing waits", gauge.PoolLoad{LongRunningCores: 80, LongRunningRoom: 320}, 5},                                                                // 6.25, and one more
		{"work waits for memory", gauge.PoolLoad{LongRunningCores: 80, LongRunningRoom: 320, Timely: gauge.Demand{WaitingCores: 16}, LongestWait: time.Second}, 20}, // and 15
		{"work has just come", gauge.PoolLoad{LongRunningCores: 80, LongRunningRoom: 320, Timely: gauge.Demand{WaitingCores: 16}}, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(map[string]int{"a": 3, "spare": 60})
			tt.load.Pool = "a"
			g.load(tt.load, 0)
			assert.Equal(t, countTo(g.next(), "a"), tt.want)
		})
	}
}

// Guards against a pool at its peak that lacks machines which others keep for the memory of their
// long-running tasks: where machines are scarce, work that can be in time comes first.
func TestTimelyWorkComesBeforeMemoryOfLongRunningTasks(t *testing.T) {
	g := newHarness(map[string]int{"a": 20, "b": 3})
	g.load(gauge.PoolLoad{Pool: "a", LongRunningCores: 32, LongRunningRoom: 320, Timely: gauge.Demand{WaitingCores: 1}, LongestWait: time.Second}, 2)
	g.load(gauge.PoolLoad{Pool: "b", Timely: gauge.Demand{WaitingCores: 400}}, 0)
	assert.Equal(t, countTo(g.next(), "b"), 16, "all but the four for the cores of its tasks")
}
