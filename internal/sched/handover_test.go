package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against two runs of a task at once after a handover. A worker with a run of the task gets
// a heartbeat and stops answering; the pool is handed over. The owner must not report the worker's
// lease as ending sooner than it granted, or the next owner starts the task too early.
func TestSilentWorkerIsWaitedForUntilItsLeaseEndsAfterAHandover(t *testing.T) {
	first := newHarness(t)
	first.listWorkers("w1", "w2")
	first.report("w1", nil)
	first.adopt(1, false, newStep(1))
	first.confirm(first.planStarts())
	first.pool.NextHeartbeat(incarnation("w1"), first.now) // grants 5 s
	first.advance(time.Second)
	first.failHeartbeat("w1")
	left := first.pool.RemainingLeases(first.now)
	assert.Equal(t, left[incarnation("w1")], 4*time.Second)

	second := newHarness(t, withPredecessor("w1"), func(c *sched.Config) { c.WorkerRunsEnd = left })
	second.listWorkers("w1", "w2")
	second.adopt(1, true, newStep(1))
	second.report("w2", nil)
	second.advance(4 * time.Second)
	second.report("w2", nil)
	assert.Equal(t, len(second.planStarts()), 0, "it may still run on the silent worker")
	second.advance(time.Millisecond)
	second.report("w2", nil)
	assert.Equal(t, len(second.planStarts()), 1)
}

// Guards against two runs: a successor doesn't wait for a worker that runs tasks and answers, as the
// worker has listed ends of jobs that the owner couldn't read, and so not all that previous owners
// ordered there.
func TestRemainingLeasesLeaveOutWorkersThatAnswer(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1")
	unread := gauge.EndReport{Number: 1, Task: gauge.TaskID{Job: jobID(9)}, Run: 1, Ending: gauge.EndDone}
	for range 55 {
		g.advance(100 * time.Millisecond)
		g.plan() // sets how far grants may reach
		g.report("w1", nil, unread)
		g.pool.NextHeartbeat(incarnation("w1"), g.now)
	}
	left, limited := g.pool.RemainingLeases(g.now)[incarnation("w1")]
	assert.Assert(t, !limited || left >= 5*time.Second, "a successor would wait for %v, and what runs there has a lease of 5 s more", left)
}

// Guards against two runs: a worker that has started again has a lease by a call that was meant for its previous
// incarnation, up to the longest that it grants, and the next owner waits for no longer than for any other.
func TestSuccessorWaitsForTheLeaseOfARestartedWorker(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Minute, []gauge.RunReport{{Task: g.late.Start.Task, Run: g.late.Start.Run}})
	g.failHeartbeatOf(incarnationAt("w1", 2))
	left := g.pool.RemainingLeases(g.now)
	assert.Assert(t, left[incarnationAt("w1", 2)] >= maxLease, "%v", left)
	previous := g.pool.LeaseRowWorkers()
	g.harness = newHarness(t, func(c *sched.Config) {
		c.Term, c.MaxWorkerLease, c.PreviousWorkers, c.PreviousRunsEnd, c.WorkerRunsEnd = 1, maxLease, previous, 6*time.Second, left
	})
	g.adopt(1, true, newStep(1))
	g.listRows(400, workerRow("w2", 1), workerRow("w3", 1))
	g.assertNoStartFor(maxLease - 100*time.Millisecond)
}
