package node

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
	"sapphiregauge/internal/terms"
)

// manage claims pools that have no owner, until ctx ends.
func (n *Node) manage(ctx context.Context) {
	tick := time.NewTicker(manageInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.noteStandstill()
		n.updateLeaseGate()
		n.checkHolders()
		n.probeSuspects()
		for _, c := range n.dueClaims() {
			n.group.Go(func() { n.claim(ctx, c, "") })
		}
	}
}

// standstillThreshold is the time between two runs of manage after which this process counts as
// having stood still. There are twenty runs a second.
const standstillThreshold = 500 * time.Millisecond

// noteStandstill records that this process has stood still since manage last ran.
func (n *Node) noteStandstill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if n.managedAt > 0 && now-n.managedAt > standstillThreshold {
		n.resumedAt = now
	}
	n.managedAt = now
}

// stoodStillSince reports whether this process has stood still since a time. n.mu is held.
func (n *Node) stoodStillSince(at, now time.Duration) bool {
	return n.resumedAt > at || now-n.managedAt > standstillThreshold
}

// dueClaims returns the claims to make now, and marks their pools as being claimed.
func (n *Node) dueClaims() []terms.Claim {
	site := n.Site()
	if site == nil || !n.running.Load() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conf.Now() < n.claimPauseUntil {
		return nil
	}
	if n.conf.Now()-n.leasesReadAt > maxClaimViewAge && len(n.leaseView.Pools()) > 0 {
		return nil // it can't be seen which leases are renewed, so claims would fail
	}
	pools := n.leaseView.Pools()
	if n.conf.Machines != nil {
		pools = append(pools, fleetPool)
	}
	for _, q := range site.Queues {
		pools = append(pools, q.Pool)
	}
	slices.Sort(pools)
	pools = slices.Compact(pools)
	pools = slices.DeleteFunc(pools, func(p string) bool { return n.leasesInUse[p] })
	claims := n.leaseView.DueClaims(pools, len(n.leasesInUse), n.conf.Now())
	for _, c := range claims {
		n.markClaiming(c.Pool)
	}
	return claims
}

// markClaiming records that a lease is being claimed or held here. n.mu is held.
func (n *Node) markClaiming(pool string) {
	n.leasesInUse[pool] = true
	n.claiming[pool] = make(chan struct{})
	n.watchLeases()
}

// markClaimEnded records that a claim has ended, whether or not the pool has an owner here now.
// n.mu is held.
func (n *Node) markClaimEnded(pool string) {
	if ended, ok := n.claiming[pool]; ok {
		close(ended)
		delete(n.claiming, pool)
	}
}

// markReleased records that a lease is neither claimed nor held here any more.
func (n *Node) markReleased(pool string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.leasesInUse, pool)
	n.markClaimEnded(pool)
}

func leaseKey(pool string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableLeases, Partition: pool, Key: gauge.KeyOwner}
}

// readHandover adds the handover row of the previous holders to a claim of a lease that nobody
// offers. It reports whether the read succeeded.
func (n *Node) readHandover(ctx context.Context, c *terms.Claim) bool {
	if c.Version == 0 {
		return true // there was no previous holder
	}
	err := tenure.ReadHandoverRow(ctx, n.conf.Store, leaseKey(c.Pool), &c.Row)
	if err != nil {
		n.conf.Logs.Info("lease not claimed", "pool", c.Pool, "version", c.Version, "error", err.Error())
	}
	return err == nil
}

// claim tries to take a lease and, if it does, runs the pool or the fleet until the lease ends.
// From is the holder that offers the lease, empty if there is none.
func (n *Node) claim(ctx context.Context, c terms.Claim, from string) {
	defer n.markReleased(c.Pool)
	if from == "" && !n.readHandover(ctx, &c) {
		return
	}
	var l *takenLease
	for range offerClaimAttempts {
		var retry bool
		if l, retry = n.takeLease(ctx, &c, from); !retry {
			break
		}
	}
	switch {
	case l == nil:
	case c.Pool == fleetPool:
		n.runFleet(ctx, l)
	default:
		n.runPool(ctx, c.Pool, l)
	}
}

// takenLease is a lease that this entry has just taken.
type takenLease struct {
	lease       *tenure.Tenure
	token       gauge.FencingToken
	term        int // number of previous holders
	previousRow gauge.LeaseRow
	// previousLeaseLeft is how much of the previous holder's lease may be left; it is above 0 only
	// if that holder may be alive.
	previousLeaseLeft time.Duration
}

// fleetPool is the key of the fleet lease, whose holder moves machines and starts their
// maintenance. No pool has this name.
const fleetPool = ""

// takeLease writes the lease row on condition that it is unchanged since it was read. The version
// of that transaction is the fencing token: versions only grow, and no two transactions share one.
// Retry reports that the offering holder has renewed the lease meanwhile; c then holds the version
// of the renewed row.
func (n *Node) takeLease(ctx context.Context, c *terms.Claim, from string) (l *takenLease, retry bool) {
	term := c.Row.Term
	if c.Version > 0 {
		term++
	}
	row := gauge.LeaseRow{Holder: n.holder, Addr: n.conf.Addr, Term: term, Workers: c.Row.Workers, UnrecordedOwners: c.Row.UnrecordedOwners, RenewedAt: n.tableClock()}
	row.EarlierLeaseUntil = c.Row.EarlierLeaseUntil
	if c.PreviousLeaseLeft > 0 {
		row.EarlierLeaseUntil = max(row.EarlierLeaseUntil, row.RenewedAt+c.PreviousLeaseLeft.Milliseconds()+1)
	}
	row.InheritDepths(&c.Row) // nothing was counted since the previous row was written
	if c.Pool == fleetPool {
		n.carryOverOrders(&row, &c.Row)
	}
	key := leaseKey(c.Pool)
	writes, err := tenure.RowWrites(key, &row)
	if err != nil {
		n.conf.Logs.Error(err, "lease not claimed", "pool", c.Pool)
		return nil, false
	}
	sent := n.conf.Now()
	position, rows, err := n.conf.Store.Commit(ctx, gauge.PartitionTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: c.Version}},
		Writes: writes,
	})
	if err != nil {
		n.conf.Logs.Info("lease not taken", "pool", c.Pool, "version", c.Version, "kind", gauge.KindOf(err), "from", from)
		return nil, n.handleClaimFailure(c, from, rows, err)
	}
	n.recordTableClock(position, sent)
	n.mu.Lock()
	n.leaseView.SetLease(c.Pool, row, position.Version, n.conf.Now(), 0)
	n.mu.Unlock()
	n.conf.CountEvent("lease taken")
	n.conf.Logs.Info("lease taken", "pool", c.Pool, "fence", position.Version, "term", term, "before", c.Row.Holder, "from", from,
		"workers", len(c.Row.Workers), "seen", c.Version)
	lease := tenure.New(tenure.Config{
		Key: key, Holder: n.holder, Addr: n.conf.Addr, Term: term, Version: position.Version, ClaimedAt: sent, LeaseDuration: leaseDuration,
		Store: n.conf.Store, Now: n.conf.Now, TableClock: n.tableClock,
	})
	return &takenLease{lease: lease, token: gauge.FencingToken(position.Version), term: term, previousRow: c.Row, previousLeaseLeft: c.PreviousLeaseLeft}, false
}

// handleClaimFailure applies what a failed claim shows. It reports whether to try again at once.
func (n *Node) handleClaimFailure(c *terms.Claim, from string, rows []gauge.PartitionRow, err error) bool {
	if gauge.IsKind(err, gauge.KindUnknown) {
		n.mu.Lock()
		n.leaseView.MarkClaimUnanswered(c.Pool)
		n.mu.Unlock()
	}
	n.applyLeaseRows(rows)
	if from == "" || !gauge.IsKind(err, gauge.KindConflict) {
		return false
	}
	for _, r := range rows {
		row, err := gauge.DecodeLeaseRow(r.Value)
		if err != nil || row.Holder != from || row.Term != c.Row.Term {
			continue
		}
		c.Version = r.Version
		return true
	}
	return false
}

// runPool runs a pool until its lease is lost or given up.
func (n *Node) runPool(ctx context.Context, pool string, l *takenLease) {
	o := owner.New(ctx, owner.Config{
		Pool: pool, Lease: l.lease, Term: l.term, Fence: l.token, PreviousWorkers: l.previousRow.Workers, PreviousRow: l.previousRow, PreviousLeaseLeft: l.previousLeaseLeft,
		OrderGrace: workerLeaseGrace, JobRetention: retentionFactor * n.conf.JobRetention, LeaseExtension: min(workerLeaseDuration, n.conf.MaxWorkerLease), MaxWorkerLease: n.conf.MaxWorkerLease, MaxRowBytes: n.conf.MaxRowBytes,
		Store: n.conf.Store, Workers: n.conf.Workers, Adviser: n.conf.Adviser, Logs: n.conf.Logs, Now: n.conf.Now, WallClock: n.conf.WallClock,
		ObserveTableClock: n.recordTableClock, TableClock: n.tableClock, ObserveCall: n.conf.ObserveCall, CountEvent: n.conf.CountEvent, ObserveBacklog: n.conf.ObserveBacklog,
		Disabled: n.conf.Disabled,
	})
	o.OnHandoverNeeded(stuckAfter, func(failing time.Duration) { n.handOverStuckPool(ctx, o, failing) })
	n.mu.Lock()
	if !n.running.Load() {
		n.mu.Unlock()
		n.handOver(ctx, o, "the entry stops")
		return
	}
	n.owners[pool], n.ownedSince[pool] = o, n.conf.Now()
	n.markClaimEnded(pool)
	workers := n.workersLocked()
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.owners, pool)
		delete(n.ownedSince, pool)
	}()
	listCtx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { n.followPoolWorkers(listCtx, o, l.previousRow.Workers) })
	o.Run(n.Site(), workers)
	cancel()
	group.Wait()
}

// claimPauseAfterHandover is how long an entry claims nothing after it handed over a stuck pool.
const claimPauseAfterHandover = 3 * time.Second

// handOverStuckPool has another entry take over a pool whose owner here can't write to the table or
// is short of processor time. If no entry can, the owner here continues.
func (n *Node) handOverStuckPool(ctx context.Context, o *owner.Owner, failing time.Duration) {
	if !n.allowOffer(o.Pool()) {
		return
	}
	n.offerMu.Lock()
	defer n.offerMu.Unlock()
	to := n.findSuccessor(ctx, o.Pool(), failing)
	if to == "" {
		return
	}
	n.mu.Lock()
	n.claimPauseUntil = n.conf.Now() + claimPauseAfterHandover
	n.mu.Unlock()
	if o.Stop("writes fail here, or the owner lags") {
		n.offerLease(ctx, to, offerOf(o))
	}
}

// allowOffer reports whether a successor for a pool may be searched for now, at most once in
// offerRetryDelay, and if so records the search.
func (n *Node) allowOffer(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if last, ok := n.lastOffers[pool]; ok && now-last < offerRetryDelay {
		return false
	}
	n.lastOffers[pool] = now
	return true
}

func offerOf(o *owner.Owner) offerCall {
	row, version := o.LeaseOffer()
	return offerCall{Pool: o.Pool(), Row: row, Version: version}
}

// handOver stops a pool's owner here and has another entry take the pool over at once; if there is
// none, the lease is given up and any entry may claim it. Stopping writes the pending changes and
// runs in parallel with the offers of other pools: a stopping entry has 1 s for all of them.
func (n *Node) handOver(ctx context.Context, o *owner.Owner, why string) {
	var group conc.WaitGroup
	stopped := false
	group.Go(func() { stopped = o.Stop(why) })
	n.offerMu.Lock()
	defer n.offerMu.Unlock()
	to := n.findSuccessor(ctx, o.Pool(), 0)
	group.Wait()
	if stopped {
		n.offerOrGiveUp(ctx, o, to)
	}
}

// offerOrGiveUp offers a stopped pool to an entry, or gives its lease up if the address is empty or
// the offer fails.
func (n *Node) offerOrGiveUp(ctx context.Context, o *owner.Owner, to string) {
	if to == "" || !n.offerLease(ctx, to, offerOf(o)) {
		o.GiveUp(ctx)
	}
}
