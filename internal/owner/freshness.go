package owner

import (
	"maps"
	"slices"
	"time"
)

// Jobs come to an owner by its own transactions, by notices of other entries, or, where a
// notice was lost, by its looks at the table. While the table turns such looks away, jobs
// may wait of which this owner knows nothing: its count of a queue is worth no more than
// the last look that was answered.

// knownFor is how long after a look a queue's count is told. By the users' contract a
// count has what was accepted five seconds before, and may itself be two seconds old.
const knownFor = 3 * time.Second

// sights are as of when the jobs of queues are known.
type sights struct {
	all    time.Duration            // of all queues ...
	behind map[string]time.Duration // ... but for those of which the last look failed
}

func (s *sights) of(queue string) time.Duration {
	if at, failed := s.behind[queue]; failed {
		return at
	}
	return s.all
}

// old tells whether too little is known of a queue to tell how many jobs wait there.
func (s *sights) old(queue string, now time.Duration) bool { return now-s.of(queue) > knownFor }

// looked takes in a look that was begun at a time, and at which queues it failed.
func (s *sights) looked(began time.Duration, failed []string) {
	behind := make(map[string]time.Duration, len(failed))
	for _, queue := range failed {
		behind[queue] = s.of(queue)
	}
	s.all, s.behind = began, behind
}

// unsighted lists the pool's queues of which the count isn't known. The lock is held.
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
