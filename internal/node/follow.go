package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/watch"
)

// followTable follows a table until ctx ends. The caller sets the parts of the configuration that
// differ between tables.
func (n *Node) followTable(ctx context.Context, c watch.Config) {
	c.Store, c.Logs, c.Now, c.RetryDelay = n.conf.Store, n.conf.Logs, n.conf.Now, n.retryDelay
	if c.OnTablePosition == nil {
		c.OnTablePosition = n.recordTableClock
	}
	c.OnKnownAsOf = func(asOf time.Duration) { n.freshness.update(c.Name, asOf) }
	defer n.freshness.remove(c.Name)
	watch.New(c).Run(ctx)
}

const (
	// maxFeedLag is how far the feed of a table whose rows change all the time may be behind before
	// the whole table is read.
	maxFeedLag = 2 * time.Second
	// retriesPerSecond is how many calls for one table all entries together repeat in a second while
	// the table fails. The table counts what it refuses towards its rate.
	retriesPerSecond = 250
	// maxRetryDelay bounds the delay of one entry, which knows nothing new meanwhile.
	maxRetryDelay = 2 * time.Second
)

// retryDelay returns the mean delay before a failed call to the table is repeated.
func (n *Node) retryDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(time.Duration(n.leaseView.EntryCount())*time.Second/retriesPerSecond, maxRetryDelay)
}

func fixedDelay(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// recordTableClock records a reading of the table's clock from a call that was sent at the given
// time. A reading from a slow call is imprecise, by more than the clocks drift apart within a day.
func (n *Node) recordTableClock(position gauge.TablePosition, sent time.Duration) {
	now := n.conf.Now()
	n.recordTableAnswer(sent)
	if position.Now > 0 && (now-sent < maxClockReadingTime || n.clockOffset.Load() == 0) {
		n.clockOffset.Store(int64(position.Now - now))
	}
}

// recordTableAnswer records that the table has answered a call that was sent at a time. The answer
// to a feed comes up to its wait later, also from a table that takes no new calls meanwhile.
func (n *Node) recordTableAnswer(sent time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tableReachedAt = max(n.tableReachedAt, sent)
}

// maxClockReadingTime is the longest duration of a call whose reading of the table's clock is used.
const maxClockReadingTime = 100 * time.Millisecond

// tableClock returns the current time of the table's clock in milliseconds, late by the transit
// time of an answer.
func (n *Node) tableClock() int64 {
	return (n.conf.Now() + time.Duration(n.clockOffset.Load())).Milliseconds()
}

// configPollTimeout returns how long a feed of the configuration waits for a change.
func (n *Node) configPollTimeout() time.Duration {
	return min(maxConfigPollTimeout, n.conf.MaxApplyDelay/configPollsPerApply)
}

func (n *Node) applyOperatorRows(u watch.Update) {
	for _, r := range u.Rows {
		if r.Deleted {
			continue
		}
		site, wave, err := n.conf.Codec.DecodeOperatorRow(r)
		switch {
		case err != nil:
			n.conf.Logs.Error(err, "operator row not read", "key", r.Key, "version", r.Version)
			if n.conf.Codec.IsConfiguration(r) {
				n.configUnusable.Store(true)
			}
		case site != nil:
			n.configUnusable.Store(false)
			n.applyConfiguration(site)
		case wave != nil:
			n.mu.Lock()
			n.waves[wave.Wave] = *wave
			n.mu.Unlock()
			n.conf.Logs.Info("wave seen", "wave", wave.Wave, "machines", len(wave.Machines), "within", wave.Within, "atonce", wave.MaxConcurrent)
		}
	}
}

// applyConfiguration puts a configuration in force unless it is older than the current one.
func (n *Node) applyConfiguration(site *gauge.Site) {
	old := n.site.Load()
	if old != nil && old.Version >= site.Version {
		return
	}
	n.site.Store(site)
	n.conf.CountEvent("configuration in force")
	behind, _ := n.configurationAge()
	n.conf.Logs.Info("configuration in force", "version", site.Version, "queues", len(site.Queues), "pools", len(site.Pools), "behind", behind)
	n.mu.Lock()
	owners := n.ownersLocked()
	n.mu.Unlock()
	for _, o := range owners {
		o.Configure(site)
	}
}

func (n *Node) ownersLocked() []*owner.Owner {
	owners := make([]*owner.Owner, 0, len(n.owners))
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	return owners
}

// tableClockIfKnown returns the table's clock, or 0 before the first reading.
func (n *Node) tableClockIfKnown() int64 {
	if n.clockOffset.Load() == 0 {
		return 0
	}
	return n.tableClock()
}

// cachedDepth returns how many jobs of a queue have not begun, according to the last lease row of
// its pool that was read, and how old that count is by the table's clock. The count grows old while
// the feed brings no changes, while the owner can't write, and until a new owner has counted. It
// reports false if the owner hasn't read the queue. Lease rows still hold the count of a queue that
// was deleted, which this entry may not know of yet; so it also reports false unless this entry's
// configuration is current.
func (n *Node) cachedDepth(q *gauge.Queue) (int, time.Duration, bool) {
	clock := n.tableClockIfKnown()
	n.mu.Lock()
	defer n.mu.Unlock()
	row, ok := n.leaseView.Lease(q.Pool)
	if !ok || clock == 0 || !n.isQueueKnown(q.Name) {
		return 0, 0, false
	}
	depth, known := row.Depth(q.Name)
	return depth, time.Duration(clock-row.CountedAt()) * time.Millisecond, known
}
