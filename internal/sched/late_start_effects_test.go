package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// queueSpan is how long workers leave a start unanswered at most before they carry it out.
const queueSpan = 12 * time.Second

// assertNoStartFor lets time pass in which w1 doesn't answer and w2 and w3 do, and asserts that the
// late start's task isn't started.
func (g *lateHarness) assertNoStartFor(span time.Duration) {
	g.t.Helper()
	for until := g.now + span; g.now < until; {
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w2", nil)
		g.reportFrom("w3", nil)
		g.assertOneRun(g.startAgain())
	}
}

// Guards against two runs: a start that is carried out at the end of the time for which it may be
// queued runs on under its own lease there, and its worker doesn't answer.
func TestLateStartOnASilentWorkerRunsUnderItsOwnLease(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w2", 1), workerRow("w3", 1))
	g.assertNoStartFor(queueSpan + maxLease - 200*time.Millisecond)
}

// The same if the next incarnation is listed, but doesn't answer.
func TestLateStartOnASilentNextIncarnationRunsUnderItsOwnLease(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, fullRow("w1", 2), workerRow("w2", 1), workerRow("w3", 1))
	g.failHeartbeatOf(incarnationAt("w1", 2))
	g.assertNoStartFor(queueSpan + maxLease - 200*time.Millisecond)
}

// Guards against two runs: by its clock, a later incarnation has answered the start, and so has the
// run; it doesn't answer heartbeats.
func TestStartAnsweredByALaterIncarnationIsNotLostWithTheEarlierOnesLease(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.advance(2 * time.Second)
	g.pool.OrderAnswered(g.late, time.Second, nil, g.now) // carried out now, with a lease of its own
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.assertNoStartFor(maxLease - 200*time.Millisecond)
}

// The same if that incarnation is listed in another pool.
func TestStartAnsweredByALaterIncarnationOfAnotherPoolHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.pool.OrderAnswered(g.late, time.Second, nil, g.now)
	other := workerRow("w1", 2)
	other.Pool = "other"
	g.listRows(300, other, workerRow("w2", 1), workerRow("w3", 1))
	g.waitForCause()
	g.assertOneRun(g.startAgain())
}

// Guards against two runs: a start that was passed on is answered by the next incarnation, which
// doesn't answer heartbeats and isn't asked with a higher token.
func TestPassedOnStartAnsweredBySilentIncarnationHasNoSecondRun(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, fullRow("w1", 2), workerRow("w2", 1), workerRow("w3", 1))
	g.failHeartbeatOf(incarnationAt("w1", 2))
	g.assertNoStartFor(5 * time.Second)
	g.pool.OrderAnswered(g.late, time.Second, nil, g.now) // carried out now
	g.assertNoStartFor(maxLease - 200*time.Millisecond)
}

// Guards against two runs: a second run is ordered where a late start has been settled, and the
// incarnation after that one carries out both starts, in the order of their numbers.
func TestTwoStartsAreNotQueuedForOneWorkerAtOnce(t *testing.T) {
	g := newLateHarness(t, gangStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w1", 2), fullRow("w2", 1), fullRow("w3", 1))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	for _, o := range ofKind(g.plan(), sched.OrderStop) {
		g.pool.OrderAnswered(o, time.Second, nil, g.now)
	}
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second, nil)
	g.waitForCause()
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 4*time.Second, nil)
	g.assertOneRun(g.startAgain())
}

// Guards against crashes that aren't counted: a start was sent twice; one copy crashed the worker,
// and the next incarnation carries out the other one.
func TestRepeatedStartListedByTheNextIncarnationDoesNotRevokeTheLoss(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.listRows(210, workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
	g.breakStart()
	g.reportFrom("w1", nil)
	again := g.startAgain()
	assert.Equal(t, len(again), 1, "the start is to be repeated")
	assert.Equal(t, again[0].Start.Run, g.late.Start.Run)
	g.pool.OrderAnswered(again[0], 0, gauge.Errorf(gauge.KindUnknown, "EOF"), g.now) // one copy has crashed the worker
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, []gauge.RunReport{runReport(g.late)})
	b := g.writeAll(800)
	g.waitForCause()
	last := g.writeAll(801)
	b.Changes = append(b.Changes, last.Changes...)
	crashes := 0
	for _, c := range b.Changes {
		row, err := gauge.DecodeJobRow(c.Row)
		assert.NilError(t, err)
		crashes = 0
		for _, records := range row.SuspectRuns {
			crashes += records.CrashCount()
		}
	}
	assert.Equal(t, crashes, 1, "the loss of the first incarnation, which may have been caused by one copy of the start, isn't recorded")
}

// Guards against ends that aren't listed any more: a worker lists 500 at a time, and the first one
// isn't acknowledged as it waits for a late start.
func TestHeldEndDoesNotKeepAWorkersFurtherEndsFromBeingListed(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.listRows(210, workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
	g.breakStart()
	g.reportFrom("w1", nil)
	again := g.startAgain()
	assert.Equal(t, len(again), 1, "the start is to be repeated")
	g.confirm(again)
	ends := []gauge.EndReport{g.endReport("w1", g.late.Start.Task, g.late.Start.Run, gauge.EndDone)}
	for range 499 {
		ends = append(ends, g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
	}
	g.reportFrom("w1", nil, ends...)
	g.writeAll(900)
	for range 40 {
		g.advance(100 * time.Millisecond)
		g.reportFrom("w1", nil, ends...)
	}
	_, call, _ := g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
	assert.Assert(t, call.LastSeenEnd > 0, "after 4 s no end is acknowledged, so that the worker lists no end after its first 500")
}

// Guards against members that wait in vain: the start of one is given up without an end report.
func TestGangIsStoppedWhenTheRepeatedStartOfAMemberIsGivenUp(t *testing.T) {
	s := gangStep(2)
	s.PerWorker = 1
	g := &lateHarness{harness: newHarness(t, func(c *sched.Config) { c.MaxWorkerLease = maxLease }), clock: time.Hour}
	g.listRows(200, workerRow("w1", 1), workerRow("w2", 1))
	g.reportFrom("w1", nil)
	g.reportFrom("w2", nil)
	g.adopt(1, false, s)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 2)
	g.late, g.other = starts[0], starts[1]
	g.breakStart()
	g.pool.OrderAnswered(g.other, g.clock, nil, g.now)
	g.reportFrom(g.other.Worker.ID, []gauge.RunReport{runReport(g.other)})
	g.pool.DrainWorker(g.late.Worker.ID, false, g.now) // the start can't be repeated there any more
	g.reportFrom(g.late.Worker.ID, nil)
	for range 20 {
		for _, o := range g.plan() {
			if o.Kind == sched.OrderStop && o.Worker.ID == g.other.Worker.ID {
				return
			}
			if o.Kind == sched.OrderStop {
				g.pool.OrderAnswered(o, g.clock, nil, g.now)
			}
		}
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom(g.late.Worker.ID, nil)
		g.reportFrom(g.other.Worker.ID, []gauge.RunReport{runReport(g.other)})
	}
	t.Error("the other member runs on alone 2 s after the start of this one was given up")
}

// Guards against an end that is acknowledged while a start of another run of its task, which isn't
// over for the owner, may still be carried out.
func TestDoneEndWaitsForUnansweredStartsOfTheTasksOtherRuns(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	const found = 77 // started by whoever had the pool before
	g.reportFrom("w2", []gauge.RunReport{{Task: g.late.Start.Task, Run: found}})
	g.reportFrom("w2", nil, g.endReport("w2", g.late.Start.Task, found, gauge.EndDone))
	g.writeAll(900)
	_, call, _ := g.pool.NextHeartbeat(incarnationAt("w2", 1), g.now)
	assert.Assert(t, call.LastSeenEnd < g.ends["w2"], "the end is acknowledged, and w1 may still carry out its start without an answer")
}

// Guards against crashes that aren't attributed to a task's start: a run that begins on the next
// incarnation, seconds after it was ordered, hasn't lived since it was ordered.
func TestRunThatBeginsLateHasNotLivedSinceItsOrder(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	for range 80 {
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w1", nil)
		g.reportFrom("w2", nil)
		g.assertOneRun(g.startAgain())
	}
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, []gauge.RunReport{runReport(g.late)}) // it has just begun there
	g.failHeartbeatOf(incarnationAt("w1", 2))
	g.failHeartbeatOf(incarnationAt("w1", 2)) // from the second failure on its runs are recorded
	b := g.writeAll(900)
	for _, c := range b.Changes {
		row, err := gauge.DecodeJobRow(c.Row)
		assert.NilError(t, err)
		for _, records := range row.SuspectRuns {
			for _, record := range records {
				assert.Assert(t, record.RunTime < 2*time.Second, "recorded as having lived for %v", record.RunTime)
			}
		}
	}
}

// Guards against a long-running task that is stopped on a sound worker although it can't start
// anywhere else yet, as a copy of its start may still be carried out.
func TestLongRunningTaskIsNotEvacuatedWhileItsLateStartBarsOthers(t *testing.T) {
	g := newLateHarness(t, longRunningStep(1))
	again := g.repeatStart()
	g.listRows(300, workerRow("w1", 1), workerRow("w2", 1), workerRow("w3", 1))
	running := []gauge.RunReport{runReport(again)}
	running[0].Progress = 100
	for range 150 {
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w1", running)
		g.reportFrom("w2", nil)
		g.reportFrom("w3", nil)
		g.writeAll(int64(1000) + g.now.Milliseconds())
		g.pool.DrainWorker("w1", false, g.now)
		for _, o := range ofKind(g.plan(), sched.OrderStop) {
			g.pool.OrderAnswered(o, g.clock, nil, g.now)
			g.reportFrom("w1", nil, g.endReport("w1", o.Stop.Task, o.Stop.Run, gauge.EndStopped))
			g.assertStartsWithin(time.Second)
			return
		}
	}
	t.Error("it hasn't left the worker although a copy of its start can't be carried out any more")
}

// assertStartsWithin asserts that the late start's task starts again on another worker before long.
func (g *lateHarness) assertStartsWithin(limit time.Duration) {
	g.t.Helper()
	stoppedAt := g.now
	for len(g.startAgain()) == 0 {
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w2", nil)
		g.reportFrom("w3", nil)
		assert.Assert(g.t, g.now < stoppedAt+queueSpan+maxLease, "it doesn't start again")
	}
	assert.Assert(g.t, g.now <= stoppedAt+limit, "it was stopped on w1 at %v, and starts again only at %v", stoppedAt, g.now)
}

// Guards against a start on a worker without the label that its step requires: the next incarnation
// of a worker may be of another kind. The previous one was leaving, so that its loss makes the task
// no suspect, and the start is repeated.
func TestStartIsNotRepeatedOnANextIncarnationWithoutTheLabel(t *testing.T) {
	s := newStep(1)
	s.Label = "a"
	g := newLateHarness(t, s)
	g.breakStart()
	leaving := workerRow("w1", 1)
	leaving.Draining = true
	g.listRows(210, leaving, fullRow("w2", 1), fullRow("w3", 1))
	g.failHeartbeatOf(incarnationAt("w1", 1))
	next := workerRow("w1", 2)
	next.Labels = []string{"b", "r-w1"}
	g.listRows(300, next, fullRow("w2", 1), fullRow("w3", 1))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	for _, o := range ofKind(g.plan(), sched.OrderStop) {
		g.pool.OrderAnswered(o, time.Second, nil, g.now)
	}
	g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second, nil)
	for _, o := range g.startAgain() {
		assert.Assert(t, o.Worker.ID != "w1", "run %d is started on w1, which doesn't have the label any more", o.Start.Run)
	}
	for g.now < queueSpan {
		g.waitHearing(2)
	}
	for _, o := range g.startAgain() {
		t.Errorf("run %d is started on %s, and only w1, without the label, has room", o.Start.Run, o.Worker.ID)
	}
	g.listRows(310, next, workerRow("w2", 1), fullRow("w3", 1))
	g.assertStartsWithin(200 * time.Millisecond)
}

// Guards against a cancelled task that runs on: a copy of its start was carried out, and another one
// is refused, after which the run still counted as one whose start has no outcome.
func TestRunOfACancelledJobIsStoppedAfterACopyOfItsStartWasRefused(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.listRows(210, workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
	g.breakStart()
	g.reportFrom("w1", nil)
	second := g.startAgain()
	assert.Equal(t, len(second), 1, "the start is to be repeated")
	g.pool.OrderAnswered(second[0], time.Second, nil, g.now) // by the next incarnation, which has the run
	g.reportFrom("w1", nil)                                  // made before that one began
	orders := g.plan()
	for _, o := range ofKind(orders, sched.OrderStart) {
		g.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindPastDeadline, "late"), g.now)
	}
	g.pool.Cancel(jobID(1), 500)
	for range 10 {
		orders = append(orders, g.plan()...)
		g.advance(100 * time.Millisecond)
	}
	if len(ofKind(orders, sched.OrderStop)) > 0 {
		return // also if it was stopped before it was cancelled
	}
	t.Error("no stop is sent for 1 s after the job was cancelled, and the next incarnation has the run")
}
