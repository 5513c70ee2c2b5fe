package sched_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	gauge "sapphiregauge"
)

// maxClockOffset bounds how far an owner's wall clock is ahead or behind.
const maxClockOffset = 2000 // ms

// wallClock is what the owner's wall clock shows.
func (w *simulation) wallClock() time.Time { return time.Unix(0, 0).Add(w.now + w.clockOffset) }

// drawClockOffset sets how far a new owner's wall clock is ahead or behind.
func (w *simulation) drawClockOffset() {
	if w.schedules {
		w.clockOffset = time.Duration(rapid.IntRange(-maxClockOffset, maxClockOffset).Draw(w.t, "clock offset, ms")) * time.Millisecond
	}
}

// schedule makes some jobs scheduled ones, of which occurrences may overlap. They are small, so that
// occurrences are completed within the events that a test draws.
func (w *simulation) schedule(spec *gauge.JobSpec) {
	if !w.schedules || rapid.IntRange(0, 2).Draw(w.t, "scheduled") == 0 {
		return
	}
	spec.Steps = spec.Steps[:1]
	spec.Steps[0].Count = rapid.IntRange(1, 2).Draw(w.t, "tasks")
	spec.Repeats = rapid.IntRange(1, 4).Draw(w.t, "occurrences")
	spec.FirstAt = time.Unix(0, 0).Add(w.now + time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "due in, ms"))*time.Millisecond)
	spec.Interval = time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "interval, ms")) * time.Millisecond
}

// Guards against tasks of scheduled jobs that start again after they were done, or run twice, in any
// order of events and with owners whose clocks differ.
func TestInvariantsHoldForScheduledJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.schedules = true
		w.handleRandomEvents()
		w.runWithoutFaults()
		w.checkCancelledStopped()
	})
}
