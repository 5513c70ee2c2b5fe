package sched_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against a job that waits for a run that makes no progress. Load pattern: steps of similar
// runs, of which one lags, in a pool with room.
func TestStragglerHasOneCopy(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration
		lag   func(g *copyHarness, k startKey, worker string)
	}{
		{"stalled", time.Second, func(g *copyHarness, k startKey, _ string) { g.stalled[k] = true }},
		{"slow", 200 * time.Millisecond, func(g *copyHarness, k startKey, _ string) { g.speed[k] = 1 }},
		{"worker silent", 1200 * time.Millisecond, func(g *copyHarness, _ startKey, worker string) { g.silent[worker] = true }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newCopyHarness(t, "w1", "w2", "w3")
			id := g.submit(1, speculativeStep(6))
			g.pass(tt.after)
			first := g.key(taskOf(1, 0), 0)
			tt.lag(g, first, g.worker(taskOf(1, 0), 0))
			g.passUntil("completed job", func() bool { return g.rows[id].State == gauge.JobCompleted })
			assert.Equal(t, len(g.starts[taskOf(1, 0)]), 2)
			assert.Assert(t, g.worker(taskOf(1, 0), 1) != g.worker(taskOf(1, 0), 0), "the copy is on the same worker")
			assert.Assert(t, g.events[sched.EventCopyWon] >= 1)
			assert.Equal(t, g.events[sched.EventCopyWon]+g.events[sched.EventCopyLost], g.events[sched.EventCopyStarted])
			g.silent = make(map[string]bool)
			g.assertCompleted()
		})
	}
}

// Guards against two runs of a task whose step doesn't allow it, and against copies that an operator
// has switched off.
func TestOnlySpeculativeStepsHaveCopies(t *testing.T) {
	gang, long := gangStep(3), longRunningStep(3)
	gang.Speculative, long.Speculative = true, true
	for _, tt := range []struct {
		name    string
		step    gauge.Step
		options []option
	}{
		{"not speculative", newStep(3), nil},
		{"gang", gang, nil},
		{"long-running", long, nil},
		{"switched off", speculativeStep(3), []option{func(c *sched.Config) { c.Disabled = gauge.Disabled{gauge.MechanismCopies} }}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newCopyHarnessWith(t, 0, []string{"w1", "w2", "w3"}, tt.options...)
			g.stallFirst(tt.step)
			g.pass(10 * time.Second)
			assert.Equal(t, len(g.starts[taskOf(1, 0)]), 1)
		})
	}
}

// Guards against copies that take as long as what they copy. Load pattern: a job of which all tasks
// take seven times as long as estimated, beside jobs that don't.
func TestLargeJobHasNoCopies(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2", "w3", "w4")
	large := g.submit(1, speculativeStep(6))
	g.pass(100 * time.Millisecond)
	for i := range 6 {
		g.speed[g.key(taskOf(1, i), 0)] = 1
	}
	for n := 2; g.rows[large].State != gauge.JobCompleted; n++ {
		g.submit(n, speculativeStep(2))
		g.pass(2 * time.Second)
	}
	assert.Equal(t, g.events[sched.EventCopyStarted], 0)
}

// Guards against copies in a pool where everything stops at once, such as with the storage behind it.
func TestRunsThatStallTogetherHaveNoCopies(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2", "w3")
	g.submit(1, speculativeStep(6))
	g.pass(500 * time.Millisecond)
	for i := range 6 {
		g.stalled[g.key(taskOf(1, i), 0)] = true
	}
	g.pass(20 * time.Second)
	assert.Equal(t, g.events[sched.EventCopyStarted], 0)
}

// Guards against copies that take room from waiting tasks, and that exceed what workers hold. Load
// pattern: a full pool.
func TestCopyTakesOnlyRoomThatNoTaskCouldTake(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2")
	g.stallFirst(speculativeStep(3))
	g.submit(2, newStep(5)) // fills the pool
	g.pass(100 * time.Millisecond)
	g.submit(3, newStep(8)) // waits, and takes all that becomes free until about 4 s
	copied := func() bool { return len(g.starts[taskOf(1, 0)]) == 2 }
	g.passUntil("copy", copied)
	for i := range 8 {
		assert.Equal(t, len(g.starts[taskOf(3, i)]), 1, "a copy starts while task %d of job 3 waits", i)
	}
	g.assertCompleted()
}

// Guards against more tasks of a step on a worker than its bound allows: both runs count.
func TestCopyKeepsTheBoundPerWorker(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2")
	s := speculativeStep(2)
	s.PerWorker = 1
	g.stallFirst(s)
	other := g.key(taskOf(1, 1), 0)
	g.speed[other] = 1 // goes on for ten seconds
	g.lose = func(sched.Order) (bool, bool) {
		assert.Equal(t, len(g.running(other.task)), 0, "a copy starts although each worker has a task of the step")
		return false, true
	}
	g.passUntil("copy", func() bool { return len(g.starts[taskOf(1, 0)]) == 2 })
}

// Guards against a rack that takes both runs of a task with it.
func TestCopyIsOnAnotherRackIfOneHasRoom(t *testing.T) {
	for _, tt := range []struct {
		name  string
		racks map[string]string
		want  string
	}{
		{"room on another rack", map[string]string{"w1": "r1", "w2": "r1", "w3": "r1", "w4": "r2"}, "r2"},
		{"one rack", map[string]string{"w1": "r1", "w2": "r1", "w3": "r1", "w4": "r1"}, "r1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newCopyHarness(t, "w1", "w2", "w3", "w4")
			var rows []gauge.Worker
			for _, id := range g.ids {
				row := workerRow(id, 0)
				row.Labels = []string{"a", tt.racks[id]}
				rows = append(rows, row)
			}
			g.listRows(2000, rows...)
			g.stallFirst(speculativeStep(3))
			g.passUntil("copy", func() bool { return len(g.starts[taskOf(1, 0)]) == 2 })
			assert.Equal(t, tt.racks[g.worker(taskOf(1, 0), 1)], tt.want)
			assert.Assert(t, g.worker(taskOf(1, 0), 1) != g.worker(taskOf(1, 0), 0), "both runs are on one worker")
		})
	}
}

// Guards against both runs on one worker, which is all that there is.
func TestCopyNeedsAnotherWorker(t *testing.T) {
	g := newCopyHarness(t, "w1")
	g.stallFirst(speculativeStep(3))
	g.pass(10 * time.Second)
	assert.Equal(t, g.events[sched.EventCopyStarted], 0)
}

// Guards against more running for an account than its limit, of which a copy takes part.
func TestCopyCountsTowardsTheLimitOfItsAccount(t *testing.T) {
	for _, tt := range []struct{ limit, copies int }{{3000, 0}, {4000, 1}} {
		t.Run(fmt.Sprint(tt.limit), func(t *testing.T) {
			site := newAccountSite(gauge.ClientAccount{Limit: gauge.Resources{MilliCPU: tt.limit}})
			g := newCopyHarnessWith(t, 0, []string{"w1", "w2"}, func(c *sched.Config) { c.Limits = newParts(site, tt.limit, gauge.LimitRow{}) })
			g.pool.Configure(site)
			s := speculativeStep(3)
			id := g.adoptFor(1, account, s)
			g.specs[id], g.rows[id] = &gauge.JobSpec{Steps: []gauge.Step{s}}, &gauge.JobRow{State: gauge.JobPending}
			g.pass(500 * time.Millisecond)
			g.stalled[g.key(taskOf(1, 0), 0)] = true
			for i := 1; i < 3; i++ {
				g.speed[g.key(taskOf(1, i), 0)] = 1
			}
			most := 0
			for range 50 {
				g.pass(100 * time.Millisecond)
				most = max(most, g.pool.AccountUses()[account].Started.MilliCPU)
			}
			assert.Equal(t, g.events[sched.EventCopyStarted], tt.copies)
			assert.Equal(t, most, 3000+1000*tt.copies)
		})
	}
}

// Guards against a pool that spends its room on copies. Load pattern: after a fault of their hosts
// many runs stall at once.
func TestFewTasksHaveCopiesAtATime(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	g.submit(1, speculativeStep(16))
	g.pass(500 * time.Millisecond)
	for i := range 8 {
		g.stalled[g.key(taskOf(1, i), 0)] = true
	}
	for g.rows[jobID(1)].State != gauge.JobCompleted {
		g.pass(100 * time.Millisecond)
		copied := 0
		for i := range 8 {
			copied += len(g.running(taskOf(1, i))) / 2
		}
		assert.Assert(t, copied <= 1, "%d of 16 tasks have copies", copied)
	}
	assert.Equal(t, g.events[sched.EventCopyStarted], 8)
}

// Guards against work that is done again because the checkpoint of the run that lags behind replaces
// that of the other, while both run and when they are stopped.
func TestCheckpointOfTheFurthestRunIsKept(t *testing.T) {
	g := newCopyHarness(t, "w1", "w2", "w3")
	s := speculativeStep(3)
	s.Checkpoints = true
	g.checkpoints = true
	g.stallFirst(s)
	task := taskOf(1, 0)
	furthest := strconv.Itoa(g.runs[g.worker(task, 0)][g.key(task, 0)])
	g.lose = func(o sched.Order) (bool, bool) {
		if o.Start.Task == task {
			assert.Equal(t, o.Start.Checkpoint, furthest)
		}
		return false, true
	}
	copied := func() bool { return len(g.starts[task]) == 2 }
	g.passUntil("copy", copied)
	g.stalled[g.key(task, 1)] = true // it has done nothing yet
	g.pass(time.Second)
	for n := range 2 {
		g.passUntil("drained worker", func() bool { return g.pool.DrainWorker(g.worker(task, n), true, g.now) })
	}
	g.passUntil("third start", func() bool { return len(g.starts[task]) == 3 })
}
