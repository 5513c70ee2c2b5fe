package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against six seconds after a handover in which no inherited task runs. Machines of a busy
// pool move to another pool; if the lease row named their workers until their leases end, the next
// owner would wait for workers that can't answer any more.
func TestIdleWorkersThatLeftAreNotWaitedFor(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2", "w3")
	g.report("w1", nil)
	g.report("w2", nil)
	g.report("w3", nil)
	g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	g.confirm([]sched.Order{start})
	var left []string
	for _, id := range []string{"w1", "w2", "w3"} {
		if id != start.Worker.ID {
			left = append(left, id)
		}
	}
	g.listWorkers(start.Worker.ID)
	g.failHeartbeat(left[0])
	assert.DeepEqual(t, g.pool.LeaseRowWorkers(), incarnations(start.Worker.ID))
	g.failHeartbeat(start.Worker.ID)
	assert.DeepEqual(t, g.pool.LeaseRowWorkers(), incarnations(start.Worker.ID)) // its run may continue
}

// Guards against a task that runs twice after a handover. An idle worker misses a heartbeat, so
// that the lease row doesn't name it; it answers again and gets a task; the owner dies, and the
// next one doesn't ask a worker that the row doesn't name.
func TestWorkerIsNotUsedBeforeTheLeaseRowNamesItAgain(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.failHeartbeat("w1")
	assert.Equal(t, len(g.pool.LeaseRowWorkers()), 0)
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	assert.Equal(t, len(g.planStarts()), 0)
	assert.Assert(t, g.pool.HasUrgent(), "the lease row must be written")
	named := g.pool.LeaseRowWorkers()
	assert.DeepEqual(t, named, incarnations("w1"))
	assert.Equal(t, len(g.planStarts()), 0, "not before the row is in the table")
	g.pool.LeaseRowWritten(named, fence)
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against a completed job that runs a second time. The notification of a new job gets no
// answer and is repeated; meanwhile a scan found the job, and it ran and ended. An owner that had
// forgotten the job would take the repeated notification for a new job.
func TestLateNotificationOfAnEndedJobIsIgnored(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	id := g.adopt(1, false, newStep(1))
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	g.confirm(starts)
	g.advance(time.Second)
	g.report("w1", nil, g.endReport("w1", starts[0].Start.Task, 1, gauge.EndDone))
	g.writeAll(500)

	g.adopt(1, false, newStep(1))

	assert.Assert(t, g.pool.Knows(id))
	assert.Equal(t, len(g.planStarts()), 0)
}

// Guards against a cancelled job that starts on a new owner. The owner reads the job as cancelled
// and drops it; then the notification of its submission arrives. A notification from before the
// takeover says nothing that the new owner hasn't read from the table.
func TestNotificationFromBeforeTheTakeoverIsIgnored(t *testing.T) {
	g := newHarness(t, withPredecessor())
	g.listWorkers("w1")
	g.report("w1", nil)
	g.pool.Adopt(sched.AcceptedJob{ID: jobID(1), Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence - 1, Arrived: g.now}, g.now)
	assert.Equal(t, len(g.planStarts()), 0)
}

// Guards against two runs of a task at once. The owner starts a task on w2 and dies; the new owner
// has a report of w1 but not yet of w2, and would start the task on w1 if a task that nobody
// reported counted as not running.
func TestInheritedTaskWaitsForEveryWorkerOfThePreviousOwner(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.adopt(1, true, newStep(1))
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	assert.Equal(t, len(g.planStarts()), 0)

	task := gauge.TaskID{Job: jobID(1)}
	g.report("w2", []gauge.RunReport{{Task: task, Run: 1}})
	assert.Equal(t, len(g.planStarts()), 0, "it runs on w2")
}

// The same with w2 never answering: once every lease that the previous owner may have granted has
// run out, the task starts, under a run number that can't be one of the previous owner's.
func TestInheritedTaskStartsWhenAllGrantsHaveRunOut(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.adopt(1, true, newStep(1))
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.failHeartbeat("w2")
	g.advance(5 * time.Second)
	g.report("w1", nil)
	assert.Equal(t, len(g.planStarts()), 0)
	g.advance(1100 * time.Millisecond)
	g.report("w1", nil)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Start.Run > 1000, "run %d", starts[0].Start.Run)
}

// A job that was accepted after the takeover can't run anywhere yet.
func TestNewJobDoesNotWaitForWorkersOfThePreviousOwner(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against two runs of a task at once after a start got no answer. The start is delayed; a
// report made before it arrives doesn't list the run; if that counted as a refusal, the task would
// start elsewhere before the first start arrives.
func TestUnansweredStartIsAbandonedOnlyAfterItsDeadline(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	on := start.Worker.ID
	g.pool.OrderAnswered(start, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.advance(300 * time.Millisecond)
	g.report(on, nil)
	assert.Equal(t, len(g.planStarts()), 0)

	g.advance(800 * time.Millisecond)
	g.report(on, nil) // its clock is past the deadline of the start
	assert.Equal(t, len(g.planStarts()), 1)
}

// The same start was executed after all: the run is kept.
func TestUnansweredStartThatIsListedContinues(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	g.pool.OrderAnswered(start, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderProbe)), 1, "the worker is probed at once")
	g.advance(2 * time.Second)
	g.report("w1", []gauge.RunReport{runReport(start)})
	assert.Equal(t, len(g.plan()), 0)
}

// A run that isn't listed is stopped. The answer to the stop settles it: the start is refused if it
// still arrives.
func TestUnansweredStartThatIsNotListedIsSettledByAStop(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	start := g.planStarts()[0]
	g.advance(300 * time.Millisecond)
	g.pool.OrderAnswered(start, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.report("w1", nil)
	orders := g.plan()
	assert.Equal(t, len(ofKind(orders, sched.OrderStart)), 0)
	g.confirm(ofKind(orders, sched.OrderStop))
	assert.Equal(t, len(ofKind(g.plan(), sched.OrderProbe)), 1)
	g.advance(10 * time.Millisecond)
	g.report("w1", nil)
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Run, 2)
}

// Guards against two runs of a task at once although its start was answered. A report is made, then
// the start is executed; its answer overtakes the report, which doesn't list the run. Reports taken
// in order of arrival would make the run seem lost.
func TestReportFromBeforeAStartDoesNotEndItsRun(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	before := g.workerClock()
	starts := g.planStarts()
	g.advance(50 * time.Millisecond)
	g.confirm(starts)
	g.reportAt("w1", before, nil)
	assert.Equal(t, len(g.planStarts()), 0)
}

// Guards against a task that runs on an unreachable worker and on another one. The worker stops
// answering and is no longer listed, but its lease has not run out; it must not count as dead.
func TestTaskOfAnUnreachableWorkerWaitsForItsLease(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	g.adopt(1, false, newStep(1))
	starts := g.planStarts()
	g.confirm(starts)
	on, other := starts[0].Worker.ID, "w1"
	if on == "w1" {
		other = "w2"
	}
	_, call, _ := g.pool.NextHeartbeat(incarnation(on), g.now)
	assert.Assert(t, call.Until > 0)
	g.failHeartbeat(on)
	_, call, _ = g.pool.NextHeartbeat(incarnation(on), g.now)
	assert.Equal(t, call.Until, time.Duration(0), "a silent worker gets no extension")
	g.listWorkers(other)
	g.advance(4900 * time.Millisecond)
	g.report(other, nil)
	assert.Equal(t, len(g.startsAfterWrites()), 0)
	g.advance(200 * time.Millisecond)
	g.report(other, nil)
	starts = g.startsAfterWrites()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, other)
}

// Another incarnation answers at the worker's address: the one meant has ended, and the task
// needn't wait for the lease.
func TestTaskOfAReplacedWorkerStartsAtOnce(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	g.confirm(g.planStarts())
	g.listWorkers("w2")
	g.report("w2", nil)
	g.pool.HeartbeatFailed(incarnation("w1"), gauge.Errorf(gauge.KindReplaced, "status 421"), g.now)
	starts := g.startsAfterWrites()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, "w2")
}

// Guards against two runs of a task at once after a takeover. The previous owner has extended a
// worker's lease by seconds; the new one starts a task there, and the worker misses the next
// heartbeat. The lease must not be taken to end with what this owner granted by the start.
func TestWorkerMayRunAsLongAsThePreviousOwnerGranted(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(1))
	starts := g.planStarts()
	assert.Equal(t, len(starts), 1)
	g.confirm(starts)
	g.failHeartbeat("w1")
	g.listWorkers("w2")
	g.advance(5 * time.Second)
	g.report("w2", nil)
	assert.Equal(t, len(g.startsAfterWrites()), 0)
	g.advance(1100 * time.Millisecond)
	g.report("w2", nil)
	assert.Equal(t, len(g.startsAfterWrites()), 1, "every granted lease has run out")
}
