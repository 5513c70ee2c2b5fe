package sched_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// copyHarness is a pool whose workers carry out runs: each takes two seconds unless the test has it
// stall, take longer or fail.
type copyHarness struct {
	*harness
	ids       []string // workers in the pool
	startedAt int64    // of all workers; 0: they don't tell
	rows      map[string]*gauge.JobRow
	specs     map[string]*gauge.JobSpec
	version   int64

	runs    map[string]map[startKey]int // by worker: progress in percent
	ends    map[string][]gauge.EndReport
	starts  map[gauge.TaskID][]sched.Order
	stalled map[startKey]bool
	failing map[startKey]bool
	speed   map[startKey]int // percent in a tenth of a second
	silent  map[string]bool
	// lose has a start get no answer; the worker carries it out if the second result is true.
	lose        func(o sched.Order) (lost, carriedOut bool)
	checkpoints bool                  // runs report their progress as their checkpoint
	acked       map[gauge.TaskID]bool // an end as done was acknowledged
	events      map[string]int
}

const defaultSpeed = 5 // percent in a tenth of a second

func speculativeStep(count int) gauge.Step {
	s := newStep(count)
	s.Speculative, s.Estimate = true, 2*time.Second
	return s
}

func newCopyHarness(t *testing.T, workers ...string) *copyHarness {
	return newCopyHarnessWith(t, 0, workers)
}

func newCopyHarnessWith(t *testing.T, startedAt int64, workers []string, options ...option) *copyHarness {
	g := &copyHarness{
		ids: workers, startedAt: startedAt, rows: make(map[string]*gauge.JobRow), specs: make(map[string]*gauge.JobSpec), version: 1000,
		runs: make(map[string]map[startKey]int), ends: make(map[string][]gauge.EndReport), starts: make(map[gauge.TaskID][]sched.Order),
		stalled: make(map[startKey]bool), failing: make(map[startKey]bool), speed: make(map[startKey]int), silent: make(map[string]bool),
		acked: make(map[gauge.TaskID]bool), events: make(map[string]int),
	}
	g.harness = newHarness(t, append(options, g.counted)...)
	for _, id := range workers {
		g.runs[id] = make(map[startKey]int)
	}
	g.list()
	g.reportAll()
	return g
}

// counted has the owner count its events here.
func (g *copyHarness) counted(c *sched.Config) {
	c.MaxWorkerLease = maxLease
	c.CountEvent = func(event string) { g.events[event]++ }
}

func (g *copyHarness) list() {
	var rows []gauge.Worker
	for _, id := range g.ids {
		rows = append(rows, workerRow(id, g.startedAt))
	}
	g.version++
	g.listRows(g.version, rows...)
}

func (g *copyHarness) submit(n int, steps ...gauge.Step) string {
	id := jobID(n)
	g.version++
	g.specs[id], g.rows[id] = &gauge.JobSpec{Steps: steps}, &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
	g.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: g.specs[id], Row: g.rows[id], Version: g.version, Arrived: g.now}, g.now)
	return id
}

// pass lets time pass in steps of a tenth of a second.
func (g *copyHarness) pass(span time.Duration) {
	for end := g.now + span; g.now < end; {
		g.advance(100 * time.Millisecond)
		g.work()
		g.reportAll()
		g.execute()
		g.write()
	}
}

// passUntil lets time pass until a condition holds.
func (g *copyHarness) passUntil(what string, holds func() bool) {
	g.t.Helper()
	for end := g.now + time.Minute; !holds(); {
		assert.Assert(g.t, g.now < end, "after a minute: no %s", what)
		g.pass(100 * time.Millisecond)
	}
}

// write has the table take all changes.
func (g *copyHarness) write() {
	b, err := g.pool.NextBatch(100, g.now.Milliseconds(), skipNone)
	assert.NilError(g.t, err)
	g.version++
	for _, c := range b.Changes {
		g.rows[c.Job], err = gauge.DecodeJobRow(c.Row)
		assert.NilError(g.t, err)
	}
	g.pool.BatchWritten(b, g.version, g.now)
	g.pool.LeaseRowWritten(g.pool.LeaseRowWorkers(), g.version)
}

// running returns the workers that run a task.
func (g *copyHarness) running(task gauge.TaskID) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(g.runs)) {
		for k := range g.runs[id] {
			if k.task == task {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// key is the n-th start of a task.
func (g *copyHarness) key(task gauge.TaskID, n int) startKey {
	return startKey{task, g.starts[task][n].Start.Run}
}

// worker is where the n-th start of a task went.
func (g *copyHarness) worker(task gauge.TaskID, n int) string { return g.starts[task][n].Worker.ID }

// crash ends a worker with all its runs.
func (g *copyHarness) crash(id string) {
	g.runs[id], g.ends[id] = make(map[startKey]int), nil
	g.silent[id] = true
}

// replaceOwner has another owner take the pool over from what the table has.
func (g *copyHarness) replaceOwner() {
	previous := g.pool.LeaseRowWorkers()
	g.version++
	g.pool = newHarness(g.t, g.counted, func(c *sched.Config) {
		c.Term, c.Fence, c.PreviousWorkers, c.PreviousRunsEnd = 1, gauge.FencingToken(g.version), previous, g.now+6*time.Second
	}).pool
	for id, row := range g.rows {
		if !row.State.IsFinal() {
			g.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: g.specs[id], Row: row, Version: g.version, Arrived: g.now, Inherited: true}, g.now)
		}
	}
	g.list()
}

// taskOf is a task of the first step of a job.
func taskOf(n, index int) gauge.TaskID { return gauge.TaskID{Job: jobID(n), Index: index} }

// newStragglerHarness is a pool of workers in which task 0 of job 1 stalls and has a copy, while the
// other tasks of its job go on.
func newStragglerHarness(t *testing.T, startedAt int64) *copyHarness {
	t.Helper()
	g := newCopyHarnessWith(t, startedAt, []string{"w1", "w2", "w3"})
	g.stallFirst(speculativeStep(3))
	g.passUntil("copy", func() bool { return len(g.starts[taskOf(1, 0)]) == 2 })
	return g
}

// stallFirst submits job 1, of which task 0 stalls after half a second.
func (g *copyHarness) stallFirst(s gauge.Step) {
	g.t.Helper()
	g.submit(1, s)
	g.pass(500 * time.Millisecond)
	g.stalled[g.key(taskOf(1, 0), 0)] = true
}

// assertCompleted asserts that job 1 ends as completed, that nothing of it runs afterwards, and that
// no run was surplus, vanished or belonged to no job.
func (g *copyHarness) assertCompleted() {
	g.t.Helper()
	id := jobID(1)
	g.passUntil("completed job", func() bool { return g.rows[id].State == gauge.JobCompleted })
	g.pass(3 * time.Second)
	for i := range g.specs[id].Steps[0].Count {
		assert.Equal(g.t, len(g.running(taskOf(1, i))), 0)
	}
	for _, event := range []string{sched.EventSurplus, sched.EventVanished, sched.EventOrphan} {
		assert.Equal(g.t, g.events[event], 0, event)
	}
	for id, ends := range g.ends {
		assert.Assert(g.t, g.silent[id] || len(ends) == 0, "ends on %s aren't acknowledged: %v", id, ends)
	}
}
