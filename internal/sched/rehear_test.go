package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: a task has two runs at once after a takeover.
// Sequence: the new owner can't read one queue at first; while it reads it, a worker
// lists a run of a job of that queue, which is left aside; then the job is taken in.
// Cause: the worker counts as heard, though what it told was of no job known then.
func TestTaskOfAJobReadLateWaitsForWorkersHeardWhileItWasRead(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.pool.Partial(true)
	g.list("w1", "w2")
	left := []gauge.RunReport{stray()}
	g.hear("w1", left)
	g.hear("w2", nil)
	g.pass(7 * time.Second)
	g.hear("w1", left)
	g.hear("w2", nil)
	g.pool.Rehear(g.now)
	g.pass(100 * time.Millisecond) // the queue is being read
	g.hear("w1", left)
	g.hear("w2", nil)
	g.adopt(9, true, step(1))
	g.pool.Partial(false)
	assert.Equal(t, len(g.starts()), 0, "it runs on w1")
	g.pass(100 * time.Millisecond)
	g.hear("w2", nil)
	g.hear("w1", left)
	assert.Equal(t, len(g.starts()), 0)
}
