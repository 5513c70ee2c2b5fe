package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against two runs of a task at once after a takeover. The new owner can't read one queue at
// first; while it reads it, a worker reports a run of an unread job of that queue, which is
// ignored; then the job is adopted. A report from before that must not count for this job.
func TestTaskOfAJobReadLateWaitsForFreshReports(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1", "w2")
	left := []gauge.RunReport{unknownRun()}
	g.report("w1", left)
	g.report("w2", nil)
	g.advance(7 * time.Second)
	g.report("w1", left)
	g.report("w2", nil)
	g.pool.RequireFreshReports()
	g.advance(100 * time.Millisecond) // the owner is reading the queue
	g.report("w1", left)
	g.report("w2", nil)
	g.adopt(9, true, newStep(1))
	g.pool.SetJobsMissing(false)
	assert.Equal(t, len(g.planStarts()), 0, "it runs on w1")
	g.advance(100 * time.Millisecond)
	g.report("w2", nil)
	g.report("w1", left)
	assert.Equal(t, len(g.planStarts()), 0)
}

// Guards against a failed task that isn't started again for a while. The answer to a probe
// overtakes an earlier answer to a heartbeat: the newer one reports the run's end, the older one
// lists it as running.
func TestOlderReportDoesNotReviveAnEndedRun(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	g.confirm([]sched.Order{start})
	g.advance(100 * time.Millisecond)
	madeAt := g.workerClock()
	g.advance(100 * time.Millisecond)
	g.report("w1", nil, g.endReport("w1", start.Start.Task, 1, gauge.EndFailed))
	g.reportAt("w1", madeAt, []gauge.RunReport{runReport(start)})
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against two runs of a task at once after a takeover with a queue that was read late. A
// worker lists a run of an unread job and one of a known job; the answer to that one's stop
// overtakes an older report; the queue is read, and then the older report arrives. It is too old to
// be processed, and must not count as the worker's complete report either.
func TestOldReportDoesNotCountAsAFreshOne(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1", "w2")
	stopped := g.adopt(2, true, newStep(1))
	unread := gauge.RunReport{Task: gauge.TaskID{Job: jobID(9)}, Run: 7}
	known := gauge.RunReport{Task: gauge.TaskID{Job: jobID(2)}, Run: 5}
	g.report("w1", []gauge.RunReport{unread, known})
	g.report("w2", nil)
	g.pool.Cancel(stopped, 900)
	stops := ofKind(g.plan(), sched.OrderStop)
	g.pool.RequireFreshReports()
	g.pool.SetJobsMissing(false)
	g.adopt(9, true, newStep(1))
	madeAt := g.workerClock()
	g.advance(20 * time.Millisecond)
	g.confirm(stops)
	g.reportAt("w1", madeAt, []gauge.RunReport{unread, known})
	g.report("w2", nil)
	assert.Equal(t, len(g.planStarts()), 0)
}
