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
	g.pool.HoldFailed(life("a"), gauge.Fail(gauge.KindReplaced, "another life"), g.now)
	g.list("b")
	g.hear("b", nil)
	for _, o := range first {
		g.pool.Answered(o, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now+300*time.Millisecond)
	}
	assert.Equal(t, len(g.starts()), 2)
}

func lane(starts int) option {
	return func(c *sched.Config) { c.Lane = starts }
}

// Symptom: no task of a pool starts for two seconds though most workers have room.
// Sequence: two workers of ten are cut off; starts go there first, as they are the
// fullest, and get no answer; they are all that may be without one.
// Cause: the bound was one for the whole pool.
func TestStartsAtAWorkerThatDoesNotAnswerLeaveTheOthersTheirs(t *testing.T) {
	g := newRig(t, window(4), lane(2))
	g.list("a", "b")
	g.hear("a", nil)
	g.hear("b", nil)
	g.adopt(1, false, step(8))
	at := make(map[string]int)
	for range 6 {
		for _, o := range g.starts() {
			at[o.Worker.ID]++
			if o.Worker.ID == "b" {
				g.ok([]sched.Order{o})
			}
		}
	}
	assert.Equal(t, at["a"], 2)
	assert.Equal(t, at["b"], 4, "all that it has room for")
}

// Symptom: the same, for as long as orders to a worker that is gone take to fail.
// Sequence: the worker's life is known to be over, or it doesn't answer a hold, before
// its starts are answered.
// Cause: they counted until then.
func TestStartsAtAWorkerThatIsSilentOrOverDoNotCount(t *testing.T) {
	for _, kind := range []gauge.Kind{gauge.KindReplaced, gauge.KindUnknown} {
		g := newRig(t, window(2))
		g.list("a")
		g.hear("a", nil)
		g.adopt(1, false, step(8))
		first := g.starts()
		assert.Equal(t, len(first), 2)
		g.pool.HoldFailed(life("a"), gauge.Fail(kind, "no answer"), g.now)
		g.list("b")
		g.hear("b", nil)
		second := g.starts()
		assert.Equal(t, len(second), 2, string(kind))
		g.ok(first) // late answers count once
		assert.Equal(t, len(g.starts()), 0, string(kind))
	}
}

// Symptom: each round of starts waits for the same worker again.
// Sequence: a start gets no answer; the worker is the fullest that has room, and gets
// the next start as well.
// Cause: it was used on before it had answered anything.
func TestWorkerThatLeftAStartUnansweredGetsNoneBeforeItIsHeard(t *testing.T) {
	g := newRig(t)
	g.list("a")
	g.hear("a", nil)
	g.adopt(1, false, step(1))
	first := g.starts()
	g.pool.Answered(first[0], 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.adopt(2, false, step(1))
	assert.Equal(t, len(g.starts()), 0)
	g.now += time.Millisecond
	g.hear("a", []gauge.RunReport{running(first[0])})
	assert.Equal(t, len(g.starts()), 1)
}

// Symptom: an owner's link is full of starts that workers refuse as too late.
// Sequence: a start waits in this process for its turn, until its deadline has passed or
// its job is cancelled.
// Cause: nobody looked at it again before it was sent.
func TestStartIsVoidOnceItIsTooLateOrNotWanted(t *testing.T) {
	g := newRig(t)
	g.list("a")
	g.hear("a", nil)
	id := g.adopt(1, false, step(1))
	late := g.starts()[0]
	assert.Assert(t, !g.pool.Void(late, g.now))
	assert.Assert(t, g.pool.Void(late, g.now+2*time.Second))
	g.pool.Cancel(id, fence+9)
	assert.Assert(t, g.pool.Void(late, g.now))
}
