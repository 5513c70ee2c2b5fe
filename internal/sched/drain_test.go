package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// checkpointed adopts a job of two tasks that could go on from a checkpoint, and has
// the one worker run them, half done.
func checkpointed(g *rig) []gauge.RunReport {
	g.list("w1")
	g.hear("w1", nil)
	st := step(2)
	st.Checkpoints = true
	g.adopt(1, false, st)
	starts := g.starts()
	g.ok(starts)
	g.pass(500 * time.Millisecond)
	var runs []gauge.RunReport
	for _, o := range starts {
		r := running(o)
		r.Progress, r.Saved = 50, "half"
		runs = append(runs, r)
	}
	g.hear("w1", runs)
	return runs
}

// Symptom: large jobs are late in a pool with free cores.
// Sequence: demand moves on, machines are to be emptied for a move, and what runs
// there goes back into the queue with each of them.
// Cause: what can go on from a checkpoint is stopped, though it would end by itself.
func TestWorkThatEndsByItselfIsNotStoppedForAMove(t *testing.T) {
	g := newRig(t)
	checkpointed(g)
	g.pool.Empty("w1", false, g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 0)
}

func TestForcedEmptyingStopsWork(t *testing.T) {
	g := newRig(t)
	checkpointed(g)
	g.pool.Empty("w1", true, g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 2)
}

// A worker that leaves takes with it what still runs there. Half of a second's work
// is left: what won't end before is stopped, and goes on elsewhere from where it is.
func TestOnlyWorkThatOutlastsALeavingWorkerIsStopped(t *testing.T) {
	for _, tt := range []struct {
		name   string
		leaves time.Duration
		stops  int
	}{
		{"it ends in time", time.Second, 0},
		{"it doesn't", 200 * time.Millisecond, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t)
			checkpointed(g)
			w := worker("w1")
			w.Draining, w.Leaves = true, tt.leaves
			g.pool.Workers([]gauge.Worker{w})
			assert.Equal(t, len(only(g.plan(), sched.OrderStop)), tt.stops)
		})
	}
}

// Symptom: a wave misses its end by a few machines, each with one lasting task.
// Sequence: their pool is in its turn; what gets free on other workers is taken at once
// by work that waits.
// Cause: a lasting task leaves only for a place that is free, and none ever is.
func TestRoomIsKeptForALastingTaskThatIsToLeave(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	lasting := step(1)
	lasting.Lasts, lasting.Needs.MilliCPU = true, 2000
	g.adopt(1, false, lasting)
	stays := g.starts()
	g.ok(stays)
	serves := running(stays[0])
	serves.Progress = 100
	g.list("w1", "w2", "w3")
	g.hear("w2", nil)
	g.hear("w3", nil)
	g.adopt(2, false, step(40))
	runs := make(map[string][]gauge.RunReport)
	begin := func() {
		starts := g.starts()
		g.ok(starts)
		for _, o := range starts {
			runs[o.Worker.ID] = append(runs[o.Worker.ID], running(o))
		}
	}
	begin()
	g.hear("w1", append([]gauge.RunReport{serves}, runs["w1"]...))
	g.pool.Empty("w1", false, g.now)
	left := false
	for range 6 {
		g.pass(300 * time.Millisecond)
		g.hear("w1", append([]gauge.RunReport{serves}, runs["w1"]...))
		for _, id := range []string{"w2", "w3"} {
			if len(runs[id]) == 0 {
				continue
			}
			done := runs[id][0]
			runs[id] = runs[id][1:]
			g.hear(id, runs[id], g.end(id, done.Task, done.Run, gauge.EndDone))
		}
		for _, o := range g.plan() {
			switch {
			case o.Kind == sched.OrderStop && o.Stop.Task == serves.Task:
				left = true
			case o.Kind == sched.OrderStart:
				g.ok([]sched.Order{o})
				runs[o.Worker.ID] = append(runs[o.Worker.ID], running(o))
			}
		}
	}
	assert.Assert(t, left, "it leaves within two seconds")
}
