package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Suspects of one step that start on one worker, beyond the bound of their step.
func TestSuspectsKeepTheBoundOfTheirStep(t *testing.T) {
	for _, crashes := range []int{1, 2} { // after the second their places wait for the table
		g := newRig(t)
		bounded := gauge.Step{Count: 3, Needs: gauge.Resources{MilliCPU: 500, MemoryMB: 10}, Lasts: true, PerWorker: 2}
		job := g.adopt(1, false, bounded)
		for n := range crashes {
			g.crashUnder(n)
		}
		g.rows(900, row("last", 1))
		var runs []sched.Order
		for range 40 {
			g.pass(100 * time.Millisecond)
			g.answer(lifeOf("last", 1), 1, time.Hour+g.now, reports(runs, "last"))
			orders := g.starts()
			g.ok(orders)
			runs = append(runs, orders...)
			g.save(1000)
		}
		assert.Equal(t, len(runs), 2, "tasks of %s on one worker, after %d crashes", job, crashes)
	}
}

// crashUnder has two workers start what there is, and crash right after.
func (g *rig) crashUnder(n int) {
	g.t.Helper()
	born := int64(n + 1)
	g.rows(int64(200+10*n), row("w1", born), row("w2", born))
	var runs []sched.Order
	for range 30 {
		g.pass(100 * time.Millisecond)
		for _, id := range []string{"w1", "w2"} {
			g.answer(lifeOf(id, born), born, time.Hour+g.now, reports(runs, id))
		}
		orders := g.starts()
		g.ok(orders)
		runs = append(runs, orders...)
		g.save(int64(201 + 10*n))
		if len(runs) == 3 {
			break
		}
	}
	assert.Equal(g.t, len(runs), 3)
	for _, id := range []string{"w1", "w2"} {
		g.answer(lifeOf(id, born), born, time.Hour+g.now, reports(runs, id))
		g.noAnswer(lifeOf(id, born))
	}
	g.pool.Workers(nil)
	for _, id := range []string{"w1", "w2"} {
		g.pool.HoldFailed(lifeOf(id, born), gauge.Fail(gauge.KindReplaced, "another worker"), g.now)
	}
	for range 15 {
		g.pass(100 * time.Millisecond)
	}
}

func reports(runs []sched.Order, id string) []gauge.RunReport {
	var list []gauge.RunReport
	for _, o := range runs {
		if o.Worker.ID == id {
			list = append(list, running(o))
		}
	}
	return list
}
