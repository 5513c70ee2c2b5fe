package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// unknownRun is a run of a job that the owner doesn't know.
func unknownRun() gauge.RunReport {
	return gauge.RunReport{Task: gauge.TaskID{Job: jobID(9)}, Run: 1}
}

func (g *harness) planStops() []sched.Order { return ofKind(g.plan(), sched.OrderStop) }

// loseAnswers has the answers to orders lost.
func (g *harness) loseAnswers(orders []sched.Order) {
	for _, o := range orders {
		g.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	}
}

// cancelRunningJob has a job of one task run on w1, and cancels it.
func (g *harness) cancelRunningJob() gauge.RunReport {
	g.listWorkers("w1")
	g.report("w1", nil)
	id := g.adopt(1, false, newStep(1))
	starts := g.planStarts()
	g.confirm(starts)
	g.pool.Cancel(id, 900)
	return runReport(starts[0])
}

// Guards against a task of a cancelled job that runs on for as long as its worker has nothing else
// to report. A start is executed late; the worker lists the run; the stop gets no answer, and no
// end comes that would answer the pending heartbeat. The stop must not depend on the next report.
func TestRunWithoutOpenJobIsStoppedUntilItHasEnded(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", []gauge.RunReport{unknownRun()})
	for range 3 {
		stops := g.planStops()
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, stops[0].Stop.Task, unknownRun().Task)
		g.loseAnswers(stops)
		g.advance(300 * time.Millisecond)
	}
	g.confirm(g.planStops())
	g.advance(100 * time.Millisecond)
	g.report("w1", nil)
	g.advance(5 * time.Second)
	g.report("w1", nil)
	assert.Equal(t, len(g.planStops()), 0, "the run has ended")
}

// The same with a stop that the worker answered, although it lists the run long after.
func TestRunWithoutOpenJobThatOutlivesItsStopIsStoppedAgain(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", []gauge.RunReport{unknownRun()})
	g.confirm(g.planStops())
	g.advance(200 * time.Millisecond)
	g.report("w1", []gauge.RunReport{unknownRun()})
	assert.Equal(t, len(g.planStops()), 0, "a stop takes a while")
	g.advance(time.Second)
	assert.Equal(t, len(g.planStops()), 1)
}

// Guards against an overloaded owner that floods a worker with stops. A worker with a run of a
// cancelled job ends tasks quickly, so that one report follows another while the stop is queued
// behind other orders; not each report may send a stop.
func TestRunWithoutOpenJobGetsOneStopAtATime(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	sent := 0
	for range 10 {
		g.report("w1", []gauge.RunReport{unknownRun()})
		sent += len(g.planStops())
		g.advance(20 * time.Millisecond)
	}
	assert.Equal(t, sent, 1)
}

// Guards against a task of a cancelled job that runs on at a busy worker. Each report is overtaken
// by the answer to an order that was executed after it; a report must not be ignored for that as
// long as no newer report has come.
func TestRunWithoutOpenJobIsStoppedWhenAnswersOvertakeReports(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	starts := g.planStarts()
	g.advance(50 * time.Millisecond)
	g.confirm(starts)
	g.reportAt("w1", g.workerClock()-10*time.Millisecond, []gauge.RunReport{unknownRun()})
	assert.Equal(t, len(g.planStops()), 1)
	assert.Equal(t, len(g.planStarts()), 0, "the run whose start was answered since continues")
}

// Guards against a task of a cancelled job that runs on while part of the table can't be read. A
// job ends here, one of its starts is executed late, and another queue could not be read yet. While
// jobs may be missing, runs of unknown jobs are left alone, but not those of jobs that are known to
// have ended.
func TestRunOfAnEndedJobIsStoppedWhileQueuesAreUnread(t *testing.T) {
	g := newHarness(t)
	late := g.cancelRunningJob()
	g.confirm(g.planStops())
	g.advance(100 * time.Millisecond)
	g.report("w1", nil)
	g.writeAll(1000)
	g.pool.SetJobsMissing(true)
	g.report("w1", []gauge.RunReport{late, unknownRun()})
	stops := g.planStops()
	assert.Equal(t, len(stops), 1, "the job of the other run may be an unread one")
	assert.Equal(t, stops[0].Stop.Task, late.Task)
}

// Guards against a task of a cancelled job that runs on after a takeover: the new owner can't read
// the job's queue yet when the job is cancelled, and must not forget the cancellation.
func TestRunOfAJobCancelledBeforeItWasReadIsStopped(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1")
	g.report("w1", []gauge.RunReport{unknownRun()})
	assert.Equal(t, len(g.planStops()), 0)
	g.pool.Cancel(jobID(9), 900)
	g.report("w1", []gauge.RunReport{unknownRun()})
	assert.Equal(t, len(g.planStops()), 1)
}

// Guards against tasks of a cancelled job that start. The job is cancelled after a new owner read
// its row and before the owner adopts it, or the notification of the cancellation overtakes that of
// the job.
func TestCancellationBeforeItsJobIsKept(t *testing.T) {
	for _, inherited := range []bool{true, false} {
		g := newHarness(t)
		g.listWorkers("w1")
		g.report("w1", nil)
		g.pool.Cancel(jobID(1), fence+500)
		g.adopt(1, inherited, newStep(1))
		assert.Equal(t, len(g.planStarts()), 0)
		state, _ := g.pool.JobState(queueName, jobID(1))
		assert.Equal(t, state, gauge.JobCancelled)
	}
}

// Guards against a task of a cancelled job that runs on at a worker that is alive. The owner's
// heartbeats fail as its link is full, and the worker counts as silent; short orders such as stops
// may still get through.
func TestSilentWorkerGetsStopsForCancelledRuns(t *testing.T) {
	g := newHarness(t)
	late := g.cancelRunningJob()
	g.failHeartbeat("w1")
	stops := g.planStops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Stop.Task, late.Task)
	g.loseAnswers(stops)
	g.advance(200 * time.Millisecond)
	assert.Equal(t, len(g.planStops()), 0, "stops are repeated less often than at workers that answer")
	g.advance(500 * time.Millisecond)
	assert.Equal(t, len(g.planStops()), 1)
}

// Guards against a task of a cancelled job that runs on: its start got no answer, the job is
// cancelled, the stop is lost, and then the start is executed.
func TestStartExecutedAfterTheCancellationIsStopped(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	id := g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	g.loseAnswers([]sched.Order{start})
	g.pool.Cancel(id, 900)
	stops := g.planStops()
	assert.Equal(t, len(stops), 1)
	g.loseAnswers(stops)
	g.advance(300 * time.Millisecond)
	g.report("w1", []gauge.RunReport{runReport(start)})
	assert.Equal(t, len(g.planStops()), 1)
}

// Guards against a task of a cancelled job that runs on because its run is reported late: after the
// job was forgotten, by a worker that is no longer listed, or to a new owner.
func TestRunThatIsFoundLateIsStopped(t *testing.T) {
	t.Run("its job is forgotten", func(t *testing.T) {
		g := newHarness(t)
		late := g.cancelRunningJob()
		g.confirm(g.planStops())
		g.advance(100 * time.Millisecond)
		g.report("w1", nil)
		g.writeAll(1000)
		g.advance(2 * time.Minute)
		assert.Assert(t, !g.pool.Knows(late.Task.Job))
		g.report("w1", []gauge.RunReport{late})
		assert.Equal(t, len(g.planStops()), 1)
	})
	t.Run("its worker has left the list", func(t *testing.T) {
		g := newHarness(t)
		g.listWorkers("w1")
		g.report("w1", nil)
		g.listWorkers("w2")
		_, _, held := g.pool.NextHeartbeat(incarnation("w1"), g.now)
		assert.Assert(t, held)
		g.report("w1", []gauge.RunReport{unknownRun()})
		assert.Equal(t, len(g.planStops()), 1)
	})
	t.Run("its job was cancelled before the takeover", func(t *testing.T) {
		g := newHarness(t, withPredecessor("w1"))
		g.listWorkers("w1")
		row := &gauge.JobRow{State: gauge.JobCancelled, Pool: poolName}
		g.pool.Adopt(sched.AcceptedJob{ID: jobID(9), Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}, Row: row, Version: 50, Inherited: true}, g.now)
		g.report("w1", []gauge.RunReport{unknownRun()})
		assert.Equal(t, len(g.planStops()), 1)
	})
}
