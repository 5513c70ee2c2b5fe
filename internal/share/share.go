// Package share tells which jobs a client account has submitted beyond its share. Such jobs wait
// until all that others submitted within theirs has started, so that one account's burst doesn't
// delay the others.
package share

import (
	"maps"
	"time"
)

// Rates counts the jobs that accounts submit, by second. It is not safe for concurrent use.
type Rates struct {
	counts map[second]int
	newest time.Duration // latest arrival so far
}

type second struct {
	account string
	at      time.Duration
}

const (
	// window is the time over which an account's jobs are counted.
	window = time.Second
	// retention is how long counts are kept: jobs of previous owners are read late.
	retention = time.Minute
	// maxCounts is the number of counts from which on old ones are dropped.
	maxCounts = 4096
)

// New returns Rates without jobs.
func New() *Rates { return &Rates{counts: make(map[second]int)} }

// CountJob counts a job of an account and reports whether it is beyond the account's weight, in
// jobs per second; 0: the account has no share of its own, and all of its jobs count alike.
func (r *Rates) CountJob(account string, weight float64, arrived time.Duration) bool {
	if account == "" || weight <= 0 {
		return false
	}
	r.newest = max(r.newest, arrived)
	key := second{account, arrived.Truncate(window)}
	r.counts[key]++
	if len(r.counts) > maxCounts {
		maps.DeleteFunc(r.counts, func(k second, _ int) bool { return k.at < r.newest-retention })
	}
	return float64(r.counts[key]) > max(1, weight)
}

// WouldExceed reports whether a further job of an account would be beyond its weight if others, as
// many as given, were counted before it. It counts nothing.
func (r *Rates) WouldExceed(account string, weight float64, arrived time.Duration, others int) bool {
	if account == "" || weight <= 0 {
		return false
	}
	return float64(r.counts[second{account, arrived.Truncate(window)}]+others+1) > max(1, weight)
}
