package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against reported waits of seconds in a pool with free cores: a step waits for an earlier
// one, which takes three seconds, and its wait must not be measured from the job's arrival.
func TestWaitIsMeasuredFromWhenAStepIsReady(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	second := newStep(1)
	second.After = []int{0}
	g.adopt(1, false, newStep(1), second)
	starts := g.planStarts()
	g.confirm(starts)
	g.advance(3 * time.Second)
	g.report("w1", nil, g.endReport("w1", starts[0].Start.Task, 1, gauge.EndDone))
	assert.Equal(t, g.pool.Load(g.now).LongestWait, time.Duration(0))
	g.advance(time.Second)
	assert.Equal(t, g.pool.Load(g.now).LongestWait, time.Second)
}
