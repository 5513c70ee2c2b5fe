package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/sched"
)

// Symptom: the owner of a large pool uses up its processor; its plans, holds and
// writes come late, and it loses the pool to another that fares no better.
// Sequence: all places are taken; a thousand jobs wait; each end has a plan made.
// Cause: each plan lists, ranks and sorts all jobs that wait before it looks whether
// a place is free for any.
func TestPlanInWhichNothingFitsCostsNothingPerWaitingJob(t *testing.T) {
	few, many := clogged(t, 20, 10), clogged(t, 20, 1000)
	cost := func(p *sched.Pool) float64 {
		return testing.AllocsPerRun(20, func() { p.Plan(time.Millisecond) })
	}
	assert.Equal(t, cost(many), cost(few), "memory that a plan takes, with 1000 jobs and with 10")
}
