package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Symptom: a worker that starts whatever it is told is given more than it holds.
// Sequence: a start gets no answer, another takes its room; both are carried out.
// Cause: only runs that are known to be there count against room.
func TestRoomCountsDoubtfulStarts(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(6)) // four fit
	starts := g.starts()
	assert.Equal(t, len(starts), 4)
	for _, o := range starts {
		g.pool.Answered(o, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	}
	g.pass(100 * time.Millisecond)
	g.hear("w1", nil)
	assert.Equal(t, len(g.starts()), 0)
}

func TestNoStartWhereItMustNotBe(t *testing.T) {
	labelled := step(1)
	labelled.Label = "gpu"
	apart := step(4)
	apart.PerWorker = 1
	later := step(1)
	later.After = []int{0}
	for _, tt := range []struct {
		name    string
		steps   []gauge.Step
		prepare func(g *rig)
		want    int
	}{
		{"without the label", []gauge.Step{labelled}, func(*rig) {}, 0},
		{"more than one on a worker", []gauge.Step{apart}, func(*rig) {}, 2},
		{"before the step it waits for", []gauge.Step{step(1), later}, func(*rig) {}, 1},
		{"on a worker that drains", []gauge.Step{step(8)}, func(g *rig) {
			w := worker("w1")
			w.Draining = true
			g.pool.Workers([]gauge.Worker{w, worker("w2")})
		}, 4},
		{"on a worker that is not listed", []gauge.Step{step(8)}, func(g *rig) { g.list("w2") }, 4},
		{"on a worker that was not heard", []gauge.Step{step(12)}, func(g *rig) { g.list("w1", "w2", "w3") }, 8},
		{"on a worker to be emptied", []gauge.Step{step(8)}, func(g *rig) { g.pool.Empty("w1", false, g.now) }, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t)
			g.list("w1", "w2")
			g.hear("w1", nil)
			g.hear("w2", nil)
			tt.prepare(g)
			g.adopt(1, false, tt.steps...)
			assert.Equal(t, len(g.starts()), tt.want)
		})
	}
}

// A worker that the lease row doesn't name yet gets nothing: if this owner died,
// its successor wouldn't know that it has to ask it.
func TestNoStartBeforeTheLeaseRowNamesTheWorker(t *testing.T) {
	g := newRig(t)
	g.pool.Workers([]gauge.Worker{worker("w1")})
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	assert.Equal(t, len(g.starts()), 0)
	g.pool.Noted(livesOf("w1"), fence)
	assert.Equal(t, len(g.starts()), 1)
}

func TestNothingStartsBeyondTheLease(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	g.pool.Limit(g.now)
	assert.Equal(t, len(g.pool.Plan(g.now)), 0)
}

// A gang starts whole or not at all, all members under one number.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	gang := step(5)
	gang.Gang = true
	g.adopt(1, false, gang)
	assert.Equal(t, len(g.starts()), 0)
	g.list("w1", "w2")
	g.hear("w2", nil)
	starts := g.starts()
	assert.Equal(t, len(starts), 5)
	for _, o := range starts {
		assert.Equal(t, o.Start.Run, 1)
	}
	g.ok(starts)
	g.pass(time.Second)
	g.hear(starts[0].Worker.ID, nil, g.end(starts[0].Worker.ID, starts[0].Start.Task, 1, gauge.EndDone))
	state, _ := g.pool.State(queueName, jobID(1))
	assert.Equal(t, state, gauge.JobRunning, "not told before the table has it")
	b, err := g.pool.Batch(10, 1, nobody)
	assert.NilError(t, err)
	row, err := gauge.DecodeJobRow(b.Changes[0].Row)
	assert.NilError(t, err)
	assert.Equal(t, row.State, gauge.JobCompleted)
}

// Symptom: the users of a lasting service meet too few of its tasks.
// Sequence: two of its workers are to be emptied at once.
// Cause: each is emptied as if it were the only one.
func TestEmptyingKeepsToTheBoundOfLastingTasks(t *testing.T) {
	g := newRig(t)
	g.list("w1", "w2", "w3")
	for _, id := range []string{"w1", "w2", "w3"} {
		g.hear(id, nil)
	}
	lasting := step(3)
	lasting.Lasts, lasting.MaxAway, lasting.PerWorker = true, 1, 2
	g.adopt(1, false, lasting)
	starts := g.starts()
	assert.Equal(t, len(starts), 3)
	g.ok(starts)
	g.pass(5 * time.Second)
	for _, o := range starts {
		r := running(o)
		r.Progress = 100
		g.hear(o.Worker.ID, []gauge.RunReport{r})
	}
	g.pool.Empty("w1", false, g.now)
	g.pool.Empty("w2", false, g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 1)
}

// Symptom: a lasting task is away for twelve seconds though workers are half
// empty.
// Sequence: its worker is emptied for upkeep; the bound on tasks a worker keeps it
// off all others.
// Cause: it is stopped before there is a place for it.
func TestLastingTaskIsOnlyStoppedWhenThereIsAPlaceForIt(t *testing.T) {
	g := newRig(t)
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	lasting := step(2)
	lasting.Lasts, lasting.MaxAway, lasting.PerWorker = true, 1, 1
	g.adopt(1, false, lasting)
	starts := g.starts()
	g.ok(starts)
	tell := func() {
		for _, o := range starts {
			r := running(o)
			r.Progress = 100
			g.hear(o.Worker.ID, []gauge.RunReport{r})
		}
	}
	g.pass(5 * time.Second)
	tell()
	g.pool.Empty("w1", false, g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 0)
	assert.Equal(t, g.pool.Load(g.now).Spread, 2, "the fleet is told that more workers are needed")

	g.list("w1", "w2", "w3")
	g.hear("w3", nil)
	tell()
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 1)
}
