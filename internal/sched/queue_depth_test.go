package sched_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: 0 jobs are said to wait where dozens have for seconds.
// Sequence: starts of all of them are decided on; they wait to be sent, or are refused.
// Cause: a job whose start was decided on counts as begun.
func TestJobWaitsUntilATaskOfItHasStarted(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	for n := range 3 {
		g.adopt(n+1, false, step(1))
	}
	orders := g.starts()
	assert.Equal(t, len(orders), 3)
	assert.Equal(t, g.pool.Depths()[queueName], 3, "not sent yet")
	g.pool.Answered(orders[0], g.clock(), gauge.Fail(gauge.KindNoRoom, "no room"), g.now)
	assert.Equal(t, g.pool.Depths()[queueName], 3, "refused")
	g.pool.Answered(orders[1], g.clock(), nil, g.now)
	assert.Equal(t, g.pool.Depths()[queueName], 2, "answered")
	g.hear("w1", []gauge.RunReport{running(orders[1]), running(orders[2])})
	assert.Equal(t, g.pool.Depths()[queueName], 1, "listed by the worker")
	g.hear("w1", []gauge.RunReport{running(orders[2])}, g.end("w1", orders[1].Start.Task, 1, gauge.EndFailed))
	assert.Equal(t, g.pool.Depths()[queueName], 1, "ended, to be tried again")
}

// Symptom: a job counts as waiting though a task of it has ended.
// Sequence: a start gets no answer; its end is the first that is heard.
// Cause: an end doesn't count as a start.
func TestJobOfWhichAnEndIsHeardDoesNotWait(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	g.adopt(1, false, step(2))
	orders := g.starts()
	g.hear("w1", nil, g.end("w1", orders[0].Start.Task, 1, gauge.EndDone))
	assert.Equal(t, g.pool.Depths()[queueName], 0)
}
