package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a busy pool that starts nothing for three seconds: the table gets 65 times slower,
// the owner's entry has to stop and hands the pool over at once, though it has seconds left,
// and the successor claims the lease and reads the pool with calls that take a third of a second
// each.
func TestOwnerReportsWhetherTableIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBusyHarness(t, 10)
		defer g.end()
		set := func(takes time.Duration, err error) {
			g.table.mu.Lock()
			defer g.table.mu.Unlock()
			g.table.delay, g.table.err = takes, err
		}
		g.advance(time.Second)
		assert.Assert(t, g.owner.IsTableFast())

		set(700*time.Millisecond, nil)
		g.advance(600 * time.Millisecond) // the next renewal is in progress
		assert.Assert(t, !g.owner.IsTableFast(), "a write is hanging")
		g.advance(time.Second)
		assert.Assert(t, !g.owner.IsTableFast(), "the last write took long")

		set(10*time.Millisecond, gauge.Errorf(gauge.KindOutage, "unreachable"))
		g.advance(2 * time.Second)
		assert.Assert(t, !g.owner.IsTableFast(), "the table is unreachable")

		set(10*time.Millisecond, nil)
		g.advance(2 * time.Second)
		assert.Assert(t, g.owner.IsTableFast(), "the table is back")
	})
}

// Guards against a pool that starts nothing for 1.5 s, twice while the table is slow: writes take
// 0.4 s, one gets no answer, and the retry takes as long as the others. If writes count as failing
// after half a second however long they usually take, the pool goes to an entry for which the table
// is as slow.
func TestPoolIsLeftLaterWhileTableIsSlow(t *testing.T) {
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
				g := newHarnessStuckAfter(t, 500*time.Millisecond)
				defer g.end()
				set := func(takes time.Duration, err error) {
					g.table.mu.Lock()
					defer g.table.mu.Unlock()
					g.table.delay, g.table.err = takes, err
				}
				set(tt.takes, nil)
				g.advance(3 * time.Second)
				set(tt.takes, gauge.Errorf(gauge.KindOutage, "no answer"))
				g.advance(2 * time.Second)
				g.mu.Lock()
				defer g.mu.Unlock()
				assert.Assert(t, len(g.failingTimes) > 0)
				assert.Assert(t, g.failingTimes[0] > tt.from && g.failingTimes[0] < tt.to, "%s", g.failingTimes[0])
			})
		})
	}
}
