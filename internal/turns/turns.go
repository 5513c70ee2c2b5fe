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

// Inherited returns the lists of a holder that has ordered nothing itself yet. SameEntry says that
// the previous holder was this one in an earlier process.
func (l RecentOrders) Inherited(sameEntry bool) RecentOrders {
	if sameEntry {
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
	previousOrders map[string]int64         // the same, of previous holders, and of this holder's previous process
}

// New returns an OrderGuard that enforces the interval to earlier orders. SameEntry says that the
// previous holder was this one in an earlier process. Clock is the table's clock now, in
// milliseconds, and now the local one.
func New(minInterval time.Duration, earlier RecentOrders, sameEntry bool, clock int64, now time.Duration) *OrderGuard {
	g := &OrderGuard{minInterval: minInterval, blockedUntil: make(map[string]time.Duration), ownOrders: make(map[string]int64), previousOrders: make(map[string]int64)}
	block := func(ordered map[string]int64, gap time.Duration) {
		for machine, at := range ordered {
			since := time.Duration(clock-at) * time.Millisecond
			g.blockedUntil[machine] = max(g.blockedUntil[machine], now+gap-since)
			g.previousOrders[machine] = max(g.previousOrders[machine], at)
		}
	}
	block(earlier.Previous, minInterval)
	if !sameEntry {
		block(earlier.Own, minInterval)
		return g
	}
	block(earlier.Own, maxOrderDelay)
	maps.Copy(g.ownOrders, earlier.Own)
	return g
}

// IsBlocked reports whether the machine can't be ordered yet.
func (g *OrderGuard) IsBlocked(machine string, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now < g.blockedUntil[machine]
}

// WasOrderedBefore reports whether the machine was ordered within the minimum interval by a
// previous holder, or by this holder's previous process: the order may not be recorded in the
// table.
func (g *OrderGuard) WasOrderedBefore(machine string, clock int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.previousOrders[machine]
	return ok && g.isRecent(at, clock)
}

// RetainAnnounced drops the announced machines that aren't to be ordered any more, and reports
// whether any of the given machines isn't announced yet. A concurrent call of TryOrder may be about
// to order a dropped machine, so RetainAnnounced must be called before the row without the machine
// is written.
func (g *OrderGuard) RetainAnnounced(machines map[string]bool) (unannounced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.announced, func(m string, _ bool) bool { return !machines[m] })
	for m := range machines {
		unannounced = unannounced || !g.announced[m]
	}
	return unannounced
}

// Announce records that the lease row in the table names these machines.
func (g *OrderGuard) Announce(machines map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced = maps.Clone(machines)
}

// Announced returns the machines that the row in the table has to keep naming.
func (g *OrderGuard) Announced() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.announced)
}

// TryOrder reports whether the machine may be ordered now: it is announced, and no previous holder
// ordered it within the minimum interval. If so, it is recorded as ordered, for the successor.
func (g *OrderGuard) TryOrder(machine string, clock int64, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.announced[machine] || now < g.blockedUntil[machine] {
		return false
	}
	g.ownOrders[machine] = clock
	return true
}

func (g *OrderGuard) isRecent(at, clock int64) bool {
	return time.Duration(clock-at)*time.Millisecond <= g.minInterval
}

// Recent returns the machines that were ordered so recently that a successor has to wait, including
// those that earlier holders ordered: with two handovers in a row, the third holder's order may
// come within the minimum interval after the first one's.
func (g *OrderGuard) Recent(clock int64) RecentOrders {
	g.mu.Lock()
	defer g.mu.Unlock()
	isOld := func(_ string, at int64) bool { return !g.isRecent(at, clock) }
	maps.DeleteFunc(g.ownOrders, isOld)
	maps.DeleteFunc(g.previousOrders, isOld)
	return RecentOrders{Own: maps.Clone(g.ownOrders), Previous: maps.Clone(g.previousOrders)}
}

// RecentAndPlanned returns what Recent does, and adds the machines that may be ordered within a
// span from now, at the latest possible time. As it is written beforehand, it shows the successor
// of a crashed holder which machines to leave alone, and the successor may order all others at
// once. Without it the successor left all machines alone, and a pool whose peak had begun got no
// machine for five seconds.
func (g *OrderGuard) RecentAndPlanned(machines map[string]bool, span time.Duration, clock int64) RecentOrders {
	l := g.Recent(clock)
	for machine := range machines {
		l.Own[machine] = clock + span.Milliseconds()
	}
	return l
}
