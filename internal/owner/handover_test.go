package owner_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// stop hands the pool over while time goes by, and tells how long it took.
func (g *rig) stop() time.Duration {
	began := g.now()
	g.owner.Stop("the entry stops")
	return g.now() - began
}

// left is the line that tells of the handover.
func (g *rig) left() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, line := range g.logs {
		if strings.Contains(line, `"msg"="pool left"`) {
			return line
		}
	}
	return ""
}

// mostHandover is what a handover leaves of the second that an entry has for all
// of its pools when it is told to stop, to find a successor and offer it the lease.
const mostHandover = 500 * time.Millisecond

// Symptom: tasks start again after a handover although runs of them have ended done.
// Sequence: an owner with a backlog takes in hundreds of ends; its entry is told to
// stop, and hands the pool over before they are written; the workers are gone when
// its successor has read the jobs.
// Cause: what was not written yet was dropped at a handover.
func TestWhatWasTakenInIsInTheTableBeforeThePoolIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 300
		g := full(t, tasks)
		defer g.end()
		g.site.finish(tasks)
		g.pass(time.Millisecond)
		took := g.stop()
		assert.Equal(t, g.table.completed(), tasks)
		assert.Assert(t, took < mostHandover, "took %s", took)
		assert.Assert(t, strings.Contains(g.left(), `"unwritten"=0`), g.left())
		g.end()
		assert.Equal(t, g.table.cut, 0, "what is broken off may be carried out, and the lease's row has another version than was offered")
	})
}

// The room that an end leaves while the pool is being handed over stays free: what
// started now would start under an owner that is about to end. Nor does any job count
// as begun, or any worker get another hold.
func TestNothingStartsWhileAPoolIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = workerCount * workerRoom
		g := full(t, room)
		defer g.end()
		g.adopt(t, room, 10)
		g.table.mu.Lock()
		g.table.takes = 50 * time.Millisecond
		g.table.mu.Unlock()
		g.pass(time.Second)
		g.site.finish(1)
		g.pass(10 * time.Millisecond)
		before, _ := g.site.counts()
		assert.Equal(t, before, room+1, "one waited for its room")
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.stop()
		}()
		synctest.Wait()
		_, held := g.site.counts()
		g.site.finish(5)
		<-done
		starts, holds := g.site.counts()
		assert.Equal(t, starts, room+1)
		assert.Equal(t, holds, held)
		assert.Equal(t, len(g.table.jobs), room+1, "jobs that wait are as they were")
	})
}

// Starts that wait for others to the same worker aren't sent once the pool is being
// handed over.
func TestStartsThatWaitTheirTurnAreNotSentDuringAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t)
		defer g.end()
		g.site.mu.Lock()
		g.site.takes = 20 * time.Millisecond
		g.site.mu.Unlock()
		g.table.mu.Lock()
		g.table.takes = 100 * time.Millisecond
		g.table.mu.Unlock()
		g.adopt(t, 0, workerCount*workerRoom)
		g.pass(50 * time.Millisecond)
		before, _ := g.site.counts()
		assert.Assert(t, before > 0)
		took := g.stop()
		assert.Assert(t, took > 50*time.Millisecond, "there was time to send more")
		after, _ := g.site.counts()
		assert.Equal(t, after, before)
	})
}

// A handover doesn't wait for a table that can't be reached.
func TestHandoverDoesNotWaitForATableThatCannotBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 30
		g := full(t, tasks)
		defer g.end()
		g.table.mu.Lock()
		g.table.err = gauge.Fail(gauge.KindOutage, "away")
		g.table.mu.Unlock()
		g.site.finish(tasks)
		g.pass(time.Second)
		assert.Equal(t, g.stop(), time.Duration(0))
		assert.Assert(t, strings.Contains(g.left(), `"unwritten"=30`), g.left())
	})
}

// Nor for long for one that doesn't answer, though nobody knows that yet.
func TestHandoverDoesNotWaitForLongForATableThatDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 30
		g := full(t, tasks)
		defer g.end()
		g.table.mu.Lock()
		g.table.takes = time.Minute
		g.table.mu.Unlock()
		g.site.finish(tasks)
		g.pass(time.Millisecond)
		took := g.stop()
		assert.Assert(t, took < mostHandover, "took %s", took)
		assert.Assert(t, strings.Contains(g.left(), `"unwritten"=30`), g.left())
	})
}

// Symptom: an owner with a backlog falls further behind, and its workers list old ends
// again and again, which fills its link.
// Sequence: hundreds of tasks end at about the same time.
// Cause: the pause between two writes was kept also with a backlog, and no end was
// acknowledged before all was written.
func TestABacklogIsWrittenWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 400
		g := full(t, tasks)
		defer g.end()
		g.site.finish(tasks)
		// Four entries each, of 98 that a transaction has for them: 17 of 10 ms, after
		// a pause, and one renewal that may be under way.
		g.pass(17*10*time.Millisecond + 10*time.Millisecond + 30*time.Millisecond)
		assert.Equal(t, g.table.completed(), tasks)
		g.pass(time.Second)
		assert.Equal(t, g.site.listed, tasks, "each end is listed once")
		assert.Assert(t, g.table.most <= 100, "%d entries", g.table.most)
	})
}

// Without a backlog changes go together: each transaction is paid for.
func TestWritesAreRareWithoutABacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t)
		defer g.end()
		before := g.table.txns
		for i := range 100 {
			g.adopt(t, i, 1)
			g.pass(5 * time.Millisecond)
			g.site.finish(1)
			g.pass(5 * time.Millisecond)
		}
		assert.Assert(t, g.table.txns-before <= 26, "%d transactions in a second", g.table.txns-before)
	})
}

// Symptom: a machine is moved with tasks at work there.
// Sequence: a worker is empty; its pool is handed over, and the new owner starts tasks
// there; the fleet's holder, which doesn't know yet, asks the old one.
// Cause: an owner that has ended, or whose lease is over, answers from its memory.
func TestOwnerThatHasEndedCallsNoWorkerEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t)
		defer g.end()
		assert.Assert(t, g.owner.Empty("w1", false))
		g.stop()
		assert.Assert(t, !g.owner.Empty("w1", false))
	})
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t)
		defer g.end()
		g.table.mu.Lock()
		g.table.err = gauge.Fail(gauge.KindOutage, "away")
		g.table.mu.Unlock()
		g.pass(3 * time.Second)
		assert.Assert(t, !g.owner.Empty("w1", false), "another entry may have the lease")
	})
}
