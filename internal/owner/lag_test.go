package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pool moving from owner to owner although each one's host is healthy: four of ten
// workers are cut off with runs of cancelled jobs, and stops are sent to them again and again
// without an answer. Orders to silent workers must not count as a sign that this host lags.
func TestOrdersToSilentWorkersDoNotCountAsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 400 // fills all workers
		g := newBusyHarness(t, tasks)
		defer g.end()
		g.workers.mu.Lock()
		g.workers.silentCount = 4
		g.workers.mu.Unlock()
		g.advance(4 * time.Second) // none of the four has answered a heartbeat since
		for i := range tasks {
			g.owner.Cancel(fmt.Sprintf("%016x", firstJob+i), int64(5000+i))
		}
		g.advance(3 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		assert.Equal(t, g.lagCallbacks, 0)
	})
}
