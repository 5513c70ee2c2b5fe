package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a lease that isn't renewed while the partitions of two queues don't take writes.
func TestLeaseIsRenewedWhileTwoQueuesCannotBeWritten(t *testing.T) {
	for _, queues := range []int{1, 2, 3, 6} {
		for _, takes := range []time.Duration{10 * time.Millisecond, 310 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d queues, failing after %v", queues, takes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newHarness(t)
					defer g.end()
					failing := &g.table.jobsOutage
					g.table.mu.Lock()
					failing.takes = takes
					g.table.mu.Unlock()
					spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 1, MemoryMB: 1}, Estimate: time.Second}}}
					for i := range queues {
						row := &gauge.JobRow{State: gauge.JobPending, Pool: "p", Accepted: g.now().Milliseconds()}
						assert.Assert(t, g.owner.Adopt(fmt.Sprintf("%016x", firstJob+i), fmt.Sprint("q", i), spec, row, int64(firstJob+i)))
					}
					g.advance(10 * time.Second)
					t.Logf("renewed %v ago, %d attempts failed", g.now()-(g.owner.LeaseUntil()-2*time.Second), failing.failed)
					assert.Assert(t, g.now() < g.owner.LeaseUntil())
				})
			})
		}
	}
}
