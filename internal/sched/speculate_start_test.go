package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against a third run while a copy's start that got no answer may still be carried out, and
// against a copy's start that is sent once more. The first run goes on.
func TestCopyWhoseStartGetsNoAnswerIsStopped(t *testing.T) {
	for _, startedAt := range []int64{0, 1} {
		t.Run(fmt.Sprint("started at ", startedAt), func(t *testing.T) {
			g := newCopyHarnessWith(t, startedAt, []string{"w1", "w2", "w3"})
			task := taskOf(1, 0)
			g.lose = func(o sched.Order) (bool, bool) { second := len(g.starts[task]) == 2; return second, !second }
			g.stallFirst(speculativeStep(3))
			g.passUntil("copy", func() bool { return len(g.starts[task]) == 2 })
			g.pass(20 * time.Second)
			assert.Equal(t, len(g.starts[task]), 2)
			assert.Equal(t, len(g.running(task)), 1)
			assert.Equal(t, g.events[sched.EventCopyLost], 1)
			delete(g.stalled, g.key(task, 0))
			g.assertCompleted()
		})
	}
}

// Guards against a start after the end as done: a copy's start that got no answer may be carried out
// by the worker's next incarnation, so the first run's end is acknowledged only once it can't be.
func TestEndWaitsForTheLateStartOfACopy(t *testing.T) {
	g := newCopyHarnessWith(t, 1, []string{"w1", "w2", "w3"})
	task := taskOf(1, 0)
	g.lose = func(o sched.Order) (bool, bool) { second := len(g.starts[task]) == 2; return second, !second }
	g.stallFirst(speculativeStep(3))
	g.passUntil("copy", func() bool { return len(g.starts[task]) == 2 })
	lostAt := g.now
	delete(g.stalled, g.key(task, 0))
	g.passUntil("acknowledgement", func() bool { return g.acked[task] })
	assert.Assert(t, g.now >= lostAt+queueSpan, "acknowledged %v after the copy's start", g.now-lostAt)
}

// Guards against a copy that is stopped although it runs: its start got no answer, and its worker
// lists it.
func TestCopyWhoseWorkerListsItGoesOn(t *testing.T) {
	for _, startedAt := range []int64{0, 1} {
		g := newCopyHarnessWith(t, startedAt, []string{"w1", "w2", "w3"})
		task := taskOf(1, 0)
		g.lose = func(o sched.Order) (bool, bool) { return len(g.starts[task]) == 2, true }
		g.stallFirst(speculativeStep(3))
		g.passUntil("copy", func() bool { return len(g.starts[task]) == 2 })
		g.passUntil("completed job", func() bool { return g.rows[jobID(1)].State == gauge.JobCompleted })
		assert.Equal(t, g.events[sched.EventCopyWon], 1)
		assert.Equal(t, len(g.starts[task]), 2)
	}
}

// Guards against a start that gets no answer, is passed on to its worker's next incarnation and goes
// on there as a third run: the first run is still there.
func TestCopyOfAnEarlierIncarnationIsStopped(t *testing.T) {
	g := newCopyHarnessWith(t, 1, []string{"w1", "w2", "w3"})
	task := taskOf(1, 0)
	g.lose = func(o sched.Order) (bool, bool) { second := len(g.starts[task]) == 2; return second, !second }
	g.stallFirst(speculativeStep(3))
	g.passUntil("copy", func() bool { return len(g.starts[task]) == 2 })
	id, run := g.worker(task, 1), g.key(task, 1).run
	g.failHeartbeatOf(incarnationAt(id, 1))
	g.answerHeartbeat(incarnationAt(id, 1), 2, time.Second, []gauge.RunReport{{Task: task, Run: run}})
	stops := ofKind(g.plan(), sched.OrderStop)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Worker.Incarnation(), incarnationAt(id, 2))
	assert.Equal(t, stops[0].Stop.Run, run)
}

// Guards against two runs beside a third: a start was repeated, and the first of the two may still be
// carried out by the worker's next incarnation.
func TestRunThatMayStartAgainLateHasNoCopy(t *testing.T) {
	g := newCopyHarnessWith(t, 1, []string{"w1", "w2", "w3"})
	task := taskOf(1, 0)
	g.lose = func(o sched.Order) (bool, bool) {
		first := len(g.starts[task]) == 1 && o.Start.Task == task
		return first, !first
	}
	g.submit(1, speculativeStep(3))
	g.passUntil("repeated start", func() bool { return len(g.starts[task]) == 2 })
	lostAt := g.now
	assert.Equal(t, g.key(task, 0), g.key(task, 1))
	g.stalled[g.key(task, 1)] = true
	for n := 2; len(g.starts[task]) == 2; n++ {
		g.submit(n, speculativeStep(1)) // shows that others progress
		g.pass(500 * time.Millisecond)
	}
	assert.Assert(t, g.now >= lostAt+queueSpan, "a copy starts %v after the start that was repeated", g.now-lostAt)
}

// Guards against a copy on a worker whose next incarnation may carry out another start beside it, for
// which no room is kept.
func TestCopyAvoidsWorkersWithLateStarts(t *testing.T) {
	g := newCopyHarnessWith(t, 1, []string{"w1", "w2"})
	g.submit(1, speculativeStep(3))
	g.pass(100 * time.Millisecond)
	assert.Equal(t, g.worker(taskOf(1, 0), 0), g.worker(taskOf(1, 2), 0))
	large := newStep(1)
	large.Needs.MilliCPU = 2000 // only the other worker has room for it
	g.lose = func(o sched.Order) (bool, bool) { lost := o.Start.Task.Job == jobID(2); return lost, !lost }
	g.submit(2, large)
	g.pass(400 * time.Millisecond)
	g.stalled[g.key(taskOf(1, 0), 0)] = true
	g.pass(queueSpan)
	assert.Equal(t, g.events[sched.EventCopyStarted], 0)
	g.passUntil("copy", func() bool { return len(g.starts[taskOf(1, 0)]) == 2 })
}

// Guards against a refused copy that leaves a straggler without another one.
func TestRefusedCopyIsTriedAgain(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2", "w3")
	g.stallFirst(speculativeStep(3))
	var refused []sched.Order
	for len(refused) == 0 {
		g.advance(100 * time.Millisecond)
		g.work()
		g.reportAll()
		refused = ofKind(g.plan(), sched.OrderStart)
	}
	g.pool.OrderAnswered(refused[0], g.workerClock(), gauge.Errorf(gauge.KindNoRoom, "full"), g.now)
	g.passUntil("copy", func() bool { return len(g.starts[taskOf(1, 0)]) == 2 })
	g.assertCompleted()
}

// Guards against copies because the first listing of another run counts as progress. Load pattern: no
// run of the pool progresses, and jobs keep coming.
func TestRunThatBeginsIsNoProgressOfItsQueue(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2", "w3")
	g.lose = func(o sched.Order) (bool, bool) {
		g.stalled[startKey{o.Start.Task, o.Start.Run}] = true
		return false, true
	}
	g.submit(1, speculativeStep(3))
	for n := range 8 {
		g.pass(500 * time.Millisecond)
		g.submit(2+n, speculativeStep(1))
	}
	assert.Equal(t, g.events[sched.EventCopyStarted], 0)
}
