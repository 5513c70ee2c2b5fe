package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/sched"
)

// Guards against an owner of a large pool that uses up its processor time, so that its plans,
// heartbeats and writes come late and it loses the pool to another owner, which then has the same
// problem. With all workers full and a thousand jobs waiting, each ended run leads to a plan; none
// may list, rank and sort all waiting jobs before it checks whether there is room for any.
func TestPlanWithoutRoomCostsNothingPerWaitingJob(t *testing.T) {
	few, many := newFullLargePool(t, 20, 10), newFullLargePool(t, 20, 1000)
	cost := func(p *sched.Pool) float64 {
		return testing.AllocsPerRun(20, func() { p.Plan(time.Millisecond) })
	}
	assert.Equal(t, cost(many), cost(few), "allocations of a plan with 1000 jobs and with 10")
}
