package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Symptom: a worker forgets an end that no table has, and the task runs again.
// Sequence: a hold acknowledges ends as soon as they are seen; the owner dies
// before it has written them.
// Cause: the acknowledgement runs ahead of the write.
func TestEndsAreAcknowledgedOnlyWhenTheTableHasThem(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(2))
	starts := g.starts()
	g.ok(starts)
	g.pass(time.Second)
	g.hear("w1", []gauge.RunReport{running(starts[1])}, g.end("w1", starts[0].Start.Task, 1, gauge.EndDone))
	_, call, _ := g.pool.Holding(life("w1"), g.now)
	assert.Equal(t, call.LastSeen, int64(0))
	g.save(500)
	_, call, _ = g.pool.Holding(life("w1"), g.now)
	assert.Equal(t, call.LastSeen, int64(1))
}

// Symptom: a job fails although its task failed only once.
// Sequence: an end "failed" is written but the owner dies before it is
// acknowledged; the next owner is told of it again.
// Cause: ends are counted, not told apart.
func TestAFailureToldTwiceCountsOnce(t *testing.T) {
	g := newRig(t, after())
	task := gauge.TaskID{Job: jobID(1)}
	row := &gauge.JobRow{State: gauge.JobRunning, Failures: map[string][]int{"0.0.0": {1}}}
	g.pool.Adopt(sched.Accepted{ID: task.Job, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{step(1)}}, Row: row, Version: 50, Arrived: 0, Inherited: true}, 0)
	g.list("w1")
	g.hear("w1", nil, g.end("w1", task, 1, gauge.EndFailed))
	state, _ := g.pool.State(queueName, task.Job)
	assert.Equal(t, state, gauge.JobRunning)
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: a cancelled job's tasks start.
// Sequence: the notice of the cancel is lost; the owner's next write of the
// job's row is refused, as the row has changed.
// Cause: the owner writes its own row over the cancel.
func TestCancelSeenAtAWriteEndsTheJob(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	id := g.adopt(1, false, step(2))
	g.ok(g.starts())
	g.pool.Conflicted(id, &gauge.JobRow{State: gauge.JobCancelled}, 900)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 2)
	b, err := g.pool.Batch(10, 1, nobody)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1)
	assert.Equal(t, b.Changes[0].Version, int64(900))
	row, err := gauge.DecodeJobRow(b.Changes[0].Row)
	assert.NilError(t, err)
	assert.Equal(t, row.State, gauge.JobCancelled)
}

// Symptom: after a takeover a task that was done runs again.
// Sequence: part of the table doesn't answer, so that the new owner doesn't know
// all jobs; a worker tells of the end of a task of one of them, and the owner,
// which can't place it, acknowledges it; later the job is read.
// Cause: what belongs to no known job counts as nobody's.
func TestEndsAndRunsOfJobsThatCannotBeReadYetAreLeftAlone(t *testing.T) {
	g := newRig(t, after("w1"))
	g.pool.Partial(true)
	g.list("w1")
	done := gauge.TaskID{Job: jobID(1)}
	running := gauge.RunReport{Task: gauge.TaskID{Job: jobID(1), Index: 1}, Run: 1}
	end := g.end("w1", done, 1, gauge.EndDone)
	g.hear("w1", []gauge.RunReport{running}, end)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 0)
	g.save(500)
	_, call, _ := g.pool.Holding(life("w1"), g.now)
	assert.Equal(t, call.LastSeen, int64(0))

	g.pass(7 * time.Second) // all that the owner before ordered has ended
	g.hear("w1", []gauge.RunReport{running}, end)
	g.pool.Rehear()
	g.adopt(1, true, step(2))
	g.pool.Partial(false)
	assert.Equal(t, len(g.starts()), 0, "the worker hasn't told of this job yet")
	g.pass(10 * time.Millisecond)
	g.hear("w1", []gauge.RunReport{running}, end)
	assert.Equal(t, len(g.starts()), 0)
}

// Symptom: one part of the table fails, and a pool can write nothing at all.
// Sequence: changes of two queues are due; the part of one doesn't answer.
// Cause: all changes go in one transaction.
func TestChangesOfAQueueThatFailsDoNotHoldUpOthers(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	for i, queue := range []string{"sheets", "parts"} {
		g.pool.Adopt(sched.Accepted{ID: jobID(i), Queue: queue, Spec: &gauge.JobSpec{Steps: []gauge.Step{step(1)}}, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: 0}, 0)
	}
	g.ok(g.starts())
	b, err := g.pool.Batch(10, 1, func(queue string) bool { return queue == "sheets" })
	assert.NilError(t, err)
	assert.Equal(t, b.Queue, "parts")
	assert.Equal(t, len(b.Changes), 1)
	b, err = g.pool.Batch(10, 1, nobody)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1, "one queue at a time")
}

// Symptom: a task runs again although it has ended done, and the table has that.
// Sequence: an owner that could not read one queue yet takes a pool over; a worker
// lists the end of a job of that queue, and after it the end of a job that this owner
// has started; the ends are left with the worker from the first on.
// Cause: a run that is not listed was taken for lost, though its end was only held back.
func TestRunsWhoseEndsAreHeldBackAreNotLost(t *testing.T) {
	g := newRig(t)
	g.pool.Partial(true)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	start := g.starts()[0]
	g.ok([]sched.Order{start})
	g.pass(time.Second)
	unread := g.end("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone)
	done := g.end("w1", start.Start.Task, start.Start.Run, gauge.EndDone)
	g.hear("w1", nil, unread, done)
	g.pass(time.Second)
	g.hear("w1", nil, unread, done)
	assert.Equal(t, len(g.starts()), 0, "its end is there to be taken in")
	g.pool.Partial(false)
	g.hear("w1", nil, unread, done)
	assert.Equal(t, len(g.starts()), 0)
	g.save(1000)
	state, known := g.pool.State(queueName, jobID(1))
	assert.Assert(t, known)
	assert.Equal(t, state, gauge.JobCompleted)
}

// Symptom and cause as above. Sequence: more ends wait to be taken note of than a
// worker lists at a time.
func TestRunsBeyondAFullListOfEndsAreNotLost(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	g.ok(g.starts())
	g.pass(time.Second)
	var ends []gauge.EndReport
	for range 500 {
		ends = append(ends, g.end("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
	}
	g.hear("w1", nil, ends...)
	assert.Equal(t, len(g.starts()), 0)
}
