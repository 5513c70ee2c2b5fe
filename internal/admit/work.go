package admit

import (
	"math"
	"time"
)

// Group is the part of the accepted work that starts before or after other work.
type Group struct {
	Priority int  // 0 is the highest
	Beyond   bool // submitted by accounts that request more than their share
	Late     bool // its objective can't be met any more
}

// isBefore reports whether work of the group starts before a job, or counts as such. To a job
// beyond its account's share everything accepted does. To a job within it nothing beyond does, at
// whatever priority: what others submit beyond their share is never held against it.
func (g Group) isBefore(j *Job, late bool) bool {
	switch {
	case j.Beyond:
		return true
	case g.Beyond:
		return false
	case g.Priority != j.Priority:
		return g.Priority < j.Priority
	default:
		return late || !g.Late
	}
}

// Work is a summary of accepted work. The zero value has none.
type Work struct {
	// LongRunningCores are the cores that long-running tasks reserve.
	LongRunningCores float64

	groups map[Group]*histogram
}

// histogram is the work of one group by the least time that a job takes: its core-seconds divided by
// the cores that it can use at a time. Of a job that takes long only a part can be done before another
// job starts, and it leaves cores free meanwhile.
type histogram [bucketCount]amount

// amount is the work of the jobs of one bucket.
type amount struct {
	coreSeconds float64
	cores       float64
}

const (
	// firstBound is the upper bound of the first bucket, in seconds. The next bounds grow by the square
	// root of 2; the last bucket has none.
	firstBound  = 0.05
	bucketCount = 26
	// bucketsPerDoubling is the number of buckets after which the bound has doubled.
	bucketsPerDoubling = 2
)

// Add adds the work of a job: its core-seconds, and the most cores that it can use at a time.
func (w *Work) Add(g Group, coreSeconds, cores float64) {
	if coreSeconds <= 0 || cores <= 0 {
		return
	}
	if w.groups == nil {
		w.groups = make(map[Group]*histogram)
	}
	s := w.groups[g]
	if s == nil {
		s = new(histogram)
		w.groups[g] = s
	}
	a := &s[bucketIndex(coreSeconds/cores)]
	a.coreSeconds += coreSeconds
	a.cores += cores
}

func bucketIndex(seconds float64) int {
	if seconds <= firstBound {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(bucketsPerDoubling*math.Log2(seconds/firstBound))))
}

// CoreSeconds returns the work of a group in core-seconds.
func (w *Work) CoreSeconds(g Group) float64 {
	sum := 0.0
	if s := w.groups[g]; s != nil {
		for _, a := range s {
			sum += a.coreSeconds
		}
	}
	return sum
}

// Groups returns the groups that have work, in no particular order.
func (w *Work) Groups() []Group {
	gs := make([]Group, 0, len(w.groups))
	for g := range w.groups {
		gs = append(gs, g)
	}
	return gs
}

// ahead is the work before a job, as seen over the time that the job may wait.
type ahead struct {
	wait  float64 // seconds that the job may wait
	total float64 // core-seconds
	short float64 // of these, what can be done within wait
	long  float64 // cores that the rest occupies all the time
}

// ahead sums up the work before a job.
func (w *Work) ahead(j *Job, o option) ahead {
	sum := ahead{wait: o.wait.Seconds()}
	for g, s := range w.groups {
		if g.isBefore(j, o.late) {
			sum.add(s)
		}
	}
	return sum
}

func (a *ahead) add(s *histogram) {
	for _, part := range s {
		a.total += part.coreSeconds
		if part.coreSeconds <= part.cores*a.wait {
			a.short += part.coreSeconds
		} else {
			a.long += part.cores
		}
	}
}

// with adds short work.
func (a ahead) with(coreSeconds float64) ahead {
	a.total += coreSeconds
	a.short += coreSeconds
	return a
}

// within reports whether the cores can do, in the time that the job may wait, all that could be done
// of the work before it in that time. While the work before it occupies fewer cores than there
// are, the job doesn't wait.
func (a ahead) within(cores float64) bool { return a.short+a.long*a.wait <= cores*a.wait }

// drain describes how the work before a refused job becomes less.
type drain struct {
	left  float64 // core-seconds to be done before the job would be accepted
	cores float64 // cores that do them
}

// drain returns how enough of the work before the job gets done the soonest: its short part, with
// the cores that the long part leaves free, or all of it.
func (a ahead) drain(cores float64) drain {
	all := drain{left: a.total - cores*a.wait, cores: cores}
	free := cores - a.long
	if free <= 0 {
		return all
	}
	short := drain{left: a.short - free*a.wait, cores: free}
	if short.seconds() < all.seconds() {
		return short
	}
	return all
}

func (d drain) seconds() float64 {
	if d.cores <= 0 {
		return math.Inf(1)
	}
	return d.left / d.cores
}

// after returns the time until the work is done and that of others before it.
func (d drain) after(others float64) time.Duration {
	seconds := drain{left: d.left + others, cores: d.cores}.seconds()
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter + 1
	}
	return time.Duration(seconds * float64(time.Second))
}
