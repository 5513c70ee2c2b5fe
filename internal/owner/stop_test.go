package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: a busy pool stands still for three seconds.
// Sequence: the table gets 65 times slower; the owner's entry is told to stop and
// hands the pool over at once; the successor takes the lease and reads the pool with
// calls that take a third of a second each.
// Cause: a stop doesn't look at the table, though it has seconds until its end.
func TestOwnerTellsWhetherASuccessorCouldBeginQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := full(t, 10)
		defer g.end()
		set := func(takes time.Duration, err error) {
			g.table.mu.Lock()
			defer g.table.mu.Unlock()
			g.table.takes, g.table.err = takes, err
		}
		g.pass(time.Second)
		assert.Assert(t, g.owner.Calm())

		set(700*time.Millisecond, nil)
		g.pass(600 * time.Millisecond) // the next renewal is under way
		assert.Assert(t, !g.owner.Calm(), "a write hangs")
		g.pass(time.Second)
		assert.Assert(t, !g.owner.Calm(), "the last one took long")

		set(10*time.Millisecond, gauge.Fail(gauge.KindOutage, "away"))
		g.pass(2 * time.Second)
		assert.Assert(t, !g.owner.Calm(), "the table is away")

		set(10*time.Millisecond, nil)
		g.pass(2 * time.Second)
		assert.Assert(t, g.owner.Calm(), "it is back")
	})
}

// Symptom: a pool stands still for a second and a half, twice in a slow spell of the table.
// Sequence: writes take 0.4 s; one gets no answer, and the next try takes as long as the
// others; the pool is left to an entry for which the table is as slow.
// Cause: writes counted as failing after half a second, however long they take.
func TestPoolIsLeftLaterWhileTheTableIsSlow(t *testing.T) {
	for _, tt := range []struct {
		name     string
		takes    time.Duration
		from, to time.Duration // when a successor is looked for
	}{
		{"quick", 10 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond},
		{"slow", 300 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRigStuckAfter(t, 500*time.Millisecond)
				defer g.end()
				set := func(takes time.Duration, err error) {
					g.table.mu.Lock()
					defer g.table.mu.Unlock()
					g.table.takes, g.table.err = takes, err
				}
				set(tt.takes, nil)
				g.pass(3 * time.Second)
				set(tt.takes, gauge.Fail(gauge.KindOutage, "no answer"))
				g.pass(2 * time.Second)
				g.mu.Lock()
				defer g.mu.Unlock()
				assert.Assert(t, len(g.stuck) > 0)
				assert.Assert(t, g.stuck[0] > tt.from && g.stuck[0] < tt.to, "%s", g.stuck[0])
			})
		})
	}
}
