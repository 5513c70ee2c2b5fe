package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against a worker that forgets an end report which the table doesn't have, so that the task
// runs again: if a heartbeat acknowledged end reports as soon as they arrive, the owner might die
// before it wrote them.
func TestEndsAreAcknowledgedOnlyOnceWritten(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(2))
	starts := g.planStarts()
	g.confirm(starts)
	g.advance(time.Second)
	g.report("w1", []gauge.RunReport{runReport(starts[1])}, g.endReport("w1", starts[0].Start.Task, 1, gauge.EndDone))
	_, call, _ := g.pool.NextHeartbeat(incarnation("w1"), g.now)
	assert.Equal(t, call.LastSeenEnd, int64(0))
	g.writeAll(500)
	_, call, _ = g.pool.NextHeartbeat(incarnation("w1"), g.now)
	assert.Equal(t, call.LastSeenEnd, int64(1))
}

// Guards against a job that fails although its task failed only once. The end report "failed" is
// written, but the owner dies before it acknowledges it, and the worker reports it again to the
// next owner.
func TestFailureReportedTwiceCountsOnce(t *testing.T) {
	g := newHarness(t, withPredecessor())
	task := gauge.TaskID{Job: jobID(1)}
	row := &gauge.JobRow{State: gauge.JobRunning, Failures: map[string][]int{"0.0.0": {1}}}
	g.pool.Adopt(sched.AcceptedJob{ID: task.Job, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}, Row: row, Version: 50, Arrived: 0, Inherited: true}, 0)
	g.listWorkers("w1")
	g.report("w1", nil, g.endReport("w1", task, 1, gauge.EndFailed))
	state, _ := g.pool.JobState(queueName, task.Job)
	assert.Equal(t, state, gauge.JobRunning)
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against tasks of a cancelled job that start. The notification of the cancellation is lost;
// the owner's next write of the job's row is refused as the row has changed, and must not overwrite
// the cancellation.
func TestCancellationFoundByAWriteConflictEndsTheJob(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	id := g.adopt(1, false, newStep(2))
	g.confirm(g.planStarts())
	g.pool.RowConflicted(id, &gauge.JobRow{State: gauge.JobCancelled}, 900)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 2)
	b, err := g.pool.NextBatch(10, 1, skipNone)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1)
	assert.Equal(t, b.Changes[0].Version, int64(900))
	row, err := gauge.DecodeJobRow(b.Changes[0].Row)
	assert.NilError(t, err)
	assert.Equal(t, row.State, gauge.JobCancelled)
}

// Guards against a task that runs again after a takeover although it was done. A partition of the
// table doesn't answer, so that the new owner doesn't know all jobs; a worker reports the end of a
// task of an unread job. The owner must not acknowledge it as belonging to no job.
func TestEndsAndRunsOfUnreadJobsAreLeftAlone(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1")
	done := gauge.TaskID{Job: jobID(1)}
	running := gauge.RunReport{Task: gauge.TaskID{Job: jobID(1), Index: 1}, Run: 1}
	end := g.endReport("w1", done, 1, gauge.EndDone)
	g.report("w1", []gauge.RunReport{running}, end)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 0)
	g.writeAll(500)
	_, call, _ := g.pool.NextHeartbeat(incarnation("w1"), g.now)
	assert.Equal(t, call.LastSeenEnd, int64(0))

	g.advance(7 * time.Second) // everything that the previous owner ordered has ended
	g.report("w1", []gauge.RunReport{running}, end)
	g.pool.RequireFreshReports()
	g.adopt(1, true, newStep(2))
	g.pool.SetJobsMissing(false)
	assert.Equal(t, len(g.planStarts()), 0, "there is no report yet since this job is known")
	g.advance(10 * time.Millisecond)
	g.report("w1", []gauge.RunReport{running}, end)
	assert.Equal(t, len(g.planStarts()), 0)
}

// Guards against a pool that can write nothing because one partition of the table fails: changes of
// several queues must not go into one transaction.
func TestFailingQueueDoesNotBlockWritesOfOthers(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	for i, queue := range []string{"sheets", "parts"} {
		g.pool.Adopt(sched.AcceptedJob{ID: jobID(i), Queue: queue, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: 0}, 0)
	}
	g.confirm(g.planStarts())
	b, err := g.pool.NextBatch(10, 1, func(queue string) bool { return queue == "sheets" })
	assert.NilError(t, err)
	assert.Equal(t, b.Queue, "parts")
	assert.Equal(t, len(b.Changes), 1)
	b, err = g.pool.NextBatch(10, 1, skipNone)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1, "one queue at a time")
}

// Guards against a task that runs again although it was done. An owner hasn't read one queue yet; a
// worker lists the end report of a run of that queue, followed by that of a run that this owner
// started. The owner leaves both end reports with the worker, and must not take the run that isn't
// listed as running for lost.
func TestRunsWithUnacknowledgedEndsAreNotLost(t *testing.T) {
	g := newHarness(t)
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	g.confirm([]sched.Order{start})
	g.advance(time.Second)
	unread := g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone)
	done := g.endReport("w1", start.Start.Task, start.Start.Run, gauge.EndDone)
	g.report("w1", nil, unread, done)
	g.advance(time.Second)
	g.report("w1", nil, unread, done)
	assert.Equal(t, len(g.planStarts()), 0, "the worker still lists its end")
	g.pool.SetJobsMissing(false)
	g.report("w1", nil, unread, done)
	assert.Equal(t, len(g.planStarts()), 0)
	g.writeAll(1000)
	state, known := g.pool.JobState(queueName, jobID(1))
	assert.Assert(t, known)
	assert.Equal(t, state, gauge.JobCompleted)
}

// The same with more unacknowledged end reports than a worker lists at a time.
func TestRunsBeyondAFullListOfEndsAreNotLost(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	g.confirm(g.planStarts())
	g.advance(time.Second)
	var ends []gauge.EndReport
	for range 500 {
		ends = append(ends, g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
	}
	g.report("w1", nil, ends...)
	assert.Equal(t, len(g.planStarts()), 0)
}
