package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// stray is a run of a job that nobody here knows.
func stray() gauge.RunReport {
	return gauge.RunReport{Task: gauge.TaskID{Job: jobID(9)}, Run: 1}
}

func (g *rig) stops() []sched.Order { return only(g.plan(), sched.OrderStop) }

func (g *rig) unanswered(orders []sched.Order) {
	for _, o := range orders {
		g.pool.Answered(o, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	}
}

// cancelled has a job of one task run on w1, and cancels it.
func (g *rig) cancelled() gauge.RunReport {
	g.list("w1")
	g.hear("w1", nil)
	id := g.adopt(1, false, step(1))
	starts := g.starts()
	g.ok(starts)
	g.pool.Cancel(id, 900)
	return running(starts[0])
}

// Symptom: a task of a cancelled job runs on for as long as its worker has no other
// news.
// Sequence: a start of a cancelled job is carried out late; the worker lists the run;
// the stop gets no answer; no end comes that would answer the waiting hold.
// Cause: the stop is sent with each report, and with nothing else.
func TestRunOfNoOpenJobIsStoppedUntilItIsGone(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", []gauge.RunReport{stray()})
	for range 3 {
		stops := g.stops()
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, stops[0].Stop.Task, stray().Task)
		g.unanswered(stops)
		g.pass(300 * time.Millisecond)
	}
	g.ok(g.stops())
	g.pass(100 * time.Millisecond)
	g.hear("w1", nil)
	g.pass(5 * time.Second)
	g.hear("w1", nil)
	assert.Equal(t, len(g.stops()), 0, "it is gone")
}

// Symptom: as above, though the stop was answered.
// Sequence: the worker answers the stop and lists the run long after.
// Cause: as above.
func TestRunOfNoOpenJobThatOutlivesItsStopIsStoppedAgain(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", []gauge.RunReport{stray()})
	g.ok(g.stops())
	g.pass(200 * time.Millisecond)
	g.hear("w1", []gauge.RunReport{stray()})
	assert.Equal(t, len(g.stops()), 0, "a stop takes a while")
	g.pass(time.Second)
	assert.Equal(t, len(g.stops()), 1)
}

// Symptom: an owner that is behind floods a worker with stops.
// Sequence: a worker with a run of a cancelled job ends tasks quickly, so that report
// follows report; the stop waits behind other orders.
// Cause: each report sends a stop of its own.
func TestRunOfNoOpenJobGetsOneStopAtATime(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	sent := 0
	for range 10 {
		g.hear("w1", []gauge.RunReport{stray()})
		sent += len(g.stops())
		g.pass(20 * time.Millisecond)
	}
	assert.Equal(t, sent, 1)
}

// Symptom: a task of a cancelled job runs on at a busy worker.
// Sequence: each answer to a hold is overtaken by the answer to an order that was
// made after it.
// Cause: a report that isn't the newest word of the worker's clock is not looked at,
// also if no newer report came.
func TestRunOfNoOpenJobIsStoppedThoughAnswersOvertakeReports(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	starts := g.starts()
	g.pass(50 * time.Millisecond)
	g.ok(starts)
	g.hearAt("w1", g.clock()-10*time.Millisecond, []gauge.RunReport{stray()})
	assert.Equal(t, len(g.stops()), 1)
	assert.Equal(t, len(g.starts()), 0, "the start that was answered since goes on")
}

// Symptom: a task of a cancelled job runs on while part of the table can't be read.
// Sequence: a job ends here; one of its starts is carried out late; another queue
// could not be read yet.
// Cause: with jobs missing no run is stopped whose job isn't open, also if it is
// known to have ended.
func TestRunOfAnEndedJobIsStoppedWhileQueuesAreMissing(t *testing.T) {
	g := newRig(t)
	late := g.cancelled()
	g.ok(g.stops())
	g.pass(100 * time.Millisecond)
	g.hear("w1", nil)
	g.save(1000)
	g.pool.Partial(true)
	g.hear("w1", []gauge.RunReport{late, stray()})
	stops := g.stops()
	assert.Equal(t, len(stops), 1, "the other's job may be one that couldn't be read")
	assert.Equal(t, stops[0].Stop.Task, late.Task)
}

// Symptom: a task of a cancelled job runs on after a takeover.
// Sequence: a new owner can't read the job's queue yet; the job is cancelled.
// Cause: the cancel of a job that isn't known is forgotten.
func TestRunOfAJobCancelledBeforeItWasReadIsStopped(t *testing.T) {
	g := newRig(t, after("w1"))
	g.pool.Partial(true)
	g.list("w1")
	g.hear("w1", []gauge.RunReport{stray()})
	assert.Equal(t, len(g.stops()), 0)
	g.pool.Cancel(jobID(9), 900)
	g.hear("w1", []gauge.RunReport{stray()})
	assert.Equal(t, len(g.stops()), 1)
}

// Symptom: a cancelled job's tasks start.
// Sequence: a new owner reads the table; the job is cancelled after its row was
// read and before it is taken in, or the notice of the cancel overtakes that of the job.
// Cause: as above.
func TestCancelThatComesBeforeItsJobHolds(t *testing.T) {
	for _, inherited := range []bool{true, false} {
		g := newRig(t)
		g.list("w1")
		g.hear("w1", nil)
		g.pool.Cancel(jobID(1), fence+500)
		g.adopt(1, inherited, step(1))
		assert.Equal(t, len(g.starts()), 0)
		state, _ := g.pool.State(queueName, jobID(1))
		assert.Equal(t, state, gauge.JobCancelled)
	}
}

// Symptom: a task of a cancelled job runs on at a worker that is there all the while.
// Sequence: the owner's holds fail, as its link is full; the worker counts as silent;
// the job is cancelled.
// Cause: a silent worker gets no stops, though short orders may come through.
func TestSilentWorkerIsToldToStopWhatWasCancelled(t *testing.T) {
	g := newRig(t)
	late := g.cancelled()
	g.silent("w1")
	stops := g.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Stop.Task, late.Task)
	g.unanswered(stops)
	g.pass(200 * time.Millisecond)
	assert.Equal(t, len(g.stops()), 0, "not at the pace of workers that answer")
	g.pass(500 * time.Millisecond)
	assert.Equal(t, len(g.stops()), 1)
}

// Symptom: a task of a cancelled job runs on.
// Sequence: its start got no answer; the job is cancelled; the stop is lost; the start
// is carried out yet.
// Cause: none was found: this holds on the code before.
func TestStartCarriedOutAfterTheCancelIsStopped(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	id := g.adopt(1, false, step(1))
	start := g.starts()[0]
	g.unanswered([]sched.Order{start})
	g.pool.Cancel(id, 900)
	stops := g.stops()
	assert.Equal(t, len(stops), 1)
	g.unanswered(stops)
	g.pass(300 * time.Millisecond)
	g.hear("w1", []gauge.RunReport{running(start)})
	assert.Equal(t, len(g.stops()), 1)
}

// Symptom: a task of a cancelled job runs on.
// Sequence: the run comes to light when its job has been forgotten; or its worker has
// left the list and answers yet; or its job was cancelled before the takeover.
// Cause: none was found: this holds on the code before.
func TestRunThatComesToLightLateIsStopped(t *testing.T) {
	t.Run("its job is forgotten", func(t *testing.T) {
		g := newRig(t)
		late := g.cancelled()
		g.ok(g.stops())
		g.pass(100 * time.Millisecond)
		g.hear("w1", nil)
		g.save(1000)
		g.pass(2 * time.Minute)
		assert.Assert(t, !g.pool.Knows(late.Task.Job))
		g.hear("w1", []gauge.RunReport{late})
		assert.Equal(t, len(g.stops()), 1)
	})
	t.Run("its worker has left the list", func(t *testing.T) {
		g := newRig(t)
		g.list("w1")
		g.hear("w1", nil)
		g.list("w2")
		_, _, held := g.pool.Holding(life("w1"), g.now)
		assert.Assert(t, held)
		g.hear("w1", []gauge.RunReport{stray()})
		assert.Equal(t, len(g.stops()), 1)
	})
	t.Run("its job was cancelled before the takeover", func(t *testing.T) {
		g := newRig(t, after("w1"))
		g.list("w1")
		row := &gauge.JobRow{State: gauge.JobCancelled, Pool: poolName}
		g.pool.Adopt(sched.Accepted{ID: jobID(9), Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{step(1)}}, Row: row, Version: 50, Inherited: true}, g.now)
		g.hear("w1", []gauge.RunReport{stray()})
		assert.Equal(t, len(g.stops()), 1)
	})
}
