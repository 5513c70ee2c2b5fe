package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against a pool in which every job fails. One worker fails whatever it starts, and so has
// room again at once, until each job has used up its attempts there. Failures of different jobs
// count against the worker as well.
func TestWorkerThatFailsDifferentJobsBacksOff(t *testing.T) {
	g := newHarness(t)
	ids := []string{"w1", "w2", "w3", "w4"}
	g.listWorkers(ids...)
	for _, id := range ids {
		g.report(id, nil)
	}
	var bad string
	failed := make(map[string]bool)
	for n := 1; len(failed) < 3; n++ {
		assert.Assert(t, n < 100, "the fullest worker must get the tasks")
		g.adopt(n, false, newStep(1))
		for _, o := range g.planStarts() {
			g.confirm([]sched.Order{o})
			if bad == "" {
				bad = o.Worker.ID
			}
			if o.Worker.ID == bad {
				failed[o.Start.Task.Job] = true
				g.report(bad, nil, g.endReport(bad, o.Start.Task, o.Start.Run, gauge.EndFailed))
			}
		}
	}
	for n := 101; n < 105; n++ {
		g.adopt(n, false, newStep(1))
	}
	for _, o := range g.planStarts() {
		assert.Assert(t, o.Worker.ID != bad)
	}
	g.advance(3 * time.Second)
	for _, id := range ids {
		g.report(id, nil)
	}
	g.adopt(200, false, newStep(4))
	tried := false
	for _, o := range g.planStarts() {
		tried = tried || o.Worker.ID == bad
	}
	assert.Assert(t, tried, "it gets tasks again after the pause")
}
