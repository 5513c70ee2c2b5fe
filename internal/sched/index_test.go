package sched_test

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// adoptRecurring has a job accepted that runs three times.
func (w *simulation) adoptRecurring() {
	if len(w.specs) > 12 {
		return
	}
	id := jobID(len(w.specs))
	second := newStep(1)
	second.After = []int{0}
	w.specs[id] = &gauge.JobSpec{Steps: []gauge.Step{newStep(2), second}, Repeats: 3, FirstAt: time.Unix(0, 0).Add(w.now), Interval: time.Second}
	row := &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
	value, err := row.Encode()
	assert.NilError(w.t, err)
	w.lastVersion++
	w.rows[id], w.versions[id] = value, w.lastVersion
	w.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: w.specs[id], Row: row, Version: w.lastVersion, Arrived: w.now}, w.now)
}

// checkCounts compares the pool's counts with a walk over all jobs.
func (w *simulation) checkCounts() {
	walk := w.pool.Recount(w.now)
	depths := w.pool.QueueDepths()
	assert.Assert(w.t, maps.Equal(depths, walk.Depths), "depths %v, want %v", depths, walk.Depths)
	assert.Equal(w.t, w.pool.HasUrgent(), walk.Urgent)
	assert.Equal(w.t, len(walk.WrongCriticalPaths), 0, "%v", walk.WrongCriticalPaths)
	waiting := w.pool.Waiting(w.now)
	assert.Assert(w.t, slices.Equal(waiting, walk.Waiting), "waiting steps %v, want %v", waiting, walk.Waiting)
	changed := w.pool.Changed()
	assert.Assert(w.t, slices.Equal(changed, walk.Changed), "changed %v, want %v", changed, walk.Changed)
	for account, use := range w.pool.AccountUses() {
		use.Waiting = gauge.Resources{}
		assert.Equal(w.t, use, walk.Uses[account], "account %s", account)
		delete(walk.Uses, account)
	}
	assert.Equal(w.t, len(walk.Uses), 0, "uses that aren't counted: %v", walk.Uses)
	for _, account := range []string{"", account, "schools"} {
		assert.Equal(w.t, w.pool.Running(account), walk.Running[account], "runs of account %q", account)
	}
	load := w.pool.Load(w.now)
	for _, l := range []*gauge.PoolLoad{&load, &walk.Load} {
		slices.SortFunc(l.Workers, func(a, b gauge.WorkerLoad) int { return cmp.Compare(a.ID, b.ID) })
	}
	assert.Assert(w.t, reflect.DeepEqual(load, walk.Load), "load %v, want %v", load, walk.Load)
}

// After any sequence of events, the queue depths, the demand, what client accounts use, the waiting steps and the jobs that
// the next write includes are those that a walk over all jobs finds.
func TestCountsMatchAWalkOverAllJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		events := []func(){
			w.adoptRandom, w.adoptRandom, w.adoptRecurring, w.resolveOrder, w.resolveOrder, w.resolveOrder, w.sendHeartbeat, w.sendHeartbeat, w.deliverReports, w.deliverReports, w.writeBatch, w.writeBatch,
			w.endRandom, w.endRandom, w.advance, w.cancelRandom, w.crashWorker,
			func() { w.pool.Tick(w.now, time.Unix(0, 0).Add(w.now)) },
			func() { w.startOwner(w.leaseWorkers) },
			func() { w.pool.RequireFreshReports() },
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			rapid.SampledFrom(events).Draw(t, "event")()
			w.checkCounts()
		}
	})
}
