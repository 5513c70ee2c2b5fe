package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a pool goes from owner to owner, each on a host that is well.
// Sequence: four workers of ten are cut off with runs of jobs that are cancelled; stops go
// out to them again and again, and get no answer.
// Cause: orders to workers that don't answer were taken for a sign of this host's lag.
func TestOrdersToSilentWorkersAreNoSignOfLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 400 // all that the workers have room for
		g := full(t, tasks)
		defer g.end()
		g.site.mu.Lock()
		g.site.cut = 4
		g.site.mu.Unlock()
		g.pass(4 * time.Second) // none of the four has answered a hold since
		for i := range tasks {
			g.owner.Cancel(fmt.Sprintf("%016x", firstJob+i), int64(5000+i))
		}
		g.pass(3 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		assert.Equal(t, g.lags, 0)
	})
}
