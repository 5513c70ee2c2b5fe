package sapphiregauge

import "time"

// Backlog is the work that waits at a pool's owner. Ages are counted from when the owner first saw
// something wait, so they are slightly too low.
type Backlog struct {
	UnwrittenChanges   int           // jobs with changes that aren't written to the table yet
	ChangeAge          time.Duration // age of the oldest of these changes
	UnacknowledgedEnds int           // ended runs that workers reported and that aren't acknowledged yet
	EndAge             time.Duration
	UnansweredStarts   int // start orders without an answer
	StartAge           time.Duration
	QueuedOrders       int // orders queued for their worker
	Workers            int // workers on the platform's list
	SilentWorkers      int // workers of these whose heartbeat calls get no answer
	EndedOrders        int // orders that ended within the last second
	SlowOrders         int // slow orders among these
	SlowWorkers        int // workers that slow orders went to
}

// OldestAge returns the age of whatever has waited longest.
func (b *Backlog) OldestAge() time.Duration { return max(b.ChangeAge, b.EndAge, b.StartAge) }

// SlowShare returns the share of slow orders among those that ended lately, from 0 to 1.
func (b *Backlog) SlowShare() float64 { return float64(b.SlowOrders) / float64(max(1, b.EndedOrders)) }
