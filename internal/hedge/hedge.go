// Package hedge decides which runs are stragglers, so that a second run of their task, a copy, is
// worth the capacity that it takes, and how many copies there may be. It knows no clock and no workers:
// what is known of a run is given as spans.
package hedge

import (
	"math"
	"time"
)

// Reason is why a run is a straggler.
type Reason string

// The reasons, by the rule that a run has broken.
const (
	ReasonNone    Reason = "" // it is no straggler
	ReasonSlow    Reason = "slow"
	ReasonStalled Reason = "stalled"
	ReasonSilent  Reason = "silent"
)

const (
	// SlowFactor is how many times the median of its step a run may take.
	SlowFactor = 2.5
	// StallSpan is the least time for which a run must have reported the same progress to have stalled.
	StallSpan = 1500 * time.Millisecond
	// StallPercents is for how many times the time of one percent of its work a run may report the same
	// progress: that of a run of some minutes changes every few seconds only.
	StallPercents = 3
)

const (
	// minEnded is the least number of ended runs that make a median.
	minEnded = 3
	// reportInterval is the most time between two reports of a worker. Runs that have stalled at one
	// moment, such as all of a queue, show their last progress within it.
	reportInterval = time.Second
	// silenceSpan is how long a run's worker may not answer.
	silenceSpan = time.Second
	// copyDivisor bounds the copies: one in copyDivisor running tasks may have one.
	copyDivisor = 20

	fullProgress = 100 // percent
)

// Step is what is known of a run's step.
type Step struct {
	Tasks    int
	Ended    int           // runs that ended as done, whose times are known
	Median   time.Duration // of these times; 0: there are none
	Estimate time.Duration // the client's estimate of a run's time
}

// Expected is how long a run of the step should take.
func (s Step) Expected() time.Duration {
	if s.Ended > 0 {
		return s.Median
	}
	return s.Estimate
}

// HasMedian reports whether enough of the step has ended to tell from it which runs are slow. If all
// of its tasks are slow, the job is large, and a copy would take as long.
func (s Step) HasMedian() bool { return s.Ended >= minEnded && 2*s.Ended >= s.Tasks }

// Run is what is known of a task's only run.
type Run struct {
	Elapsed  time.Duration // from its order to its worker's newest report of it
	Unheard  time.Duration // since that report
	Progress int           // percent of its work done, as of that report
	Steady   time.Duration // for how long that progress hasn't changed, as of that report
	// Behind is how long after this run's last progress another run of its step or queue has
	// progressed, or has ended as done; 0 or less: none has.
	Behind time.Duration
	Silent time.Duration // for how long its worker hasn't answered; 0: it answers
}

// Judge returns why a run is a straggler, ReasonNone if it is none.
func (r Run) Judge(s Step) Reason {
	switch {
	case r.Silent > silenceSpan:
		return ReasonSilent
	case r.Steady >= r.maxSteady(s) && r.Behind > reportInterval:
		return ReasonStalled
	case s.HasMedian() && r.Elapsed > time.Duration(SlowFactor*float64(s.Median)) && r.left() > s.Median:
		return ReasonSlow
	default:
		return ReasonNone
	}
}

// maxSteady is how long the run may report the same progress.
func (r Run) maxSteady(s Step) time.Duration {
	percent := s.Expected() / fullProgress
	if r.Progress > 0 {
		percent = (r.Elapsed - r.Steady) / time.Duration(r.Progress)
	}
	return max(StallSpan, StallPercents*percent)
}

// left is how long the run goes on if it progresses as so far.
func (r Run) left() time.Duration {
	if r.Progress <= 0 {
		return math.MaxInt64
	}
	remaining := max(0, fullProgress-r.Progress)
	return r.Elapsed*time.Duration(remaining)/time.Duration(r.Progress) - r.Unheard
}

// MayCopy reports whether there may be one more copy in a pool, given how many of its tasks run and
// how many copies there are: one in any case, and one for each twenty tasks.
func MayCopy(running, copies int) bool {
	return copies == 0 || copyDivisor*(copies+1) <= running
}
