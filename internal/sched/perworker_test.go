package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against several suspects of one step that start on one worker, beyond the step's limit of
// tasks on a worker.
func TestSuspectsKeepToThePerWorkerLimit(t *testing.T) {
	// After the second crash their reserved room waits for a write to the table.
	for _, crashes := range []int{1, 2} {
		g := newHarness(t)
		limited := gauge.Step{Count: 3, Needs: gauge.Resources{MilliCPU: 500, MemoryMB: 10}, LongRunning: true, PerWorker: 2}
		job := g.adopt(1, false, limited)
		for n := range crashes {
			g.crashWorkersAfterStarts(n)
		}
		g.listRows(900, workerRow("last", 1))
		var runs []sched.Order
		for range 40 {
			g.advance(100 * time.Millisecond)
			g.answerHeartbeat(incarnationAt("last", 1), 1, time.Hour+g.now, runReportsOn(runs, "last"))
			orders := g.planStarts()
			g.confirm(orders)
			runs = append(runs, orders...)
			g.writeAll(1000)
		}
		assert.Equal(t, len(runs), 2, "tasks of %s on one worker, after %d crashes", job, crashes)
	}
}

// crashWorkersAfterStarts has two workers start all waiting tasks, and crash right after.
func (g *harness) crashWorkersAfterStarts(n int) {
	g.t.Helper()
	startedAt := int64(n + 1)
	g.listRows(int64(200+10*n), workerRow("w1", startedAt), workerRow("w2", startedAt))
	var runs []sched.Order
	for range 30 {
		g.advance(100 * time.Millisecond)
		for _, id := range []string{"w1", "w2"} {
			g.answerHeartbeat(incarnationAt(id, startedAt), startedAt, time.Hour+g.now, runReportsOn(runs, id))
		}
		orders := g.planStarts()
		g.confirm(orders)
		runs = append(runs, orders...)
		g.writeAll(int64(201 + 10*n))
		if len(runs) == 3 {
			break
		}
	}
	assert.Equal(g.t, len(runs), 3)
	for _, id := range []string{"w1", "w2"} {
		g.answerHeartbeat(incarnationAt(id, startedAt), startedAt, time.Hour+g.now, runReportsOn(runs, id))
		g.failHeartbeatOf(incarnationAt(id, startedAt))
	}
	g.pool.UpdateWorkers(nil)
	for _, id := range []string{"w1", "w2"} {
		g.pool.HeartbeatFailed(incarnationAt(id, startedAt), gauge.Errorf(gauge.KindReplaced, "another worker answers"), g.now)
	}
	for range 15 {
		g.advance(100 * time.Millisecond)
	}
}

// runReportsOn returns the reports of the runs on a worker.
func runReportsOn(runs []sched.Order, id string) []gauge.RunReport {
	var list []gauge.RunReport
	for _, o := range runs {
		if o.Worker.ID == id {
			list = append(list, runReport(o))
		}
	}
	return list
}
