package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a lease that is written in a loop: thousands of workers with runs don't answer, and their leases expire one
// after the other.
func TestSilentWorkersCauseFewWrites(t *testing.T) {
	for _, workers := range []int{100, 1000} {
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newHarness(t)
				defer g.end()
				var list []gauge.Worker
				for i := range workers {
					list = append(list, gauge.Worker{ID: fmt.Sprint("w", i), Pool: "p", Capacity: gauge.Resources{MilliCPU: 1, MemoryMB: 1}})
				}
				g.owner.SetWorkers(list, 3)
				g.advance(3 * time.Second)
				g.adopt(t, 0, workers)
				g.advance(10 * time.Second)
				starts, _ := g.workers.callCounts()
				count := func() int {
					g.table.mu.Lock()
					defer g.table.mu.Unlock()
					return g.table.txns
				}
				before := count()
				g.advance(4 * time.Second)
				calm := count() - before
				go func() { // one after the other within 5 s
					for n := range workers {
						g.workers.mu.Lock()
						g.workers.silentCount = n + 1
						g.workers.mu.Unlock()
						time.Sleep(5 * time.Second / time.Duration(workers))
					}
				}()
				var perSecond []int
				for range 20 {
					before = count()
					g.advance(time.Second)
					perSecond = append(perSecond, count()-before)
				}
				t.Logf("starts %d, writes in 4 s before: %d, then in each second: %v", starts, calm, perSecond)
				assert.Assert(t, slices.Max(perSecond) <= 2*int(time.Second/(100*time.Millisecond)), "a write for each tick would be 10")
			})
		})
	}
}
