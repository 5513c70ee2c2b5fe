// Package retry bounds repeats: a budget earned by successes, so that a wave of
// failures can't multiply the load, and a random pause before each repeat. It
// is a state machine without input or output.
package retry

import (
	"math/rand/v2"
	"time"

	"sapphiregauge/internal/fill"
)

// Config sets up a Budget.
type Config struct {
	Earn    float64       // repeats earned by one success; default 0.1
	Most    float64       // repeats that can be saved up; default 20
	Trickle float64       // repeats earned each second without successes; default 0.5
	First   time.Duration // longest first pause; default 20 ms
	Last    time.Duration // longest pause; default 1 s
	Random  *rand.Rand
	Start   time.Time
}

const (
	defaultEarn    = 0.1
	defaultMost    = 20
	defaultTrickle = 0.5
	defaultFirst   = 20 * time.Millisecond
	defaultLast    = time.Second
)

// Budget is the repeats that one pool's requests may make at one entry.
type Budget struct {
	conf  Config
	saved float64
	last  time.Time
}

// New makes a Budget that starts full: after a restart the first failures are
// no storm yet.
func New(c Config) *Budget {
	fill.Zero(&c.Earn, defaultEarn)
	fill.Zero(&c.Most, defaultMost)
	fill.Zero(&c.Trickle, defaultTrickle)
	fill.Zero(&c.First, defaultFirst)
	fill.Zero(&c.Last, defaultLast)
	return &Budget{conf: c, saved: c.Most, last: c.Start}
}

// Success earns a part of a repeat.
func (b *Budget) Success() { b.saved = min(b.conf.Most, b.saved+b.conf.Earn) }

// Spend takes one repeat out of the budget, if there is one.
func (b *Budget) Spend(now time.Time) bool {
	if past := now.Sub(b.last); past > 0 {
		b.saved = min(b.conf.Most, b.saved+past.Seconds()*b.conf.Trickle)
		b.last = now
	}
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Pause returns how long to wait before the n-th repeat (from 1): anything up
// to a bound that doubles, so that requests that failed together don't come
// back together.
func (b *Budget) Pause(n int) time.Duration {
	bound := b.conf.First << min(n-1, 16)
	return time.Duration(b.conf.Random.Int64N(int64(min(bound, b.conf.Last)) + 1))
}
