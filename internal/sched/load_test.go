package sched_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
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
