package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: the log says that tasks have waited for seconds, in a pool with free cores.
// Sequence: a step waits for the one before it, which takes three seconds.
// Cause: the wait is counted from the job's arrival.
func TestWaitIsCountedFromWhenAStepIsReady(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	second := step(1)
	second.After = []int{0}
	g.adopt(1, false, step(1), second)
	starts := g.starts()
	g.ok(starts)
	g.pass(3 * time.Second)
	g.hear("w1", nil, g.end("w1", starts[0].Start.Task, 1, gauge.EndDone))
	assert.Equal(t, g.pool.Load(g.now).Oldest, time.Duration(0))
	g.pass(time.Second)
	assert.Equal(t, g.pool.Load(g.now).Oldest, time.Second)
}
