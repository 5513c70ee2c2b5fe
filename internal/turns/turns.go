// Package turns keeps two holders of the fleet from ordering one machine within the
// bound between them.
package turns

import (
	"maps"
	"sync"
	"time"
)

// settleAfter is how long an order that was under way when its process ended may
// take effect: most do within some milliseconds, slow ones within half a second.
const settleAfter = 500 * time.Millisecond

// Lists are the machines that were ordered lately, and when by the table's clock in
// milliseconds: by a holder itself, and by those before it.
type Lists struct {
	Own     map[string]int64
	Earlier map[string]int64
}

// HandedOn are the lists of a holder that has ordered nothing itself yet; same: the one
// before is this one, in an earlier process.
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

// Turns keeps two holders of the fleet from ordering one machine within the bound
// between them: a machine that a holder before has ordered lately waits, the
// others don't. What a holder's own process before a restart ordered waits only
// until it has taken effect: without that, after an outage of all entries no machine
// that had moved in the seconds before could move, just when demand has piled up.
type Turns struct {
	gap time.Duration // between the orders of two holders

	mu        sync.Mutex
	announced map[string]bool          // machines that the lease's row in the table names
	barred    map[string]time.Duration // until when, on our clock
	own       map[string]int64         // when this holder ordered, the table's clock in milliseconds
	earlier   map[string]int64         // the same of the holders before, and of this one's process before
}

// New makes Turns that take in what was ordered before; same: the holder before is
// this one, in an earlier process. Clock is the table's now.
func New(gap time.Duration, before Lists, same bool, clock int64, now time.Duration) *Turns {
	t := &Turns{gap: gap, barred: make(map[string]time.Duration), own: make(map[string]int64), earlier: make(map[string]int64)}
	bar := func(ordered map[string]int64, gap time.Duration) {
		for machine, at := range ordered {
			since := time.Duration(clock-at) * time.Millisecond
			t.barred[machine] = max(t.barred[machine], now+gap-since)
			t.earlier[machine] = max(t.earlier[machine], at)
		}
	}
	bar(before.Earlier, gap)
	if !same {
		bar(before.Own, gap)
		return t
	}
	bar(before.Own, settleAfter)
	maps.Copy(t.own, before.Own)
	return t
}

// Waits tells whether a machine can't be ordered yet.
func (t *Turns) Waits(machine string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.barred[machine]
}

// Before tells whether a machine was ordered within the bound by a holder before, or
// by this one's process before: its order may not be in the table.
func (t *Turns) Before(machine string, clock int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.earlier[machine]
	return ok && t.lately(at, clock)
}

// Narrow drops announced machines that aren't to be ordered any more, and tells whether
// some are to be that aren't announced. An order for one that was dropped may be on its
// way to Order, so that it goes before the row without it is written.
func (t *Turns) Narrow(machines map[string]bool) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.announced, func(m string, _ bool) bool { return !machines[m] })
	for m := range machines {
		fresh = fresh || !t.announced[m]
	}
	return fresh
}

// Announce takes in that the lease's row in the table names these machines.
func (t *Turns) Announce(machines map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = maps.Clone(machines)
}

// Announced are the machines that the row in the table has to go on naming.
func (t *Turns) Announced() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.announced)
}

// Order tells whether a machine may be ordered now: it is announced, and the holder
// before hasn't ordered it just now. A yes is noted for the successor.
func (t *Turns) Order(machine string, clock int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.announced[machine] || now < t.barred[machine] {
		return false
	}
	t.own[machine] = clock
	return true
}

func (t *Turns) lately(at, clock int64) bool {
	return time.Duration(clock-at)*time.Millisecond <= t.gap
}

// Lately lists the machines whose orders a successor has to heed, also those of
// earlier holders: with two handovers in a row the third one's order may come within
// the bound after the first one's.
func (t *Turns) Lately(clock int64) Lists {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := func(_ string, at int64) bool { return !t.lately(at, clock) }
	maps.DeleteFunc(t.own, old)
	maps.DeleteFunc(t.earlier, old)
	return Lists{Own: maps.Clone(t.own), Earlier: maps.Clone(t.earlier)}
}

// Ahead lists the same, and with it, at the latest time possible, what may be ordered
// within a span from now. Written before, it tells the successor of a holder that is
// gone without a word which machines to leave alone: it may order all others at once.
// Not knowing them it left all alone, and a pool whose turn had begun got no machine for
// five seconds.
func (t *Turns) Ahead(machines map[string]bool, span time.Duration, clock int64) Lists {
	l := t.Lately(clock)
	for machine := range machines {
		l.Own[machine] = clock + span.Milliseconds()
	}
	return l
}
