package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Symptom: for six seconds after a handover nothing runs that was there before.
// Sequence: machines of a busy pool move to another one; its owner stops; the next
// one waits for the workers that those machines were, which nobody can hear.
// Cause: the lease row named workers until their leases were over.
func TestWorkersThatLeftEmptyAreNotWaitedFor(t *testing.T) {
	g := newRig(t)
	g.list("w1", "w2", "w3")
	g.hear("w1", nil)
	g.hear("w2", nil)
	g.hear("w3", nil)
	g.adopt(1, false, step(1))
	start := g.starts()[0]
	g.ok([]sched.Order{start})
	var left []string
	for _, id := range []string{"w1", "w2", "w3"} {
		if id != start.Worker.ID {
			left = append(left, id)
		}
	}
	g.list(start.Worker.ID)
	g.silent(left[0])
	assert.DeepEqual(t, g.pool.Name(), livesOf(start.Worker.ID))
	g.silent(start.Worker.ID)
	assert.DeepEqual(t, g.pool.Name(), livesOf(start.Worker.ID)) // its run may go on
}

// Symptom: a task runs twice after a handover.
// Sequence: an idle worker is silent for a moment, so that the lease row doesn't
// name it; it answers again and gets a task; the owner dies; the next one doesn't
// ask that worker.
// Cause: the worker was used though the row didn't name it any more.
func TestWorkerLeftOutIsNotUsedBeforeItIsNamedAgain(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.silent("w1")
	assert.Equal(t, len(g.pool.Name()), 0)
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	assert.Equal(t, len(g.starts()), 0)
	assert.Assert(t, g.pool.Urgent(), "the row is to be written")
	named := g.pool.Name()
	assert.DeepEqual(t, named, livesOf("w1"))
	assert.Equal(t, len(g.starts()), 0, "not before the table has it")
	g.pool.Noted(named, fence)
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: a job that was completed runs a second time, seconds later.
// Sequence: the notice of a new job to the pool's owner gets no answer and is
// sent again; meanwhile the job was found by a scan, ran and ended.
// Cause: an owner that forgets a job with its end takes the late notice for a
// new job.
func TestLateNoticeOfAnEndedJobIsIgnored(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	id := g.adopt(1, false, step(1))
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	g.ok(starts)
	g.pass(time.Second)
	g.hear("w1", nil, g.end("w1", starts[0].Start.Task, 1, gauge.EndDone))
	g.save(500)

	g.adopt(1, false, step(1))

	assert.Assert(t, g.pool.Knows(id))
	assert.Equal(t, len(g.starts()), 0)
}

// Symptom: a job that was cancelled starts on the new owner.
// Sequence: the old owner dies; the job is cancelled; a new owner takes over,
// sees it cancelled and drops it; the notice of its hand-in arrives at last.
// Cause: a notice from before the takeover says nothing that the new owner
// hasn't read from the table.
func TestNoticeFromBeforeTheTakeoverIsIgnored(t *testing.T) {
	g := newRig(t, after())
	g.list("w1")
	g.hear("w1", nil)
	g.pool.Adopt(sched.Accepted{ID: jobID(1), Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{step(1)}}, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence - 1, Arrived: g.now}, g.now)
	assert.Equal(t, len(g.starts()), 0)
}

// Symptom: after an owner's death a task has two runs at once.
// Sequence: the owner starts a task on w2 and dies; the new owner hears w1 but
// not yet w2, and starts the task on w1.
// Cause: a task that no worker has told of counts as not running.
func TestInheritedTaskWaitsForEveryWorkerOfTheOwnerBefore(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.adopt(1, true, step(1))
	g.list("w1", "w2")
	g.hear("w1", nil)
	assert.Equal(t, len(g.starts()), 0)

	task := gauge.TaskID{Job: jobID(1)}
	g.hear("w2", []gauge.RunReport{{Task: task, Run: 1}})
	assert.Equal(t, len(g.starts()), 0, "it runs on w2")
}

// The same with w2 never heard of: once everything that the owner before may
// have granted has surely run out, the task starts, and under a number that
// can't be one of the earlier owner's.
func TestInheritedTaskStartsWhenAllGrantsHaveRunOut(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.adopt(1, true, step(1))
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.silent("w2")
	g.pass(5 * time.Second)
	g.hear("w1", nil)
	assert.Equal(t, len(g.starts()), 0)
	g.pass(1100 * time.Millisecond)
	g.hear("w1", nil)
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Start.Run > 1000, "run %d", starts[0].Start.Run)
}

// A job that was accepted after the takeover can't run anywhere yet.
func TestNewJobDoesNotWaitForWorkersOfTheOwnerBefore(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: a task has two runs at once after a start got no answer.
// Sequence: the start is held up on its way; a report that was made before it
// arrives lacks the run; the task starts elsewhere; the first start arrives.
// Cause: a run that isn't listed yet counts as refused.
func TestUnansweredStartIsOnlyGivenUpWhenItWouldBeRefused(t *testing.T) {
	g := newRig(t)
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	g.adopt(1, false, step(1))
	start := g.starts()[0]
	on := start.Worker.ID
	g.pool.Answered(start, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.pass(300 * time.Millisecond)
	g.hear(on, nil)
	assert.Equal(t, len(g.starts()), 0)

	g.pass(800 * time.Millisecond)
	g.hear(on, nil) // its clock is past the start's own deadline
	assert.Equal(t, len(g.starts()), 1)
}

// The same start was carried out after all: the run is taken in.
func TestUnansweredStartThatIsListedGoesOn(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	start := g.starts()[0]
	g.pool.Answered(start, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	assert.Equal(t, len(only(g.plan(), sched.OrderLook)), 1, "the worker is asked at once")
	g.pass(2 * time.Second)
	g.hear("w1", []gauge.RunReport{running(start)})
	assert.Equal(t, len(g.plan()), 0)
}

// A run that isn't listed is stopped, and with the stop's answer it is settled:
// the start, should it come yet, is refused.
func TestUnansweredStartThatIsNotListedIsSettledByAStop(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	start := g.starts()[0]
	g.pass(300 * time.Millisecond)
	g.pool.Answered(start, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.hear("w1", nil)
	orders := g.plan()
	assert.Equal(t, len(only(orders, sched.OrderStart)), 0)
	g.ok(only(orders, sched.OrderStop))
	assert.Equal(t, len(only(g.plan(), sched.OrderLook)), 1)
	g.pass(10 * time.Millisecond)
	g.hear("w1", nil)
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Run, 2)
}

// Symptom: a task has two runs at once though its start was answered.
// Sequence: a report is made, then the start is carried out and answered; the
// answer overtakes the report, which lacks the run.
// Cause: reports are taken in the order of their arrival.
func TestReportFromBeforeAStartDoesNotEndItsRun(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	before := g.clock()
	starts := g.starts()
	g.pass(50 * time.Millisecond)
	g.ok(starts)
	g.hearAt("w1", before, nil)
	assert.Equal(t, len(g.starts()), 0)
}

// Symptom: a task runs on a worker that is cut off, and on another.
// Sequence: the worker stops answering and loses its entry in the list; its
// lease has not run out.
// Cause: a worker that isn't heard counts as gone.
func TestSilentWorkersTaskWaitsForItsLease(t *testing.T) {
	g := newRig(t)
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	g.adopt(1, false, step(1))
	starts := g.starts()
	g.ok(starts)
	on, other := starts[0].Worker.ID, "w1"
	if on == "w1" {
		other = "w2"
	}
	_, call, _ := g.pool.Holding(life(on), g.now)
	assert.Assert(t, call.Until > 0)
	g.silent(on)
	_, call, _ = g.pool.Holding(life(on), g.now)
	assert.Equal(t, call.Until, time.Duration(0), "a silent worker gets no extension")
	g.list(other)
	g.pass(4900 * time.Millisecond)
	g.hear(other, nil)
	assert.Equal(t, len(g.restarts()), 0)
	g.pass(200 * time.Millisecond)
	g.hear(other, nil)
	starts = g.restarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, other)
}

// Another life of the worker answers at its address: the one meant is over, and
// the task needn't wait for the lease.
func TestReplacedWorkersTaskStartsAtOnce(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	g.ok(g.starts())
	g.list("w2")
	g.hear("w2", nil)
	g.pool.HoldFailed(life("w1"), gauge.Fail(gauge.KindReplaced, "status 421"), g.now)
	starts := g.restarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, "w2")
}

// Symptom: a task has two runs at once after a takeover.
// Sequence: the owner before has extended a worker's lease by seconds; the new one
// hears the worker and starts a task there; the worker is silent before its next hold.
// Cause: the lease was taken to end with what this owner itself had granted, the start.
func TestWorkerMayRunForAsLongAsTheOwnerBeforeGranted(t *testing.T) {
	g := newRig(t, after("w1"))
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	g.ok(starts)
	g.silent("w1")
	g.list("w2")
	g.pass(5 * time.Second)
	g.hear("w2", nil)
	assert.Equal(t, len(g.restarts()), 0)
	g.pass(1100 * time.Millisecond)
	g.hear("w2", nil)
	assert.Equal(t, len(g.restarts()), 1, "all that was granted has run out")
}
