package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// What waits at an owner is told with its age, and is gone once it is settled.
func TestBacklogTellsWhatWaitsAndForHowLong(t *testing.T) {
	const ms = time.Millisecond
	g := newRig(t)
	g.list("w1", "w2")
	g.hear("w1", nil)
	g.hear("w2", nil)
	g.adopt(1, false, step(1))
	g.adopt(2, false, step(1))
	starts := g.starts()
	b := g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{Changes: 2, Starts: 2, Workers: 2})

	g.pass(300 * ms)
	g.ok(starts[:1])
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{Changes: 2, ChangeAge: 300 * ms, Starts: 1, StartAge: 300 * ms, Workers: 2})
	g.ok(starts[1:])

	// A change that comes after the write isn't as old as those before it.
	g.save(500)
	on := starts[0].Worker.ID
	g.hear(on, nil, g.end(on, starts[0].Start.Task, 1, gauge.EndDone))
	g.silent(on)
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{Changes: 1, Ends: 1, Workers: 2, Silent: 1})
	g.pass(700 * ms)
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{Changes: 1, ChangeAge: 700 * ms, Ends: 1, EndAge: 700 * ms, Workers: 2, Silent: 1})
	assert.Equal(t, b.Oldest(), 700*ms)

	g.save(501)
	b = g.pool.Backlog(g.now)
	assert.DeepEqual(t, b, gauge.Backlog{Workers: 2, Silent: 1})
}
