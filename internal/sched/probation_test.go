package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// A run that has to live three times as long as those before, as its own life is counted among theirs.
func TestProbationIsByOtherRuns(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	id := g.inherit(lasting(1), &gauge.JobRow{
		Trials: map[string]gauge.Trials{firstTask: {{Run: 1, Worker: "w0", Crashed: true, Lived: 100 * time.Millisecond}}},
	})
	starts := g.restarts()
	assert.Equal(t, len(starts), 1)
	g.ok(starts)
	for range 14 {
		g.pass(100 * time.Millisecond)
		g.hear("w1", []gauge.RunReport{running(starts[0])})
	}
	assert.Equal(t, len(g.rowOf(id).Trials[firstTask]), 1, "it is still on probation")
}
