package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// startLongRunning starts a long-running step with one task on each of some workers, of which one
// may be unplaced at a time.
func startLongRunning(g *harness, ids ...string) map[string]gauge.RunReport {
	g.listWorkers(ids...)
	for _, id := range ids {
		g.report(id, nil)
	}
	st := newStep(len(ids))
	st.LongRunning, st.MaxUnplaced, st.PerWorker = true, 1, 1
	g.adopt(1, false, st)
	starts := g.planStarts()
	assert.Equal(g.t, len(starts), len(ids))
	g.confirm(starts)
	runs := make(map[string]gauge.RunReport)
	for _, o := range starts {
		r := runReport(o)
		r.Progress = 100
		runs[o.Worker.ID] = r
	}
	g.advance(100 * time.Millisecond)
	for id, r := range runs {
		g.report(id, []gauge.RunReport{r})
	}
	return runs
}

// Guards against a maintenance wave that is late by its last machines, which are drained one after
// the other in three to four seconds each. A long-running task that was moved serves again a second
// later, but the next one of its step moved only three seconds after that start, as a task counted
// as serving by its age and its worker was probed about once a second.
func TestNextLongRunningTaskMovesOnceThePreviousOneServes(t *testing.T) {
	g := newHarness(t)
	runs := startLongRunning(g, "w1", "w2", "w3")
	g.listWorkers("w1", "w2", "w3", "w4", "w5")
	g.report("w4", nil)
	g.report("w5", nil)
	g.pool.DrainWorker("w1", false, g.now)
	g.pool.DrainWorker("w2", false, g.now)
	stops := ofKind(g.plan(), sched.OrderStop)
	assert.Equal(t, len(stops), 1)
	g.confirm(stops)
	g.advance(200 * time.Millisecond)
	left := runs[stops[0].Worker.ID]
	g.report(stops[0].Worker.ID, nil, g.endReport(stops[0].Worker.ID, left.Task, left.Run, gauge.EndStopped))
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	g.confirm(starts)

	probes := ofKind(g.plan(), sched.OrderProbe)
	assert.Equal(t, len(probes), 1, "its worker is probed")
	assert.Equal(t, probes[0].Worker.ID, starts[0].Worker.ID)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderProbe)), 0, "it isn't probed continuously")
	starting := runReport(starts[0])
	starting.Progress = 60
	g.advance(300 * time.Millisecond)
	g.report(starts[0].Worker.ID, []gauge.RunReport{starting})
	orders := g.plan()
	assert.Equal(t, len(ofKind(orders, sched.OrderStop)), 0)
	assert.Equal(t, len(ofKind(orders, sched.OrderProbe)), 1)
	g.advance(300 * time.Millisecond)
	starting.Progress = 100
	g.report(starts[0].Worker.ID, []gauge.RunReport{starting})
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 1)
}

// Guards against two of five long-running tasks being unplaced where one may be. An owner stops one
// and hands the pool over; the stop takes some tenths of a second, during which the worker still
// lists the task as running. If it counted as serving, the new owner would stop another one.
func TestInheritedLongRunningTaskCountsAsUnplacedWhileItMayBeStopping(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.listWorkers("w1", "w2", "w3")
	st := newStep(2)
	st.LongRunning, st.MaxUnplaced, st.PerWorker = true, 1, 1
	id := g.adopt(1, true, st)
	listed := func(worker string, index int) {
		task := gauge.TaskID{Job: id, Index: index}
		g.report(worker, []gauge.RunReport{{Task: task, Run: 1, Progress: 100}})
	}
	g.report("w3", nil)
	listed("w1", 0) // the previous owner has just stopped it
	listed("w2", 1)
	g.pool.DrainWorker("w2", false, g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 0)
	g.advance(time.Second)
	listed("w2", 1)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 0)
	g.advance(2100 * time.Millisecond)
	listed("w1", 0)
	listed("w2", 1)
	g.pool.DrainWorker("w2", false, g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 1, "it was not stopped")
}

// Guards against a long-running task that is moved three times in one maintenance wave, to workers
// that the wave drains later. The owner knows in advance which workers are to be drained.
func TestLongRunningTasksAvoidWorkersThatAreDrainedSoon(t *testing.T) {
	for _, tt := range []struct {
		name    string
		without gauge.Disabled
		want    string
	}{
		{"avoided", nil, "w4"},
		{"mechanism disabled", gauge.Disabled{gauge.MechanismAvoidDraining}, "w2"}, // it has another long-running task
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t, func(c *sched.Config) { c.Disabled = tt.without })
			startLongRunning(g, "w1", "w2")
			g.listWorkers("w1", "w2", "w3", "w4")
			g.report("w3", nil)
			g.report("w4", nil)
			g.pool.ExpectDrain([]string{"w1", "w2", "w3"}, g.now)
			st := newStep(1)
			st.LongRunning = true
			g.pool.DrainWorker("w1", false, g.now)
			g.adopt(2, false, st)
			for _, o := range g.planStarts() {
				assert.Equal(t, o.Worker.ID, tt.want)
			}
		})
	}
}
