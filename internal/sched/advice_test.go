package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// A queue with an advice service starts nothing without a ticket. The owner asks about workers with
// room, and starts tasks only on those that it got a ticket for, while the ticket is valid.
func TestQueueWithAdviceStartsOnlyWithATicket(t *testing.T) {
	g := newHarness(t)
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2, Advice: &gauge.Advice{TicketValidity: 3 * time.Second},
	}}})
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	id := g.adopt(1, false, newStep(1))
	orders := g.plan()
	assert.Equal(t, len(ofKind(orders, sched.OrderStart)), 0)
	asks := ofKind(orders, sched.OrderAdvise)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Step, id+".0.0")
	assert.Equal(t, len(asks[0].AdviceWorkers), 2)
	assert.Equal(t, len(g.plan()), 0, "one request at a time")

	g.pool.AdviceAnswered(asks[0], []gauge.Ticket{{Worker: "w2", Text: "t"}}, 0, nil, g.now)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, "w2")
	assert.Equal(t, starts[0].Start.Ticket, "t")

	g.pool.OrderAnswered(starts[0], 0, gauge.Errorf(gauge.KindBadTicket, "ticket has expired"), g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderAdvise)), 1, "the service is asked again about the worker that refused")
}

func TestExpiredTicketIsNotUsed(t *testing.T) {
	g := newHarness(t)
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Advice: &gauge.Advice{TicketValidity: 3 * time.Second},
	}}})
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	ask := ofKind(g.plan(), sched.OrderAdvise)[0]
	asked := g.now
	g.advance(2900 * time.Millisecond)
	g.report("w1", nil)
	g.pool.AdviceAnswered(ask, []gauge.Ticket{{Worker: "w1", Text: "t"}}, 0, nil, asked)
	assert.Equal(t, len(g.planStarts()), 0)
}

// Occurrences of a schedule start when they are due, not before, and may overlap.
func TestScheduleStartsEachOccurrenceWhenItIsDue(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}, Repeats: 3, FirstAt: time.Unix(1001, 0), Interval: time.Second}
	g.pool.Adopt(sched.AcceptedJob{ID: jobID(1), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: g.now}, g.now)
	var at []int
	for range 40 {
		g.advance(100 * time.Millisecond)
		g.report("w1", nil)
		for _, o := range g.planStarts() {
			at = append(at, int(g.now/(100*time.Millisecond)))
			g.pool.OrderAnswered(o, g.workerClock(), nil, g.now)
			g.report("w1", nil, g.endReport("w1", o.Start.Task, o.Start.Run, gauge.EndDone))
		}
	}
	assert.DeepEqual(t, at, []int{10, 20, 30})
	b, err := g.pool.NextBatch(10, 1, skipNone)
	assert.NilError(t, err)
	row, err := gauge.DecodeJobRow(b.Changes[0].Row)
	assert.NilError(t, err)
	assert.Equal(t, row.State, gauge.JobCompleted)
}

// Best-effort tasks are throttled before the tail latency of a serving task on the same worker
// exceeds its target, and speed up again once it is far below.
func TestBestEffortTasksAreThrottledByTailLatency(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	serving := newStep(1)
	serving.LongRunning, serving.TailTarget = true, 100*time.Millisecond
	bestEffort := newStep(1)
	bestEffort.BestEffort = true
	g.adopt(1, false, serving)
	g.adopt(2, false, bestEffort)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 2)
	g.confirm(starts)
	throttle := func(tail int) []sched.Order {
		g.advance(100 * time.Millisecond)
		var reports []gauge.RunReport
		for _, o := range starts {
			r := runReport(o)
			r.Load = tail
			reports = append(reports, r)
		}
		g.report("w1", reports)
		orders := ofKind(g.plan(), sched.OrderPace)
		g.confirm(orders)
		return orders
	}
	assert.Equal(t, len(throttle(60)), 0)
	assert.Equal(t, throttle(85)[0].Pace.Percent, 50)
	assert.Equal(t, throttle(120)[0].Pace.Percent, 0)
	assert.Equal(t, len(throttle(70)), 0)
	assert.Equal(t, throttle(20)[0].Pace.Percent, 10)
}

// Guards against the use of a ticket that was given for a worker's previous incarnation, and that
// the next one refuses.
func TestTicketIsValidForOneIncarnation(t *testing.T) {
	g := newHarness(t)
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Advice: &gauge.Advice{TicketValidity: 3 * time.Second},
	}}})
	g.listRows(200, workerRow("w1", 1))
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour, nil)
	g.adopt(1, false, newStep(1))
	ask := ofKind(g.plan(), sched.OrderAdvise)[0]
	g.listRows(300, workerRow("w1", 2))
	g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, nil)
	g.pool.AdviceAnswered(ask, []gauge.Ticket{{Worker: "w1", Text: "t"}}, 0, nil, g.now)
	orders := g.plan()
	assert.Equal(t, len(ofKind(orders, sched.OrderStart)), 0)
	assert.Equal(t, len(ofKind(orders, sched.OrderAdvise)), 1, "the service is asked again about the current incarnation")
}
