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

// recur has a job accepted that runs three times.
func (w *world) recur() {
	if len(w.specs) > 12 {
		return
	}
	id := jobID(len(w.specs))
	second := step(1)
	second.After = []int{0}
	w.specs[id] = &gauge.JobSpec{Steps: []gauge.Step{step(2), second}, Repeats: 3, FirstAt: time.Unix(0, 0).Add(w.now), Every: time.Second}
	row := &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
	value, err := row.Encode()
	assert.NilError(w.t, err)
	w.next++
	w.rows[id], w.version[id] = value, w.next
	w.pool.Adopt(sched.Accepted{ID: id, Queue: queueName, Spec: w.specs[id], Row: row, Version: w.next, Arrived: w.now}, w.now)
}

// counted compares what the pool keeps count of with a walk over all jobs.
func (w *world) counted() {
	walk := w.pool.Walk(w.now)
	depths := w.pool.Depths()
	assert.Assert(w.t, maps.Equal(depths, walk.Depths), "depths %v, want %v", depths, walk.Depths)
	assert.Equal(w.t, w.pool.Urgent(), walk.Urgent)
	assert.Equal(w.t, len(walk.Stale), 0, "%v", walk.Stale)
	waiting := w.pool.Waiting(w.now)
	assert.Assert(w.t, slices.Equal(waiting, walk.Waiting), "steps that wait %v, want %v", waiting, walk.Waiting)
	changed := w.pool.Changed()
	assert.Assert(w.t, slices.Equal(changed, walk.Changed), "changed %v, want %v", changed, walk.Changed)
	load := w.pool.Load(w.now)
	for _, l := range []*gauge.PoolLoad{&load, &walk.Load} {
		slices.SortFunc(l.Workers, func(a, b gauge.WorkerLoad) int { return cmp.Compare(a.ID, b.ID) })
	}
	assert.Assert(w.t, reflect.DeepEqual(load, walk.Load), "load %v, want %v", load, walk.Load)
}

// Whatever happens in whatever order: the depths of the queues, the demand, the
// steps that wait and the jobs that a write takes along are those that a walk over
// all jobs finds.
func TestCountsAreThoseOfAWalkOverAllJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		events := []func(){
			w.adopt, w.adopt, w.recur, w.answer, w.answer, w.answer, w.ask, w.ask, w.tell, w.tell, w.write, w.write,
			w.endSome, w.endSome, w.pass, w.cancel, w.crash,
			func() { w.pool.Tick(w.now, time.Unix(0, 0).Add(w.now)) },
			func() { w.own(w.named) },
			func() { w.pool.Rehear() },
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			rapid.SampledFrom(events).Draw(t, "event")()
			w.counted()
		}
	})
}
