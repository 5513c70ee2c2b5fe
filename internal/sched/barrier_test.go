package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: a lasting task doesn't run for ten seconds, though its worker and its owner
// are well.
// Sequence: an owner takes a pool over, reads a small queue at once and hears all
// workers; a large queue is read piece by piece over many seconds.
// Cause: with each piece all inherited tasks wait until all workers are heard anew,
// also those of jobs that the workers could tell of before.
func TestJobsThatWereReadDoNotWaitForThoseThatAreReadLate(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.pool.Partial(true)
	read := g.adopt(1, true, step(1))
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	g.pass(10 * time.Millisecond)
	g.pool.Rehear()
	late := g.adopt(2, true, step(1))
	starts := g.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, read)

	g.pass(10 * time.Millisecond)
	g.hear("w1", nil)
	g.pool.Rehear()
	g.adopt(3, true, step(1))
	assert.Equal(t, len(g.starts()), 0, "the second worker may run tasks of both")
	g.pass(10 * time.Millisecond)
	g.hear("w2", nil)
	starts = g.starts()
	assert.Equal(t, len(starts), 1, "the first worker may run the third job's")
	assert.Equal(t, starts[0].Start.Task.Job, late)
	g.hear("w1", nil)
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: a task has two runs at once.
// Sequence: a job is read late; a worker that runs a task of it doesn't answer, but
// takes the holds that are sent to it, so that what runs there goes on.
// Cause: a worker is waited for only until the time that its holds reached when the
// job was read.
func TestSilentWorkerIsWaitedForAsLongAsItsHoldsReach(t *testing.T) {
	g := newRig(t)
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	g.hold("w1")
	g.pool.Rehear()
	g.adopt(1, true, step(1))
	g.hear("w2", nil)
	g.pass(4 * time.Second)
	g.hold("w1")
	g.pass(4 * time.Second)
	g.silent("w1")
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 0, "the last hold reaches further")
	g.pass(4 * time.Second)
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 1)
}

// hold sends a worker a hold, whose answer is the test's to say.
func (g *rig) hold(id string) {
	g.pool.Limit(g.now + 9*time.Second)
	_, _, ok := g.pool.Holding(life(id), g.now)
	assert.Assert(g.t, ok)
}

// Symptom: a task has two runs at once.
// Sequence: an owner takes a pool over; a worker tells of a run of the owner before,
// and goes silent before this owner's first hold that extends its lease.
// Cause: the run is taken to be over when what this owner granted has run out, which is
// nothing; what the owner before granted is left out.
func TestRunOfTheOwnerBeforeOnAWorkerThatGoesSilentIsNotOver(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	id := g.adopt(1, true, step(1))
	g.list("w1", "w2")
	g.hear("w1", []gauge.RunReport{{Task: gauge.TaskID{Job: id}, Run: 1}})
	g.silent("w1")
	g.pass(10 * time.Millisecond)
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 0, "what the owner before granted lasts")
	g.pass(7 * time.Second)
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: a task has two runs at once.
// Sequence: an owner takes a pool over; it starts a task on a worker that it has heard,
// whose lease the owner before had extended by some seconds; the start gets no answer,
// and the worker goes silent.
// Cause: what the owner before granted a worker also holds for what is started there
// later, and is left out.
func TestStartOnAWorkerThatTheOwnerBeforeHeldIsNotOverEarly(t *testing.T) {
	g := newRig(t, after("w1", "w2"))
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.adopt(1, false, step(1))
	orders := g.starts()
	assert.Equal(t, len(orders), 1)
	g.pool.Answered(orders[0], 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.silent("w1")
	g.pass(1500 * time.Millisecond) // beyond what the start granted
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 0, "the worker's lease lasts")
	g.pass(7 * time.Second)
	g.hear("w2", nil)
	assert.Equal(t, len(g.starts()), 1)
}
