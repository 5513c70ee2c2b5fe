// Package jitter spreads the calls of many processes that start or fail at the same moment. Each
// waits for a random time within a window that doubles with each failure, so that the calls
// together approach the rate that a service takes, however many processes there are.
package jitter

import (
	"math/rand/v2"
	"time"
)

// Config sets up a Backoff.
type Config struct {
	First  time.Duration // window before the first call
	Max    time.Duration // largest window
	Random func(n time.Duration) time.Duration
}

// Backoff chooses the delays before the calls of one process.
type Backoff struct {
	conf   Config
	window time.Duration
}

// New returns a Backoff before its first call.
func New(c Config) *Backoff {
	if c.Random == nil {
		c.Random = rand.N[time.Duration]
	}
	return &Backoff{conf: c}
}

// Next returns the delay before the next call, if all calls so far have failed.
func (b *Backoff) Next() time.Duration {
	b.window = min(max(b.conf.First, 2*b.window), b.conf.Max)
	return b.conf.Random(b.window)
}
