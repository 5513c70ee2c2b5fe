// Package turns enforces a minimum interval between the orders of two holders of the fleet lease
// for the same machine.
package turns

import (
	"maps"
	"sync"
	"time"
)

// maxOrderDelay is how long after its process ended an order in flight may take effect: most do
// within some milliseconds, slow ones within half a second.
const maxOrderDelay = 500 * time.Millisecond

// RecentOrders are the recently ordered machines and when each was ordered, by the table's clock in
// milliseconds: by the holder itself, and by those before it.
type RecentOrders struct {
	Own      map[string]int64
	Previous map[string]int64
}

// Inherited returns the lists of a holder that has ordered nothing itself yet. Same says that the
// previous holder was this one in an earlier process.
func (l RecentOrders) Inherited(same bool) RecentOrders {
	if same {
		return l
	}
	previous := make(map[string]int64)
	for _, list := range []map[string]int64{l.Own, l.Previous} {
		for machine, at := range list {
			previous[machine] = max(previous[machine], at)
		}
	}
	return RecentOrders{Previous: previous}
}

// OrderGuard enforces the minimum interval between the orders of two holders for the same machine:
// a machine that a previous holder has ordered recently is blocked, the others aren't. A machine
// that this holder's own process ordered before a restart is blocked only until the order has taken
// effect: otherwise, after an outage of all entries, no machine that had moved in the seconds
// before could move, just when demand has piled up.
type OrderGuard struct {
	minInterval time.Duration // between the orders of two holders

	mu             sync.Mutex
	announced      map[string]bool          // machines that are named in the lease row in the table
	blockedUntil   map[string]time.Duration // by the local clock
	ownOrders      map[string]int64         // when this holder ordered a machine, by the table's clock in milliseconds
	previousOrders map[string]int64         // the same of previous holders, and of this holder's previous process
}

// New returns an OrderGuard that heeds the orders before. Same says that the previous holder was
// this one in an earlier process. Clock is the table's clock now, in milliseconds, and now the
// local one.
func New(minInterval time.Duration, before RecentOrders, same bool, clock int64, now time.Duration) *OrderGuard {
	t := &OrderGuard{minInterval: minInterval, blockedUntil: make(map[string]time.Duration), ownOrders: make(map[string]int64), previousOrders: make(map[string]int64)}
	block := func(ordered map[string]int64, gap time.Duration) {
		for machine, at := range ordered {
			since := time.Duration(clock-at) * time.Millisecond
			t.blockedUntil[machine] = max(t.blockedUntil[machine], now+gap-since)
			t.previousOrders[machine] = max(t.previousOrders[machine], at)
		}
	}
	block(before.Previous, minInterval)
	if !same {
		block(before.Own, minInterval)
		return t
	}
	block(before.Own, maxOrderDelay)
	maps.Copy(t.ownOrders, before.Own)
	return t
}

// IsBlocked reports whether the machine can't be ordered yet.
func (t *OrderGuard) IsBlocked(machine string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.blockedUntil[machine]
}

// WasOrderedBefore reports whether the machine was ordered within the minimum interval by a
// previous holder, or by this holder's previous process: the order may not be recorded in the
// table.
func (t *OrderGuard) WasOrderedBefore(machine string, clock int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.previousOrders[machine]
	return ok && t.isRecent(at, clock)
}

// RetainAnnounced drops the announced machines that aren't to be ordered any more, and reports
// whether any that are to be ordered aren't announced. A concurrent call of TryOrder may be about
// to order a dropped machine, so RetainAnnounced must be called before the row without the machine
// is written.
func (t *OrderGuard) RetainAnnounced(machines map[string]bool) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.announced, func(m string, _ bool) bool { return !machines[m] })
	for m := range machines {
		fresh = fresh || !t.announced[m]
	}
	return fresh
}

// Announce records that the lease row in the table names these machines.
func (t *OrderGuard) Announce(machines map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = maps.Clone(machines)
}

// Announced returns the machines that the row in the table has to keep naming.
func (t *OrderGuard) Announced() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.announced)
}

// TryOrder reports whether the machine may be ordered now: it is announced, and no previous holder
// ordered it within the minimum interval. If so, it is recorded as ordered, for the successor.
func (t *OrderGuard) TryOrder(machine string, clock int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.announced[machine] || now < t.blockedUntil[machine] {
		return false
	}
	t.ownOrders[machine] = clock
	return true
}

func (t *OrderGuard) isRecent(at, clock int64) bool {
	return time.Duration(clock-at)*time.Millisecond <= t.minInterval
}

// Recent returns the machines whose orders a successor has to heed, including those of earlier
// holders: with two handovers in a row, the third holder's order may come within the minimum
// interval after the first one's.
func (t *OrderGuard) Recent(clock int64) RecentOrders {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOld := func(_ string, at int64) bool { return !t.isRecent(at, clock) }
	maps.DeleteFunc(t.ownOrders, isOld)
	maps.DeleteFunc(t.previousOrders, isOld)
	return RecentOrders{Own: maps.Clone(t.ownOrders), Previous: maps.Clone(t.previousOrders)}
}

// RecentAndPlanned returns the same, and adds the machines that may be ordered within a span from
// now, at the latest possible time. As it is written beforehand, it shows the successor of a
// crashed holder which machines to leave alone, and the successor may order all others at once.
// Without it the successor left all machines alone, and a pool whose peak had begun got no machine
// for five seconds.
func (t *OrderGuard) RecentAndPlanned(machines map[string]bool, span time.Duration, clock int64) RecentOrders {
	l := t.Recent(clock)
	for machine := range machines {
		l.Own[machine] = clock + span.Milliseconds()
	}
	return l
}
