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

// Lists are the recently ordered machines and when each was ordered, by the table's clock in
// milliseconds: by the holder itself, and by those before it.
type Lists struct {
	Own     map[string]int64
	Earlier map[string]int64
}

// HandedOn returns the lists of a holder that has ordered nothing itself yet. Same says that the
// previous holder was this one in an earlier process.
func (l Lists) HandedOn(same bool) Lists {
	if same {
		return l
	}
	earlier := make(map[string]int64)
	for _, list := range []map[string]int64{l.Own, l.Earlier} {
		for machine, at := range list {
			earlier[machine] = max(earlier[machine], at)
		}
	}
	return Lists{Earlier: earlier}
}

// Turns enforces the minimum interval between the orders of two holders for the same machine: a
// machine that a previous holder has ordered recently is blocked, the others aren't. A machine that
// this holder's own process ordered before a restart is blocked only until the order has taken
// effect: otherwise, after an outage of all entries, no machine that had moved in the seconds
// before could move, just when demand has piled up.
type Turns struct {
	minInterval time.Duration // between the orders of two holders

	mu            sync.Mutex
	announced     map[string]bool          // machines that are named in the lease row in the table
	blockedUntil  map[string]time.Duration // by the local clock
	ownOrders     map[string]int64         // when this holder ordered a machine, by the table's clock in milliseconds
	earlierOrders map[string]int64         // the same of previous holders, and of this holder's previous process
}

// New returns Turns that heed the orders before. Same says that the previous holder was this one in
// an earlier process. Clock is the table's clock now, in milliseconds, and now the local one.
func New(minInterval time.Duration, before Lists, same bool, clock int64, now time.Duration) *Turns {
	t := &Turns{minInterval: minInterval, blockedUntil: make(map[string]time.Duration), ownOrders: make(map[string]int64), earlierOrders: make(map[string]int64)}
	block := func(ordered map[string]int64, gap time.Duration) {
		for machine, at := range ordered {
			since := time.Duration(clock-at) * time.Millisecond
			t.blockedUntil[machine] = max(t.blockedUntil[machine], now+gap-since)
			t.earlierOrders[machine] = max(t.earlierOrders[machine], at)
		}
	}
	block(before.Earlier, minInterval)
	if !same {
		block(before.Own, minInterval)
		return t
	}
	block(before.Own, maxOrderDelay)
	maps.Copy(t.ownOrders, before.Own)
	return t
}

// Waits reports whether the machine can't be ordered yet.
func (t *Turns) Waits(machine string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.blockedUntil[machine]
}

// Before reports whether the machine was ordered within the minimum interval by a previous holder,
// or by this holder's previous process: the order may not be recorded in the table.
func (t *Turns) Before(machine string, clock int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.earlierOrders[machine]
	return ok && t.isRecent(at, clock)
}

// Narrow drops the announced machines that aren't to be ordered any more, and reports whether any
// that are to be ordered aren't announced. A concurrent call of Order may be about to order a
// dropped machine, so Narrow must be called before the row without the machine is written.
func (t *Turns) Narrow(machines map[string]bool) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.announced, func(m string, _ bool) bool { return !machines[m] })
	for m := range machines {
		fresh = fresh || !t.announced[m]
	}
	return fresh
}

// Announce records that the lease row in the table names these machines.
func (t *Turns) Announce(machines map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = maps.Clone(machines)
}

// Announced returns the machines that the row in the table has to keep naming.
func (t *Turns) Announced() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.announced)
}

// Order reports whether the machine may be ordered now: it is announced, and no previous holder
// ordered it within the minimum interval. If so, it is recorded as ordered, for the successor.
func (t *Turns) Order(machine string, clock int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.announced[machine] || now < t.blockedUntil[machine] {
		return false
	}
	t.ownOrders[machine] = clock
	return true
}

func (t *Turns) isRecent(at, clock int64) bool {
	return time.Duration(clock-at)*time.Millisecond <= t.minInterval
}

// Lately returns the machines whose orders a successor has to heed, including those of earlier
// holders: with two handovers in a row, the third holder's order may come within the minimum
// interval after the first one's.
func (t *Turns) Lately(clock int64) Lists {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOld := func(_ string, at int64) bool { return !t.isRecent(at, clock) }
	maps.DeleteFunc(t.ownOrders, isOld)
	maps.DeleteFunc(t.earlierOrders, isOld)
	return Lists{Own: maps.Clone(t.ownOrders), Earlier: maps.Clone(t.earlierOrders)}
}

// Ahead returns the same, and adds the machines that may be ordered within a span from now, at the
// latest possible time. As it is written beforehand, it shows the successor of a crashed holder
// which machines to leave alone, and the successor may order all others at once. Without it the
// successor left all machines alone, and a pool whose peak had begun got no machine for five
// seconds.
func (t *Turns) Ahead(machines map[string]bool, span time.Duration, clock int64) Lists {
	l := t.Lately(clock)
	for machine := range machines {
		l.Own[machine] = clock + span.Milliseconds()
	}
	return l
}
