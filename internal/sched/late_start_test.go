package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// lateHarness is a harness in which a start to worker w1 is on its way when w1 starts again. The
// next incarnation of w1, which the owner hasn't heard of, carries it out: it knows no fencing token
// and no stop, and its clock is behind the start's deadline.
type lateHarness struct {
	*harness
	late  sched.Order
	other sched.Order // start of the other member of a gang
	// clock is what the clocks of both workers' first incarnations showed in their last reports.
	clock time.Duration
}

// newLateHarness is such a harness with a job of the given steps; further workers are w2 and w3.
func newLateHarness(t *testing.T, steps ...gauge.Step) *lateHarness {
	t.Helper()
	g := &lateHarness{harness: newHarness(t, func(c *sched.Config) { c.MaxWorkerLease = maxLease }), clock: time.Hour}
	g.listRows(200, workerRow("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 1, g.clock, nil)
	g.adopt(1, false, steps...)
	starts := g.planStarts()
	g.late, g.other = starts[0], starts[len(starts)-1]
	g.listRows(201, fullRow("w1", 1), workerRow("w2", 1), workerRow("w3", 1))
	g.reportFrom("w2", nil)
	g.reportFrom("w3", nil)
	return g
}

// fullRow is the row of an incarnation of a worker that has no room for further starts.
func fullRow(id string, startedAt int64) gauge.Worker {
	row := workerRow(id, startedAt)
	row.Capacity.MilliCPU = 0
	return row
}

// reportFrom delivers a report of the first incarnation of a worker, with a clock that goes on.
func (g *lateHarness) reportFrom(id string, running []gauge.RunReport, ended ...gauge.EndReport) {
	g.clock += time.Millisecond
	g.answerHeartbeat(incarnationAt(id, 1), 1, g.clock, running, ended...)
}

// breakStart has the connection of the late start break.
func (g *lateHarness) breakStart() {
	g.pool.OrderAnswered(g.late, 0, gauge.Errorf(gauge.KindUnknown, "EOF"), g.now)
}

// answerStop has w1 list no runs and answer the stop of the late start, and list no runs again.
func (g *lateHarness) answerStop() {
	g.reportFrom("w1", nil)
	for _, o := range ofKind(g.plan(), sched.OrderStop) {
		g.pool.OrderAnswered(o, g.clock, nil, g.now)
	}
	g.reportFrom("w1", nil)
}

// passDeadline has the deadline of the late start pass on the clock of w1, which lists no runs.
func (g *lateHarness) passDeadline() {
	g.advance(1500 * time.Millisecond)
	g.clock += 1500 * time.Millisecond
	g.reportFrom("w1", nil)
}

// waitForCause lets the time pass after which the cause of a worker's loss is decided.
func (g *lateHarness) waitForCause() {
	for range 15 {
		g.advance(100 * time.Millisecond)
	}
	g.clock += 1500 * time.Millisecond
	g.reportFrom("w2", nil)
}

// startAgain returns the starts of the late start's task that the owner orders by now.
func (g *lateHarness) startAgain() []sched.Order {
	var starts []sched.Order
	for _, o := range g.startsAfterWrites() {
		if o.Start.Task == g.late.Start.Task {
			starts = append(starts, o)
		}
	}
	return starts
}

// assertOneRun has the next incarnation of w1 carry out the late start, beside runs of its task that
// were ordered since.
func (g *lateHarness) assertOneRun(others []sched.Order) {
	g.t.Helper()
	for _, o := range others {
		assert.Assert(g.t, o.Start.Task != g.late.Start.Task, "two runs of %s at the same time: run %d on %s and run %d on the next incarnation of w1, %v after that start was ordered",
			g.late.Start.Task, o.Start.Run, o.Worker.ID, g.late.Start.Run, g.now)
	}
}

// assertNotDone has the next incarnation of w1 carry out the late start after a run of its task has
// ended done on another worker and the end was acknowledged.
func (g *lateHarness) assertNotDone(others []sched.Order) {
	g.t.Helper()
	for _, o := range others {
		g.confirm([]sched.Order{o})
		g.reportFrom(o.Worker.ID, nil, g.endReport(o.Worker.ID, o.Start.Task, o.Start.Run, gauge.EndDone))
		g.writeAll(900)
		_, call, _ := g.pool.NextHeartbeat(incarnationAt(o.Worker.ID, 1), g.now)
		assert.Assert(g.t, call.LastSeenEnd < g.ends[o.Worker.ID], "%s starts, as run %d on the next incarnation of w1, after run %d has ended done and the end was taken note of",
			g.late.Start.Task, g.late.Start.Run, o.Start.Run)
	}
}

func gangStep(count int) gauge.Step {
	s := newStep(count)
	s.Gang = true
	return s
}

// Guards against two runs: an answered stop settles a broken start, which the next incarnation carries out.
func TestStartBarredByAStopHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.answerStop()
	g.assertOneRun(g.startAgain())
}

// Guards against a start after a done end: as before, and the second run has ended by then.
func TestStartBarredByAStopIsNotCarriedOutAfterTheTaskIsDone(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.answerStop()
	g.assertNotDone(g.startAgain())
}

// Guards against a start after a done end: as before, and the second run was on the same incarnation.
func TestStartBarredByAStopIsNotCarriedOutAfterTheTaskIsDoneThere(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.answerStop()
	g.listRows(250, workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
	g.assertNotDone(g.startAgain())
}

// Guards against two runs: the deadline of a broken start passes on the clock of one incarnation only.
func TestStartPastItsDeadlineHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.passDeadline()
	g.assertOneRun(g.startAgain())
}

// Guards against a start after a done end: the deadline of a broken start passed, and a second run has ended.
func TestStartPastItsDeadlineIsNotCarriedOutAfterTheTaskIsDone(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.passDeadline()
	g.assertNotDone(g.startAgain())
}

// Guards against two runs: the deadline passes of a start that has no outcome at all yet.
func TestStartWithoutOutcomePastItsDeadlineHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.passDeadline()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: a start times out after its deadline has passed on the worker's clock.
func TestStartThatTimesOutAfterItsDeadlineHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.advance(1500 * time.Millisecond)
	g.clock += 1500 * time.Millisecond
	g.pool.OrderAnswered(g.late, 0, gauge.Errorf(gauge.KindUnknown, "deadline exceeded"), g.now)
	g.reportFrom("w1", nil)
	g.assertOneRun(g.startAgain())
}

// Guards against two runs of a long-running task: the first is found where its start was barred.
func TestLongRunningStartBarredByAStopHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, longRunningStep(1))
	g.breakStart()
	g.answerStop()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs of a long-running task whose start's deadline has passed.
func TestLongRunningStartPastItsDeadlineHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, longRunningStep(1))
	g.breakStart()
	g.passDeadline()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs of a gang's member: the gang starts again once its members' starts are barred.
func TestGangStartBarredByAStopHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, gangStep(2))
	g.breakStart()
	g.pool.OrderAnswered(g.other, 0, gauge.Errorf(gauge.KindUnknown, "EOF"), g.now)
	g.answerStop()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs of a gang's member: the other member was refused, and the start is barred.
func TestGangStartBarredAfterARefusalHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, gangStep(2))
	g.breakStart()
	g.pool.OrderAnswered(g.other, g.clock, gauge.Errorf(gauge.KindPastDeadline, "late"), g.now)
	g.answerStop()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs of a gang's members, none of whose starts has an outcome.
func TestGangStartPastItsDeadlineHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, gangStep(2))
	g.breakStart()
	g.passDeadline()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: the worker has started again in another pool, whose owner doesn't stop the start.
func TestStartToAWorkerThatJoinedAnotherPoolHasNoSecondRun(t *testing.T) {
	for _, broken := range []bool{true, false} {
		g := newLateHarness(t, newStep(1))
		if broken {
			g.breakStart()
		}
		g.failHeartbeatOf(incarnationAt("w1", 1))
		other := workerRow("w1", 2)
		other.Pool = "other"
		g.listRows(300, other, workerRow("w2", 1), workerRow("w3", 1))
		g.waitForCause()
		g.assertOneRun(g.startAgain())
	}
}

// Guards against two runs: the next incarnation has answered with the old token, and is listed in another pool.
func TestStartPassedOnToAWorkerOfAnotherPoolHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	_, call, _ := g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
	assert.Assert(t, call.Fence <= g.late.Start.Fence, "the call doesn't bar the start")
	g.pool.HandleReport(incarnationAt("w1", 1), call, &gauge.WorkerReport{StartedAt: 2, Clock: time.Second}, g.now)
	other := workerRow("w1", 2)
	other.Pool = "other"
	g.listRows(300, other, workerRow("w2", 1), workerRow("w3", 1))
	g.waitForCause()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: the next incarnation answers the stop, and the one after it carries out the start.
func TestStartBarredInTheNextIncarnationHasNoSecondRunAfterAnotherRestart(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, fullRow("w1", 2), workerRow("w2", 1), workerRow("w3", 1))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	for _, o := range ofKind(g.plan(), sched.OrderStop) {
		g.pool.OrderAnswered(o, time.Second, nil, g.now)
	}
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second, nil)
	g.waitForCause()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: the worker goes silent and is unlisted after its stop was answered.
func TestStartBarredByAStopHasNoSecondRunOnceItsWorkerIsUnlisted(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.answerStop()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w2", 1), workerRow("w3", 1))
	g.advance(100 * time.Millisecond)
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: the worker goes silent and is unlisted while the start has no answer.
func TestUnsettledStartHasNoSecondRunOnceItsWorkerIsUnlisted(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w2", 1), workerRow("w3", 1))
	for range 70 {
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w2", nil)
		g.assertOneRun(g.startAgain())
	}
}

// Guards against a run of a cancelled job: its barred start is carried out, and isn't stopped.
func TestBarredStartOfACancelledJobIsStopped(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.pool.Cancel(jobID(1), 500)
	g.answerStop()
	g.writeAll(600)
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, []gauge.RunReport{runReport(g.late)})
	g.advance(250 * time.Millisecond) // the least time between two stops of one run
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 1, "a task of a cancelled job runs on")
}

// Guards against two runs: a second run on the same incarnation is lost with it, a third starts elsewhere.
func TestBarredStartHasNoThirdRunAfterTheSecondWasLost(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.answerStop()
	g.listRows(250, workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
	second := g.startAgain()
	if len(second) == 0 {
		return // nothing was started beside it
	}
	g.confirm(second)
	assert.Equal(t, second[0].Worker.ID, "w1")
	g.reportFrom("w1", []gauge.RunReport{runReport(second[0])})
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, nil) // its report was made before the late start came
	g.listRows(300, fullRow("w1", 2), workerRow("w2", 1), workerRow("w3", 1))
	g.waitForCause()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: stops are answered while heartbeats fail, and the worker is unlisted.
func TestStartBarredBySilentWorkerHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w2", 1), workerRow("w3", 1))
	for range 70 {
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		for _, o := range ofKind(g.plan(), sched.OrderStop) {
			g.pool.OrderAnswered(o, g.clock, nil, g.now)
		}
		g.reportFrom("w2", nil)
		g.assertOneRun(g.startAgain())
	}
}

// Guards against two runs: the next incarnation answers the start with a clock like the last one's.
func TestAnswerWithAClockLikeThePreviousIncarnationsHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.pool.OrderAnswered(g.late, g.clock, nil, g.now)
	g.reportFrom("w1", nil) // made before the next incarnation began
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: the next incarnation answers the stop, by a clock ahead, and the last one's report comes late.
func TestStopAnsweredByAnUnknownIncarnationDoesNotSettleTheStart(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.reportFrom("w1", nil)
	for _, o := range ofKind(g.plan(), sched.OrderStop) {
		g.pool.OrderAnswered(o, 2*time.Hour, nil, g.now) // the clock of the next incarnation is ahead
	}
	g.reportFrom("w1", nil)
	g.assertOneRun(g.startAgain())
}
