package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// wait is a way in which an owner comes to start a task again because time has passed.
type wait struct {
	name string
	// begin returns an owner that no longer reaches worker w1, which has the only run of a task, and the task.
	begin func(s *succession) (*poolOwner, gauge.TaskID)
	// over is when the owner starts the task again on w2 at the latest while it renews its lease.
	over time.Duration
	// replaced are the ways in which the owner is replaced before.
	replaced []replacement
	done     bool // the run ends as done once the next owner has found it
}

// replacement is how an owner is replaced.
type replacement struct {
	name string
	// unreachable is when the owner no longer reaches the table.
	unreachable time.Duration
	claimed     time.Duration // when the next owner takes the lease
	renewed     bool          // the owner has just renewed it then
}

const (
	runOut    = "whose lease had run out"
	silent    = "that didn't answer"
	seemsOver = "whose process seemed to have ended"
)

const (
	// silentFrom is when the first owner no longer reaches w1.
	silentFrom = 1200 * time.Millisecond
	// silentOver is when the lease of w1 runs out then.
	silentOver = silentFrom + workerLease
	// killedAt is when an owner's process ends, and claimedAt when it is replaced.
	killedAt  = 1200 * time.Millisecond
	claimedAt = 1500 * time.Millisecond
	// predecessorOver is when nothing that it ordered can run any more.
	predecessorOver = claimedAt + ownerLease + orderGrace + clockDrift
)

// startOnW1 returns the first owner, and a task that it has started on w1.
func startOnW1(s *succession) (*poolOwner, gauge.TaskID) {
	first := s.takeOver("", "w1", "w2")
	s.run(100 * time.Millisecond)
	task := first.submit(1, newStep(1))
	s.run(killedAt)
	assert.Equal(s.t, len(s.workers["w1"].runs), 1)
	return first, task
}

// startAndGoSilent is startOnW1, and w1 doesn't answer any more.
func startAndGoSilent(s *succession) (*poolOwner, gauge.TaskID) {
	first, task := startOnW1(s)
	s.run(silentFrom)
	first.reached["w1"] = false
	return first, task
}

// startAndUnlist is startAndGoSilent, and the platform drops the worker from its list for a moment.
func startAndUnlist(s *succession) (*poolOwner, gauge.TaskID) {
	first, task := startAndGoSilent(s)
	s.run(silentFrom + successionStep)
	first.list("w2")
	return first, task
}

// startAndReplace has the first owner's process end after startOnW1, and returns the second one.
func startAndReplace(s *succession, unread string, reached ...string) (*poolOwner, gauge.TaskID) {
	first, task := startOnW1(s)
	first.ended = true
	s.run(claimedAt)
	return s.takeOver(unread, reached...), task
}

// neverHeard is startAndReplace with a second owner that never hears w1.
func neverHeard(s *succession) (*poolOwner, gauge.TaskID) { return startAndReplace(s, "", "w2") }

// readLate is startAndReplace with a second owner that reads the job after it has heard w1 for the last time.
func readLate(s *succession) (*poolOwner, gauge.TaskID) {
	second, task := startAndReplace(s, jobID(1), "w1", "w2")
	s.run(claimedAt + time.Second)
	second.reached["w1"] = false
	s.run(claimedAt + 1200*time.Millisecond)
	second.pool.RequireFreshReports()
	second.inherit(task.Job)
	second.pool.SetJobsMissing(false)
	return second, task
}

// endUnheard is startAndReplace with a second owner that takes note of no end at w1, as the first that it
// lists is of a job that can't be read.
func endUnheard(s *succession) (*poolOwner, gauge.TaskID) {
	first, task := startOnW1(s)
	other := first.submit(2, newStep(1))
	s.run(killedAt + successionStep)
	first.ended = true
	for _, ended := range []gauge.TaskID{other, task} {
		s.workers["w1"].end(ended, gauge.EndDone)
	}
	s.run(claimedAt)
	second := s.takeOver(other.Job, "w1", "w2")
	s.run(claimedAt + time.Second)
	second.reached["w1"] = false
	return second, task
}

const (
	// lostAt is when a start gets no answer, and carriedOutAt when the next incarnation of w1 carries it out.
	lostAt       = 150 * time.Millisecond
	carriedOutAt = lostAt + queueSpan - successionStep
	// lateOver is when the longest lease of that incarnation has run out, on a slow clock.
	lateOver = lostAt + queueSpan + slowClockLease
)

// startLate returns an owner whose start to w1 got no answer, and the task: the next incarnation of w1 carries
// the start out, which the owner never hears.
func startLate(s *succession) (*poolOwner, gauge.TaskID) {
	first := s.takeOver("", "w1", "w2")
	s.run(100 * time.Millisecond)
	first.losesStarts = true
	task := first.submit(1, newStep(1))
	s.run(lostAt)
	assert.Equal(s.t, len(first.lost), 1)
	first.losesStarts, first.reached["w1"] = false, false
	s.run(time.Second)
	next := s.startWorker("w1", 2)
	s.run(carriedOutAt)
	next.leaseEnd = s.clock(next) + maxLease
	s.begin(next, first.lost[0].Start)
	return first, task
}

// waits are these ways.
//
//nolint:gochecknoglobals // a constant table
var waits = []wait{
	{name: "run at a silent worker", begin: startAndGoSilent, over: silentOver, replaced: []replacement{
		{name: runOut, unreachable: silentFrom, claimed: silentFrom + ownerLease + 100*time.Millisecond},
		{name: silent, unreachable: silentOver - 1500*time.Millisecond, claimed: silentOver - 250*time.Millisecond},
		{name: seemsOver, unreachable: silentOver - 600*time.Millisecond, claimed: silentOver - 300*time.Millisecond, renewed: true},
	}},
	{name: "run at a silent worker that ends as done", done: true, begin: startAndGoSilent, over: silentOver, replaced: []replacement{
		{name: runOut, unreachable: silentFrom, claimed: silentFrom + ownerLease + 100*time.Millisecond},
	}},
	{name: "run at an unlisted worker", begin: startAndUnlist, over: silentOver, replaced: []replacement{
		{name: runOut, unreachable: silentFrom, claimed: silentFrom + ownerLease + 100*time.Millisecond},
	}},
	{name: "worker of a predecessor that was never heard", begin: neverHeard, over: predecessorOver, replaced: []replacement{
		{name: runOut, unreachable: claimedAt + 500*time.Millisecond, claimed: claimedAt + 2600*time.Millisecond},
	}},
	{name: "worker that wasn't heard since a job was read", begin: readLate, over: predecessorOver, replaced: []replacement{
		{name: runOut, unreachable: claimedAt + 2*time.Second, claimed: claimedAt + 4100*time.Millisecond},
	}},
	{name: "worker with ends that weren't noted", begin: endUnheard, over: predecessorOver, replaced: []replacement{
		{name: runOut, unreachable: claimedAt + 2*time.Second, claimed: claimedAt + 4100*time.Millisecond},
	}},
	{name: "late start", begin: startLate, over: lateOver, replaced: []replacement{
		{name: runOut, unreachable: lateOver - 3500*time.Millisecond, claimed: lateOver - 1400*time.Millisecond},
	}},
}

// Guards against two runs: a replaced owner takes a run for ended that its successor, which reaches the worker, has found and extends.
func TestReplacedOwnerStartsNoTaskAgainThatItsSuccessorHasFound(t *testing.T) {
	for _, w := range waits {
		for _, r := range w.replaced {
			t.Run(w.name+", successor of an owner "+r.name, func(t *testing.T) {
				s := newSuccession(t, "w1", "w2")
				owner, task := w.begin(s)
				s.run(r.unreachable)
				owner.reachesRows = false
				s.run(r.claimed)
				owner.reachesRows = r.renewed
				if r.renewed {
					owner.runUntilRenewed()
				}
				next := s.takeOver("", "w1")
				s.run(s.now + 500*time.Millisecond)
				if w.done {
					s.workers["w1"].end(task, gauge.EndDone)
				}
				s.run(owner.renewedAt + ownerLease + orderGrace + time.Second)
				assert.Equal(t, s.starts[task], 1)
				assert.Assert(t, !next.ended)
			})
		}
	}
}

// Guards against two runs: a job is accepted just after a claim, and the previous owner, which may not know of the claim, starts it as well.
func TestJobThatThePreviousOwnerMayHaveAdoptedWaitsForItsWorkers(t *testing.T) {
	s := newSuccession(t, "w1", "w2")
	first := s.takeOver("", "w1", "w2")
	s.run(silentFrom)
	first.runUntilRenewed()
	first.reached["w1"], first.reachesRows = false, false
	s.run(first.renewedAt + ownerLease/2)
	next := s.takeOver("", "w1")
	s.run(s.now + 4*successionStep)
	task := first.submit(1, newStep(1))
	s.run(s.now + 4*successionStep)
	assert.Equal(t, s.workers["w2"].runs[task], 1, "the previous owner has started it")
	next.adopt(task.Job)
	s.run(first.renewedAt + ownerLease + orderGrace)
	assert.Equal(t, s.starts[task], 1)
	s.run(s.now + 2*time.Second)
	assert.Equal(t, s.starts[task], 2, "it waits no longer than the previous owner's orders last")
}

// Guards against a task that never starts again: its owner, which isn't replaced, waits for a worker that runs nothing any more.
func TestOwnerThatRenewsItsLeaseStartsTasksOfSilentWorkersAgain(t *testing.T) {
	for _, w := range waits {
		if w.done {
			continue
		}
		t.Run(w.name, func(t *testing.T) {
			s := newSuccession(t, "w1", "w2")
			_, task := w.begin(s)
			s.run(w.over + renewInterval + 300*time.Millisecond)
			_, running := s.workers["w2"].runs[task]
			assert.Assert(t, running, "the task hasn't started again")
		})
	}
}

// checkStartedOnce lets time pass until the owner can't act any more, and checks that the task had one run.
func (o *poolOwner) checkStartedOnce(task gauge.TaskID) {
	o.t.Helper()
	o.run(o.renewedAt + ownerLease + orderGrace + time.Second)
	assert.Equal(o.t, o.starts[task], 1)
}

// Guards against a start after the end as done was acknowledged: the worker starts again after its end was taken note
// of by the successor, and the replaced owner takes the run for lost with the worker.
func TestReplacedOwnerStartsNoTaskAgainWhoseWorkerStartedAgain(t *testing.T) {
	for name, learn := range map[string]func(owner *poolOwner){
		"as the platform lists it": func(owner *poolOwner) { owner.list("w1", "w2") },
		"as it answers":            func(owner *poolOwner) { owner.reached["w1"] = true },
		"in another pool": func(owner *poolOwner) {
			moved := workerRow("w1", 2)
			moved.Pool = "other"
			owner.pool.UpdateWorkers([]gauge.Worker{moved, workerRow("w2", 1)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession(t, "w1", "w2")
			owner, task := startAndGoSilent(s)
			owner.reachesRows = false
			s.run(silentFrom + ownerLease + 100*time.Millisecond)
			next := s.takeOver("", "w1")
			s.run(s.now + 500*time.Millisecond)
			s.workers["w1"].end(task, gauge.EndDone)
			s.run(s.now + time.Second)
			assert.Assert(t, s.acked[task])
			next.reached["w1"] = false
			s.startWorker("w1", 2)
			learn(owner)
			owner.checkStartedOnce(task)
		})
	}
}

// Guards against a start after the end as done was acknowledged: the replaced owner starts a copy of a run on a worker
// that doesn't answer it, which has ended under the successor.
func TestReplacedOwnerStartsNoCopyOfATaskThatHasEnded(t *testing.T) {
	s := newSuccession(t, "w1", "w2", "w3")
	first := s.takeOver("", "w1", "w2", "w3")
	s.run(100 * time.Millisecond)
	step := newStep(1)
	step.Speculative = true
	task := first.submit(1, step)
	s.run(killedAt)
	assert.Equal(t, len(s.workers["w1"].runs), 1)
	first.runUntilRenewed()
	first.reachesRows = false
	s.run(s.now + ownerLease - 200*time.Millisecond)
	first.reached["w1"] = false
	s.run(s.now + 300*time.Millisecond)
	s.takeOver("", "w1")
	s.run(s.now + 200*time.Millisecond)
	s.workers["w1"].end(task, gauge.EndDone)
	s.run(s.now + 200*time.Millisecond)
	assert.Assert(t, s.acked[task] && !first.ended)
	first.checkStartedOnce(task)
}

// Guards against a start after the end as done was acknowledged: a call that the replaced owner still has open at
// the worker is answered after its successor has acknowledged the end, and lists neither the run nor the end.
func TestReplacedOwnerStartsNoTaskAgainWhoseEndIsListedNoMore(t *testing.T) {
	s := newSuccession(t, "w1", "w2")
	owner, task := startOnW1(s)
	owner.reachesRows = false
	s.run(owner.renewedAt + ownerLease)
	incarnation := owner.asked["w1"]
	_, open, _ := owner.pool.NextHeartbeat(incarnation, s.now)
	owner.reached["w1"] = false
	s.run(s.now + 100*time.Millisecond)
	s.takeOver("", "w1")
	s.run(s.now + 100*time.Millisecond)
	m := s.workers["w1"]
	m.end(task, gauge.EndDone)
	s.run(s.now + 500*time.Millisecond)
	assert.Assert(t, s.acked[task])
	owner.pool.HandleReport(incarnation, open, &gauge.WorkerReport{StartedAt: m.startedAt, Clock: s.clock(m)}, s.now)
	owner.checkStartedOnce(task)
}
