package owner

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/lag"
)

const (
	// sightEvery is how often the backlog is reported. Computing it walks the pool's jobs and runs,
	// which takes about 0.05 ms with 140 workers and 1,300 waiting jobs.
	sightEvery = 250 * time.Millisecond
	// behindAfter is the age of the oldest change, ended run or start at which the owner counts as
	// behind. Writes are 30 ms apart and take 0.9 s when the table is at its slowest; a start is
	// settled within 0.3 s once it is sent, and expires after 1 s.
	behindAfter = time.Second
	// behindAgain is the minimum time between two log lines of an owner that stays behind.
	behindAgain = time.Second
)

// lookAtBacklog updates the backlog metrics, and logs when the owner falls behind, while it is
// behind, and when it has caught up. It is called by tickLoop only.
func (o *Owner) lookAtBacklog() {
	now := o.conf.Now()
	if now-o.sighted < sightEvery {
		return
	}
	o.sighted = now
	b := o.backlog(now)
	if o.conf.Backlog != nil {
		o.conf.Backlog(o.conf.Pool, &b)
	}
	said := o.belief.See(b.Oldest(), now)
	if said == lag.SaidNothing {
		return
	}
	o.conf.Logs.Info(string(said), "pool", o.conf.Pool, "changes", b.Changes, "changeAge", b.ChangeAge, "ends", b.Ends, "endAge", b.EndAge,
		"starts", b.Starts, "startAge", b.StartAge, "queued", b.Queued, "silent", b.Silent, "workers", b.Workers,
		"calls", b.Calls, "slow", b.Slow, "targets", b.Targets, "lasted", o.belief.Lasted(now))
}

func (o *Owner) backlog(now time.Duration) gauge.Backlog {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.core.Backlog(now)
	seen := o.lag.Seen(now)
	b.Calls, b.Slow, b.Targets = seen.Calls, seen.Slow, seen.Peers
	b.Queued = int(o.queued.Load())
	return b
}

// blind reports that this entry doesn't know the pool's backlog any more.
func (o *Owner) blind() {
	if o.conf.Backlog != nil {
		o.conf.Backlog(o.conf.Pool, nil)
	}
}
