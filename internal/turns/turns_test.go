package turns_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/turns"
)

const gap = 3 * time.Second

// order has a machine announced and ordered.
func order(t *testing.T, x *turns.Turns, machine string, clock int64) {
	t.Helper()
	x.Announce(map[string]bool{machine: true})
	assert.Assert(t, x.Order(machine, clock, time.Hour))
}

func first() *turns.Turns { return turns.New(gap, turns.Lists{}, false, 0, 0) }

// Symptom: two holders of the fleet order one machine within the bound between
// them; or, after a handover, no machine moves for as long as that bound.
// Sequence: a holder moves some machines and offers its lease; the next one orders
// at once, or waits for all of them.
// Cause: what was ordered by whom is not handed over machine by machine.
func TestOnlyMachinesThatWereOrderedLatelyWait(t *testing.T) {
	f := first()
	order(t, f, "a", 1000)
	order(t, f, "b", 3500)
	handed := f.Lately(5000)
	assert.DeepEqual(t, handed.Own, map[string]int64{"b": 3500})

	next := turns.New(gap, handed, false, 5200, 100*time.Second)
	assert.Assert(t, !next.Waits("a", 100*time.Second))
	assert.Assert(t, next.Waits("b", 100*time.Second))
	assert.Assert(t, next.Waits("b", 101200*time.Millisecond))
	assert.Assert(t, !next.Waits("b", 101400*time.Millisecond))
}

// Symptom: the first and the third holder order one machine within the bound.
// Sequence: the lease is handed over twice in a second.
// Cause: a holder hands on what it ordered itself, but not what it was told.
func TestOrdersOfEarlierHoldersAreHandedOn(t *testing.T) {
	f := first()
	order(t, f, "a", 1000)
	second := turns.New(gap, f.Lately(1100), false, 1200, time.Second)
	third := turns.New(gap, second.Lately(1300), false, 1400, time.Second)
	assert.Assert(t, third.Waits("a", time.Second))
}

// Symptom: after a loss of power of all entries a queue in its turn waits three
// seconds for machines that stand idle in another pool.
// Sequence: the holder's machine moves them, its process is killed, and the same
// entry holds the fleet again.
// Cause: it keeps the bound between two holders from itself.
func TestHolderWaitsForItsOwnEarlierOrdersOnlyUntilTheyAreCarriedOut(t *testing.T) {
	f := first()
	order(t, f, "a", 1000)
	again := turns.New(gap, f.Lately(1100), true, 1200, time.Second)
	assert.Assert(t, again.Waits("a", time.Second), "it may be carried out still")
	assert.Assert(t, !again.Waits("a", 1400*time.Millisecond))
	assert.Assert(t, again.Before("a", 1400), "the table may not know it")

	other := turns.New(gap, again.Lately(1500), false, 1500, 2*time.Second)
	assert.Assert(t, other.Waits("a", 2*time.Second))
}

// The bound holds against another entry, through a restart in between.
func TestRestartDoesNotShortenTheBoundAgainstOthers(t *testing.T) {
	f := first()
	order(t, f, "a", 1000)
	second := turns.New(gap, f.Lately(1100), false, 1200, time.Second)
	again := turns.New(gap, second.Lately(1300), true, 1400, time.Second)
	assert.Assert(t, again.Waits("a", 3*time.Second))
	assert.Assert(t, !again.Waits("a", 3700*time.Millisecond))
}

// Symptom: a pool whose turn has begun gets no machine for five seconds.
// Sequence: the fleet's holder loses power; its successor waits until all that it may
// have ordered is older than the bound.
// Cause: nobody knows which machines those are.
func TestSuccessorOfAHolderThatIsGoneWaitsOnlyForAnnouncedMachines(t *testing.T) {
	f := first()
	row := f.Ahead(map[string]bool{"a": true}, time.Second, 1000)
	next := turns.New(gap, row, false, 3000, time.Minute)
	assert.Assert(t, next.Waits("a", time.Minute), "it may have been ordered at 2000")
	assert.Assert(t, next.Waits("a", time.Minute+1900*time.Millisecond))
	assert.Assert(t, !next.Waits("a", time.Minute+2100*time.Millisecond))
	assert.Assert(t, !next.Waits("b", time.Minute))
}

func TestOnlyAnnouncedMachinesAreOrdered(t *testing.T) {
	f := first()
	assert.Assert(t, !f.Order("a", 1000, time.Second))
	assert.Assert(t, f.Narrow(map[string]bool{"a": true, "b": true}))
	f.Announce(map[string]bool{"a": true, "b": true})
	assert.Assert(t, f.Order("a", 1000, time.Second))
	assert.Assert(t, !f.Narrow(map[string]bool{"a": true}), "nothing new has to be written")
	assert.Assert(t, !f.Order("b", 1000, time.Second), "the next row doesn't name it")
	assert.DeepEqual(t, f.Announced(), map[string]bool{"a": true})
}

// Symptom: the first and the third holder order one machine within the bound.
// Sequence: the second one ends after its claim and before its first renewal.
// Cause: a claim's row has nothing of what was ordered before.
func TestClaimHandsOnWhatWasOrderedBefore(t *testing.T) {
	before := turns.Lists{Own: map[string]int64{"a": 2000}, Earlier: map[string]int64{"a": 1000, "b": 1500}}
	assert.DeepEqual(t, before.HandedOn(false), turns.Lists{Earlier: map[string]int64{"a": 2000, "b": 1500}})
	assert.DeepEqual(t, before.HandedOn(true), before)
}
