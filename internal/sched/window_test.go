package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// withStartWindow limits the starts without an answer in the whole pool.
func withStartWindow(starts int) option {
	return func(c *sched.Config) { c.StartWindow = starts }
}

// Guards against an owner on a host with a slow link that gets no answer to most of its orders,
// takes workers for silent, and loses its pool. Much room is free and many tasks wait; if a start
// for each were sent at once, they would fill the link for longer than the timeout of a call, with
// heartbeats and lease renewals queued behind them.
func TestUnansweredStartsAreLimited(t *testing.T) {
	g := newHarness(t, withStartWindow(5))
	g.listWorkers("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		g.report(id, nil)
	}
	g.adopt(1, false, newStep(12))

	first := g.planStarts()
	assert.Equal(t, len(first), 5)
	assert.Equal(t, len(g.planStarts()), 0, "no start was answered")

	g.confirm(first[:2])
	second := g.planStarts()
	assert.Equal(t, len(second), 2, "as many starts as were answered")

	g.pool.OrderAnswered(first[2], 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.pool.OrderAnswered(first[3], 0, gauge.Errorf(gauge.KindOutage, "not sent"), g.now)
	assert.Equal(t, len(g.planStarts()), 2, "a start that failed makes room as well")
}

// Guards against a gang larger than the limit of unanswered starts that never starts: its starts go
// out all or none, so that the limit can't be applied to them one by one.
func TestGangLargerThanTheLimitStartsWhole(t *testing.T) {
	g := newHarness(t, withStartWindow(2))
	g.listWorkers("a")
	g.report("a", nil)
	s := newStep(4)
	s.Gang = true
	g.adopt(1, false, s)
	assert.Equal(t, len(g.planStarts()), 4)
}

// Guards against a pool that starts nothing under a limit of unanswered starts: a worker ends
// before it has answered its starts, which would count for ever.
func TestStartsOfADeadWorkerStopCounting(t *testing.T) {
	g := newHarness(t, withStartWindow(2))
	g.listWorkers("a")
	g.report("a", nil)
	g.adopt(1, false, newStep(4))
	first := g.planStarts()
	assert.Equal(t, len(first), 2)
	g.pool.HeartbeatFailed(incarnation("a"), gauge.Errorf(gauge.KindReplaced, "another incarnation"), g.now)
	g.listWorkers("b")
	g.report("b", nil)
	for _, o := range first {
		g.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now+300*time.Millisecond)
	}
	assert.Equal(t, len(g.planStarts()), 2)
}

// withWorkerStartWindow limits the starts without an answer on one worker.
func withWorkerStartWindow(starts int) option {
	return func(c *sched.Config) { c.WorkerStartWindow = starts }
}

// Guards against a pool that starts no task for two seconds though most workers have room. Two
// workers of ten become unreachable; starts go there first, as they are the fullest, and would use
// up a limit of unanswered starts that is only set for the whole pool.
func TestUnansweredStartsOfOneWorkerDoNotBlockOthers(t *testing.T) {
	g := newHarness(t, withStartWindow(4), withWorkerStartWindow(2))
	g.listWorkers("a", "b")
	g.report("a", nil)
	g.report("b", nil)
	g.adopt(1, false, newStep(8))
	at := make(map[string]int)
	for range 6 {
		for _, o := range g.planStarts() {
			at[o.Worker.ID]++
			if o.Worker.ID == "b" {
				g.confirm([]sched.Order{o})
			}
		}
	}
	assert.Equal(t, at["a"], 2)
	assert.Equal(t, at["b"], 4, "as many as it has room for")
}

// The same for as long as calls to a dead worker take to fail: its starts no longer count once the
// worker's incarnation is known to have ended, or a heartbeat to it got no answer.
func TestStartsOnASilentOrDeadWorkerDoNotCount(t *testing.T) {
	for _, kind := range []gauge.Kind{gauge.KindReplaced, gauge.KindUnknown} {
		g := newHarness(t, withStartWindow(2))
		g.listWorkers("a")
		g.report("a", nil)
		g.adopt(1, false, newStep(8))
		first := g.planStarts()
		assert.Equal(t, len(first), 2)
		g.pool.HeartbeatFailed(incarnation("a"), gauge.Errorf(kind, "no answer"), g.now)
		g.listWorkers("b")
		g.report("b", nil)
		second := g.planStarts()
		assert.Equal(t, len(second), 2, string(kind))
		g.confirm(first) // late answers count once
		assert.Equal(t, len(g.planStarts()), 0, string(kind))
	}
}

// Guards against rounds of starts that each wait for the same worker. A start gets no answer; its
// worker is the fullest one with room, and would get the next start as well before it has answered
// anything.
func TestWorkerWithAnUnansweredStartGetsNoneBeforeItsReport(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("a")
	g.report("a", nil)
	g.adopt(1, false, newStep(1))
	first := g.planStarts()
	g.pool.OrderAnswered(first[0], 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.adopt(2, false, newStep(1))
	assert.Equal(t, len(g.planStarts()), 0)
	g.now += time.Millisecond
	g.report("a", []gauge.RunReport{runReport(first[0])})
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against a link that is full of starts which workers refuse as too late. A start waits in
// the owner's process until its deadline has passed or its job is cancelled, so that it has to be
// checked again before it is sent.
func TestStartIsObsoleteAfterDeadlineOrCancellation(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("a")
	g.report("a", nil)
	id := g.adopt(1, false, newStep(1))
	late := g.planStarts()[0]
	assert.Assert(t, !g.pool.IsObsolete(late, g.now))
	assert.Assert(t, g.pool.IsObsolete(late, g.now+2*time.Second))
	g.pool.Cancel(id, fence+9)
	assert.Assert(t, g.pool.IsObsolete(late, g.now))
}
