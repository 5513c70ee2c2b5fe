package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against load reports that grow with the pool: ten times a second the fleet lease holder was
// sent all of a pool's workers, most of which were idle.
func TestLoadListsNoIdleWorkers(t *testing.T) {
	for _, idle := range []int{10, 1_000} {
		g := newHarness(t)
		ids := []string{"busy", "silent"}
		for i := range idle {
			ids = append(ids, fmt.Sprintf("idle-%d", i))
		}
		g.listWorkers(ids...)
		for _, id := range ids {
			if id != "silent" {
				g.report(id, nil)
			}
		}
		g.pool.DrainWorker("busy", false, g.now) // takes no starts
		var listed []string
		for _, w := range g.pool.Load(g.now).Workers {
			listed = append(listed, w.ID)
		}
		assert.DeepEqual(t, listed, []string{"busy", "silent"})
	}
}

// Guards against a pool in which tasks wait beside idle cores: it was sized by cores alone, and its
// long-running tasks took up the memory of all of its workers.
func TestLoadCountsMemoryThatIsScarcerThanCores(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2") // 4 cores and 8 GB each
	lasting := gauge.Step{Count: 3, Needs: gauge.Resources{MilliCPU: 500, MemoryMB: 4000}, LongRunning: true}
	short := gauge.Step{Count: 2, Needs: gauge.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}
	g.adopt(1, false, lasting)
	g.adopt(2, false, short)
	l := g.pool.Load(g.now)
	assert.Equal(t, l.LongRunningCores, 1.5)
	assert.Equal(t, l.LongRunningRoom, 6.0)
	assert.Equal(t, l.Timely.WaitingCores+l.Late.WaitingCores, 4.0)
	assert.Equal(t, l.ArrivedCoreSeconds, 4.0)
}
