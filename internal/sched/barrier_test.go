package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a long-running task that doesn't run for ten seconds though its worker and its
// owner work normally. An owner takes a pool over, reads a small queue at once and has reports of
// all workers; a large queue is read in chunks over many seconds. Only the jobs of a new chunk may
// have to wait for fresh reports of all workers.
func TestReadJobsDoNotWaitForJobsThatAreReadLate(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.pool.SetJobsMissing(true)
	read := g.adopt(1, true, newStep(1))
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	g.advance(10 * time.Millisecond)
	g.pool.RequireFreshReports()
	late := g.adopt(2, true, newStep(1))
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, read)

	g.advance(10 * time.Millisecond)
	g.report("w1", nil)
	g.pool.RequireFreshReports()
	g.adopt(3, true, newStep(1))
	assert.Equal(t, len(g.planStarts()), 0, "the second worker may run tasks of both")
	g.advance(10 * time.Millisecond)
	g.report("w2", nil)
	starts = g.planStarts()
	assert.Equal(t, len(starts), 1, "the first worker may run the third job's")
	assert.Equal(t, starts[0].Start.Task.Job, late)
	g.report("w1", nil)
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against two runs of a task at once. A job is read late; a worker that runs a task of it
// doesn't answer, but still receives heartbeats that extend its lease. The wait for it must not end
// with the lease that was granted when the job was read.
func TestSilentWorkerIsWaitedForAsLongAsItsHeartbeatsGrant(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	g.sendHeartbeat("w1")
	g.pool.RequireFreshReports()
	g.adopt(1, true, newStep(1))
	g.report("w2", nil)
	g.advance(4 * time.Second)
	g.sendHeartbeat("w1")
	g.advance(4 * time.Second)
	g.failHeartbeat("w1")
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 0, "the last heartbeat extended the lease")
	g.advance(4 * time.Second)
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 1)
}

// sendHeartbeat sends a worker a heartbeat; the test decides on its answer.
func (g *harness) sendHeartbeat(id string) {
	g.pool.SetLease(g.now+9*time.Second, g.now+9*time.Second)
	_, _, ok := g.pool.NextHeartbeat(incarnation(id), g.now)
	assert.Assert(g.t, ok)
}

// Guards against two runs of a task at once. An owner takes a pool over; a worker reports a run of
// the previous owner and goes silent before this owner's first heartbeat that extends its lease.
// The run must not be taken to end with what this owner granted, which is nothing.
func TestRunOfThePreviousOwnerOutlivesASilentWorkersReport(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	id := g.adopt(1, true, newStep(1))
	g.listWorkers("w1", "w2")
	g.report("w1", []gauge.RunReport{{Task: gauge.TaskID{Job: id}, Run: 1}})
	g.failHeartbeat("w1")
	g.advance(10 * time.Millisecond)
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 0, "the lease that the previous owner granted hasn't run out")
	g.advance(7 * time.Second)
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against two runs of a task at once. An owner takes a pool over and starts a task on a
// worker whose lease the previous owner had extended by some seconds; the start gets no answer, and
// the worker goes silent. The earlier lease also covers what is started later.
func TestStartIsCoveredByTheLeaseOfThePreviousOwner(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	orders := g.planStarts()
	assert.Equal(t, len(orders), 1)
	g.pool.OrderAnswered(orders[0], 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.failHeartbeat("w1")
	g.advance(1500 * time.Millisecond) // past the lease that the start granted
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 0, "the worker's lease hasn't run out")
	g.advance(7 * time.Second)
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 1)
}
