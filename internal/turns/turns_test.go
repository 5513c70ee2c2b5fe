package turns_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/turns"
)

const minInterval = 3 * time.Second

// announceAndOrder announces and orders a machine.
func announceAndOrder(t *testing.T, x *turns.OrderGuard, machine string, clock int64) {
	t.Helper()
	x.Announce(map[string]bool{machine: true})
	assert.Assert(t, x.TryOrder(machine, clock, time.Hour))
}

func newFirst() *turns.OrderGuard { return turns.New(minInterval, turns.RecentOrders{}, false, 0, 0) }

// Guards against two holders of the fleet lease ordering one machine within the minimum interval,
// and against a handover after which no machine moves for that long. A holder moves some machines
// and offers its lease; unless each machine's last order is handed over, the next holder either
// orders at once or waits for all machines.
func TestOnlyRecentlyOrderedMachinesAreBlocked(t *testing.T) {
	f := newFirst()
	announceAndOrder(t, f, "a", 1000)
	announceAndOrder(t, f, "b", 3500)
	handed := f.Recent(5000)
	assert.DeepEqual(t, handed.Own, map[string]int64{"b": 3500})

	next := turns.New(minInterval, handed, false, 5200, 100*time.Second)
	assert.Assert(t, !next.IsBlocked("a", 100*time.Second))
	assert.Assert(t, next.IsBlocked("b", 100*time.Second))
	assert.Assert(t, next.IsBlocked("b", 101200*time.Millisecond))
	assert.Assert(t, !next.IsBlocked("b", 101400*time.Millisecond))
}

// Guards against the first and the third holder ordering one machine within the minimum interval.
// The lease is handed over twice in a second, and a holder passed on only its own orders, not those
// that it was handed.
func TestOrdersOfPreviousHoldersAreInherited(t *testing.T) {
	f := newFirst()
	announceAndOrder(t, f, "a", 1000)
	second := turns.New(minInterval, f.Recent(1100), false, 1200, time.Second)
	third := turns.New(minInterval, second.Recent(1300), false, 1400, time.Second)
	assert.Assert(t, third.IsBlocked("a", time.Second))
}

// Guards against a queue at its peak waiting three seconds for idle machines of another pool after
// all entries lost power. The holder ordered these machines before its process was killed, the same
// entry holds the lease again, and it applied the interval between two holders to its own orders.
func TestHolderIsBlockedByItsOwnEarlierOrdersOnlyUntilTheyTakeEffect(t *testing.T) {
	f := newFirst()
	announceAndOrder(t, f, "a", 1000)
	again := turns.New(minInterval, f.Recent(1100), true, 1200, time.Second)
	assert.Assert(t, again.IsBlocked("a", time.Second), "it may be carried out still")
	assert.Assert(t, !again.IsBlocked("a", 1400*time.Millisecond))
	assert.Assert(t, again.WasOrderedBefore("a", 1400), "the table may not know it")

	other := turns.New(minInterval, again.Recent(1500), false, 1500, 2*time.Second)
	assert.Assert(t, other.IsBlocked("a", 2*time.Second))
}

// The interval to the orders of another entry holds across a restart.
func TestRestartDoesNotShortenTheIntervalToOtherHolders(t *testing.T) {
	f := newFirst()
	announceAndOrder(t, f, "a", 1000)
	second := turns.New(minInterval, f.Recent(1100), false, 1200, time.Second)
	again := turns.New(minInterval, second.Recent(1300), true, 1400, time.Second)
	assert.Assert(t, again.IsBlocked("a", 3*time.Second))
	assert.Assert(t, !again.IsBlocked("a", 3700*time.Millisecond))
}

// Guards against a pool whose peak has begun getting no machine for five seconds. The fleet lease
// holder loses power; its successor didn't know which machines it may have ordered, and waited
// until all of its orders were older than the minimum interval.
func TestSuccessorOfACrashedHolderIsBlockedOnlyForAnnouncedMachines(t *testing.T) {
	f := newFirst()
	row := f.RecentAndPlanned(map[string]bool{"a": true}, time.Second, 1000)
	next := turns.New(minInterval, row, false, 3000, time.Minute)
	assert.Assert(t, next.IsBlocked("a", time.Minute), "it may have been ordered at 2000")
	assert.Assert(t, next.IsBlocked("a", time.Minute+1900*time.Millisecond))
	assert.Assert(t, !next.IsBlocked("a", time.Minute+2100*time.Millisecond))
	assert.Assert(t, !next.IsBlocked("b", time.Minute))
}

func TestOnlyAnnouncedMachinesAreOrdered(t *testing.T) {
	f := newFirst()
	assert.Assert(t, !f.TryOrder("a", 1000, time.Second))
	assert.Assert(t, f.RetainAnnounced(map[string]bool{"a": true, "b": true}))
	f.Announce(map[string]bool{"a": true, "b": true})
	assert.Assert(t, f.TryOrder("a", 1000, time.Second))
	assert.Assert(t, !f.RetainAnnounced(map[string]bool{"a": true}), "nothing new has to be written")
	assert.Assert(t, !f.TryOrder("b", 1000, time.Second), "the next row doesn't name it")
	assert.DeepEqual(t, f.Announced(), map[string]bool{"a": true})
}

// Guards against the first and the third holder ordering one machine within the minimum interval.
// The second one ends after its claim and before its first renewal, and the row of its claim had
// none of the orders before.
func TestClaimPassesOnEarlierOrders(t *testing.T) {
	before := turns.RecentOrders{Own: map[string]int64{"a": 2000}, Previous: map[string]int64{"a": 1000, "b": 1500}}
	assert.DeepEqual(t, before.Inherited(false), turns.RecentOrders{Previous: map[string]int64{"a": 2000, "b": 1500}})
	assert.DeepEqual(t, before.Inherited(true), before)
}
