package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

const (
	// slowClockLease is the longest lease on a clock that is as slow as a worker's may be: it shows
	// 98 % of the time that passes.
	slowClockLease = maxLease * 100 / 98
	// latestStart is when a task has to start at the latest after a start of it failed at time zero
	// whose worker was never heard again, with the time that is left for finding the cause of that
	// loss.
	latestStart = queueSpan + slowClockLease + 3500*time.Millisecond
)

// bar has w1, which is being drained, list no runs and answer the stop of the late start, so that
// only another incarnation can carry it out.
func (g *lateHarness) bar() {
	g.t.Helper()
	g.pool.DrainWorker("w1", false, g.now) // so that the start isn't repeated there
	g.reportFrom("w1", nil)
	stops := ofKind(g.plan(), sched.OrderStop)
	assert.Assert(g.t, len(stops) > 0, "the start isn't stopped")
	for _, o := range stops {
		g.pool.OrderAnswered(o, g.clock, nil, g.now)
	}
	g.reportFrom("w1", nil)
}

// assertStartsBy asserts that the late start's task starts by a time while w1 doesn't answer.
func (g *lateHarness) assertStartsBy(limit time.Duration) {
	g.t.Helper()
	for len(g.startAgain()) == 0 {
		assert.Assert(g.t, g.now < limit, "the task hasn't started again at %v", g.now)
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w2", nil)
		g.reportFrom("w3", nil)
	}
}

// Guards against two runs: a start is carried out late by an incarnation that never answers, whatever
// the platform lists, and runs under its own lease; and against a task that never starts again.
func TestLateStartIsWaitedForUntilItsLeaseIsOver(t *testing.T) {
	elsewhere := workerRow("w1", 2)
	elsewhere.Pool = "other"
	lists := []struct {
		name string
		rows []gauge.Worker
	}{
		{"not listed", nil},
		{"listed as before", []gauge.Worker{fullRow("w1", 1)}},
		{"next incarnation listed", []gauge.Worker{fullRow("w1", 2)}},
		{"next incarnation listed in another pool", []gauge.Worker{elsewhere}},
	}
	steps := []struct {
		name string
		step gauge.Step
	}{{"task", newStep(1)}, {"gang", gangStep(2)}, {"long-running task", longRunningStep(1)}}
	for _, list := range lists {
		for _, step := range steps {
			for _, barred := range []bool{false, true} {
				name := step.name + ", " + list.name
				if barred {
					name += ", barred in the first incarnation"
				}
				t.Run(name, func(t *testing.T) {
					g := newLateHarness(t, step.step)
					g.breakStart()
					if step.step.Gang {
						g.pool.OrderAnswered(g.other, 0, gauge.Errorf(gauge.KindUnknown, "EOF"), g.now)
					}
					if barred {
						g.bar()
					}
					g.failHeartbeatOf(incarnationAt("w1", 1))
					g.listRows(300, append([]gauge.Worker{workerRow("w2", 1), workerRow("w3", 1)}, list.rows...)...)
					g.failHeartbeatOf(incarnationAt("w1", 2))
					g.assertNoStartFor(queueSpan + slowClockLease - 200*time.Millisecond)
					g.assertStartsBy(latestStart)
				})
			}
		}
	}
}

// Guards against two runs: the worker answers until just before its start can't be carried out any
// more, and its next incarnation carries it out in the last moment.
func TestLateStartIsWaitedForAfterItsWorkerGoesSilentInTheLastMoment(t *testing.T) {
	for _, step := range []gauge.Step{newStep(1), longRunningStep(1)} {
		g := newLateHarness(t, step)
		g.breakStart()
		g.bar()
		g.answerUntil(queueSpan - 100*time.Millisecond)
		_, call, _ := g.pool.NextHeartbeat(incarnationAt("w1", 1), g.now)
		g.advance(200 * time.Millisecond)
		// This report was made before the worker started again, and arrives now.
		g.pool.HandleReport(incarnationAt("w1", 1), call, &gauge.WorkerReport{StartedAt: 1, Clock: g.clock + time.Millisecond}, g.now)
		g.assertOneRun(g.startAgain())
		g.failHeartbeatOf(incarnationAt("w1", 1))
		g.listRows(300, workerRow("w2", 1), workerRow("w3", 1))
		g.assertNoStartFor(queueSpan + slowClockLease - 200*time.Millisecond - g.now)
		g.assertStartsBy(latestStart)
	}
}

// Guards against a task that waits for a lease although its worker has answered and doesn't have it.
func TestLateStartIsOverOnceItsWorkerHasAnsweredAfterIt(t *testing.T) {
	for _, step := range []gauge.Step{newStep(1), gangStep(2), longRunningStep(1)} {
		g := newLateHarness(t, step)
		g.breakStart()
		if step.Gang {
			g.pool.OrderAnswered(g.other, 0, gauge.Errorf(gauge.KindUnknown, "EOF"), g.now)
		}
		g.bar()
		g.answerUntil(queueSpan)
		assert.Assert(t, len(g.startAgain()) > 0, "w1 has answered a call made after its start could be carried out")
	}
}

// answerUntil has w1 and the others answer, listing nothing, until a time, and asserts that the late
// start's task isn't started before.
func (g *lateHarness) answerUntil(end time.Duration) {
	g.t.Helper()
	for g.now < end {
		g.assertOneRun(g.startAgain())
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		for _, id := range []string{"w1", "w2", "w3"} {
			g.reportFrom(id, nil)
		}
	}
}

// Guards against an answer that is waited for longer than needed: the worker is asked as soon as its
// start can't be carried out any more.
func TestWorkerIsAskedOnceItsLateStartCannotBeCarriedOut(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.bar()
	g.answerUntil(queueSpan - 100*time.Millisecond)
	g.plan()
	g.advance(100 * time.Millisecond)
	var probes []sched.Order
	for _, o := range ofKind(g.plan(), sched.OrderProbe) {
		if o.Worker.ID == "w1" {
			probes = append(probes, o)
		}
	}
	assert.Equal(t, len(probes), 1)
	g.clock += 100 * time.Millisecond
	g.pool.HandleReport(incarnationAt("w1", 1), probes[0].Probe, &gauge.WorkerReport{StartedAt: 1, Clock: g.clock}, g.now)
	assert.Assert(t, len(g.startAgain()) > 0)
}

// Guards against a task that waits although no other incarnation can carry out its start: the ticket
// that the start has is valid for one incarnation only.
func TestStartWithATicketIsNotWaitedFor(t *testing.T) {
	g := &lateHarness{harness: newHarness(t, func(c *sched.Config) { c.MaxWorkerLease = maxLease }), clock: time.Hour}
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2, Advice: &gauge.Advice{TicketValidity: time.Minute},
	}}})
	g.listRows(200, workerRow("w1", 1))
	g.reportFrom("w1", nil)
	g.adopt(1, false, newStep(1))
	g.late = g.startWithTicket("w1")
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w2", 1))
	g.reportFrom("w2", nil)
	for range 30 { // its lease, granted for a second, and the time in which the cause of its loss is found
		g.advance(100 * time.Millisecond)
	}
	g.reportFrom("w2", nil)
	again := g.startWithTicket("w2")
	assert.Equal(t, again.Start.Task, g.late.Start.Task)
}

// startWithTicket has the advice service give a ticket for a worker, and returns the start there.
func (g *lateHarness) startWithTicket(id string) sched.Order {
	g.t.Helper()
	g.writeAll(int64(500) + g.now.Milliseconds())
	for _, o := range ofKind(g.plan(), sched.OrderAdvise) {
		g.pool.AdviceAnswered(o, []gauge.Ticket{{Worker: id, Text: "t"}}, 0, nil, g.now)
	}
	starts := g.startsAfterWrites()
	assert.Equal(g.t, len(starts), 1)
	return starts[0]
}

// Guards against two runs: the owner hands the pool over while an incarnation that it hasn't heard may
// have carried out a start, and doesn't tell its successor.
func TestSuccessorWaitsForLateStartsOfItsPredecessor(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.failHeartbeatOf(incarnationAt("w1", 1))
	g.listRows(300, workerRow("w2", 1), workerRow("w3", 1))
	g.assertNoStartFor(8 * time.Second)
	ends := make(map[gauge.Incarnation]time.Duration)
	for incarnation, left := range g.pool.RemainingLeases(g.now) {
		ends[incarnation] = g.now + left
	}
	previous := g.pool.LeaseRowWorkers()
	g.harness = newHarness(t, func(c *sched.Config) {
		c.Term, c.MaxWorkerLease, c.PreviousWorkers, c.PreviousRunsEnd, c.WorkerRunsEnd = 1, maxLease, previous, g.now+6*time.Second, ends
	})
	g.now = 8 * time.Second
	g.adopt(1, true, newStep(1))
	g.listRows(400, workerRow("w2", 1), workerRow("w3", 1))
	g.assertNoStartFor(queueSpan + slowClockLease - 200*time.Millisecond - g.now)
}
