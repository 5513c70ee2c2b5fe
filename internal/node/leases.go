package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/watch"
)

// The row of a lease changes with each write of its holder. An entry follows these rows only while
// it holds or claims a lease, or has reason to believe that one is free. Any other follows who the
// holders are, which seldom changes, and now and then checks one lease, chosen at random: all entries
// together check each lease several times a second, however many they are, so that a holder which
// dies is noticed even if no other holder is left to notice it.

const (
	// leaseWatchDuration is how long an entry follows the leases after it had reason to: longer than
	// a dead holder's lease and the claims after it take.
	leaseWatchDuration = 5 * time.Second
	// leaseChecksPerSecond is how often all entries together check each lease.
	leaseChecksPerSecond = 4
	// minLeaseCheckInterval and maxLeaseCheckInterval bound the mean time between two checks of one
	// entry. After most entries have died, the others still count them.
	minLeaseCheckInterval = 300 * time.Millisecond
	maxLeaseCheckInterval = 5 * time.Second
	// holderPollTimeout bounds how long a feed of the holders waits for a change, and thereby how
	// long a connection that no longer carries data goes unnoticed.
	holderPollTimeout = 4 * time.Second
	// holderPollDelay is the pause between two polls of the holders: leases that change hands
	// together are seen together.
	holderPollDelay = 100 * time.Millisecond
	// leaseReadTimeout bounds reading one lease when another entry asks whether this one can take
	// over a lease. A read takes 4 ms, and the other entry waits for 0.4 s.
	leaseReadTimeout = 200 * time.Millisecond
)

// followHolders follows who holds the leases until ctx ends.
func (n *Node) followHolders(ctx context.Context) {
	n.followTable(ctx, watch.Config{
		Name: gauge.TableHolders, Partition: gauge.PartitionHolders, FeedWait: holderPollTimeout, PollDelay: fixedDelay(holderPollDelay), OnRows: n.applyHolderRows,
	})
}

func (n *Node) applyHolderRows(u watch.Update) {
	now := n.conf.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range u.Rows {
		if r.Deleted {
			continue
		}
		row, err := gauge.DecodeHolderRow(r.Value)
		if err != nil {
			n.conf.Logs.Error(err, "holder row not read", "key", r.Key, "version", r.Version)
			continue
		}
		n.setLease(gauge.LeaseOfHolderKey(r.Key), row.LeaseRow(), r.Version, now)
		if row.Holder == "" {
			n.suspectFreeLease()
		}
	}
	if u.Whole {
		n.leaseView.MarkTableRead()
		n.leasesRead.Store(true)
	}
}

// setLease records a lease row, and connects to its holder so that the end of its process shows.
// n.mu is held.
func (n *Node) setLease(pool string, row gauge.LeaseRow, version int64, now time.Duration) {
	if old, ok := n.leaseView.Lease(pool); row.Holder != "" && (!ok || old.Addr != row.Addr) && row.Addr != n.conf.Addr && version > n.leaseView.LeaseVersion(pool) {
		n.group.Go(func() { n.keepConnected(row.Addr) })
	}
	n.leaseView.SetLease(pool, row, version, now, n.tableClockIfKnown())
}

// followLeases follows the leases while that is necessary, until ctx ends.
func (n *Node) followLeases(ctx context.Context) {
	for n.leaseGate.WaitOpen(ctx) {
		listCtx, cancel := context.WithCancel(ctx)
		var group conc.WaitGroup
		group.Go(func() {
			n.followTable(listCtx, watch.Config{Name: gauge.TableLeases, Partitioned: true, MaxFeedLag: maxFeedLag, PollDelay: n.leasePause, OnTablePosition: n.recordLeaseRead, OnRows: n.applyLeaseUpdate})
		})
		n.leaseGate.WaitClosed(ctx, 0)
		cancel()
		group.Wait()
		n.mu.Lock()
		n.leasesReadAt = 0
		n.mu.Unlock()
	}
}

// followsLeases reports whether this entry follows the leases, and so finds out several times a
// second whether it reaches the table.
func (n *Node) followsLeases() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leasesReadAt > 0
}

// leasePause returns the pause between two polls of the leases.
func (n *Node) leasePause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.leasesInUse) == 0 && n.leaseView.IsSmallHost() {
		return smallHostLeasePollDelay
	}
	return leasePollDelay
}

// watchLeases has this entry follow the leases for leaseWatchDuration. n.mu is held.
func (n *Node) watchLeases() {
	n.watchLeasesUntil = max(n.watchLeasesUntil, n.conf.Now()+leaseWatchDuration)
	n.leaseGate.Set(true)
}

// suspectFreeLease has this entry follow the leases if its host is among the larger ones, since a
// lease may be free. Hundreds of small hosts follow them only if the lease stays free, see
// checkLeases. n.mu is held.
func (n *Node) suspectFreeLease() {
	if !n.leaseView.IsSmallHost() {
		n.watchLeases()
	}
}

// updateLeaseGate ends following the leases when it isn't necessary any more.
func (n *Node) updateLeaseGate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaseGate.Set(len(n.leasesInUse) > 0 || n.conf.Now() < n.watchLeasesUntil)
}

// recordLeaseRead records that the leases were read, whether or not they have changed. After an
// outage the holders need some time to renew their leases.
func (n *Node) recordLeaseRead(position gauge.TablePosition, sent time.Duration) {
	n.recordTableClock(position, sent)
	now := n.conf.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.leasesReadAt > 0 && now-n.leasesReadAt > tableOutageAfter:
		n.leaseView.StartGracePeriod(now)
		n.tableBackAt = now
	case n.leasesReadAt == 0 && n.wasTableAway(now):
		// Which holders have answered meanwhile isn't known here.
		n.tableBackAt = now
		n.claimPauseUntil = max(n.claimPauseUntil, now+renewalGrace)
	}
	n.leasesReadAt = sent
	n.leasesRead.Store(true)
}

// wasTableAway reports whether the table has been out of reach until just now, by the feed of the
// operator's table. n.mu is held.
func (n *Node) wasTableAway(now time.Duration) bool {
	age, known := n.configurationAge()
	return known && age > n.configPollTimeout()+tableOutageAfter || n.tableBackAt > 0 && now-n.tableBackAt < renewalGrace
}

// recordOperatorRead records an answer to the feed of the operator's table. An entry that doesn't
// follow the leases learns by it of an outage.
func (n *Node) recordOperatorRead(position gauge.TablePosition, sent time.Duration) {
	age, known := n.configurationAge()
	n.recordTableClock(position, sent)
	if known && age > n.configPollTimeout()+tableOutageAfter {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.tableBackAt = n.conf.Now()
	}
}

func (n *Node) applyLeaseUpdate(u watch.Update) {
	n.applyLeaseRows(u.Rows)
	if u.Whole {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.leaseView.MarkTableRead()
	}
}

func (n *Node) applyLeaseRows(rows []gauge.PartitionRow) {
	now := n.conf.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range rows {
		if r.Deleted || r.Key != gauge.KeyOwner {
			continue
		}
		lease, err := gauge.DecodeLeaseRow(r.Value)
		if err != nil {
			n.conf.Logs.Error(err, "lease row not read", "pool", r.Partition, "version", r.Version)
			continue
		}
		n.setLease(r.Partition, *lease, r.Version, now)
	}
}

// checkLeases checks one lease at a time, at random moments, until ctx ends.
func (n *Node) checkLeases(ctx context.Context) {
	for {
		interval := n.leaseCheckInterval()
		sleep(ctx, interval/2+rand.N(interval))
		if ctx.Err() != nil {
			return
		}
		if pool, ok := n.leaseToCheck(); ok {
			n.checkLease(ctx, pool)
		}
	}
}

// leaseCheckInterval returns the mean time between two checks of this entry.
func (n *Node) leaseCheckInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	leases := max(1, len(n.leaseView.Pools()))
	interval := time.Duration(n.leaseView.EntryCount()) * time.Second / time.Duration(leases*leaseChecksPerSecond)
	return min(max(interval, minLeaseCheckInterval), maxLeaseCheckInterval)
}

// leaseToCheck returns a random lease; false if there is none, or if this entry follows them all.
func (n *Node) leaseToCheck() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pools := n.leaseView.Pools()
	if len(pools) == 0 || n.leasesReadAt > 0 {
		return "", false
	}
	return pools[rand.N(len(pools))], true
}

// checkLease checks one lease. It follows the leases from then on if that one is free or hasn't
// been renewed in time.
func (n *Node) checkLease(ctx context.Context, pool string) {
	if !n.readLease(ctx, pool) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaseView.MayBeFree(pool, n.conf.Now()) {
		n.conf.Logs.Info("lease may be free", "pool", pool, "version", n.leaseView.LeaseVersion(pool))
		n.watchLeases()
	}
}

// readLease reads one lease row and reports whether the table answered.
func (n *Node) readLease(ctx context.Context, pool string) bool {
	sent := n.conf.Now()
	key := leaseKey(pool)
	rows, position, err := n.conf.Store.Range(ctx, key.Table, key.Partition, key.Key, key.Key+"\x00")
	if err != nil {
		return false
	}
	n.recordTableClock(position, sent)
	n.applyLeaseRows(rows)
	return true
}
