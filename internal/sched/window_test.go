package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

func window(starts int) option {
	return func(c *sched.Config) { c.Window = starts }
}

// Symptom: an owner on a host with a thin link gets no answer to most of its orders,
// takes workers for silent, and loses its pool.
// Sequence: many places are free and many tasks wait; a start for each of them is sent
// at once; they fill the link for longer than an answer is waited for, holds and
// renewals of the lease behind them.
// Cause: starts were sent however many had no answer yet.
func TestStartsWithoutAnAnswerAreBounded(t *testing.T) {
	g := newRig(t, window(5))
	g.list("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		g.hear(id, nil)
	}
	g.adopt(1, false, step(12))

	first := g.starts()
	assert.Equal(t, len(first), 5)
	assert.Equal(t, len(g.starts()), 0, "no answer has come")

	g.ok(first[:2])
	second := g.starts()
	assert.Equal(t, len(second), 2, "as many as were answered")

	g.pool.Answered(first[2], 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.pool.Answered(first[3], 0, gauge.Fail(gauge.KindOutage, "not sent"), g.now)
	assert.Equal(t, len(g.starts()), 2, "a start that failed makes room as well")
}

// Symptom: a gang that is larger than the bound on starts never starts.
// Sequence: a step of many tasks that work only together waits, nothing is under way.
// Cause: its starts would be held to the bound one by one, though all or none go out.
func TestGangLargerThanTheBoundStartsWhole(t *testing.T) {
	g := newRig(t, window(2))
	g.list("a")
	g.hear("a", nil)
	s := step(4)
	s.Gang = true
	g.adopt(1, false, s)
	assert.Equal(t, len(g.starts()), 4)
}

// Symptom: a pool stands still under a bound on starts.
// Sequence: a worker is gone before it has answered its starts.
// Cause: starts whose worker is over would count for ever.
func TestStartsOfAWorkerThatIsGoneMakeRoom(t *testing.T) {
	g := newRig(t, window(2))
	g.list("a")
	g.hear("a", nil)
	g.adopt(1, false, step(4))
	first := g.starts()
	assert.Equal(t, len(first), 2)
	g.pool.HoldFailed("a", gauge.Fail(gauge.KindReplaced, "another life"), g.now)
	g.list("b")
	g.hear("b", nil)
	for _, o := range first {
		g.pool.Answered(o, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now+300*time.Millisecond)
	}
	assert.Equal(t, len(g.starts()), 2)
}
