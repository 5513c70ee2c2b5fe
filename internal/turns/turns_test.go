package turns_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/turns"
)

// Symptom: two holders of the fleet order one machine within the bound between
// them; or, after a handover, no machine moves for as long as that bound.
// Sequence: a holder moves some machines and offers its lease; the next one orders
// at once, or waits for all of them.
// Cause: what was ordered by whom is not handed over machine by machine.
func TestOnlyMachinesThatWereOrderedLatelyWait(t *testing.T) {
	const gap = 3 * time.Second
	first := turns.New(gap, nil, 0, 0)
	first.Ordered("a", 1000)
	first.Ordered("b", 3500)
	handed := first.Lately(5000)
	assert.DeepEqual(t, handed, map[string]int64{"b": 3500})

	next := turns.New(gap, handed, 5200, 100*time.Second)
	assert.Assert(t, !next.Waits("a", 100*time.Second))
	assert.Assert(t, next.Waits("b", 100*time.Second))
	assert.Assert(t, next.Waits("b", 101200*time.Millisecond))
	assert.Assert(t, !next.Waits("b", 101400*time.Millisecond))
}
