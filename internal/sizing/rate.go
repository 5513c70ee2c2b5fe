package sizing

import (
	"math"
	"time"
)

const (
	// minRateWindow is the shortest time over which arrivals are counted. With a longer one machines
	// would come later, and until they come jobs of a busy queue miss their objective: each tenth of
	// a second makes a difference.
	minRateWindow = 500 * time.Millisecond
	// maxRateWindow is the time over which arrivals are counted if they are few.
	maxRateWindow = 3 * time.Second
	// minSamples is how many samples with arrivals are needed to compute a rate. With fewer,
	// occasional large jobs would make the wanted number of machines swing between none and all.
	minSamples = 5
	// riseWindow and minRiseJobs are the time and the number of jobs that are enough to detect a
	// rise. The peak of a large pool brings some ten jobs in a quarter of a second; when arrivals
	// in five samples were required, its machines came most of a second later, and its shortest
	// jobs can be delayed by no more than that and still meet their objective.
	riseWindow  = 250 * time.Millisecond
	minRiseJobs = 8
	// riseFactor is how many times the rate over maxRateWindow counts as a rise: less is within the
	// variation of eight jobs of different sizes.
	riseFactor = 2
)

// arrival is the work that came between two samples of a pool's load.
type arrival struct {
	previous    time.Duration // time of the sample before
	at          time.Duration
	coreSeconds float64
	jobs        int
}

// arrivals are the recent arrivals of one pool, the oldest first.
type arrivals []arrival

// add appends an arrival and drops those older than maxRateWindow.
func (a arrivals) add(n arrival) arrivals {
	for len(a) > 0 && n.at-a[0].at > maxRateWindow {
		a = a[1:]
	}
	if n.coreSeconds == 0 {
		return a
	}
	return append(a, n)
}

// riseRate returns the cores that the most recent arrivals need, if they are many and far more than
// those before; else 0. It counts whole samples only.
func (a arrivals) riseRate(now time.Duration) float64 {
	recent, jobs, from := 0.0, 0, now
	i := len(a) - 1
	for ; i >= 0 && (jobs < minRiseJobs || now-a[i].at < riseWindow); i-- {
		recent += a[i].coreSeconds
		jobs += a[i].jobs
		from = a[i].previous
	}
	span := max(riseWindow, now-from)
	if jobs < minRiseJobs || span > minRateWindow {
		return 0
	}
	before := 0.0
	for _, n := range a[:i+1] {
		if now-n.at <= maxRateWindow {
			before += n.coreSeconds
		}
	}
	rate := recent / span.Seconds()
	if rate < riseFactor*(before+recent)/maxRateWindow.Seconds() {
		return 0
	}
	return rate
}

const (
	// trendWindow is the length of the two consecutive windows whose job counts are compared to
	// find the trend of the rate.
	trendWindow = time.Second
	// trendLead is how far ahead the rate is forecast, from the middle of the window: a machine
	// that is requested now runs tasks 1.7 s later.
	trendLead = 2 * time.Second
	// maxTrend bounds the forecast increase, as a multiple of the rate.
	maxTrend = 1.0
	// trendDeviations is how many standard deviations of the counts are subtracted from a trend, so
	// that a few jobs show none: on sites with ten jobs a second the forecast followed noise, and
	// the machines it took gained nothing.
	trendDeviations = 2.5
)

// forecast returns how many more cores the arrivals will need when a machine that is requested now
// is ready; 0 unless the number of arrivals rises significantly. A queue's demand rises over some
// seconds, so a pool sized by past arrivals would always be behind by the duration of a move.
func (a arrivals) forecast(now time.Duration) float64 {
	jobs, before, work := 0.0, 0.0, 0.0
	for _, n := range a {
		switch age := now - n.at; {
		case age < trendWindow:
			jobs += float64(n.jobs)
			work += n.coreSeconds
		case age < 2*trendWindow:
			before += float64(n.jobs)
		}
	}
	more := jobs - before - trendDeviations*math.Sqrt(jobs+before)
	if jobs < minRiseJobs || more <= 0 {
		return 0
	}
	rate := work / trendWindow.Seconds()
	return min(rate*more/jobs*trendLead.Seconds()/trendWindow.Seconds(), rate*maxTrend)
}

// rate returns the cores that the arrivals need, over the shortest time with enough samples.
func (a arrivals) rate(now time.Duration) float64 {
	sum, n := 0.0, 0
	for i := len(a) - 1; i >= 0; i-- {
		age := now - a[i].at
		if age > maxRateWindow {
			break
		}
		if n >= minSamples && age > minRateWindow {
			return sum / max(age, minRateWindow).Seconds()
		}
		sum += a[i].coreSeconds
		n++
	}
	if n >= minSamples {
		return sum / max(now-a[len(a)-n].at, minRateWindow).Seconds()
	}
	return sum / maxRateWindow.Seconds()
}
