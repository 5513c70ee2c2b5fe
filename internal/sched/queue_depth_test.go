package sched_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a reported queue depth of 0 while dozens of jobs have waited for seconds: a job
// whose starts were planned, but are not sent yet or were refused, must not count as started.
func TestJobCountsAsWaitingUntilOneOfItsTasksHasStarted(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	for n := range 3 {
		g.adopt(n+1, false, newStep(1))
	}
	orders := g.planStarts()
	assert.Equal(t, len(orders), 3)
	assert.Equal(t, g.pool.QueueDepths()[queueName], 3, "not sent yet")
	g.pool.OrderAnswered(orders[0], g.workerClock(), gauge.Errorf(gauge.KindNoRoom, "no room"), g.now)
	assert.Equal(t, g.pool.QueueDepths()[queueName], 3, "refused")
	g.pool.OrderAnswered(orders[1], g.workerClock(), nil, g.now)
	assert.Equal(t, g.pool.QueueDepths()[queueName], 2, "answered")
	g.report("w1", []gauge.RunReport{runReport(orders[1]), runReport(orders[2])})
	assert.Equal(t, g.pool.QueueDepths()[queueName], 1, "listed by the worker")
	g.report("w1", []gauge.RunReport{runReport(orders[2])}, g.endReport("w1", orders[1].Start.Task, 1, gauge.EndFailed))
	assert.Equal(t, g.pool.QueueDepths()[queueName], 1, "ended, to be retried")
}

// Guards against a job that counts as waiting though a task of it has ended: its start got no
// answer, and its end is reported first.
func TestJobWithAReportedEndDoesNotWait(t *testing.T) {
	g := newHarness(t)
	g.listWorkers("w1")
	g.report("w1", nil)
	g.adopt(1, false, newStep(2))
	orders := g.planStarts()
	g.report("w1", nil, g.endReport("w1", orders[0].Start.Task, 1, gauge.EndDone))
	assert.Equal(t, g.pool.QueueDepths()[queueName], 0)
}
