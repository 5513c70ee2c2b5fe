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
