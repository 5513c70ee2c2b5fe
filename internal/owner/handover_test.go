package owner_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// stop hands the pool over while time passes, and returns how long it took.
func (g *harness) stop() time.Duration {
	began := g.now()
	g.owner.Stop("the entry stops")
	return g.now() - began
}

// handoverLine returns the log line of the handover.
func (g *harness) handoverLine() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, line := range g.logs {
		if strings.Contains(line, `"msg"="pool left"`) {
			return line
		}
	}
	return ""
}

// maxHandoverTime is the most that a handover may take of the second that an entry has to stop, in
// which it hands over all of its pools, finds a successor for each and offers it the lease.
const maxHandoverTime = 500 * time.Millisecond

// Guards against tasks starting again after a handover although their runs have completed: an owner
// with a backlog receives the ends of hundreds of runs, and its entry has to stop before they
// are written. If they are dropped, and the workers are gone when the successor has read the jobs,
// nobody knows of them.
func TestPendingChangesAreWrittenBeforeHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 300
		g := newBusyHarness(t, tasks)
		defer g.end()
		g.workers.endRuns(tasks)
		g.advance(time.Millisecond)
		took := g.stop()
		assert.Equal(t, g.table.completedJobs(), tasks)
		assert.Assert(t, took < maxHandoverTime, "took %s", took)
		assert.Assert(t, strings.Contains(g.handoverLine(), `"unwritten"=0`), g.handoverLine())
		g.end()
		assert.Equal(t, g.table.cutOff, 0, "a cancelled write may still be carried out, and the lease row then has another version than offered")
	})
}

// Capacity that becomes free during a handover stays free, because a run that starts now would
// start under an owner that is about to end. No job counts as begun either, and no worker gets
// another heartbeat.
func TestNothingStartsDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = workerCount * workerSlots
		g := newBusyHarness(t, room)
		defer g.end()
		g.adopt(t, room, 10)
		g.table.mu.Lock()
		g.table.delay = 50 * time.Millisecond
		g.table.mu.Unlock()
		g.advance(time.Second)
		g.workers.endRuns(1)
		g.advance(10 * time.Millisecond)
		before, _ := g.workers.callCounts()
		assert.Equal(t, before, room+1, "one start waited for free capacity")
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.stop()
		}()
		synctest.Wait()
		_, heartbeatsBefore := g.workers.callCounts()
		g.workers.endRuns(5)
		<-done
		starts, heartbeats := g.workers.callCounts()
		assert.Equal(t, starts, room+1)
		assert.Equal(t, heartbeats, heartbeatsBefore)
		assert.Equal(t, len(g.table.jobs), room+1, "waiting jobs are unchanged")
	})
}

// Starts that wait for a slot at their worker aren't sent once the handover has begun.
func TestWaitingStartsAreNotSentDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHarness(t)
		defer g.end()
		g.workers.mu.Lock()
		g.workers.startDelay = 20 * time.Millisecond
		g.workers.mu.Unlock()
		g.table.mu.Lock()
		g.table.delay = 100 * time.Millisecond
		g.table.mu.Unlock()
		g.adopt(t, 0, workerCount*workerSlots)
		g.advance(50 * time.Millisecond)
		before, _ := g.workers.callCounts()
		assert.Assert(t, before > 0)
		took := g.stop()
		assert.Assert(t, took > 50*time.Millisecond, "there was time to send more")
		after, _ := g.workers.callCounts()
		assert.Equal(t, after, before)
	})
}

// A handover doesn't wait for a table that is known to be unreachable.
func TestHandoverDoesNotWaitForUnreachableTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 30
		g := newBusyHarness(t, tasks)
		defer g.end()
		g.table.mu.Lock()
		g.table.err = gauge.Errorf(gauge.KindOutage, "unreachable")
		g.table.mu.Unlock()
		g.workers.endRuns(tasks)
		g.advance(time.Second)
		assert.Equal(t, g.stop(), time.Duration(0))
		assert.Assert(t, strings.Contains(g.handoverLine(), `"unwritten"=30`), g.handoverLine())
	})
}

// A handover doesn't wait long for a table that has stopped answering, before any call has failed.
func TestHandoverDoesNotWaitLongForHangingTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 30
		g := newBusyHarness(t, tasks)
		defer g.end()
		g.table.mu.Lock()
		g.table.delay = time.Minute
		g.table.mu.Unlock()
		g.workers.endRuns(tasks)
		g.advance(time.Millisecond)
		took := g.stop()
		assert.Assert(t, took < maxHandoverTime, "took %s", took)
		assert.Assert(t, strings.Contains(g.handoverLine(), `"unwritten"=30`), g.handoverLine())
	})
}

// Guards against an owner falling further behind when hundreds of tasks end at about the same time:
// with a pause between any two writes, and no ended run acknowledged before all are written,
// workers report old ends again and again, which saturates the owner's link.
func TestBacklogIsWrittenWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 400
		g := newBusyHarness(t, tasks)
		defer g.end()
		g.workers.endRuns(tasks)
		// Four operations for each job, of 98 per transaction, make 17 transactions of 10 ms, after
		// one pause and a renewal that may be in progress.
		g.advance(17*10*time.Millisecond + 10*time.Millisecond + 30*time.Millisecond)
		assert.Equal(t, g.table.completedJobs(), tasks)
		g.advance(time.Second)
		assert.Equal(t, g.workers.reportedEnds, tasks, "each ended run is reported once")
		assert.Assert(t, g.table.maxOperations <= 100, "%d operations", g.table.maxOperations)
	})
}

// Without a backlog, changes are gathered into few transactions, because each one is billed.
func TestWritesAreRareWithoutABacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHarness(t)
		defer g.end()
		before := g.table.txns
		for i := range 100 {
			g.adopt(t, i, 1)
			g.advance(5 * time.Millisecond)
			g.workers.endRuns(1)
			g.advance(5 * time.Millisecond)
		}
		assert.Assert(t, g.table.txns-before <= 26, "%d transactions in a second", g.table.txns-before)
	})
}

// Guards against moving a machine while tasks run there: a worker is drained, its pool is handed
// over, and the new owner starts tasks there; the fleet lease holder, which doesn't know that yet,
// asks the previous owner. An owner that has ended, or whose lease is over, must not answer from
// memory.
func TestEndedOwnerReportsNoWorkerDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHarness(t)
		defer g.end()
		assert.DeepEqual(t, g.owner.DrainWorkers([]string{"w1"}, false), []string{"w1"})
		g.stop()
		assert.Equal(t, len(g.owner.DrainWorkers([]string{"w1"}, false)), 0)
	})
	synctest.Test(t, func(t *testing.T) {
		g := newHarness(t)
		defer g.end()
		g.table.mu.Lock()
		g.table.err = gauge.Errorf(gauge.KindOutage, "unreachable")
		g.table.mu.Unlock()
		g.advance(3 * time.Second)
		assert.Equal(t, len(g.owner.DrainWorkers([]string{"w1"}, false)), 0, "another entry may have the lease")
	})
}
