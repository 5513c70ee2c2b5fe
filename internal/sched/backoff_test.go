package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Symptom: every job of a pool fails.
// Sequence: one worker fails whatever it starts, and so has room at once again; each
// job's attempts are used up there.
// Cause: failures were counted against jobs only.
func TestWorkerThatFailsDifferentJobsRests(t *testing.T) {
	g := newRig(t)
	ids := []string{"w1", "w2", "w3", "w4"}
	g.list(ids...)
	for _, id := range ids {
		g.hear(id, nil)
	}
	var bad string
	failed := make(map[string]bool)
	for n := 1; len(failed) < 3; n++ {
		assert.Assert(t, n < 100, "the fullest worker gets the tasks")
		g.adopt(n, false, step(1))
		for _, o := range g.starts() {
			g.ok([]sched.Order{o})
			if bad == "" {
				bad = o.Worker.ID
			}
			if o.Worker.ID == bad {
				failed[o.Start.Task.Job] = true
				g.hear(bad, nil, g.end(bad, o.Start.Task, o.Start.Run, gauge.EndFailed))
			}
		}
	}
	for n := 101; n < 105; n++ {
		g.adopt(n, false, step(1))
	}
	for _, o := range g.starts() {
		assert.Assert(t, o.Worker.ID != bad)
	}
	g.pass(3 * time.Second)
	for _, id := range ids {
		g.hear(id, nil)
	}
	g.adopt(200, false, step(4))
	tried := false
	for _, o := range g.starts() {
		tried = tried || o.Worker.ID == bad
	}
	assert.Assert(t, tried, "it is tried again after its rest")
}
