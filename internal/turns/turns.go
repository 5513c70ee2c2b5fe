// Package turns keeps two holders of the fleet from ordering one machine within the
// bound between them.
package turns

import (
	"sync"
	"time"
)

// Turns keeps two holders of the fleet from ordering one machine within the bound
// between them: a machine that the holder before has ordered lately waits, the
// others don't.
type Turns struct {
	gap time.Duration // between the orders of two holders

	mu     sync.Mutex
	barred map[string]time.Duration // until when, on our clock
	mine   map[string]int64         // when this holder ordered, the table's clock in milliseconds
}

// New makes Turns that take in what the holder before has ordered; clock is the table's now.
func New(gap time.Duration, before map[string]int64, clock int64, now time.Duration) *Turns {
	t := &Turns{gap: gap, barred: make(map[string]time.Duration), mine: make(map[string]int64)}
	for machine, at := range before {
		since := time.Duration(clock-at) * time.Millisecond
		t.barred[machine] = now + gap - since
	}
	return t
}

// Waits tells whether a machine can't be ordered yet.
func (t *Turns) Waits(machine string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.barred[machine]
}

// Ordered notes an order that is about to go out.
func (t *Turns) Ordered(machine string, clock int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mine[machine] = clock
}

// Lately lists the machines whose orders a successor has to heed.
func (t *Turns) Lately(clock int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int64)
	for machine, at := range t.mine {
		if time.Duration(clock-at)*time.Millisecond > t.gap {
			delete(t.mine, machine)
			continue
		}
		out[machine] = at
	}
	return out
}
