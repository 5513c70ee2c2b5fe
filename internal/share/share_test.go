package share_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/share"
)

func TestJobsBeyondTheWeightAreToldBySecond(t *testing.T) {
	for _, tt := range []struct {
		name     string
		account  string
		weight   float64
		arrivals []time.Duration
		beyond   int
	}{
		{"within", "garages", 3, []time.Duration{0, 100 * time.Millisecond, 900 * time.Millisecond}, 0},
		{"one more", "garages", 3, []time.Duration{0, 1, 2, 3}, 1},
		{"spread over two seconds", "garages", 3, []time.Duration{0, 1, 2, time.Second, time.Second + 1}, 0},
		{"order doesn't matter", "garages", 2, []time.Duration{time.Second, 0, time.Second, 0, 1}, 1},
		{"a part of a job is one", "garages", 0.2, []time.Duration{0, time.Second, time.Second}, 1},
		{"no weight", "garages", 0, []time.Duration{0, 0, 0, 0}, 0},
		{"no account", "", 1, []time.Duration{0, 0, 0, 0}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, beyond := share.New(), 0
			for _, at := range tt.arrivals {
				if r.CountJob(tt.account, tt.weight, at) {
					beyond++
				}
			}
			assert.Equal(t, beyond, tt.beyond)
		})
	}
}

// Guards against one account's jobs that use up another's share.
func TestAccountsAreCountedApart(t *testing.T) {
	r := share.New()
	assert.Assert(t, !r.CountJob("garages", 1, 0))
	assert.Assert(t, !r.CountJob("schools", 1, 0))
	assert.Assert(t, r.CountJob("garages", 1, 0))
}

// Guards against counts that grow for as long as the owner runs.
func TestOldCountsAreDropped(t *testing.T) {
	r := share.New()
	for i := range 20_000 {
		r.CountJob("garages", 1, time.Duration(i)*time.Second)
	}
	assert.Assert(t, r.Len() <= 4096)
}
