package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// incarnationAt is the incarnation of a worker that started at a given time.
func incarnationAt(id string, startedAt int64) gauge.Incarnation {
	return gauge.Incarnation{Worker: id, StartedAt: startedAt}
}

// workerRow is the platform's row of an incarnation of a worker.
func workerRow(id string, startedAt int64) gauge.Worker {
	w := newWorker(id)
	w.StartedAt = startedAt
	return w
}

// listRows delivers the rows of incarnations of workers, and that the lease row of a version names
// them.
func (g *harness) listRows(version int64, rows ...gauge.Worker) {
	g.pool.UpdateWorkers(rows)
	g.pool.LeaseRowWritten(g.pool.LeaseRowWorkers(), version)
}

// answerHeartbeat has an incarnation of a worker answer the heartbeat that the owner sent to
// another one, or to the same.
func (g *harness) answerHeartbeat(asked gauge.Incarnation, startedAt int64, clock time.Duration, running []gauge.RunReport, ended ...gauge.EndReport) bool {
	_, call, _ := g.pool.NextHeartbeat(asked, g.now)
	return g.pool.HandleReport(asked, call, &gauge.WorkerReport{StartedAt: startedAt, Clock: clock, Running: running, Ended: ended}, g.now)
}

// newHarnessWithRun is a harness with a worker in its first incarnation that has had a run of a
// long-running task for so long that the task is no suspect if the worker is lost.
func newHarnessWithRun(t *testing.T) (*harness, sched.Order) {
	t.Helper()
	return newHarnessWithRunOf(t, 2*time.Second)
}

// newHarnessWithRunOf is the same with a run that is as old as given.
func newHarnessWithRunOf(t *testing.T, runTime time.Duration) (*harness, sched.Order) {
	t.Helper()
	g := newHarness(t, func(c *sched.Config) { c.MaxWorkerLease = maxLease })
	g.listRows(200, workerRow("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour, nil)
	s := newStep(1)
	s.LongRunning = true
	g.adopt(1, false, s)
	start := g.planStarts()[0]
	g.confirm([]sched.Order{start})
	g.now += runTime
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour+runTime, []gauge.RunReport{runReport(start)})
	return g, start
}

// Guards against runs that are taken to continue in a worker's next incarnation, whose clock is
// behind that of the previous one.
func TestRunsOfAnEndedIncarnationStartAgain(t *testing.T) {
	for _, clock := range []time.Duration{time.Second, 9 * time.Hour} {
		g, first := newHarnessWithRun(t)
		g.failHeartbeatOf(incarnationAt("w1", 1))
		assert.Assert(t, g.answerHeartbeat(incarnationAt("w1", 1), 2, clock, nil))
		g.listRows(300, workerRow("w1", 2))
		g.answerHeartbeat(incarnationAt("w1", 2), 2, clock+time.Millisecond, nil)
		again := g.planStarts()
		assert.Equal(t, len(again), 1)
		assert.Equal(t, again[0].Start.Task, first.Start.Task)
		assert.Equal(t, again[0].Worker.StartedAt, int64(2))
		assert.Assert(t, again[0].Start.Until < clock+2*time.Second, "the deadline must be on the clock of the new incarnation")
	}
}

// failHeartbeatOf has a heartbeat to an incarnation of a worker get no answer.
func (g *harness) failHeartbeatOf(incarnation gauge.Incarnation) {
	g.pool.HeartbeatFailed(incarnation, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
}

// Guards against ends that are lost because a worker numbers them from 1 in each incarnation: the
// first ends of the next incarnation would be acknowledged by the last number of the previous one.
func TestEndsOfTheNextIncarnationAreNotAcknowledgedByOldNumbers(t *testing.T) {
	g, start := newHarnessWithRun(t)
	other := gauge.TaskID{Job: jobID(9)}
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{runReport(start)},
		gauge.EndReport{Number: 1, Task: other, Run: 1, Ending: gauge.EndDone}, gauge.EndReport{Number: 2, Task: other, Run: 2, Ending: gauge.EndDone})
	_, call, _ := g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
	assert.Equal(t, call.LastSeenEnd, int64(2))
	g.failHeartbeatOf(incarnationAt("w1", 1))
	_, call, _ = g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
	assert.Equal(t, call.LastSeenEnd, int64(0), "it may be another incarnation by now")

	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, nil)
	g.listRows(300, workerRow("w1", 2))
	_, call, _ = g.pool.NextHeartbeat(incarnationAt("w1", 2), g.now)
	assert.Equal(t, call.LastSeenEnd, int64(0))
	id := g.adopt(2, false, newStep(1))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second, nil)
	var order sched.Order
	for _, o := range g.planStarts() {
		if o.Start.Task.Job == id {
			order = o
		}
	}
	g.pool.OrderAnswered(order, 2*time.Second, nil, g.now)
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 3*time.Second, nil, gauge.EndReport{Number: 1, Task: order.Start.Task, Run: 1, Ending: gauge.EndDone})
	g.writeAll(400)
	state, _ := g.pool.JobState(queueName, id)
	assert.Equal(t, state, gauge.JobCompleted)
}

// Guards against a row or an answer of the previous incarnation that arrives after one of the next.
func TestLateRowsAndAnswersOfAnEndedIncarnationAreIgnored(t *testing.T) {
	g, start := newHarnessWithRun(t)
	g.listRows(300, workerRow("w1", 2))
	assert.Assert(t, !g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{runReport(start)}))
	_, _, held := g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
	assert.Assert(t, !held)
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)

	g.listRows(301, workerRow("w1", 1))
	assert.Equal(t, len(g.planStarts()), 0, "no row names the current incarnation")
	g.listRows(302, workerRow("w1", 0))
	assert.Equal(t, len(g.planStarts()), 0, "a row without a start time doesn't name it either")
	g.listRows(303, workerRow("w1", 2))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second, nil)
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against calls that were sent before a worker started again and are executed after it: they
// have a lower fencing token than the heartbeat that follows.
func TestTokenRisesWithEachFailedHeartbeat(t *testing.T) {
	g, start := newHarnessWithRun(t)
	g.pool.LeaseRowWritten(g.pool.LeaseRowWorkers(), 250)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	_, call, _ := g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
	assert.Assert(t, call.Fence > start.Start.Fence)
	assert.Assert(t, g.pool.IsOutdated(incarnationAt("w1", 1), start.Start.Fence), "its refusal doesn't mean that there is another owner")
	assert.Assert(t, !g.pool.IsOutdated(incarnationAt("w1", 1), call.Fence))
}

// Guards against a worker that is drained, as its machine is to be moved, and gets new work once it
// has started again.
func TestDrainedWorkerStaysDrainedInItsNextIncarnation(t *testing.T) {
	g, _ := newHarnessWithRun(t)
	g.pool.DrainWorker("w1", false, g.now)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w1", 2))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	assert.Equal(t, len(g.planStarts()), 0)
	assert.Assert(t, g.pool.DrainWorker("w1", false, g.now))
}

// Guards against a worker that announced that it drains, and is still taken to be leaving after it
// has started again.
func TestNextIncarnationDoesNotInheritDraining(t *testing.T) {
	g, _ := newHarnessWithRun(t)
	leaving := workerRow("w1", 1)
	leaving.Draining = true
	g.listRows(250, leaving)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w1", 2))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	assert.Equal(t, len(g.planStarts()), 1)
}

// onlyUnwrittenRow is the row of the one job whose change waits to be written.
func (g *harness) onlyUnwrittenRow() *gauge.JobRow {
	g.t.Helper()
	batch, err := g.pool.NextBatch(100, 1, skipNone)
	assert.NilError(g.t, err)
	assert.Equal(g.t, len(batch.Changes), 1)
	row, err := gauge.DecodeJobRow(batch.Changes[0].Row)
	assert.NilError(g.t, err)
	return row
}

// Guards against a crash that the next owner misses: by the time it takes over, the worker has
// started again, so that no worker seems to be lost.
func TestCrashCountsWhenTheNextOwnerFindsTheNextIncarnation(t *testing.T) {
	g, start := newHarnessWithRunOf(t, time.Millisecond)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.failHeartbeatOf(incarnationAt("w1", 1)) // records that the worker may have crashed
	recorded := g.onlyUnwrittenRow()
	next := newHarness(t, withPredecessor("w1"))
	next.listRows(500, workerRow("w1", 2))
	s := newStep(1)
	s.LongRunning = true
	next.pool.Adopt(sched.AcceptedJob{
		ID: start.Start.Task.Job, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{s}}, Row: recorded, Version: 400, Inherited: true,
	}, 0)
	next.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	next.plan()
	recorded = next.onlyUnwrittenRow()
	assert.Equal(t, recorded.SuspectRuns["0.0.0"].CrashCount(), 1)
}

// Guards against a crash that is attributed to a task although several workers lost power together:
// an owner whose process was suspended learns of the losses one by one.
func TestResumedOwnerWaitsForFurtherLosses(t *testing.T) {
	g, start := newHarnessWithRun(t)
	g.listRows(210, workerRow("w1", 1), workerRow("w2", 1), workerRow("w3", 1))
	for _, id := range []string{"w2", "w3"} {
		g.answerHeartbeat(incarnationAt(id, 1), 1, time.Hour, nil)
	}
	g.advance(50 * time.Millisecond)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, nil)
	g.advance(3 * time.Second) // the owner's process was suspended
	for _, id := range []string{"w2", "w3"} {
		g.failHeartbeatOf(incarnationAt(id, 1))
		g.answerHeartbeat(incarnationAt(id, 1), 2, time.Second, nil)
	}
	for range 20 {
		g.advance(100 * time.Millisecond)
	}
	batch := g.writeAll(400)
	for _, c := range batch.Changes {
		recorded, err := gauge.DecodeJobRow(c.Row)
		assert.NilError(t, err)
		if c.Job == start.Start.Task.Job {
			assert.Equal(t, len(recorded.SuspectRuns), 0, "%v", recorded.SuspectRuns)
		}
	}
}

// Guards against a lease that is longer than the owner assumes: a grant meant for the previous
// incarnation, by another clock, may have reached the next one, whose own clock may be slow.
func TestNextIncarnationIsAssumedToHaveTheLongestLease(t *testing.T) {
	g, _ := newHarnessWithRun(t)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, nil)
	g.failHeartbeatOf(incarnationAt("w1", 2))
	assert.Equal(t, g.pool.RemainingLeases(g.now)[incarnationAt("w1", 2)], slowClockLease)

	g.advance(3 * time.Second)
	// The token rises. Until the worker has answered a call with it, older grants may reach it.
	g.pool.LeaseRowWritten(g.pool.LeaseRowWorkers(), 300)
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 4*time.Second, nil)
	g.failHeartbeatOf(incarnationAt("w1", 2))
	assert.Equal(t, g.pool.RemainingLeases(g.now)[incarnationAt("w1", 2)], slowClockLease)
}

// Guards against a worker that drains when the owner first learns of it and is taken to leave at
// once.
func TestWorkerDrainingFromTheStartStaysAsLongAsAnnounced(t *testing.T) {
	g := newHarness(t)
	g.listRows(200, workerRow("w1", 1), workerRow("w2", 1))
	leaving := workerRow("w1", 2)
	leaving.Draining, leaving.MinDrainTime = true, 20*time.Second
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour, nil)
	job := newStep(1)
	job.Checkpoints, job.Estimate = true, 5*time.Second
	g.adopt(1, false, job)
	start := g.planStarts()[0]
	g.listRows(300, leaving)
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, []gauge.RunReport{runReport(start)})
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 0, "the run ends before its worker leaves")
}

// Guards against a stop that only the previous incarnation has answered: it doesn't keep the next
// one from executing the start.
func TestStopAnsweredByThePreviousIncarnationIsSentAgain(t *testing.T) {
	g, _ := newHarnessWithRun(t)
	id := g.adopt(2, false, newStep(1))
	order := ofKind(g.plan(), sched.OrderStart)[0]
	g.pool.OrderAnswered(order, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.pool.Cancel(id, 500)
	stops := ofKind(g.plan(), sched.OrderStop)
	assert.Equal(t, len(stops), 1)
	g.listRows(300, workerRow("w1", 2))
	g.pool.OrderAnswered(stops[0], time.Hour+3*time.Second, nil, g.now)
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 3*time.Hour, nil)
	g.advance(250 * time.Millisecond)
	again := ofKind(g.plan(), sched.OrderStop)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.StartedAt, int64(2))
}

// Guards against a healthy task that is taken for the cause of a crash: the next owner finds all
// workers in new incarnations and learns of no loss.
func TestCorrelatedLossesBeforeATakeoverAreUnattributed(t *testing.T) {
	g, start := newHarnessWithRunOf(t, time.Millisecond)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.failHeartbeatOf(incarnationAt("w1", 1))
	recorded := g.onlyUnwrittenRow()
	next := newHarness(t, withPredecessor("w1", "w2", "w3"), func(c *sched.Config) {
		c.PreviousWorkers = []gauge.Incarnation{incarnationAt("w1", 1), incarnationAt("w2", 1), incarnationAt("w3", 1)}
	})
	next.listRows(500, workerRow("w1", 2), workerRow("w2", 2), workerRow("w3", 2))
	next.pool.Adopt(sched.AcceptedJob{
		ID: start.Start.Task.Job, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{longRunningStep(1)}}, Row: recorded, Version: 400, Inherited: true,
	}, 0)
	for _, id := range []string{"w1", "w2", "w3"} {
		next.answerHeartbeat(incarnationAt(id, 2), 2, time.Second, nil)
	}
	next.plan()
	recorded = next.onlyUnwrittenRow()
	assert.Equal(t, recorded.SuspectRuns["0.0.0"].CrashCount(), 0)
}

// Guards against a worker that has started again in another pool and gets heartbeats from two
// owners, whose fencing tokens lock each other out.
func TestIncarnationInAnotherPoolGetsNoHeartbeat(t *testing.T) {
	for _, answered := range []bool{true, false} {
		g, _ := newHarnessWithRun(t)
		g.failHeartbeatOf(incarnationAt("w1", 1))
		if answered {
			g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, nil)
		}
		other := workerRow("w1", 2)
		other.Pool = "other"
		g.listRows(300, other)
		for startedAt := range int64(3) {
			_, _, held := g.pool.NextHeartbeat(incarnationAt("w1", startedAt), g.now)
			assert.Assert(t, !held)
		}
		g.listRows(301, workerRow("w2", 1))
		g.answerHeartbeat(incarnationAt("w2", 1), 1, time.Hour, nil)
		assert.Equal(t, len(g.planStarts()), 1, "its run starts on another worker")
	}
}

// Guards against an owner that gives up its pool because a worker refuses its first heartbeat,
// after the owner of another pool has called that worker with a higher fencing token.
func TestRefusedFirstHeartbeatIsNoSignOfAnotherOwner(t *testing.T) {
	g := newHarness(t)
	g.listRows(200, workerRow("w1", 2))
	_, call, _ := g.pool.NextHeartbeat(incarnationAt("w1", 2), g.now)
	assert.Assert(t, g.pool.IsOutdated(incarnationAt("w1", 2), call.Fence))
	g.pool.HeartbeatFailed(incarnationAt("w1", 2), gauge.Errorf(gauge.KindFenced, "fence"), g.now)
	g.pool.LeaseRowWritten(g.pool.LeaseRowWorkers(), 300)
	_, again, _ := g.pool.NextHeartbeat(incarnationAt("w1", 2), g.now)
	assert.Assert(t, again.Fence > call.Fence)
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	assert.Assert(t, !g.pool.IsOutdated(incarnationAt("w1", 2), again.Fence))
}

// Guards against a second run of a task: the next incarnation answered the start, and a late report
// of the previous one doesn't list the run.
func TestStartAnsweredByALaterIncarnationIsNotTakenForLost(t *testing.T) {
	g, first := newHarnessWithRun(t)
	id := g.adopt(2, false, newStep(1))
	order := ofKind(g.plan(), sched.OrderStart)[0]
	g.pool.OrderAnswered(order, time.Minute, nil, g.now) // a clock far behind that of the first incarnation
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{runReport(first)})
	assert.Assert(t, !hasStart(g.plan(), id), "it runs in the next incarnation")
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Minute+time.Second, []gauge.RunReport{runReport(order)})
	assert.Assert(t, !hasStart(g.plan(), id))
}

// Guards against starts that are sent again and again to an address where no process listens, until
// the next incarnation does.
func TestUnreachableWorkerGetsNoStartBeforeItAnswers(t *testing.T) {
	g, first := newHarnessWithRun(t)
	g.adopt(2, false, newStep(1))
	order := ofKind(g.plan(), sched.OrderStart)[0]
	g.pool.OrderAnswered(order, 0, gauge.Errorf(gauge.KindOutage, "connection refused"), g.now)
	assert.Equal(t, len(g.planStarts()), 0)
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{runReport(first)})
	assert.Equal(t, len(g.planStarts()), 1)
}
