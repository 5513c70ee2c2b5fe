package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/retry"
)

func newBudget() *retry.Budget {
	return retry.New(retry.Config{Random: rand.New(rand.NewPCG(1, 1)), Start: time.Unix(1000, 0)})
}

// Guards against retries that overload recovering workers: a third of the workers fail at once,
// every failed request is retried without a budget, and the retries fail too.
func TestFailuresDoNotMultiplyTheLoad(t *testing.T) {
	b := newBudget()
	random := rand.New(rand.NewPCG(2, 2))
	now := time.Unix(1000, 0)
	const requests = 100_000
	sent := 0
	for range requests {
		now = now.Add(time.Millisecond)
		for try := 0; ; try++ {
			sent++
			if random.IntN(3) > 0 {
				b.RecordSuccess()
				break
			}
			if try == 7 || !b.Spend(now) {
				break
			}
		}
	}
	load := float64(sent) / requests
	assert.Assert(t, load < 1.1, "load is multiplied by %.3f", load)
	assert.Assert(t, load > 1.05, "the budget is hardly used: %.3f", load)
}

// Pauses are random and bounded.
func TestPausesAreRandomAndBounded(t *testing.T) {
	b := newBudget()
	seen := make(map[time.Duration]bool)
	for range 100 {
		p := b.Pause(3)
		assert.Assert(t, p >= 0 && p <= 80*time.Millisecond)
		seen[p] = true
		assert.Assert(t, b.Pause(60) <= time.Second)
	}
	assert.Assert(t, len(seen) > 90)
}
