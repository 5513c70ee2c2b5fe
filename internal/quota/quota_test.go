package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/quota"
)

// take makes as many calls as are allowed.
func take(q *quota.Quota, now time.Duration) int {
	n := 0
	for q.Take(now) {
		n++
	}
	return n
}

func TestCallsWithinAnyPeriodAreLimited(t *testing.T) {
	q := quota.New(quota.Config{Calls: 10, Period: time.Second})
	assert.Assert(t, q.Take(500*time.Millisecond))
	assert.Assert(t, q.Take(500*time.Millisecond))
	assert.Equal(t, take(q, 700*time.Millisecond), 8)
	assert.Equal(t, take(q, 1400*time.Millisecond), 0)
	assert.Equal(t, take(q, 1500*time.Millisecond), 2)
	assert.Equal(t, take(q, 1700*time.Millisecond), 8)
	assert.Equal(t, take(q, time.Minute), 10)
}

func TestNoQuotaIsNoLimit(t *testing.T) {
	q := quota.New(quota.Config{})
	for range 1000 {
		assert.Assert(t, q.Take(0))
	}
}
