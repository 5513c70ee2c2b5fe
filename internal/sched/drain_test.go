package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// startCheckpointing has the only worker run a job of two tasks that support checkpoints, and
// report them as half done.
func startCheckpointing(g *harness) []gauge.RunReport {
	g.listWorkers("w1")
	g.report("w1", nil)
	st := newStep(2)
	st.Checkpoints = true
	g.adopt(1, false, st)
	starts := g.planStarts()
	g.confirm(starts)
	g.advance(500 * time.Millisecond)
	var runs []gauge.RunReport
	for _, o := range starts {
		r := runReport(o)
		r.Progress, r.Checkpoint = 50, "half"
		runs = append(runs, r)
	}
	g.report("w1", runs)
	return runs
}

// Guards against large jobs that are late in a pool with free cores. Demand shifts, machines are
// drained to be moved, and runs that would end soon are stopped because they could continue from a
// checkpoint, and go back into the queue with each move.
func TestRunsThatEndSoonAreNotStoppedForAMove(t *testing.T) {
	g := newHarness(t)
	startCheckpointing(g)
	g.pool.DrainWorker("w1", false, g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 0)
}

func TestForcedDrainStopsRuns(t *testing.T) {
	g := newHarness(t)
	startCheckpointing(g)
	g.pool.DrainWorker("w1", true, g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 2)
}

// A worker that leaves ends what still runs there. Half of a second's work is left: a run that
// won't end before the worker leaves is stopped, and continues elsewhere from its checkpoint.
func TestOnlyRunsThatOutlastALeavingWorkerAreStopped(t *testing.T) {
	for _, tt := range []struct {
		name   string
		leaves time.Duration
		stops  int
	}{
		{"runs end in time", time.Second, 0},
		{"runs don't end in time", 200 * time.Millisecond, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t)
			startCheckpointing(g)
			w := newWorker("w1")
			w.Draining, w.MinDrainTime = true, tt.leaves
			g.pool.UpdateWorkers([]gauge.Worker{w})
			assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), tt.stops)
		})
	}
}

// Guards against a maintenance wave that misses its deadline by a few machines, each with one
// long-running task. Their pool is at its peak, and waiting tasks take all room that gets free on
// other workers; a long-running task moves only once there is room for it.
func TestRoomIsReservedForALongRunningTaskThatMustMove(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	longRunning := newStep(1)
	longRunning.LongRunning, longRunning.Needs.MilliCPU = true, 2000
	g.adopt(1, false, longRunning)
	serviceStarts := g.planStarts()
	g.confirm(serviceStarts)
	serving := runReport(serviceStarts[0])
	serving.Progress = 100
	g.listWorkers("w1", "w2", "w3")
	g.report("w2", nil)
	g.report("w3", nil)
	g.adopt(2, false, newStep(40))
	runs := make(map[string][]gauge.RunReport)
	startAll := func() {
		starts := g.planStarts()
		g.confirm(starts)
		for _, o := range starts {
			runs[o.Worker.ID] = append(runs[o.Worker.ID], runReport(o))
		}
	}
	startAll()
	g.report("w1", append([]gauge.RunReport{serving}, runs["w1"]...))
	g.pool.DrainWorker("w1", false, g.now)
	moved := false
	for range 6 {
		g.advance(300 * time.Millisecond)
		g.report("w1", append([]gauge.RunReport{serving}, runs["w1"]...))
		for _, id := range []string{"w2", "w3"} {
			if len(runs[id]) == 0 {
				continue
			}
			done := runs[id][0]
			runs[id] = runs[id][1:]
			g.report(id, runs[id], g.endReport(id, done.Task, done.Run, gauge.EndDone))
		}
		for _, o := range g.plan() {
			switch {
			case o.Kind == sched.OrderStop && o.Stop.Task == serving.Task:
				moved = true
			case o.Kind == sched.OrderStart:
				g.confirm([]sched.Order{o})
				runs[o.Worker.ID] = append(runs[o.Worker.ID], runReport(o))
			}
		}
	}
	assert.Assert(t, moved, "it moves within two seconds")
}
