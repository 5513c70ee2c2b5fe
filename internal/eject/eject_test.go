package eject_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/eject"
)

func now() time.Time { return time.Unix(1000, 0) }

// feed lets each of some hosts end requests; those for which bad is true fail.
func feed(e *eject.Ejector, at time.Time, hosts, times int, bad func(int) bool) {
	for range times {
		for i := range hosts {
			id := fmt.Sprint(i)
			if !e.Skip(at, id) {
				e.Sent(at, id)
				e.Outcome(at, id, bad(i))
			}
		}
	}
}

// Symptom: most requests fail although nine of ten workers are well.
// Sequence: one worker fails what it is given at once, and so is always idle.
// Cause: choosing by idleness alone.
func TestWorkerThatFailsAllIsEjectedAndProbed(t *testing.T) {
	e := eject.New(eject.Config{})
	e.Cap(10, 8)
	feed(e, now(), 10, 20, func(i int) bool { return i == 3 })
	assert.DeepEqual(t, e.Ejected(now()), []string{"3"})
	later := now().Add(6 * time.Second)
	assert.Assert(t, !e.Skip(later, "3"), "one probe is let through")
	e.Sent(later, "3")
	assert.Assert(t, e.Skip(later, "3"), "only one")
	e.Outcome(later, "3", true)
	assert.Assert(t, e.Skip(later.Add(6*time.Second), "3"), "twice as long after a failed probe")
	later = later.Add(11 * time.Second)
	e.Sent(later, "3")
	e.Outcome(later, "3", false)
	assert.Assert(t, !e.Skip(later, "3"), "back after a good probe")
}

// Symptom: a pool has too few workers left after a bad batch of requests.
// Sequence: many workers fail at once.
// Cause: ejecting without a bound.
func TestEjectionKeepsThePromise(t *testing.T) {
	for _, tt := range []struct{ serving, promised, most int }{
		{10, 8, 2}, {10, 10, 1}, {12, 2, 4}, {1, 1, 0},
	} {
		e := eject.New(eject.Config{})
		e.Cap(tt.serving, tt.promised)
		feed(e, now(), tt.serving, 50, func(i int) bool { return i%2 == 0 })
		assert.Assert(t, len(e.Ejected(now())) <= tt.most, "%+v: %v", tt, e.Ejected(now()))
	}
}

// If all fail alike the fault is not with single workers.
func TestAllFailingEjectsNobody(t *testing.T) {
	e := eject.New(eject.Config{})
	e.Cap(10, 2)
	feed(e, now(), 10, 1, func(int) bool { return true })
	feed(e, now(), 10, 30, func(int) bool { return true })
	assert.Equal(t, len(e.Ejected(now())), 0)
}
