package owner

import (
	"maps"
	"slices"
	"time"
)

// An owner learns of jobs by its own transactions, by notifications from other entries and, where a
// notification was lost, by scanning the table. While the table refuses such scans, jobs may wait
// that this owner doesn't know. So its count of a queue is only as recent as the last successful
// scan.

// countTTL is how long after a scan a queue's count is reported. As agreed with the users, a count
// includes the jobs accepted five seconds before, and may itself be two seconds old.
const countTTL = 3 * time.Second

// readTimes holds the times at which the queues' open jobs were last read.
type readTimes struct {
	all    time.Duration            // of all queues ...
	failed map[string]time.Duration // ... except those whose last read failed
}

// readAt returns when a queue was last read.
func (s *readTimes) readAt(queue string) time.Duration {
	if at, failed := s.failed[queue]; failed {
		return at
	}
	return s.all
}

// isOld reports whether a queue was read too long ago to report its count.
func (s *readTimes) isOld(name string, now time.Duration) bool { return now-s.readAt(name) > countTTL }

// recordScan records a scan that began at the given time, and the queues for which it failed.
func (s *readTimes) recordScan(began time.Duration, failed []string) {
	lastReads := make(map[string]time.Duration, len(failed))
	for _, queue := range failed {
		lastReads[queue] = s.readAt(queue)
	}
	s.all, s.failed = began, lastReads
}

// queuesWithoutCount returns the names of the pool's queues whose count isn't known, in order. The
// lock is held.
func (o *Owner) queuesWithoutCount() []string {
	now := o.conf.Now()
	unknown := slices.Collect(maps.Keys(o.unread))
	for i := range o.site.Queues {
		q := &o.site.Queues[i]
		if q.Pool == o.conf.Pool && !o.unread[q.Name] && o.readTimes.isOld(q.Name, now) {
			unknown = append(unknown, q.Name)
		}
	}
	slices.Sort(unknown)
	return unknown
}
