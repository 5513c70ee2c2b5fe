package eject_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/eject"
)

func now() time.Time { return time.Unix(1000, 0) }

// feed records the outcomes of requests at each host that isn't ejected; those at hosts for
// which isFailing returns true fail.
func feed(e *eject.Ejector, at time.Time, hosts, times int, isFailing func(int) bool) {
	for range times {
		for i := range hosts {
			id := fmt.Sprint(i)
			if !e.IsBlocked(at, id) {
				e.RecordStart(at, id)
				e.RecordOutcome(at, id, isFailing(i))
			}
		}
	}
}

// Guards against most requests failing although nine of ten workers are healthy: one worker fails
// each request at once, so it is always idle, and a choice by idle slots alone prefers it.
func TestFailingWorkerIsEjectedAndProbed(t *testing.T) {
	e := eject.New(eject.Config{})
	e.SetLimit(10, 8)
	feed(e, now(), 10, 20, func(i int) bool { return i == 3 })
	assert.DeepEqual(t, e.Ejected(now()), []string{"3"})
	later := now().Add(6 * time.Second)
	assert.Assert(t, !e.IsBlocked(later, "3"), "one probe is let through")
	e.RecordStart(later, "3")
	assert.Assert(t, e.IsBlocked(later, "3"), "only one probe")
	e.RecordOutcome(later, "3", true)
	assert.Assert(t, e.IsBlocked(later.Add(6*time.Second), "3"), "twice as long after a failed probe")
	later = later.Add(11 * time.Second)
	e.RecordStart(later, "3")
	e.RecordOutcome(later, "3", false)
	assert.Assert(t, !e.IsBlocked(later, "3"), "back after a successful probe")
}

// Guards against a pool that has too few workers left after a batch of failing requests: many
// workers fail at once, and ejections have no bound.
func TestEjectionLeavesPromisedHosts(t *testing.T) {
	for _, tt := range []struct{ serving, promised, maxEjected int }{
		{10, 8, 2}, {10, 10, 1}, {12, 2, 4}, {1, 1, 0},
	} {
		e := eject.New(eject.Config{})
		e.SetLimit(tt.serving, tt.promised)
		feed(e, now(), tt.serving, 50, func(i int) bool { return i%2 == 0 })
		assert.Assert(t, len(e.Ejected(now())) <= tt.maxEjected, "%+v: %v", tt, e.Ejected(now()))
	}
}

// If all workers fail alike, single workers are not at fault.
func TestUniformFailuresEjectNobody(t *testing.T) {
	e := eject.New(eject.Config{})
	e.SetLimit(10, 2)
	feed(e, now(), 10, 1, func(int) bool { return true })
	feed(e, now(), 10, 30, func(int) bool { return true })
	assert.Equal(t, len(e.Ejected(now())), 0)
}
