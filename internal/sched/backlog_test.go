package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Pending changes, starts and ends are reported with their age, and no longer once they are
// settled.
func TestBacklogReportsPendingWorkAndItsAge(t *testing.T) {
	const ms = time.Millisecond
	g := newHarness(t)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	g.adopt(1, false, newStep(1))
	g.adopt(2, false, newStep(1))
	starts := g.planStarts()
	b := g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{UnwrittenChanges: 2, UnansweredStarts: 2, Workers: 2})

	g.advance(300 * ms)
	g.confirm(starts[:1])
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{UnwrittenChanges: 2, ChangeAge: 300 * ms, UnansweredStarts: 1, StartAge: 300 * ms, Workers: 2})
	g.confirm(starts[1:])

	// A change after a write isn't as old as those that were written.
	g.writeAll(500)
	on := starts[0].Worker.ID
	g.report(on, nil, g.endReport(on, starts[0].Start.Task, 1, gauge.EndDone))
	g.failHeartbeat(on)
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{UnwrittenChanges: 1, UnacknowledgedEnds: 1, Workers: 2, SilentWorkers: 1})
	g.advance(700 * ms)
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{UnwrittenChanges: 1, ChangeAge: 700 * ms, UnacknowledgedEnds: 1, EndAge: 700 * ms, Workers: 2, SilentWorkers: 1})
	assert.Equal(t, b.OldestAge(), 700*ms)

	g.writeAll(501)
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{Workers: 2, SilentWorkers: 1})
}
