package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// lastingOn starts a lasting step with a task on each of some workers, of which one may
// be away.
func lastingOn(g *rig, ids ...string) map[string]gauge.RunReport {
	g.list(ids...)
	for _, id := range ids {
		g.hear(id, nil)
	}
	st := step(len(ids))
	st.Lasts, st.MaxAway, st.PerWorker = true, 1, 1
	g.adopt(1, false, st)
	starts := g.starts()
	assert.Equal(g.t, len(starts), len(ids))
	g.ok(starts)
	runs := make(map[string]gauge.RunReport)
	for _, o := range starts {
		r := running(o)
		r.Progress = 100
		runs[o.Worker.ID] = r
	}
	g.pass(100 * time.Millisecond)
	for id, r := range runs {
		g.hear(id, []gauge.RunReport{r})
	}
	return runs
}

// Symptom: a wave is late by its last machines, which are emptied one after the other,
// three to four seconds each.
// Sequence: a lasting task leaves its worker and serves elsewhere a second later; the next
// one of its step leaves three seconds after that start.
// Cause: a task counted as at work by its age, and was asked about once a second.
func TestNextLastingTaskLeavesWhenTheOneBeforeServes(t *testing.T) {
	g := newRig(t)
	runs := lastingOn(g, "w1", "w2", "w3")
	g.list("w1", "w2", "w3", "w4", "w5")
	g.hear("w4", nil)
	g.hear("w5", nil)
	g.pool.Empty("w1", false, g.now)
	g.pool.Empty("w2", false, g.now)
	stops := only(g.plan(), sched.OrderStop)
	assert.Equal(t, len(stops), 1)
	g.ok(stops)
	g.pass(200 * time.Millisecond)
	left := runs[stops[0].Worker.ID]
	g.hear(stops[0].Worker.ID, nil, g.end(stops[0].Worker.ID, left.Task, left.Run, gauge.EndStopped))
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	g.ok(starts)

	looks := only(g.plan(), sched.OrderLook)
	assert.Equal(t, len(looks), 1, "its worker is asked")
	assert.Equal(t, looks[0].Worker.ID, starts[0].Worker.ID)
	assert.Equal(t, len(only(g.plan(), sched.OrderLook)), 0, "not all the time")
	starting := running(starts[0])
	starting.Progress = 60
	g.pass(300 * time.Millisecond)
	g.hear(starts[0].Worker.ID, []gauge.RunReport{starting})
	orders := g.plan()
	assert.Equal(t, len(only(orders, sched.OrderStop)), 0)
	assert.Equal(t, len(only(orders, sched.OrderLook)), 1)
	g.pass(300 * time.Millisecond)
	starting.Progress = 100
	g.hear(starts[0].Worker.ID, []gauge.RunReport{starting})
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 1)
}

// Symptom: two of five lasting tasks are away, of which one may be.
// Sequence: an owner stops one and hands the pool over; the stop takes some tenths of a
// second, in which its worker still lists the task as at work. The new owner hears that and
// stops another.
// Cause: what a worker lists counted as at work at once, whoever had started it.
func TestInheritedLastingTaskCountsAsAwayWhileItMayBeStopping(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.list("w1", "w2", "w3")
	st := step(2)
	st.Lasts, st.MaxAway, st.PerWorker = true, 1, 1
	id := g.adopt(1, true, st)
	listed := func(worker string, index int) {
		task := gauge.TaskID{Job: id, Index: index}
		g.hear(worker, []gauge.RunReport{{Task: task, Run: 1, Progress: 100}})
	}
	g.hear("w3", nil)
	listed("w1", 0) // the owner before has just stopped it
	listed("w2", 1)
	g.pool.Empty("w2", false, g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 0)
	g.pass(time.Second)
	listed("w2", 1)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 0)
	g.pass(2100 * time.Millisecond)
	listed("w1", 0)
	listed("w2", 1)
	g.pool.Empty("w2", false, g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 1, "it was not stopped")
}

// Symptom: a lasting task is moved three times in one wave.
// Sequence: its worker is emptied; it goes to one that the wave empties later.
// Cause: the pool's owner knew of workers only when they were to be emptied.
func TestLastingTasksKeepOffWorkersThatAreToBeEmptiedSoon(t *testing.T) {
	for _, tt := range []struct {
		name    string
		without gauge.Without
		want    string
	}{
		{"kept off", nil, "w4"},
		{"without", gauge.Without{gauge.MechanismSoon}, "w2"}, // it has another lasting task
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t, func(c *sched.Config) { c.Without = tt.without })
			lastingOn(g, "w1", "w2")
			g.list("w1", "w2", "w3", "w4")
			g.hear("w3", nil)
			g.hear("w4", nil)
			g.pool.Soon([]string{"w1", "w2", "w3"}, g.now)
			st := step(1)
			st.Lasts = true
			g.pool.Empty("w1", false, g.now)
			g.adopt(2, false, st)
			for _, o := range g.starts() {
				assert.Equal(t, o.Worker.ID, tt.want)
			}
		})
	}
}
