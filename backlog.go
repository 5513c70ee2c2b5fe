package sapphiregauge

import "time"

// Backlog is what waits at a pool's owner. Ages are counted from when something was
// first seen to wait, so that they are a little less than the truth.
type Backlog struct {
	Changes   int           // jobs with changes that the table doesn't have
	ChangeAge time.Duration // of the oldest of these
	Ends      int           // taken in from workers, and not yet to be acknowledged
	EndAge    time.Duration
	Starts    int // ordered, without an answer
	StartAge  time.Duration
	Queued    int // orders that wait for their turn at a worker
	Workers   int // on the platform's list
	Silent    int // of these, workers whose holds get no answer
	Calls     int // orders that ended within the last second
	Slow      int // of these, the slow ones
	Targets   int // workers to which slow ones went
}

// Oldest is the age of whatever has waited longest.
func (b *Backlog) Oldest() time.Duration { return max(b.ChangeAge, b.EndAge, b.StartAge) }

// SlowShare is the share of slow calls, 0 to 1.
func (b *Backlog) SlowShare() float64 { return float64(b.Slow) / float64(max(1, b.Calls)) }
