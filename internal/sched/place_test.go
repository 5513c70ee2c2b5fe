package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against a worker that is given more than it holds: a start gets no answer, another takes
// its room, and both are executed. Runs that are not known to exist take up room as well.
func TestUnansweredStartsTakeUpRoom(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(6)) // four fit
	starts := g.planStarts()
	assert.Equal(t, len(starts), 4)
	for _, o := range starts {
		g.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	}
	g.advance(100 * time.Millisecond)
	g.report("w1", nil)
	assert.Equal(t, len(g.planStarts()), 0)
}

func TestNoStartOnUnsuitableWorkers(t *testing.T) {
	labelled := newStep(1)
	labelled.Label = "gpu"
	spread := newStep(4)
	spread.PerWorker = 1
	later := newStep(1)
	later.After = []int{0}
	for _, tt := range []struct {
		name    string
		steps   []gauge.Step
		prepare func(g *harness)
		want    int
	}{
		{"worker lacks the label", []gauge.Step{labelled}, func(*harness) {}, 0},
		{"limit of one task on a worker", []gauge.Step{spread}, func(*harness) {}, 2},
		{"step waits for another one", []gauge.Step{newStep(1), later}, func(*harness) {}, 1},
		{"worker drains by itself", []gauge.Step{newStep(8)}, func(g *harness) {
			w := newWorker("w1")
			w.Draining = true
			g.pool.UpdateWorkers([]gauge.Worker{w, newWorker("w2")})
		}, 4},
		{"worker is not listed", []gauge.Step{newStep(8)}, func(g *harness) { g.listWorkers("w2") }, 4},
		{"worker has sent no report", []gauge.Step{newStep(12)}, func(g *harness) { g.listWorkers("w1", "w2", "w3") }, 8},
		{"worker is being drained", []gauge.Step{newStep(8)}, func(g *harness) { g.pool.DrainWorker("w1", false, g.now) }, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t)
			g.listWorkers("w1", "w2")
			g.report("w1", nil)
			g.report("w2", nil)
			tt.prepare(g)
			g.adopt(1, false, tt.steps...)
			assert.Equal(t, len(g.planStarts()), tt.want)
		})
	}
}

// A worker that the lease row doesn't name yet gets no start: if this owner died, its successor
// wouldn't know that it has to ask that worker.
func TestNoStartBeforeTheLeaseRowNamesTheWorker(t *testing.T) {
	g := newHarness(t)
	g.pool.UpdateWorkers([]gauge.Worker{newWorker("w1")})
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	assert.Equal(t, len(g.planStarts()), 0)
	g.pool.LeaseRowWritten(incarnations("w1"), fence)
	assert.Equal(t, len(g.planStarts()), 1)
}

func TestNothingStartsBeyondTheLease(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	g.pool.SetLease(g.now, g.now)
	assert.Equal(t, len(g.pool.Plan(g.now)), 0)
}

// A gang starts completely or not at all, all members under one run number.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	gang := newStep(5)
	gang.Gang = true
	g.adopt(1, false, gang)
	assert.Equal(t, len(g.planStarts()), 0)
	g.listWorkers("w1", "w2")
	g.report("w2", nil)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 5)
	for _, o := range starts {
		assert.Equal(t, o.Start.Run, 1)
	}
	g.confirm(starts)
	g.advance(time.Second)
	g.report(starts[0].Worker.ID, nil, g.endReport(starts[0].Worker.ID, starts[0].Start.Task, 1, gauge.EndDone))
	state, _ := g.pool.JobState(queueName, jobID(1))
	assert.Equal(t, state, gauge.JobRunning, "the end is not reported before the table has it")
	b, err := g.pool.NextBatch(10, 1, skipNone)
	assert.NilError(t, err)
	row, err := gauge.DecodeJobRow(b.Changes[0].Row)
	assert.NilError(t, err)
	assert.Equal(t, row.State, gauge.JobCompleted)
}

// Guards against a long-running service with too few tasks: two of its workers are drained at once,
// each as if it were the only one.
func TestDrainKeepsToTheLimitOfUnplacedTasks(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2", "w3")
	for _, id := range []string{"w1", "w2", "w3"} {
		g.report(id, nil)
	}
	longRunning := newStep(3)
	longRunning.LongRunning, longRunning.MaxUnplaced, longRunning.PerWorker = true, 1, 2
	g.adopt(1, false, longRunning)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 3)
	g.confirm(starts)
	g.advance(5 * time.Second)
	for _, o := range starts {
		r := runReport(o)
		r.Progress = 100
		g.report(o.Worker.ID, []gauge.RunReport{r})
	}
	g.pool.DrainWorker("w1", false, g.now)
	g.pool.DrainWorker("w2", false, g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 1)
}

// Guards against a long-running task that is unplaced for twelve seconds though workers are half
// empty. Its worker is drained for maintenance, and the limit of tasks on a worker rules out all
// others; it must not be stopped before there is room for it.
func TestLongRunningTaskIsStoppedOnlyOnceThereIsRoomForIt(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	longRunning := newStep(2)
	longRunning.LongRunning, longRunning.MaxUnplaced, longRunning.PerWorker = true, 1, 1
	g.adopt(1, false, longRunning)
	starts := g.planStarts()
	g.confirm(starts)
	reportAll := func() {
		for _, o := range starts {
			r := runReport(o)
			r.Progress = 100
			g.report(o.Worker.ID, []gauge.RunReport{r})
		}
	}
	g.advance(5 * time.Second)
	reportAll()
	g.pool.DrainWorker("w1", false, g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 0)
	assert.Equal(t, g.pool.Load(g.now).MinWorkers, 2, "the fleet lease holder learns that more workers are needed")

	g.listWorkers("w1", "w2", "w3")
	g.report("w3", nil)
	reportAll()
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderStop)), 1)
}
