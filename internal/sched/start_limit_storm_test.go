package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loseAllAtCrashes has all other workers lose their power together with each of the first few
// workers that the bad task crashes, and then all workers whenever the task has begun.
func loseAllAtCrashes(first int) func(w *crashHarness) {
	seen := 0
	return func(w *crashHarness) {
		switch {
		case w.crashes > seen:
			seen = w.crashes
			if seen <= first {
				w.crashAll(func(string) bool { return true })
			}
		case w.crashes >= first && w.workerOf(w.badTask.Job) != "":
			w.crashAll(func(string) bool { return true })
		}
	}
}

// Guards against a task that is started again and again after it has crashed three workers, as power losses excuse it.
func TestStartsAfterThreeCrashesAreLimitedInPowerLosses(t *testing.T) {
	w := newCrashHarness(t, 6)
	w.restartDelay, w.crashDelay = 300*time.Millisecond, 300*time.Millisecond
	id := w.submit(1, newStep(1))
	w.badTask = firstTaskOf(id)
	lose := loseAllAtCrashes(3)
	before := 0
	for w.now < 60*time.Second {
		w.advance(crashStep)
		if w.crashes < 3 {
			before = w.starts[w.badTask]
		}
		lose(w)
	}
	assert.Assert(t, w.starts[w.badTask]-before <= 2, "started %d times after it had crashed three workers, state %s", w.starts[w.badTask]-before, w.jobState(id))
}

// Guards against a crash that counts nowhere, as the owner that saw it had found the run, and took it for one that had lasted.
func TestStartsAreLimitedWhenOwnersAreReplacedBeforeCrashes(t *testing.T) {
	w := newCrashHarness(t, 6)
	w.restartDelay, w.crashDelay = 300*time.Millisecond, 300*time.Millisecond
	id := w.submit(1, newStep(1))
	w.badTask = firstTaskOf(id)
	seen := 0
	for w.now < 60*time.Second {
		w.advance(crashStep)
		if w.starts[w.badTask] == seen {
			continue
		}
		seen = w.starts[w.badTask]
		w.advance(crashStep)
		if w.pool.HasUnreportedLosses() || w.pool.HasUnrecordedCrashes() {
			w.unrecorded++
		}
		w.replaceOwner()
	}
	assert.Assert(t, seen <= maxCrashes, "started %d times, state %s", seen, w.jobState(id))
}
