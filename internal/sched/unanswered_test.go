package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against two runs of a task: a start got no answer and reached the worker's next
// incarnation.
func TestStartThatMayHaveReachedTheNextIncarnationIsSettledThere(t *testing.T) {
	for _, reached := range []bool{true, false} {
		g, _ := newHarnessWithRun(t)
		id := g.adopt(2, false, newStep(1))
		order := ofKind(g.plan(), sched.OrderStart)[0]
		g.listRows(300, workerRow("w1", 2), workerRow("w2", 1))
		g.answerHeartbeat(incarnationAt("w2", 1), 1, time.Hour, nil)
		g.pool.OrderAnswered(order, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
		orders := g.plan()
		assert.Assert(t, !hasStart(orders, id), "it may run in the next incarnation of the worker")
		if reached {
			g.answerHeartbeat(incarnationAt("w1", 2), 2, time.Second, []gauge.RunReport{runReport(order)})
			assert.Assert(t, !hasStart(g.plan(), id), "it runs in the next incarnation")
			continue
		}
		for _, o := range ofKind(orders, sched.OrderStop) {
			assert.Equal(t, o.Worker.StartedAt, int64(2))
			g.pool.OrderAnswered(o, time.Second, nil, g.now)
		}
		g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second, nil)
		for end := g.now + queueSpan; g.now < end; {
			assert.Assert(t, !hasStart(g.startsAfterWrites(), id), "the incarnation after the next one may carry it out, and another start beside it")
			g.advance(100 * time.Millisecond)
			g.answerHeartbeat(incarnationAt("w1", 2), 2, 2*time.Second+g.now, nil)
		}
		g.writeAll(400)
		assert.Assert(t, hasStart(g.startsAfterWrites(), id))
	}
}

func hasStart(orders []sched.Order, job string) bool {
	for _, o := range ofKind(orders, sched.OrderStart) {
		if o.Start.Task.Job == job {
			return true
		}
	}
	return false
}

// Guards against two runs of a task: a start got no answer and may have reached an incarnation that
// the owner doesn't know yet. The task must not start elsewhere as soon as the lease of the known
// incarnation has run out.
func TestUnansweredStartMayReachAnUnknownIncarnation(t *testing.T) {
	for _, tt := range []struct {
		name string
		next int64 // incarnation that answers; 0: none
		want int   // starts once nothing that was carried out late can run any more
	}{{"the next incarnation runs it", 2, 0}, {"no incarnation answers", 0, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t, func(c *sched.Config) { c.MaxWorkerLease = maxLease })
			g.listRows(200, workerRow("w1", 1))
			g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour, nil)
			g.adopt(1, false, newStep(1))
			order := g.planStarts()[0]
			g.pool.OrderAnswered(order, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
			g.failHeartbeatOf(incarnationAt("w1", 1))
			g.listRows(201, workerRow("w1", 1), workerRow("w2", 1))
			g.advance(2 * time.Second) // the start's deadline has passed, on the clock of the known incarnation
			g.answerHeartbeat(incarnationAt("w2", 1), 1, time.Hour, nil)
			assert.Equal(t, len(g.startsAfterWrites()), 0)
			if tt.next > 0 {
				g.answerHeartbeat(incarnationAt("w1", 1), tt.next, time.Second, []gauge.RunReport{runReport(order)})
			}
			g.advance(10 * time.Second)
			g.answerHeartbeat(incarnationAt("w2", 1), 1, time.Hour+12*time.Second, nil)
			assert.Equal(t, len(g.startsAfterWrites()), 0, "it may have been carried out just now, under a lease of its own")
			if tt.next > 0 {
				g.answerHeartbeat(incarnationAt("w1", 2), 2, 11*time.Second, []gauge.RunReport{runReport(order)})
			}
			g.advance(slowClockLease - 100*time.Millisecond)
			g.answerHeartbeat(incarnationAt("w2", 1), 1, time.Hour+22*time.Second, nil)
			assert.Equal(t, len(g.startsAfterWrites()), 0)
			if tt.next > 0 {
				g.answerHeartbeat(incarnationAt("w1", 2), 2, 21*time.Second, []gauge.RunReport{runReport(order)})
			}
			g.advance(200 * time.Millisecond)
			g.answerHeartbeat(incarnationAt("w2", 1), 1, time.Hour+22500*time.Millisecond, nil)
			assert.Equal(t, len(g.startsAfterWrites()), tt.want)
		})
	}
}

// Guards against a start that the next incarnation answers in its first moment, when its clock
// shows zero, and that is taken to run in the previous one.
func TestAnswerWithoutAClockIsNotOfThePreviousIncarnation(t *testing.T) {
	g, _ := newHarnessWithRun(t)
	g.adopt(2, false, newStep(1))
	order := g.planStarts()[0]
	g.pool.OrderAnswered(order, 0, nil, g.now)
	// This report was made before the next incarnation began, and arrives late.
	g.answerHeartbeat(incarnationAt("w1", 1), 1, time.Hour+2*time.Second+time.Millisecond, nil)
	for _, o := range g.startsAfterWrites() {
		assert.Assert(t, o.Start.Task != order.Start.Task, "it may run in the next incarnation of its worker")
	}
}
