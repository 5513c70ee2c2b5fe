// Package quota limits calls to a number within any period, as services do that refuse the calls
// beyond. All of them may come at once, unlike with a token bucket of the same rate.
package quota

import "time"

// Config sets up a Quota.
type Config struct {
	Calls  int // most calls within Period; 0: no limit
	Period time.Duration
}

// Quota is a sliding window over the calls made. It is not safe for concurrent use.
type Quota struct {
	conf  Config
	taken []time.Duration // when the last Calls calls were made, as a ring
	next  int             // index of the oldest one
}

// New returns a Quota of which nothing has been used.
func New(c Config) *Quota { return &Quota{conf: c} }

// Take reports whether a call may be made now, and counts it if so.
func (q *Quota) Take(now time.Duration) bool {
	switch {
	case q.conf.Calls == 0:
		return true
	case len(q.taken) < q.conf.Calls:
		q.taken = append(q.taken, now)
		return true
	case now-q.taken[q.next] < q.conf.Period:
		return false
	}
	q.taken[q.next] = now
	q.next = (q.next + 1) % q.conf.Calls
	return true
}
