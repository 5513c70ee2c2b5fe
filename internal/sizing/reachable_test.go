package sizing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// Each machine has 16 cores.
func TestReachableCores(t *testing.T) {
	busy := func(pool string, cores float64) gauge.PoolLoad {
		return gauge.PoolLoad{Pool: pool, Timely: gauge.Demand{RunningCores: cores}}
	}
	for _, tt := range []struct {
		name        string
		machines    map[string]int
		loads       []gauge.PoolLoad
		longRunning int
		change      func(g *harness)
		want        map[string]int // machines
	}{
		{name: "own and standby", machines: map[string]int{"a": 4, "spare": 5}, loads: []gauge.PoolLoad{busy("a", 10)}, want: map[string]int{"a": 9}},
		{name: "surplus of another", machines: map[string]int{"a": 4, "b": 9}, loads: []gauge.PoolLoad{busy("a", 51), busy("b", 1)}, want: map[string]int{"a": 10, "b": 9}},
		{name: "what another needs", machines: map[string]int{"a": 4, "b": 9}, loads: []gauge.PoolLoad{busy("a", 51), busy("b", 115)}, want: map[string]int{"a": 4, "b": 9}},
		{name: "moves that were chosen", machines: map[string]int{"a": 4, "spare": 5}, loads: []gauge.PoolLoad{busy("a", 1000)}, want: map[string]int{"a": 9}},
		{name: "two that are short share", machines: map[string]int{"a": 3, "b": 3, "spare": 10}, loads: []gauge.PoolLoad{busy("a", 1000), busy("b", 1000)}, want: map[string]int{"a": 8, "b": 8}},
		{name: "machines with long-running tasks stay", machines: map[string]int{"a": 4, "b": 9}, loads: []gauge.PoolLoad{busy("a", 51), {Pool: "b", LongRunningCores: 1}}, longRunning: 9, want: map[string]int{"a": 4, "b": 9}},
		{name: "machines that are down", machines: map[string]int{"a": 4, "spare": 5}, loads: []gauge.PoolLoad{busy("a", 10)}, change: func(g *harness) {
			for i := range g.machines[:2] {
				g.machines[i].State = gauge.MachineDown
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(tt.machines)
			if tt.change != nil {
				tt.change(g)
				g.list()
			}
			for _, l := range tt.loads {
				g.load(l, tt.longRunning)
			}
			g.next()
			got := g.sizer.Reachable(g.now)
			if tt.want == nil {
				assert.Equal(t, got["a"], 7*16000)
				return
			}
			for pool, machines := range tt.want {
				assert.Equal(t, got[pool], machines*16000, pool)
			}
		})
	}
}

// Guards against refusals by a figure that nobody knows: before the first round, and for a pool whose
// owner doesn't report.
func TestReachableCoresAreUnknownWithoutLoads(t *testing.T) {
	g := newHarness(map[string]int{"a": 4, "b": 4})
	assert.Equal(t, len(g.sizer.Reachable(g.now)), 0)
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.next()
	_, known := g.sizer.Reachable(g.now)["b"]
	assert.Assert(t, !known)
	g.now += 3 * time.Second
	assert.Equal(t, len(g.sizer.Reachable(g.now)), 0)
	assert.Equal(t, len(sizing.New(sizing.Config{}).Reachable(0)), 0)
}
