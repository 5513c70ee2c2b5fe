package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// A queue with advice starts nothing without a ticket, asks about workers with
// room, and starts only where it got one, while it holds.
func TestAdvisedQueueStartsOnlyWithATicket(t *testing.T) {
	g := newRig(t)
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2, Advice: &gauge.Advice{Valid: 3 * time.Second},
	}}})
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	id := g.adopt(1, false, step(1))
	orders := g.plan()
	assert.Equal(t, len(only(orders, sched.OrderStart)), 0)
	asks := only(orders, sched.OrderAdvise)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Step, id+".0.0")
	assert.Equal(t, len(asks[0].About), 2)
	assert.Equal(t, len(g.plan()), 0, "one question at a time")

	g.pool.Advised(asks[0], []gauge.Ticket{{Worker: "w2", Text: "t"}}, 0, nil, g.now)
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, "w2")
	assert.Equal(t, starts[0].Start.Ticket, "t")

	g.pool.Answered(starts[0], 0, gauge.Fail(gauge.KindTicket, "over"), g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderAdvise)), 1, "asked anew about the worker that refused it")
}

func TestTicketThatRunsOutIsNotUsed(t *testing.T) {
	g := newRig(t)
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Advice: &gauge.Advice{Valid: 3 * time.Second},
	}}})
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	ask := only(g.plan(), sched.OrderAdvise)[0]
	asked := g.now
	g.pass(2900 * time.Millisecond)
	g.hear("w1", nil)
	g.pool.Advised(ask, []gauge.Ticket{{Worker: "w1", Text: "t"}}, 0, nil, asked)
	assert.Equal(t, len(g.starts()), 0)
}

// Occurrences of a schedule start when they are due, not before, and may overlap.
func TestScheduleStartsEachOccurrenceWhenItIsDue(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	spec := &gauge.JobSpec{Steps: []gauge.Step{step(1)}, Repeats: 3, FirstAt: time.Unix(1001, 0), Every: time.Second}
	g.pool.Adopt(sched.Accepted{ID: jobID(1), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: g.now}, g.now)
	var at []int
	for range 40 {
		g.pass(100 * time.Millisecond)
		g.hear("w1", nil)
		for _, o := range g.starts() {
			at = append(at, int(g.now/(100*time.Millisecond)))
			g.pool.Answered(o, g.clock(), nil, g.now)
			g.hear("w1", nil, g.end("w1", o.Start.Task, o.Start.Run, gauge.EndDone))
		}
	}
	assert.DeepEqual(t, at, []int{10, 20, 30})
	b, err := g.pool.Batch(10, 1, nobody)
	assert.NilError(t, err)
	row, err := gauge.DecodeJobRow(b.Changes[0].Row)
	assert.NilError(t, err)
	assert.Equal(t, row.State, gauge.JobCompleted)
}

// Tasks that fill are slowed down before a task that serves beside them passes its
// target, and go on once it is far below.
func TestFillingTasksArePacedByTheTailBesideThem(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	serves := step(1)
	serves.Lasts, serves.TailTarget = true, 100*time.Millisecond
	fills := step(1)
	fills.Fills = true
	g.adopt(1, false, serves)
	g.adopt(2, false, fills)
	starts := g.starts()
	assert.Equal(t, len(starts), 2)
	g.ok(starts)
	paced := func(tail int) []sched.Order {
		g.pass(100 * time.Millisecond)
		var reports []gauge.RunReport
		for _, o := range starts {
			r := running(o)
			r.Load = tail
			reports = append(reports, r)
		}
		g.hear("w1", reports)
		orders := only(g.plan(), sched.OrderPace)
		g.ok(orders)
		return orders
	}
	assert.Equal(t, len(paced(60)), 0)
	assert.Equal(t, paced(85)[0].Pace.Percent, 50)
	assert.Equal(t, paced(120)[0].Pace.Percent, 0)
	assert.Equal(t, len(paced(70)), 0)
	assert.Equal(t, paced(20)[0].Pace.Percent, 10)
}

// A ticket of a worker's life that is over, which the next life refuses.
func TestTicketHoldsForOneLifeOfAWorker(t *testing.T) {
	g := newRig(t)
	g.pool.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{
		Name: queueName, Pool: poolName, MaxAttempts: 2, Advice: &gauge.Advice{Valid: 3 * time.Second},
	}}})
	g.rows(200, row("w1", 1))
	g.answer(lifeOf("w1", 1), 1, time.Hour, nil)
	g.adopt(1, false, step(1))
	ask := only(g.plan(), sched.OrderAdvise)[0]
	g.rows(300, row("w1", 2))
	g.answer(lifeOf("w1", 2), 2, time.Second, nil)
	g.pool.Advised(ask, []gauge.Ticket{{Worker: "w1", Text: "t"}}, 0, nil, g.now)
	orders := g.plan()
	assert.Equal(t, len(only(orders, sched.OrderStart)), 0)
	assert.Equal(t, len(only(orders, sched.OrderAdvise)), 1, "asked anew about the life that is there")
}
