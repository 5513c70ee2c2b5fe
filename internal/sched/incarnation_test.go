package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

func lifeOf(id string, born int64) gauge.Life { return gauge.Life{Worker: id, Born: born} }

// row is the platform's row of a life of a worker.
func row(id string, born int64) gauge.Worker {
	w := worker(id)
	w.Born = born
	return w
}

// rows tells of lives of workers, and that the lease row names them, as of a version.
func (g *rig) rows(version int64, rows ...gauge.Worker) {
	g.pool.Workers(rows)
	g.pool.Noted(g.pool.Name(), version)
}

// answer has a life of a worker answer the hold that the owner keeps at another, or the same.
func (g *rig) answer(asked gauge.Life, born int64, clock time.Duration, running []gauge.RunReport, ended ...gauge.EndReport) bool {
	_, call, _ := g.pool.Holding(asked, g.now)
	return g.pool.Report(asked, call, &gauge.WorkerReport{Born: born, Clock: clock, Running: running, Ended: ended}, g.now)
}

// born1 is a rig with a worker in its first life that has one run of a lasting task, long enough
// not to be suspected if the worker is lost.
func born1(t *testing.T) (*rig, sched.Order) {
	t.Helper()
	return livedFor(t, 2*time.Second)
}

func livedFor(t *testing.T, lived time.Duration) (*rig, sched.Order) {
	t.Helper()
	g := newRig(t, func(c *sched.Config) { c.Longest = longest })
	g.rows(200, row("w1", 1))
	g.answer(lifeOf("w1", 1), 1, time.Hour, nil)
	s := step(1)
	s.Lasts = true
	g.adopt(1, false, s)
	start := g.starts()[0]
	g.ok([]sched.Order{start})
	g.now += lived
	g.answer(lifeOf("w1", 1), 1, time.Hour+lived, []gauge.RunReport{running(start)})
	return g, start
}

// Runs that went with a worker's life and are taken for at work in the next one, whose clock is
// behind.
func TestRunsOfALifeThatIsOverStartAgain(t *testing.T) {
	for _, clock := range []time.Duration{time.Second, 9 * time.Hour} {
		g, first := born1(t)
		g.noAnswer(lifeOf("w1", 1))
		assert.Assert(t, g.answer(lifeOf("w1", 1), 2, clock, nil))
		g.rows(300, row("w1", 2))
		g.answer(lifeOf("w1", 2), 2, clock+time.Millisecond, nil)
		again := g.starts()
		assert.Equal(t, len(again), 1)
		assert.Equal(t, again[0].Start.Task, first.Start.Task)
		assert.Equal(t, again[0].Worker.Born, int64(2))
		assert.Assert(t, again[0].Start.Until < clock+2*time.Second, "a deadline on the clock of the life before")
	}
}

// noAnswer has a hold at a life of a worker fail.
func (g *rig) noAnswer(l gauge.Life) {
	g.pool.HoldFailed(l, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
}

// The first ends of a worker's next life, which are forgotten by the number of the last of the life before.
func TestEndsOfTheNextLifeAreTakenInAndNotAcknowledgedBefore(t *testing.T) {
	g, start := born1(t)
	other := gauge.TaskID{Job: jobID(9)}
	g.answer(lifeOf("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{running(start)},
		gauge.EndReport{Number: 1, Task: other, Run: 1, How: gauge.EndDone}, gauge.EndReport{Number: 2, Task: other, Run: 2, How: gauge.EndDone})
	_, call, _ := g.pool.Holding(lifeOf("w1", 1), g.now)
	assert.Equal(t, call.LastSeen, int64(2))
	g.noAnswer(lifeOf("w1", 1))
	_, call, _ = g.pool.Holding(lifeOf("w1", 1), g.now)
	assert.Equal(t, call.LastSeen, int64(0), "it may be another life by now")

	g.answer(lifeOf("w1", 1), 2, time.Second, nil)
	g.rows(300, row("w1", 2))
	_, call, _ = g.pool.Holding(lifeOf("w1", 2), g.now)
	assert.Equal(t, call.LastSeen, int64(0))
	id := g.adopt(2, false, step(1))
	g.answer(lifeOf("w1", 2), 2, 2*time.Second, nil)
	var order sched.Order
	for _, o := range g.starts() {
		if o.Start.Task.Job == id {
			order = o
		}
	}
	g.pool.Answered(order, 2*time.Second, nil, g.now)
	g.answer(lifeOf("w1", 2), 2, 3*time.Second, nil, gauge.EndReport{Number: 1, Task: order.Start.Task, Run: 1, How: gauge.EndDone})
	g.save(400)
	state, _ := g.pool.State(queueName, id)
	assert.Equal(t, state, gauge.JobCompleted)
}

// A row or an answer of the life before that comes after the next one's.
func TestWhatComesLateOfALifeThatIsOverCountsNoMore(t *testing.T) {
	g, start := born1(t)
	g.rows(300, row("w1", 2))
	assert.Assert(t, !g.answer(lifeOf("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{running(start)}))
	_, _, held := g.pool.Holding(lifeOf("w1", 1), g.now)
	assert.Assert(t, !held)
	g.answer(lifeOf("w1", 2), 2, time.Second, nil)

	g.rows(301, row("w1", 1))
	assert.Equal(t, len(g.starts()), 0, "no row names the life that is there")
	g.rows(302, row("w1", 0))
	assert.Equal(t, len(g.starts()), 0, "nor one that doesn't tell its life")
	g.rows(303, row("w1", 2))
	g.answer(lifeOf("w1", 2), 2, 2*time.Second, nil)
	assert.Equal(t, len(g.starts()), 1)
}

// What was sent before a worker started again, and is carried out after.
func TestTokenRisesWithEachSilence(t *testing.T) {
	g, start := born1(t)
	g.pool.Noted(g.pool.Name(), 250)
	g.noAnswer(lifeOf("w1", 1))
	_, call, _ := g.pool.Holding(lifeOf("w1", 1), g.now)
	assert.Assert(t, call.Fence > start.Start.Fence)
	assert.Assert(t, g.pool.Outdated(lifeOf("w1", 1), start.Start.Fence), "its refusal tells of no other owner")
	assert.Assert(t, !g.pool.Outdated(lifeOf("w1", 1), call.Fence))
}

// A worker whose machine is to be taken away, and that gets work since it has started again.
func TestWorkerThatIsToBeEmptiedIsSoInItsNextLife(t *testing.T) {
	g, _ := born1(t)
	g.pool.Empty("w1", false, g.now)
	g.noAnswer(lifeOf("w1", 1))
	g.rows(300, row("w1", 2))
	g.answer(lifeOf("w1", 2), 2, time.Second, nil)
	assert.Equal(t, len(g.starts()), 0)
	assert.Assert(t, g.pool.Empty("w1", false, g.now))
}

// A worker that drains, and is taken for leaving when it has started again.
func TestNextLifeDoesNotDrainForTheLifeBefore(t *testing.T) {
	g, _ := born1(t)
	leaving := row("w1", 1)
	leaving.Draining = true
	g.rows(250, leaving)
	g.noAnswer(lifeOf("w1", 1))
	g.rows(300, row("w1", 2))
	g.answer(lifeOf("w1", 2), 2, time.Second, nil)
	assert.Equal(t, len(g.starts()), 1)
}

// changed is the one job's row that waits to be written.
func (g *rig) changed() *gauge.JobRow {
	g.t.Helper()
	batch, err := g.pool.Batch(100, 1, nobody)
	assert.NilError(g.t, err)
	assert.Equal(g.t, len(batch.Changes), 1)
	row, err := gauge.DecodeJobRow(batch.Changes[0].Row)
	assert.NilError(g.t, err)
	return row
}

// A task that crashes its workers, of whose crash the next owner doesn't know as the worker is back.
func TestCrashCountsWhenTheNextOwnerHearsTheNextLife(t *testing.T) {
	g, start := livedFor(t, time.Millisecond)
	g.noAnswer(lifeOf("w1", 1))
	g.noAnswer(lifeOf("w1", 1)) // it is noted that the worker may have crashed
	noted := g.changed()
	next := newRig(t, after("w1"))
	next.rows(500, row("w1", 2))
	s := step(1)
	s.Lasts = true
	next.pool.Adopt(sched.Accepted{
		ID: start.Start.Task.Job, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{s}}, Row: noted, Version: 400, Inherited: true,
	}, 0)
	next.answer(lifeOf("w1", 2), 2, time.Second, nil)
	next.plan()
	noted = next.changed()
	assert.Equal(t, noted.Trials["0.0.0"].Crashes(), 1)
}

// Workers that lost power together, of which an owner that stood still hears one by one.
func TestOwnerThatStoodStillWaitsForOtherLosses(t *testing.T) {
	g, start := born1(t)
	g.rows(210, row("w1", 1), row("w2", 1), row("w3", 1))
	for _, id := range []string{"w2", "w3"} {
		g.answer(lifeOf(id, 1), 1, time.Hour, nil)
	}
	g.pass(50 * time.Millisecond)
	g.noAnswer(lifeOf("w1", 1))
	g.answer(lifeOf("w1", 1), 2, time.Second, nil)
	g.pass(3 * time.Second) // stood still
	for _, id := range []string{"w2", "w3"} {
		g.noAnswer(lifeOf(id, 1))
		g.answer(lifeOf(id, 1), 2, time.Second, nil)
	}
	for range 20 {
		g.pass(100 * time.Millisecond)
	}
	batch := g.save(400)
	for _, c := range batch.Changes {
		noted, err := gauge.DecodeJobRow(c.Row)
		assert.NilError(t, err)
		if c.Job == start.Start.Task.Job {
			assert.Equal(t, len(noted.Trials), 0, "%v", noted.Trials)
		}
	}
}

// A lease that is longer than this owner knows: it was meant for the life before, by another clock.
func TestNextLifeMayHaveTheLongestLease(t *testing.T) {
	g, _ := born1(t)
	g.noAnswer(lifeOf("w1", 1))
	g.answer(lifeOf("w1", 1), 2, time.Second, nil)
	g.noAnswer(lifeOf("w1", 2))
	assert.Equal(t, g.pool.Left(g.now)[lifeOf("w1", 2)], longest)

	g.pass(3 * time.Second)
	g.pool.Noted(g.pool.Name(), 300) // its token rises; till it answers to that it may be granted more
	g.answer(lifeOf("w1", 2), 2, 4*time.Second, nil)
	g.noAnswer(lifeOf("w1", 2))
	assert.Equal(t, g.pool.Left(g.now)[lifeOf("w1", 2)], longest)
}

// A worker that drains when it is first heard of, and is taken for leaving at once.
func TestWorkerThatDrainsFromTheStartStaysAsLongAsItSays(t *testing.T) {
	g := newRig(t)
	g.rows(200, row("w1", 1), row("w2", 1))
	leaving := row("w1", 2)
	leaving.Draining, leaving.Leaves = true, 20*time.Second
	g.answer(lifeOf("w1", 1), 1, time.Hour, nil)
	job := step(1)
	job.Checkpoints, job.Estimate = true, 5*time.Second
	g.adopt(1, false, job)
	start := g.starts()[0]
	g.rows(300, leaving)
	g.answer(lifeOf("w1", 2), 2, time.Second, []gauge.RunReport{running(start)})
	assert.Equal(t, len(only(g.plan(), sched.OrderStop)), 0, "it ends before its worker leaves")
}

// A stop that the life before has answered, and that keeps the next one from nothing.
func TestStopAnsweredByTheLifeBeforeIsSentAgain(t *testing.T) {
	g, _ := born1(t)
	id := g.adopt(2, false, step(1))
	order := only(g.plan(), sched.OrderStart)[0]
	g.pool.Answered(order, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
	g.pool.Cancel(id, 500)
	stops := only(g.plan(), sched.OrderStop)
	assert.Equal(t, len(stops), 1)
	g.rows(300, row("w1", 2))
	g.pool.Answered(stops[0], time.Hour+3*time.Second, nil, g.now)
	g.answer(lifeOf("w1", 2), 2, 3*time.Hour, nil)
	g.pass(250 * time.Millisecond)
	again := only(g.plan(), sched.OrderStop)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.Born, int64(2))
}

// A sound task that counts as the cause of a crash, as the next owner hears of no worker that it is gone.
func TestWorkersThatWereLostTogetherBeforeATakeoverExcuseTheirTasks(t *testing.T) {
	g, start := livedFor(t, time.Millisecond)
	g.noAnswer(lifeOf("w1", 1))
	g.noAnswer(lifeOf("w1", 1))
	noted := g.changed()
	next := newRig(t, after("w1", "w2", "w3"), func(c *sched.Config) {
		c.Earlier = []gauge.Life{lifeOf("w1", 1), lifeOf("w2", 1), lifeOf("w3", 1)}
	})
	next.rows(500, row("w1", 2), row("w2", 2), row("w3", 2))
	next.pool.Adopt(sched.Accepted{
		ID: start.Start.Task.Job, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{lasting(1)}}, Row: noted, Version: 400, Inherited: true,
	}, 0)
	for _, id := range []string{"w1", "w2", "w3"} {
		next.answer(lifeOf(id, 2), 2, time.Second, nil)
	}
	next.plan()
	noted = next.changed()
	assert.Equal(t, noted.Trials["0.0.0"].Crashes(), 0)
}

// A worker that has started again in another pool, and that two owners hold with tokens that shut
// each other out.
func TestLifeThatBeganInAnotherPoolIsNotHeld(t *testing.T) {
	for _, answered := range []bool{true, false} {
		g, _ := born1(t)
		g.noAnswer(lifeOf("w1", 1))
		if answered {
			g.answer(lifeOf("w1", 1), 2, time.Second, nil)
		}
		other := row("w1", 2)
		other.Pool = "other"
		g.rows(300, other)
		for born := range int64(3) {
			_, _, held := g.pool.Holding(lifeOf("w1", born), g.now)
			assert.Assert(t, !held)
		}
		g.rows(301, row("w2", 1))
		g.answer(lifeOf("w2", 1), 1, time.Hour, nil)
		assert.Equal(t, len(g.starts()), 1, "what ran there starts elsewhere")
	}
}

// An owner that gives up its pool as a worker that it hears first has been called by another pool's.
func TestTokenThatAWorkerNeverHeardRefusesTellsOfNoOtherOwner(t *testing.T) {
	g := newRig(t)
	g.rows(200, row("w1", 2))
	_, call, _ := g.pool.Holding(lifeOf("w1", 2), g.now)
	assert.Assert(t, g.pool.Outdated(lifeOf("w1", 2), call.Fence))
	g.pool.HoldFailed(lifeOf("w1", 2), gauge.Fail(gauge.KindFenced, "fence"), g.now)
	g.pool.Noted(g.pool.Name(), 300)
	_, again, _ := g.pool.Holding(lifeOf("w1", 2), g.now)
	assert.Assert(t, again.Fence > call.Fence)
	g.answer(lifeOf("w1", 2), 2, time.Second, nil)
	assert.Assert(t, !g.pool.Outdated(lifeOf("w1", 2), again.Fence))
}

// A start that the next life has answered, and that a late report of the life before doesn't list.
func TestStartAnsweredByALaterLifeIsNotTakenForVanished(t *testing.T) {
	g, first := born1(t)
	id := g.adopt(2, false, step(1))
	order := only(g.plan(), sched.OrderStart)[0]
	g.pool.Answered(order, time.Minute, nil, g.now) // a clock far behind
	g.answer(lifeOf("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{running(first)})
	assert.Assert(t, !starts(g.plan(), id), "it runs in the next life")
	g.answer(lifeOf("w1", 1), 2, time.Minute+time.Second, []gauge.RunReport{running(order)})
	assert.Assert(t, !starts(g.plan(), id))
}

// Starts that are sent again and again to an address where nobody listens, till the next life does.
func TestWorkerThatCannotBeConnectedToGetsNoStartBeforeItAnswers(t *testing.T) {
	g, first := born1(t)
	g.adopt(2, false, step(1))
	order := only(g.plan(), sched.OrderStart)[0]
	g.pool.Answered(order, 0, gauge.Fail(gauge.KindOutage, "connection refused"), g.now)
	assert.Equal(t, len(g.starts()), 0)
	g.answer(lifeOf("w1", 1), 1, time.Hour+3*time.Second, []gauge.RunReport{running(first)})
	assert.Equal(t, len(g.starts()), 1)
}
