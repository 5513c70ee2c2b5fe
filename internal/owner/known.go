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

// knownFor is how long after a scan a queue's count is reported. As agreed with the users, a count
// includes the jobs accepted five seconds before, and may itself be two seconds old.
const knownFor = 3 * time.Second

// sights holds the times at which the queues' open jobs were last read.
type sights struct {
	all    time.Duration            // of all queues ...
	behind map[string]time.Duration // ... except those whose last read failed
}

func (s *sights) of(queue string) time.Duration {
	if at, failed := s.behind[queue]; failed {
		return at
	}
	return s.all
}

// old reports whether a queue was read too long ago to report its count.
func (s *sights) old(queue string, now time.Duration) bool { return now-s.of(queue) > knownFor }

// looked records a scan that began at the given time, and the queues for which it failed.
func (s *sights) looked(began time.Duration, failed []string) {
	behind := make(map[string]time.Duration, len(failed))
	for _, queue := range failed {
		behind[queue] = s.of(queue)
	}
	s.all, s.behind = began, behind
}

// unsighted returns the names of the pool's queues whose count isn't known, in order. The lock is
// held.
func (o *Owner) unsighted() []string {
	now := o.conf.Now()
	unknown := slices.Collect(maps.Keys(o.missing))
	for i := range o.site.Queues {
		q := &o.site.Queues[i]
		if q.Pool == o.conf.Pool && !o.missing[q.Name] && o.sights.old(q.Name, now) {
			unknown = append(unknown, q.Name)
		}
	}
	slices.Sort(unknown)
	return unknown
}
