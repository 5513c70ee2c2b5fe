package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// endRepeated has a copy of the late start be carried out on w1, and its run fail there, so that only
// the next incarnation can carry out the other copy.
func (g *lateHarness) endRepeated() {
	g.t.Helper()
	again := g.repeatStart()
	g.reportFrom("w1", nil, g.endReport("w1", again.Start.Task, again.Start.Run, gauge.EndFailed))
}

// assertNoStartBeside asserts that no other start is sent to w1 while the late start may be carried
// out, as w1's next incarnation could carry out both, and that one is sent there soon afterwards.
func (g *lateHarness) assertNoStartBeside(rows ...gauge.Worker) {
	g.t.Helper()
	g.listRows(300, rows...)
	for {
		starts := g.startsAfterWrites()
		if g.now >= queueSpan && len(starts) > 0 {
			return
		}
		for _, o := range starts {
			assert.Assert(g.t, o.Worker.ID != "w1", "%s is started on w1 at %v, whose next incarnation may carry out run %d of %s beside it",
				o.Start.Task, g.now, g.late.Start.Run, g.late.Start.Task)
		}
		assert.Assert(g.t, g.now <= queueSpan+time.Second, "nothing is started on w1 once the late start can't be carried out any more")
		g.advance(100 * time.Millisecond)
		g.clock += 100 * time.Millisecond
		g.reportFrom("w1", nil)
	}
}

// Guards against more tasks of a step on a worker than may be there: a start without an answer may
// still be carried out there, and another task of its step is started.
func TestLateStartCountsTowardsTheLimitOfItsStep(t *testing.T) {
	s := newStep(2)
	s.PerWorker = 1
	g := newLateHarness(t, s)
	g.endRepeated()
	g.assertNoStartBeside(workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
}

// Guards against a worker with more than it holds: its room is given away while a start without an
// answer may still be carried out there.
func TestLateStartCountsTowardsTheRoomOfItsWorker(t *testing.T) {
	s := newStep(1)
	g := newLateHarness(t, s)
	g.endRepeated()
	g.adopt(2, false, s)
	row := workerRow("w1", 1)
	row.Capacity = s.Reservation()
	g.assertNoStartBeside(row, fullRow("w2", 1), fullRow("w3", 1))
}
