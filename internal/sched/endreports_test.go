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

// runOn has a worker start one task, and time pass until its end can be told.
func (g *rig) runOn(id string, job int) sched.Order {
	g.list(id)
	g.hear(id, nil)
	g.adopt(job, false, step(1))
	starts := g.starts()
	assert.Equal(g.t, len(starts), 1)
	g.ok(starts)
	g.pass(time.Second)
	return starts[0]
}

// acknowledged is what the next hold of a worker acknowledges.
func (g *rig) acknowledged(id string) int64 {
	_, call, _ := g.pool.Holding(life(id), g.now)
	return call.LastSeen
}

// Symptom: a task starts again although a run of it has ended done.
// Sequence: an owner takes in the end and calls the worker empty; the worker's machine
// is moved; the owner is replaced before it has written the end; its successor reads
// the job without it, and can't ask the worker any more.
// Cause: a worker counted as empty once nothing ran there, whatever only it and the
// owner's memory knew.
func TestWorkerIsNotEmptyBeforeItsEndsAreInTheTable(t *testing.T) {
	g := newRig(t)
	start := g.runOn("w1", 1)
	g.hear("w1", nil, g.end("w1", start.Start.Task, 1, gauge.EndDone))
	assert.Assert(t, !g.pool.Empty("w1", false, g.now), "its end isn't written")
	g.save(500)
	assert.Assert(t, g.pool.Empty("w1", false, g.now))
}

// Symptom and cause as above. Sequence: the worker has more ends than it lists at a time.
func TestWorkerWithMoreEndsThanItListsIsNotEmpty(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	var ends []gauge.EndReport
	for range 500 {
		ends = append(ends, g.end("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndStopped))
	}
	g.hear("w1", nil, ends...)
	g.save(500)
	assert.Assert(t, !g.pool.Empty("w1", false, g.now), "there may be more ends")
	g.pass(time.Second)
	g.hear("w1", nil)
	g.save(501)
	assert.Assert(t, g.pool.Empty("w1", false, g.now))
}

// Symptom and cause as above. Sequence: the end is of a job that could not be read yet,
// and is left with the worker.
func TestWorkerWithEndsThatAreHeldBackIsNotEmpty(t *testing.T) {
	g := newRig(t, after("w1"))
	g.pool.Partial(true)
	g.list("w1")
	end := g.end("w1", gauge.TaskID{Job: jobID(1)}, 1, gauge.EndDone)
	g.hear("w1", nil, end)
	g.save(500)
	assert.Assert(t, !g.pool.Empty("w1", false, g.now), "its end isn't taken in")
	g.adopt(1, true, step(1))
	g.pool.Partial(false)
	g.pass(time.Second)
	g.hear("w1", nil, end)
	assert.Assert(t, !g.pool.Empty("w1", false, g.now), "its end isn't written")
	g.save(501)
	assert.Assert(t, g.pool.Empty("w1", false, g.now))
}

// Symptom: a task starts again on a new owner although a run of it has ended done.
// Sequence: a worker that drains lists the end; the owner is replaced before it has
// written it; the next one starts the task without asking that worker.
// Cause: the lease row named no worker on which nothing ran, whatever ends it had.
func TestWorkerStaysNamedUntilItsEndsAreInTheTable(t *testing.T) {
	draining := worker("w1")
	draining.Draining = true
	for name, leave := range map[string]func(g *rig){
		"silent":   func(g *rig) { g.silent("w1") },
		"unlisted": func(g *rig) { g.list("w2") },
		"draining": func(g *rig) { g.pool.Workers([]gauge.Worker{draining}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t)
			start := g.runOn("w1", 1)
			g.hear("w1", nil, g.end("w1", start.Start.Task, 1, gauge.EndDone))
			leave(g)
			assert.Assert(t, named(g, "w1"))
			g.save(500)
			assert.Assert(t, !named(g, "w1"), "a successor needn't wait for it any more")
		})
	}
}

// Symptom as above. Sequence: the worker is silent and off the list until its lease is
// over, while the table takes no write.
// Cause: a worker was forgotten with its lease, whatever ends it had.
func TestWorkerIsNotForgottenBeforeItsEndsAreInTheTable(t *testing.T) {
	g := newRig(t)
	start := g.runOn("w1", 1)
	g.hear("w1", nil, g.end("w1", start.Start.Task, 1, gauge.EndDone))
	g.silent("w1")
	g.list("w2")
	g.pass(10 * time.Second)
	assert.Assert(t, named(g, "w1"))
	g.save(500)
	g.pass(time.Second)
	assert.Assert(t, !named(g, "w1"))
}

func named(g *rig, id string) bool {
	for _, n := range g.pool.Name() {
		if n == life(id) {
			return true
		}
	}
	return false
}

// Symptom: under load no worker may forget an end, and each hold lists hundreds of old ones.
// Sequence: more changes wait than go into one transaction, all the time.
// Cause: ends were acknowledged only by a write that left no change.
func TestEndsAreAcknowledgedWhileOtherChangesWait(t *testing.T) {
	g := newRig(t)
	start := g.runOn("w1", 1)
	g.adopt(2, false, step(1))
	g.ok(g.starts())
	g.hear("w1", nil, g.end("w1", start.Start.Task, 1, gauge.EndDone))
	b, err := g.pool.Batch(1, 1, nobody)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1)
	assert.Equal(t, b.Changes[0].Job, jobID(1), "the urgent one")
	g.pool.Written(b, 500, g.now)
	assert.Equal(t, g.acknowledged("w1"), int64(1))
	assert.Assert(t, !g.pool.Urgent(), "only a start waits to be written")
}

// An acknowledgement covers all ends before it: one that the table doesn't have
// holds back those after it.
func TestEndsAreAcknowledgedInTheirOrder(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	var ends []gauge.EndReport
	for i, queue := range []string{"sheets", "parts"} {
		id := jobID(i)
		g.pool.Adopt(sched.Accepted{ID: id, Queue: queue, Spec: &gauge.JobSpec{Steps: []gauge.Step{step(1)}}, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: 0}, 0)
		ends = append(ends, g.end("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone))
	}
	g.ok(g.starts())
	g.pass(time.Second)
	g.hear("w1", nil, ends...)
	b, err := g.pool.Batch(100, 1, func(queue string) bool { return queue == "sheets" })
	assert.NilError(t, err)
	g.pool.Written(b, 500, g.now)
	assert.Equal(t, g.acknowledged("w1"), int64(0), "the first end isn't in the table")
	b, err = g.pool.Batch(100, 1, nobody)
	assert.NilError(t, err)
	g.pool.Written(b, 501, g.now)
	assert.Equal(t, g.acknowledged("w1"), int64(2))
}

// An end that comes after its job's row was packed isn't in the table with that row.
func TestEndsThatComeDuringAWriteWaitForTheNext(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(2))
	starts := g.starts()
	g.ok(starts)
	g.pass(time.Second)
	g.hear("w1", []gauge.RunReport{running(starts[1])}, g.end("w1", starts[0].Start.Task, 1, gauge.EndDone))
	b, err := g.pool.Batch(100, 1, nobody)
	assert.NilError(t, err)
	g.hear("w1", nil, g.end("w1", starts[1].Start.Task, 1, gauge.EndDone))
	g.pool.Written(b, 500, g.now)
	assert.Equal(t, g.acknowledged("w1"), int64(1))
	assert.Assert(t, !g.pool.Empty("w1", false, g.now))
	g.save(501)
	assert.Equal(t, g.acknowledged("w1"), int64(2))
}

// Symptom: an owner with many changes falls further and further behind.
// Sequence: hundreds of tasks end a second.
// Cause: a transaction took a fixed number of jobs, as many as fit when all have ended.
func TestATransactionTakesAsManyChangesAsItHoldsEntriesFor(t *testing.T) {
	const entries = 98
	for name, ended := range map[string]bool{"starts": false, "ended jobs": true} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t)
			ids := make([]string, 0, 20)
			for i := range 20 {
				ids = append(ids, fmt.Sprintf("w%d", i))
			}
			g.list(ids...)
			for _, id := range ids {
				g.hear(id, nil)
			}
			for i := range 60 {
				g.adopt(i+1, false, step(1))
			}
			starts := g.starts()
			assert.Equal(t, len(starts), 60)
			g.ok(starts)
			g.pass(time.Second)
			for _, o := range starts {
				if ended {
					g.hear(o.Worker.ID, nil, g.end(o.Worker.ID, o.Start.Task, 1, gauge.EndDone))
				}
			}
			b, err := g.pool.Batch(entries, 1, nobody)
			assert.NilError(t, err)
			used, each := 0, 0
			for _, c := range b.Changes {
				each = 2
				if c.Final {
					each = 4
				}
				used += each
			}
			assert.Assert(t, used <= entries, "%d entries", used)
			assert.Assert(t, used+each > entries, "%d entries, another change would fit", used)
		})
	}
}

// Symptom: no change of a pool is written any more.
// Sequence: jobs with long checkpoints change; a transaction with many of them is
// refused, as it is over a megabyte, again and again.
// Cause: only entries were counted, not bytes.
func TestATransactionStaysWellBelowTheBytesThatItMayHave(t *testing.T) {
	const most = 1 << 19
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	saves := step(1)
	saves.Checkpoints = true
	saved := strings.Repeat("c", 60_000)
	for i := range 40 {
		g.adopt(i+1, false, saves)
		start := g.starts()
		g.ok(start)
		g.pass(time.Second)
		end := g.end("w1", start[0].Start.Task, start[0].Start.Run, gauge.EndStopped)
		end.Saved = saved
		g.hear("w1", nil, end)
		g.pool.Cancel(jobID(i+1), int64(1000+i))
	}
	written := 0
	for written < 40 {
		b, err := g.pool.Batch(98, 1, nobody)
		assert.NilError(t, err)
		size := 0
		for _, c := range b.Changes {
			size += len(c.Row)
		}
		assert.Assert(t, len(b.Changes) > 0)
		assert.Assert(t, size <= most, "%d bytes", size)
		written += len(b.Changes)
		g.pool.Written(b, int64(2000+written), g.now)
	}
}

// Symptom: after a takeover a task runs again although it has ended done.
// Sequence: a worker has more ends than it lists at a time; the new owner hears it, and
// the end of an inherited task is not among the first; the task starts on another worker.
// Cause: a worker that had told anything counted as heard.
func TestInheritedTaskWaitsForEndsBeyondAFullList(t *testing.T) {
	g := newRig(t, after("w1"))
	id := g.adopt(1, true, step(1))
	g.list("w1", "w2")
	g.hear("w2", nil)
	var ends []gauge.EndReport
	for range 500 {
		ends = append(ends, g.end("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
	}
	g.hear("w1", nil, ends...)
	assert.Equal(t, len(g.starts()), 0, "its end may be among those that aren't listed yet")
	assert.Equal(t, g.acknowledged("w1"), int64(500))
	g.pass(time.Second)
	g.hear("w1", nil, g.end("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone))
	assert.Equal(t, len(g.starts()), 0)
	g.save(500)
	state, _ := g.pool.State(queueName, id)
	assert.Equal(t, state, gauge.JobCompleted)
}

// Symptom and cause as above. Sequence: the end comes after one of a job that can't be
// read yet, and is left with the worker for longer than the owner before granted anything.
func TestInheritedTaskWaitsForEndsThatAreHeldBack(t *testing.T) {
	g := newRig(t, after("w1"))
	g.pool.Partial(true)
	id := g.adopt(1, true, step(1))
	g.list("w1", "w2")
	unread := g.end("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone)
	done := g.end("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone)
	for range 8 {
		g.hear("w1", nil, unread, done)
		g.hear("w2", nil)
		assert.Equal(t, len(g.starts()), 0, "its end is there to be taken in")
		g.pass(time.Second)
	}
	g.adopt(9, true, step(1))
	g.pool.Partial(false)
	g.hear("w1", nil, unread, done)
	g.save(500)
	state, _ := g.pool.State(queueName, id)
	assert.Equal(t, state, gauge.JobCompleted)
}

// A worker that can't be heard any more holds nothing back.
func TestInheritedTaskDoesNotWaitForEndsOfAWorkerThatIsGone(t *testing.T) {
	for name, leave := range map[string]func(g *rig){
		"another life": func(g *rig) {
			g.pool.HoldFailed(life("w1"), gauge.Fail(gauge.KindReplaced, "status 421"), g.now)
		},
		"silent for longer than its lease": func(g *rig) {
			g.silent("w1")
			g.pass(7 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, after("w1"))
			g.pool.Partial(true)
			g.adopt(1, true, step(1))
			g.list("w1", "w2")
			g.hear("w1", nil, g.end("w1", gauge.TaskID{Job: jobID(9)}, 1, gauge.EndDone))
			leave(g)
			g.hear("w2", nil)
			assert.Equal(t, len(g.starts()), 1)
		})
	}
}
