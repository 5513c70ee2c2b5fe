package sapphiregauge

import "time"

// Backlog is the work that waits at a pool's owner. Ages are counted from when the owner first saw
// something wait, so they are slightly too low.
type Backlog struct {
	Changes   int           // jobs with changes that aren't written to the table yet
	ChangeAge time.Duration // age of the oldest of these changes
	Ends      int           // ended runs that workers reported and that aren't acknowledged yet
	EndAge    time.Duration
	Starts    int // start orders without an answer
	StartAge  time.Duration
	Queued    int // orders queued for their worker
	Workers   int // workers on the platform's list
	Silent    int // workers of these whose heartbeat calls get no answer
	Calls     int // orders that ended within the last second
	Slow      int // slow orders among these
	Targets   int // workers that slow orders went to
}

// Oldest returns the age of whatever has waited longest.
func (b *Backlog) Oldest() time.Duration { return max(b.ChangeAge, b.EndAge, b.StartAge) }

// SlowShare returns the share of slow orders among those that ended lately, from 0 to 1.
func (b *Backlog) SlowShare() float64 { return float64(b.Slow) / float64(max(1, b.Calls)) }
