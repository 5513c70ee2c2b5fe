// Package spans learns how long runs take compared with their estimates, for each queue.
package spans

import (
	"math"
	"time"
)

// Config sets up Times.
type Config struct {
	// HalfLife is the number of runs after which an observation counts half; 0: 200.
	HalfLife float64
}

// Times holds the run times of each queue. It is not safe for concurrent use.
type Times struct {
	decay    float64
	queues   map[string]*history
	revision int
}

// Run is a run that ended as done.
type Run struct {
	Estimate time.Duration
	Took     time.Duration
	Siblings int // number of tasks of its step
}

const (
	defaultHalfLife = 200.0
	// minRuns is the number of runs from which on a queue's ratio is used.
	minRuns = 20
	// maxStepRuns is the number of runs that all tasks of a step together count for. Their times
	// are similar, so that a step with many tasks says as little of other jobs as one with few.
	maxStepRuns = 8
	// maxRatio bounds the ratio of one run, in both directions.
	maxRatio = 20.0
	// poorSpread is the spread from which on estimates are poor predictors. Estimates that are off
	// by 20 %, with one job in thirty that takes seven times as long, stay below it.
	poorSpread = 0.5
	// minChange is the change of what is learned, of a logarithm or a share, from which on expectations
	// follow it. Callers cache expectations, and not each run is worth a recomputation.
	minChange = 0.05
)

// New returns Times without runs.
func New(c Config) *Times {
	if c.HalfLife <= 0 {
		c.HalfLife = defaultHalfLife
	}
	return &Times{decay: math.Exp2(-1 / c.HalfLife), queues: make(map[string]*history)}
}

// Observe records a run of a queue. Runs without an estimate or a duration show nothing.
func (t *Times) Observe(queue string, r Run) {
	if r.Estimate <= 0 || r.Took <= 0 {
		return
	}
	h := t.queues[queue]
	if h == nil {
		h = new(history)
		t.queues[queue] = h
	}
	h.add(r, t.decay)
	if h.publish() {
		t.revision++
	}
}

// Expect returns the expected time of a run of a queue, 0 if it has no estimate. It stays the same
// until Revision changes.
func (t *Times) Expect(queue string, estimate time.Duration) time.Duration {
	h := t.queues[queue]
	if h == nil || h.published.runs == 0 || estimate <= 0 {
		return estimate
	}
	return h.published.expect(estimate)
}

// Spread returns the standard deviation of the logarithm of a queue's run times around their
// expectation; 0 while too few runs are known. It stays the same until Revision changes.
func (t *Times) Spread(queue string) float64 {
	h := t.queues[queue]
	if h == nil {
		return 0
	}
	return h.published.spread
}

// Revision grows whenever expectations of any queue have changed by more than a few percent.
func (t *Times) Revision() int { return t.revision }
