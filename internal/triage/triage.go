// Package triage decides whether a job can still meet its objective, only its last useful moment,
// or neither, so that a full pool spends its capacity on the jobs that still gain from it.
package triage

import (
	"math"
	"time"
)

// Class says which of its two deadlines a job can still meet.
type Class string

// The classes, in the order in which their jobs start.
const (
	Timely   Class = "timely"   // it can meet its objective
	Late     Class = "late"     // it can only end before its last useful moment
	Hopeless Class = "hopeless" // it can't end while its result is worth something
)

// Rank is the position of a class in the order of starts, 0 for the first.
func (c Class) Rank() int {
	switch c {
	case Timely:
		return 0
	case Late:
		return 1
	default:
		return 2
	}
}

// StepOverhead is the time that a step takes beside its runs: the answer to a start, the report of
// an end, and its write.
const StepOverhead = 100 * time.Millisecond

// Job is what is known of a job's time.
type Job struct {
	Left      time.Duration // until its objective; negative: it has passed
	LeftLate  time.Duration // until its last useful moment
	Chain     time.Duration // expected duration of its remaining steps, with StepOverhead for each
	Objective time.Duration // time that it had for all of its steps
	Begun     bool          // a task of it has been started
}

// Load is what is known of the load that the job is part of.
type Load struct {
	// Spread is the standard deviation of the logarithm of run times around their expectation, in
	// the job's queue.
	Spread float64
}

// Judge returns the class of a job.
//
// In a full pool most jobs start at the last moment at which they are timely. With the expected
// duration alone, half of these would miss their objective by a few percent, so a job that hasn't
// begun needs a margin. One that has begun needs none: the work done on it would be wasted if it
// had to wait for others.
func Judge(j Job, l Load) Class {
	need := j.Chain
	if !j.Begun {
		need += margin(j, l)
	}
	switch {
	case j.Left >= need:
		return Timely
	case j.LeftLate >= need:
		return Late
	default:
		return Hopeless
	}
}

// rescueWindow is the part of its objective by which a late job must be near its last start. Until
// then it may find room that nobody else needs, and later its tasks wouldn't find room in time.
const rescueWindow = 0.25

// RescueShare is the part of a pool's capacity that late jobs may have before timely ones. Without
// it hardly any job that is late in a pool that stays full would be served at all; with all of the
// capacity, each of them would make another one late.
const RescueShare = 0.1

// MaxRescueSpan is for how long a pool may have been overloaded if late jobs start before timely ones.
// In an overload that lasts longer each of them makes another job late, and no more are served.
const MaxRescueSpan = 10 * time.Second

// IsLastCall reports whether a late job has to start about now to end before its last useful moment.
func IsLastCall(j Job) bool {
	return j.LeftLate-j.Chain <= time.Duration(rescueWindow*float64(j.Objective))
}

const (
	// maxMargin bounds the margin to a share of the expected duration: where estimates say little, a
	// job that seems late may well be in time.
	maxMargin = 0.5
	// slackShare bounds the margin to a share of the slack that the objective leaves: otherwise the
	// jobs of a queue with a tight objective would be late when they arrive.
	slackShare = 0.5
)

// margin is the time that a job that hasn't begun needs beyond its expected duration: one standard
// deviation, which five in six jobs don't exceed.
func margin(j Job, l Load) time.Duration {
	spread := time.Duration(float64(j.Chain) * min(maxMargin, math.Expm1(l.Spread)))
	slack := time.Duration(float64(j.Objective-j.Chain) * slackShare)
	return max(0, min(spread, slack))
}
