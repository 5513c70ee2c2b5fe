package sizing

import (
	"math"
	"time"
)

const (
	// shortestWindow is the least time over which arrivals are counted: each tenth
	// of a second that more machines come sooner is one in which jobs of a busy
	// queue meet their objective.
	shortestWindow = 500 * time.Millisecond
	// longestWindow is the time over which they are counted if they are few.
	longestWindow = 3 * time.Second
	// enough arrivals make a rate. With fewer, large jobs that come now and then
	// would have the wanted machines swing between none and all.
	enough = 5
	// riseWindow and riseJobs are the time and the jobs from which a rise is told. A
	// large pool's turn brings some ten jobs in a quarter of a second: waited for until
	// there were arrivals at five looks, its machines came most of a second later, which
	// is the slack of its shortest jobs.
	riseWindow = 250 * time.Millisecond
	riseJobs   = 8
	// riseFactor over the rate of longestWindow is a rise: less is within what eight jobs
	// of different sizes vary by.
	riseFactor = 2
)

// arrival is work that came between two looks at a pool.
type arrival struct {
	since time.Duration // the look before
	at    time.Duration
	work  float64 // core-seconds
	jobs  int
}

// arrivals are the last ones of one pool, the oldest first.
type arrivals []arrival

// add notes work, and forgets what is too old.
func (a arrivals) add(n arrival) arrivals {
	for len(a) > 0 && n.at-a[0].at > longestWindow {
		a = a[1:]
	}
	if n.work == 0 {
		return a
	}
	return append(a, n)
}

// rise is the cores that the arrivals of the last moment ask for, if they are many and
// far more than came before; else 0. The moment is made of whole looks.
func (a arrivals) rise(now time.Duration) float64 {
	lately, jobs, from := 0.0, 0, now
	i := len(a) - 1
	for ; i >= 0 && (jobs < riseJobs || now-a[i].at < riseWindow); i-- {
		lately += a[i].work
		jobs += a[i].jobs
		from = a[i].since
	}
	span := max(riseWindow, now-from)
	if jobs < riseJobs || span > shortestWindow {
		return 0
	}
	before := 0.0
	for _, n := range a[:i+1] {
		if now-n.at <= longestWindow {
			before += n.work
		}
	}
	rate := lately / span.Seconds()
	if rate < riseFactor*(before+lately)/longestWindow.Seconds() {
		return 0
	}
	return rate
}

const (
	// trendWindow is the time over which jobs are counted to tell how their rate changes:
	// this one against the one before.
	trendWindow = time.Second
	// trendLead is how far the rate is looked ahead, from the middle of the window: a
	// machine that is asked for now works in 1.7 s.
	trendLead = 2 * time.Second
	// trendMost bounds what is looked ahead, as a part of the rate.
	trendMost = 1.0
	// trendDoubt deviations of the counts are left out of a trend. Of a few jobs nothing
	// is left: on sites with ten jobs a second a look ahead followed noise, and gained
	// nothing for the machines it took.
	trendDoubt = 2.5
)

// ahead is how many cores more the arrivals will ask for when a machine that is asked for
// now has come, as far as the rise of their number surely tells. A queue's demand rises
// over some seconds: sized by what came so far, its pool is always a move's time behind.
func (a arrivals) ahead(now time.Duration) float64 {
	jobs, before, work := 0.0, 0.0, 0.0
	for _, n := range a {
		switch age := now - n.at; {
		case age < trendWindow:
			jobs += float64(n.jobs)
			work += n.work
		case age < 2*trendWindow:
			before += float64(n.jobs)
		}
	}
	more := jobs - before - trendDoubt*math.Sqrt(jobs+before)
	if jobs < riseJobs || more <= 0 {
		return 0
	}
	rate := work / trendWindow.Seconds()
	return min(rate*more/jobs*trendLead.Seconds()/trendWindow.Seconds(), rate*trendMost)
}

// rate is the cores that the arrivals ask for, over the shortest time with enough
// of them.
func (a arrivals) rate(now time.Duration) float64 {
	sum, n := 0.0, 0
	for i := len(a) - 1; i >= 0; i-- {
		age := now - a[i].at
		if age > longestWindow {
			break
		}
		if n >= enough && age > shortestWindow {
			return sum / max(age, shortestWindow).Seconds()
		}
		sum += a[i].work
		n++
	}
	if n >= enough {
		return sum / max(now-a[len(a)-n].at, shortestWindow).Seconds()
	}
	return sum / longestWindow.Seconds()
}
