package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a queue that stops for good because the table refuses the row of one of its jobs: the
// ends of the other jobs are never written.
func TestRefusedRowHoldsBackNoOtherJob(t *testing.T) {
	for _, jobs := range []int{2, 40, 200} {
		t.Run(fmt.Sprint(jobs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newBusyHarness(t, jobs)
				defer g.end()
				refused := fmt.Sprintf("%016x", firstJob)
				g.table.mu.Lock()
				g.table.refusedJob = refused
				g.table.mu.Unlock()
				g.workers.endRuns(jobs)
				g.advance(10 * time.Second)
				assert.Equal(t, g.table.completedJobs(), jobs-1)
				assert.Assert(t, g.now() < g.owner.LeaseUntil(), "the lease is renewed meanwhile")

				g.table.mu.Lock()
				t.Logf("%d transactions refused", g.table.refusals)
				g.table.refusedJob = ""
				g.table.mu.Unlock()
				g.advance(5 * time.Second)
				assert.Equal(t, g.table.completedJobs(), jobs, "the row is written once the table takes it")
			})
		})
	}
}
