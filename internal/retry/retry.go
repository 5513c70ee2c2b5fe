// Package retry limits retries by a budget that successes refill, so that many failures at once
// can't multiply the load, and gives a random pause before each retry. It is a state machine
// without input or output.
package retry

import (
	"math/rand/v2"
	"time"

	"sapphiregauge/internal/fill"
)

// Config sets up a Budget.
type Config struct {
	PerSuccess   float64       // retries added by one success; default 0.1
	Capacity     float64       // retries that the budget holds at most; default 20
	PerSecond    float64       // retries added each second, also without successes; default 0.5
	InitialPause time.Duration // upper bound of the first pause; default 20 ms
	MaxPause     time.Duration // upper bound of any pause; default 1 s
	Random       *rand.Rand
	Start        time.Time
}

const (
	defaultPerSuccess   = 0.1
	defaultCapacity     = 20
	defaultPerSecond    = 0.5
	defaultInitialPause = 20 * time.Millisecond
	defaultMaxPause     = time.Second
)

// Budget holds the retries that the requests for one pool may make at one entry.
type Budget struct {
	conf      Config
	available float64
	updatedAt time.Time
}

// New returns a Budget that starts full, as the first failures after a restart are not yet an
// overload.
func New(c Config) *Budget {
	fill.Zero(&c.PerSuccess, defaultPerSuccess)
	fill.Zero(&c.Capacity, defaultCapacity)
	fill.Zero(&c.PerSecond, defaultPerSecond)
	fill.Zero(&c.InitialPause, defaultInitialPause)
	fill.Zero(&c.MaxPause, defaultMaxPause)
	return &Budget{conf: c, available: c.Capacity, updatedAt: c.Start}
}

// RecordSuccess adds the retries of one success to the budget.
func (b *Budget) RecordSuccess() { b.available = min(b.conf.Capacity, b.available+b.conf.PerSuccess) }

// Spend takes one retry out of the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.available = min(b.conf.Capacity, b.available+elapsed.Seconds()*b.conf.PerSecond)
		b.updatedAt = now
	}
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Pause returns how long to wait before the n-th retry (from 1): a random time up to a bound that
// doubles with n, so that requests that failed together aren't all retried at once.
func (b *Budget) Pause(n int) time.Duration {
	bound := b.conf.InitialPause << min(n-1, 16) // 16 keeps the shift from overflowing
	return time.Duration(b.conf.Random.Int64N(int64(min(bound, b.conf.MaxPause)) + 1))
}
