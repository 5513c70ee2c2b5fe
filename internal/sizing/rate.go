package sizing

import "time"

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
)

// arrival is work that came between two looks at a pool.
type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

// arrivals are the last ones of one pool, the oldest first.
type arrivals []arrival

// add notes work, and forgets what is too old.
func (a arrivals) add(work float64, now time.Duration) arrivals {
	for len(a) > 0 && now-a[0].at > longestWindow {
		a = a[1:]
	}
	if work == 0 {
		return a
	}
	return append(a, arrival{at: now, work: work})
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
