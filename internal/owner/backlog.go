package owner

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/lag"
)

const (
	// sightEvery is how often what waits here is looked at. A look walks the pool's
	// jobs and runs: some 0.05 ms at 140 workers and 1,300 waiting jobs.
	sightEvery = 250 * time.Millisecond
	// behindAfter: an owner whose oldest change, end or start has waited so long is
	// behind. A write comes every 30 ms and takes 0.9 s where the table is slowest, a
	// start is settled within 0.3 s once it is sent, and void after one.
	behindAfter = time.Second
	// behindAgain bounds the lines of an owner that stays behind.
	behindAgain = time.Second
)

// lookAtBacklog tells of what waits here: the metrics each time, the log when the owner gets
// behind, while it is, and when it has caught up. It is of tickLoop alone.
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

// blind tells that nothing is known of the pool here any more.
func (o *Owner) blind() {
	if o.conf.Backlog != nil {
		o.conf.Backlog(o.conf.Pool, nil)
	}
}
