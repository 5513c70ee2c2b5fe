package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/sched"
)

// Guards against two runs of a task at once after a handover. A worker with a run of the task gets
// a heartbeat and stops answering; the pool is handed over. The owner must not report the worker's
// lease as ending sooner than it granted, or the next owner starts the task too early.
func TestSilentWorkerIsWaitedForUntilItsLeaseEndsAfterAHandover(t *testing.T) {
	first := newHarness(t)
	first.listWorkers("w1", "w2")
	first.report("w1", nil)
	first.adopt(1, false, newStep(1))
	first.confirm(first.planStarts())
	first.pool.NextHeartbeat(incarnation("w1"), first.now) // grants 5 s
	first.advance(time.Second)
	first.failHeartbeat("w1")
	left := first.pool.RemainingLeases(first.now)
	assert.Equal(t, left[incarnation("w1")], 4*time.Second)

	second := newHarness(t, withPredecessor("w1"), func(c *sched.Config) { c.WorkerRunsEnd = left })
	second.listWorkers("w1", "w2")
	second.adopt(1, true, newStep(1))
	second.report("w2", nil)
	second.advance(4 * time.Second)
	second.report("w2", nil)
	assert.Equal(t, len(second.planStarts()), 0, "it may still run on the silent worker")
	second.advance(time.Millisecond)
	second.report("w2", nil)
	assert.Equal(t, len(second.planStarts()), 1)
}
