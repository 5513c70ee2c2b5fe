package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// runTask has a worker start one task, and lets time pass until its end can be reported.
func (g *harness) runTask(id string, job int) sched.Order {
	g.listWorkers(id)
	g.report(id, nil)
	g.adopt(job, false, newStep(1))
	starts := g.planStarts()
	assert.Equal(g.t, len(starts), 1)
	g.confirm(starts)
	g.advance(time.Second)
	return starts[0]
}

// ackedEnd is the number of the last end report that the next heartbeat to a worker acknowledges.
func (g *harness) ackedEnd(id string) int64 {
	_, call, _ := g.pool.NextHeartbeat(incarnation(id), g.now)
	return call.LastSeenEnd
}

// Guards against a task that starts again although it was done. An owner receives the end report
// and says that the worker is drained; the worker's machine is moved; the owner is replaced before
// it has written the end. Its successor reads the job without the end and can't ask the worker any
// more, so a worker must not count as drained while an end report is held only by the worker and in
// the owner's memory.
func TestWorkerIsNotDrainedBeforeItsEndsAreWritten(t *testing.T) {
	g := newHarness(t)
	start := g.runTask("w1", 1)
	g.report("w1", nil, g.endReport("w1", start.Start.Task, 1, gauge.EndDone))
	assert.Assert(t, !g.pool.DrainWorker("w1", false, g.now), "its end isn't written yet")
	g.writeAll(500)
	assert.Assert(t, g.pool.DrainWorker("w1", false, g.now))
}

// The same with more end reports on the worker than it lists at a time.
func TestWorkerWithAFullListOfEndsIsNotDrained(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	var ends []gauge.EndReport
	for range 500 {
		ends = append(ends, g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndStopped))
	}
	g.report("w1", nil, ends...)
	g.writeAll(500)
	assert.Assert(t, !g.pool.DrainWorker("w1", false, g.now), "there may be more ends than are listed")
	g.advance(time.Second)
	g.report("w1", nil)
	g.writeAll(501)
	assert.Assert(t, g.pool.DrainWorker("w1", false, g.now))
}

// The same with an end report for a job that could not be read yet; the report is left with the
// worker.
func TestWorkerWithUnacknowledgedEndsIsNotDrained(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.pool.SetJobsMissing(true)
	g.listWorkers("w1")
	end := g.endReport("w1", gauge.TaskID{Job: jobID(1)}, 1, gauge.EndDone)
	g.report("w1", nil, end)
	g.writeAll(500)
	assert.Assert(t, !g.pool.DrainWorker("w1", false, g.now), "its end isn't processed yet")
	g.adopt(1, true, newStep(1))
	g.pool.SetJobsMissing(false)
	g.advance(time.Second)
	g.report("w1", nil, end)
	assert.Assert(t, !g.pool.DrainWorker("w1", false, g.now), "its end isn't written yet")
	g.writeAll(501)
	assert.Assert(t, g.pool.DrainWorker("w1", false, g.now))
}

// Guards against a task that starts again on a new owner although it was done. A worker that drains
// lists the end report; the owner is replaced before it has written the end. If the lease row left
// out workers without runs, the next owner would start the task without asking that worker.
func TestLeaseRowNamesWorkerUntilItsEndsAreWritten(t *testing.T) {
	draining := newWorker("w1")
	draining.Draining = true
	for name, removeWorker := range map[string]func(g *harness){
		"silent":   func(g *harness) { g.failHeartbeat("w1") },
		"unlisted": func(g *harness) { g.listWorkers("w2") },
		"draining": func(g *harness) { g.pool.UpdateWorkers([]gauge.Worker{draining}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t)
			start := g.runTask("w1", 1)
			g.report("w1", nil, g.endReport("w1", start.Start.Task, 1, gauge.EndDone))
			removeWorker(g)
			assert.Assert(t, isNamed(g, "w1"))
			g.writeAll(500)
			assert.Assert(t, !isNamed(g, "w1"), "a successor needn't wait for the worker any more")
		})
	}
}

// The same with a worker that is silent and no longer listed until its lease has run out, while the
// table takes no write: the end of the lease must not remove a worker with unwritten ends.
func TestWorkerIsNotForgottenBeforeItsEndsAreWritten(t *testing.T) {
	g := newHarness(t)
	start := g.runTask("w1", 1)
	g.report("w1", nil, g.endReport("w1", start.Start.Task, 1, gauge.EndDone))
	g.failHeartbeat("w1")
	g.listWorkers("w2")
	g.advance(10 * time.Second)
	assert.Assert(t, isNamed(g, "w1"))
	g.writeAll(500)
	g.advance(time.Second)
	assert.Assert(t, !isNamed(g, "w1"))
}

// isNamed reports whether the lease row is to name a worker.
func isNamed(g *harness, id string) bool {
	for _, n := range g.pool.LeaseRowWorkers() {
		if n == incarnation(id) {
			return true
		}
	}
	return false
}

// Guards against workers that can't forget any end reports under load, so that each answer lists
// hundreds of old ones. More changes wait than fit in one transaction, all the time; a write that
// leaves some of them pending must still acknowledge the end reports that it contains.
func TestEndsAreAcknowledgedWhileOtherChangesArePending(t *testing.T) {
	g := newHarness(t)
	start := g.runTask("w1", 1)
	g.adopt(2, false, newStep(1))
	g.confirm(g.planStarts())
	g.report("w1", nil, g.endReport("w1", start.Start.Task, 1, gauge.EndDone))
	b, err := g.pool.NextBatch(1, 1, skipNone)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1)
	assert.Equal(t, b.Changes[0].Job, jobID(1), "the urgent change goes first")
	g.pool.BatchWritten(b, 500, g.now)
	assert.Equal(t, g.ackedEnd("w1"), int64(1))
	assert.Assert(t, !g.pool.HasUrgent(), "only a start is still to be written")
}

// An acknowledgement covers all earlier end reports, so one that the table doesn't have delays the
// acknowledgement of those after it.
func TestEndsAreAcknowledgedInOrder(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	var ends []gauge.EndReport
	for i, queue := range []string{"sheets", "parts"} {
		id := jobID(i)
		g.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queue, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: 0}, 0)
		ends = append(ends, g.endReport("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone))
	}
	g.confirm(g.planStarts())
	g.advance(time.Second)
	g.report("w1", nil, ends...)
	b, err := g.pool.NextBatch(100, 1, func(queue string) bool { return queue == "sheets" })
	assert.NilError(t, err)
	g.pool.BatchWritten(b, 500, g.now)
	assert.Equal(t, g.ackedEnd("w1"), int64(0), "the first end isn't in the table")
	b, err = g.pool.NextBatch(100, 1, skipNone)
	assert.NilError(t, err)
	g.pool.BatchWritten(b, 501, g.now)
	assert.Equal(t, g.ackedEnd("w1"), int64(2))
}

// An end that is reported after its job's row was encoded isn't part of the written row.
func TestEndsReportedDuringAWriteWaitForTheNext(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(2))
	starts := g.planStarts()
	g.confirm(starts)
	g.advance(time.Second)
	g.report("w1", []gauge.RunReport{runReport(starts[1])}, g.endReport("w1", starts[0].Start.Task, 1, gauge.EndDone))
	b, err := g.pool.NextBatch(100, 1, skipNone)
	assert.NilError(t, err)
	g.report("w1", nil, g.endReport("w1", starts[1].Start.Task, 1, gauge.EndDone))
	g.pool.BatchWritten(b, 500, g.now)
	assert.Equal(t, g.ackedEnd("w1"), int64(1))
	assert.Assert(t, !g.pool.DrainWorker("w1", false, g.now))
	g.writeAll(501)
	assert.Equal(t, g.ackedEnd("w1"), int64(2))
}

// Guards against an owner with hundreds of ended runs a second that falls further and further
// behind: a transaction must not be limited to the number of jobs that would fit if all of them had
// ended.
func TestTransactionUsesAllItsOperations(t *testing.T) {
	const operations = 98
	for name, ended := range map[string]bool{"starts": false, "ended jobs": true} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t)
			ids := make([]string, 0, 20)
			for i := range 20 {
				ids = append(ids, fmt.Sprintf("w%d", i))
			}
			g.listWorkers(ids...)
			for _, id := range ids {
				g.report(id, nil)
			}
			for i := range 60 {
				g.adopt(i+1, false, newStep(1))
			}
			starts := g.planStarts()
			assert.Equal(t, len(starts), 60)
			g.confirm(starts)
			g.advance(time.Second)
			for _, o := range starts {
				if ended {
					g.report(o.Worker.ID, nil, g.endReport(o.Worker.ID, o.Start.Task, 1, gauge.EndDone))
				}
			}
			b, err := g.pool.NextBatch(operations, 1, skipNone)
			assert.NilError(t, err)
			used, each := 0, 0
			for _, c := range b.Changes {
				each = 2
				if c.Final {
					each = 4
				}
				used += each
			}
			assert.Assert(t, used <= operations, "%d operations", used)
			assert.Assert(t, used+each > operations, "%d operations, another change would fit", used)
		})
	}
}

// Guards against a pool of which no change is written any more. Jobs with long checkpoints change;
// a transaction with many of them exceeds a megabyte and is refused again and again, if only
// operations are counted and not bytes.
func TestTransactionStaysBelowItsSizeLimit(t *testing.T) {
	const most = 1 << 19
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	checkpointing := newStep(1)
	checkpointing.Checkpoints = true
	saved := strings.Repeat("c", 60_000)
	for i := range 40 {
		g.adopt(i+1, false, checkpointing)
		start := g.planStarts()
		g.confirm(start)
		g.advance(time.Second)
		end := g.endReport("w1", start[0].Start.Task, start[0].Start.Run, gauge.EndStopped)
		end.Checkpoint = saved
		g.report("w1", nil, end)
		g.pool.Cancel(jobID(i+1), int64(1000+i))
	}
	written := 0
	for written < 40 {
		b, err := g.pool.NextBatch(98, 1, skipNone)
		assert.NilError(t, err)
		size := 0
		for _, c := range b.Changes {
			size += len(c.Row)
		}
		assert.Assert(t, len(b.Changes) > 0)
		assert.Assert(t, size <= most, "%d bytes", size)
		written += len(b.Changes)
		g.pool.BatchWritten(b, int64(2000+written), g.now)
	}
}

// Guards against a task that runs again after a takeover although it was done. A worker has more
// end reports than it lists at a time, and that of an inherited task is not among the first; the
// worker's first report to the new owner must not count as complete.
func TestInheritedTaskWaitsForEndsBeyondAFullList(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	id := g.adopt(1, true, newStep(1))
	g.listWorkers("w1", "w2")
	g.report("w2", nil)
	var ends []gauge.EndReport
	for range 500 {
		ends = append(ends, g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
	}
	g.report("w1", nil, ends...)
	assert.Equal(t, len(g.planStarts()), 0, "its end may be one that isn't listed yet")
	assert.Equal(t, g.ackedEnd("w1"), int64(500))
	g.advance(time.Second)
	g.report("w1", nil, g.endReport("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone))
	assert.Equal(t, len(g.planStarts()), 0)
	g.writeAll(500)
	state, _ := g.pool.JobState(queueName, id)
	assert.Equal(t, state, gauge.JobCompleted)
}

// The same with an end report that follows one for a job which can't be read yet. Both are left
// with the worker for longer than any lease of the previous owner.
func TestInheritedTaskWaitsForUnacknowledgedEnds(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.pool.SetJobsMissing(true)
	id := g.adopt(1, true, newStep(1))
	g.listWorkers("w1", "w2")
	unread := g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone)
	done := g.endReport("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone)
	for range 8 {
		g.report("w1", nil, unread, done)
		g.report("w2", nil)
		assert.Equal(t, len(g.planStarts()), 0, "the worker still lists its end")
		g.advance(time.Second)
	}
	g.adopt(9, true, newStep(1))
	g.pool.SetJobsMissing(false)
	g.report("w1", nil, unread, done)
	g.writeAll(500)
	state, _ := g.pool.JobState(queueName, id)
	assert.Equal(t, state, gauge.JobCompleted)
}

// Inherited tasks don't wait for the end reports of a worker that can't be reached any more.
func TestInheritedTaskDoesNotWaitForADeadWorker(t *testing.T) {
	for name, loseWorker := range map[string]func(g *harness){
		"another incarnation": func(g *harness) {
			g.pool.HeartbeatFailed(incarnation("w1"), gauge.Errorf(gauge.KindReplaced, "status 421"), g.now)
		},
		"silent for longer than its lease": func(g *harness) {
			g.failHeartbeat("w1")
			g.advance(7 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, withPredecessor("w1"))
			g.pool.SetJobsMissing(true)
			g.adopt(1, true, newStep(1))
			g.listWorkers("w1", "w2")
			g.report("w1", nil, g.endReport("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
			loseWorker(g)
			g.report("w2", nil)
			assert.Equal(t, len(g.planStarts()), 1)
		})
	}
}
