package sizing

import "time"

const (
	// rateWindow is the time over which arrivals are counted: short, since each
	// tenth of a second that more machines come sooner is one in which jobs meet
	// their objective; long enough for some ten jobs of a busy queue.
	rateWindow = 500 * time.Millisecond
)

// arrival is work that came at a time.
type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

// arrivals are the last ones of one pool.
type arrivals []arrival

// add notes work, and forgets what is older than the window.
func (a arrivals) add(work float64, now time.Duration) arrivals {
	for len(a) > 0 && now-a[0].at > rateWindow {
		a = a[1:]
	}
	return append(a, arrival{at: now, work: work})
}

// rate is the cores that the arrivals ask for.
func (a arrivals) rate(now time.Duration) float64 {
	sum := 0.0
	for _, one := range a {
		if now-one.at <= rateWindow {
			sum += one.work
		}
	}
	return sum / rateWindow.Seconds()
}
