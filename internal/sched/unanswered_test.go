package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// A start that got no answer and reached the next life: its task has two runs.
func TestStartThatMayHaveReachedTheNextLifeIsSettledThere(t *testing.T) {
	for _, reached := range []bool{true, false} {
		g, _ := born1(t)
		id := g.adopt(2, false, step(1))
		order := only(g.plan(), sched.OrderStart)[0]
		g.rows(300, row("w1", 2), row("w2", 1))
		g.answer(lifeOf("w2", 1), 1, time.Hour, nil)
		g.pool.Answered(order, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
		orders := g.plan()
		assert.Assert(t, !starts(orders, id), "it may run in the next life of the worker")
		if reached {
			g.answer(lifeOf("w1", 2), 2, time.Second, []gauge.RunReport{running(order)})
			assert.Assert(t, !starts(g.plan(), id), "it runs there")
			continue
		}
		for _, o := range only(orders, sched.OrderStop) {
			assert.Equal(t, o.Worker.Born, int64(2))
			g.pool.Answered(o, time.Second, nil, g.now)
		}
		g.answer(lifeOf("w1", 2), 2, 2*time.Second, nil)
		for range 15 { // what its worker was lost for is judged first
			g.pass(100 * time.Millisecond)
		}
		g.answer(lifeOf("w1", 2), 2, 4*time.Second, nil)
		g.save(400)
		assert.Assert(t, starts(g.restarts(), id))
	}
}

func starts(orders []sched.Order, job string) bool {
	for _, o := range only(orders, sched.OrderStart) {
		if o.Start.Task.Job == job {
			return true
		}
	}
	return false
}

// A start that got no answer, and that a life may have that nobody has heard of: its task starts elsewhere
// as the lease of the life before has run out.
func TestStartThatMayStillComeOutlastsTheLease(t *testing.T) {
	for _, tt := range []struct {
		name string
		next int64 // that answers; 0: none
		runs bool
		want int
	}{{"the next life has it", 2, true, 0}, {"no life answers", 0, false, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t, func(c *sched.Config) { c.Longest = longest })
			g.rows(200, row("w1", 1))
			g.answer(lifeOf("w1", 1), 1, time.Hour, nil)
			g.adopt(1, false, step(1))
			order := g.starts()[0]
			g.pool.Answered(order, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
			g.noAnswer(lifeOf("w1", 1))
			g.rows(201, row("w1", 1), row("w2", 1))
			g.pass(2 * time.Second) // its start's own deadline has passed, on the clock of its life
			g.answer(lifeOf("w2", 1), 1, time.Hour, nil)
			assert.Equal(t, len(g.restarts()), 0)
			if tt.next > 0 {
				g.answer(lifeOf("w1", 1), tt.next, time.Second, []gauge.RunReport{running(order)})
			}
			g.pass(10 * time.Second)
			g.answer(lifeOf("w2", 1), 1, time.Hour+12*time.Second, nil)
			assert.Equal(t, len(g.restarts()), tt.want)
		})
	}
}

// A start that the next life answers in its first moment, and that is taken for at work in the one before.
func TestAnswerWithoutAClockIsNotOfTheLifeBefore(t *testing.T) {
	g, _ := born1(t)
	g.adopt(2, false, step(1))
	order := g.starts()[0]
	g.pool.Answered(order, 0, nil, g.now)
	// Made before the next life began, and late.
	g.answer(lifeOf("w1", 1), 1, time.Hour+2*time.Second+time.Millisecond, nil)
	for _, o := range g.restarts() {
		assert.Assert(t, o.Start.Task != order.Start.Task, "it may run in the next life of its worker")
	}
}
