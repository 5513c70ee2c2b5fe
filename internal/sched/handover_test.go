package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/sched"
)

// Symptom: a task has two runs at once after a pool was given away.
// Sequence: a worker with a run of it gets a hold and stops answering; the pool is given
// away; the next owner starts the task anew.
// Cause: the worker was told to be over sooner than what it was granted.
func TestSilentWorkerIsWaitedForAsLongAsItWasGranted(t *testing.T) {
	first := newRig(t)
	first.list("w1", "w2")
	first.hear("w1", nil)
	first.adopt(1, false, step(1))
	first.ok(first.starts())
	first.pool.Holding(life("w1"), first.now) // grants 5 s
	first.pass(time.Second)
	first.silent("w1")
	left := first.pool.Left(first.now)
	assert.Equal(t, left[life("w1")], 4*time.Second)

	second := newRig(t, after("w1"), func(c *sched.Config) { c.Over = left })
	second.list("w1", "w2")
	second.adopt(1, true, step(1))
	second.hear("w2", nil)
	second.pass(4 * time.Second)
	second.hear("w2", nil)
	assert.Equal(t, len(second.starts()), 0, "it may run on the silent worker yet")
	second.pass(time.Millisecond)
	second.hear("w2", nil)
	assert.Equal(t, len(second.starts()), 1)
}
