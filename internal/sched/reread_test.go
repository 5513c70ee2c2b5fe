package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
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
	g.pool.Rehear()
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

// Symptom: a task that has failed isn't started again for a while.
// Sequence: a look at a worker overtakes a hold's answer that was made before; the
// look tells the run's end, the hold's answer lists it as running.
// Cause: an older picture is taken for the newest.
func TestOlderReportBringsNoRunBackThatHasEnded(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	start := g.starts()[0]
	g.ok([]sched.Order{start})
	g.pass(100 * time.Millisecond)
	before := g.clock()
	g.pass(100 * time.Millisecond)
	g.hear("w1", nil, g.end("w1", start.Start.Task, 1, gauge.EndFailed))
	g.hearAt("w1", before, []gauge.RunReport{running(start)})
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: a task runs twice at once after a takeover with a queue that was read late.
// Sequence: a worker lists a run of a job that isn't read yet and one of a job that is;
// that one's stop is answered and overtakes an older answer to a hold; the queue is read;
// the older answer comes.
// Cause: a picture that is too old to be looked at was taken for all that the worker has
// to tell.
func TestOldReportDoesNotSettleWhatTheOwnerBeforeLeft(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.pool.Partial(true)
	g.list("w1", "w2")
	stopped := g.adopt(2, true, step(1))
	unread := gauge.RunReport{Task: gauge.TaskID{Job: jobID(9)}, Run: 7}
	known := gauge.RunReport{Task: gauge.TaskID{Job: jobID(2)}, Run: 5}
	g.hear("w1", []gauge.RunReport{unread, known})
	g.hear("w2", nil)
	g.pool.Cancel(stopped, 900)
	stops := only(g.plan(), sched.OrderStop)
	g.pool.Rehear()
	g.pool.Partial(false)
	g.adopt(9, true, step(1))
	made := g.clock()
	g.pass(20 * time.Millisecond)
	g.ok(stops)
	g.hearAt("w1", made, []gauge.RunReport{unread, known})
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 0)
}
