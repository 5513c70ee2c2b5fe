package sched_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	gauge "sapphiregauge"
)

const (
	// maxClockOffset bounds how far an owner's wall clock is ahead or behind.
	maxClockOffset = 2 * time.Second
	// maxInterval bounds the time to a job's first occurrence and between two of them.
	maxInterval = time.Second
)

// wallClock is what the owner's wall clock shows.
func (w *simulation) wallClock() time.Time { return time.Unix(0, 0).Add(w.now + w.clockOffset) }

// drawClockOffset sets how far a new owner's wall clock is ahead or behind.
func (w *simulation) drawClockOffset() {
	if w.schedules {
		w.clockOffset = w.drawMillis(-maxClockOffset, maxClockOffset, "clock offset, ms")
	}
}

func (w *simulation) drawMillis(low, high time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(low.Milliseconds(), high.Milliseconds()).Draw(w.t, label)) * time.Millisecond
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
	spec.FirstAt = time.Unix(0, 0).Add(w.now + w.drawMillis(0, maxInterval, "due in, ms"))
	spec.Interval = w.drawMillis(0, maxInterval, "interval, ms")
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
