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

// manage claims pools that are without an owner.
func (n *Node) manage(ctx context.Context) {
	tick := time.NewTicker(manageEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.checkHolders()
		n.askSuspects()
		for _, c := range n.due() {
			n.group.Go(func() { n.claim(ctx, c, "") })
		}
	}
}

// due lists the claims to make now.
func (n *Node) due() []terms.Claim {
	site := n.Site()
	if site == nil || !n.going.Load() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conf.Now() < n.restUntil {
		return nil
	}
	if n.conf.Now()-n.leases > leasesOld && len(n.board.Pools()) > 0 {
		return nil // this entry can't see who renews; it would claim in vain
	}
	pools := n.board.Pools()
	if n.conf.Machines != nil {
		pools = append(pools, fleetPool)
	}
	for _, q := range site.Queues {
		pools = append(pools, q.Pool)
	}
	slices.Sort(pools)
	pools = slices.Compact(pools)
	pools = slices.DeleteFunc(pools, func(p string) bool { return n.busy[p] })
	claims := n.board.Due(pools, len(n.busy), n.conf.Now())
	for _, c := range claims {
		n.begin(c.Pool)
	}
	return claims
}

// begin notes that a lease is claimed or held here. The lock is held.
func (n *Node) begin(pool string) {
	n.busy[pool] = true
	n.taking[pool] = make(chan struct{})
	n.ownsSome()
}

// taken notes that a claim has ended, with an owner here or without. The lock is held.
func (n *Node) taken(pool string) {
	if over, ok := n.taking[pool]; ok {
		close(over)
		delete(n.taking, pool)
	}
}

// ownsSome has the list of workers followed for as long as this entry has, or takes,
// the lease of a pool. The lock is held.
func (n *Node) ownsSome() {
	pools := len(n.busy)
	if n.busy[fleetPool] {
		pools--
	}
	n.listing.Set(pools > 0)
}

// done notes that a lease is not claimed or held here any more.
func (n *Node) done(pool string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.busy, pool)
	n.taken(pool)
	n.ownsSome()
}

func leaseKey(pool string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableLeases, Part: pool, Key: gauge.KeyOwner}
}

// readGrants reads what the holder before has ordered, of a lease that nobody offers;
// false: it can't be read.
func (n *Node) readGrants(ctx context.Context, c *terms.Claim) bool {
	if c.Version == 0 {
		return true // nobody has had it
	}
	err := tenure.Read(ctx, n.conf.Store, leaseKey(c.Pool), &c.Row)
	if err != nil {
		n.conf.Logs.Info("lease not claimed", "pool", c.Pool, "version", c.Version, "error", err.Error())
	}
	return err == nil
}

// claim tries to take a pool's lease and, with it, runs the pool. From is the
// holder that offers it, empty if nobody does.
func (n *Node) claim(ctx context.Context, c terms.Claim, from string) {
	defer n.done(c.Pool)
	if from == "" && !n.readGrants(ctx, &c) {
		return
	}
	var h *held
	for range offerTries {
		var again bool
		if h, again = n.take(ctx, &c, from); !again {
			break
		}
	}
	switch {
	case h == nil:
	case c.Pool == fleetPool:
		n.keep(ctx, h)
	default:
		n.own(ctx, c.Pool, h)
	}
}

// held is a lease that was just taken.
type held struct {
	lease  *tenure.Tenure
	fence  gauge.Fence
	term   int
	before gauge.LeaseRow
	early  time.Duration // how much of the term before may not be over
}

// fleetPool is the name under which the lease of the fleet is kept: its holder
// moves machines and begins their upkeep. No pool has this name.
const fleetPool = ""

// take writes the lease row on condition that it is as it was seen. The version
// of that transaction is the fencing token: versions only grow, and no two
// transactions share one. Again: the holder that offers the lease has renewed it
// meanwhile, and the claim is now of that row.
func (n *Node) take(ctx context.Context, c *terms.Claim, from string) (h *held, again bool) {
	term := c.Row.Term
	if c.Version > 0 {
		term++
	}
	row := gauge.LeaseRow{Holder: n.holder, Addr: n.conf.Addr, Term: term, Workers: c.Row.Workers, Unnoted: c.Row.Unnoted, Renewed: n.clock()}
	row.CountsOf(&c.Row) // none was made since
	if c.Pool == fleetPool {
		n.handOn(&row, &c.Row)
	}
	key := leaseKey(c.Pool)
	writes, err := tenure.Writes(key, &row)
	if err != nil {
		n.conf.Logs.Error(err, "lease not claimed", "pool", c.Pool)
		return nil, false
	}
	sent := n.conf.Now()
	stamp, rows, err := n.conf.Store.Commit(ctx, gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: c.Version}},
		Writes: writes,
	})
	if err != nil {
		n.conf.Logs.Info("lease not taken", "pool", c.Pool, "version", c.Version, "kind", gauge.KindOf(err), "from", from)
		return nil, n.notTaken(c, from, rows, err)
	}
	n.stamp(stamp, sent)
	n.mu.Lock()
	n.board.Tell(c.Pool, row, stamp.Version, n.conf.Now(), 0)
	n.mu.Unlock()
	n.conf.Event("lease taken")
	n.conf.Logs.Info("lease taken", "pool", c.Pool, "fence", stamp.Version, "term", term, "before", c.Row.Holder, "from", from,
		"workers", len(c.Row.Workers), "seen", c.Version)
	lease := tenure.New(tenure.Config{
		Key: key, Holder: n.holder, Addr: n.conf.Addr, Term: term, Version: stamp.Version, Taken: sent, Lasts: leaseTerm,
		Store: n.conf.Store, Now: n.conf.Now, Clock: n.clock,
	})
	return &held{lease: lease, fence: gauge.Fence(stamp.Version), term: term, before: c.Row, early: c.Early}, false
}

// notTaken takes in that a claim failed; true: it is worth another try at once.
func (n *Node) notTaken(c *terms.Claim, from string, rows []gauge.PartRow, err error) bool {
	if gauge.Is(err, gauge.KindUnknown) {
		n.mu.Lock()
		n.board.Unsure(c.Pool)
		n.mu.Unlock()
	}
	n.toldLeases(rows, false)
	if from == "" || !gauge.Is(err, gauge.KindConflict) {
		return false
	}
	for _, r := range rows {
		row, err := gauge.DecodeLeaseRow(r.Value)
		if err != nil || row.Holder != from {
			continue
		}
		c.Version = r.Version
		return true
	}
	return false
}

// own runs a pool until the lease is lost or given up.
func (n *Node) own(ctx context.Context, pool string, h *held) {
	o := owner.New(ctx, owner.Config{
		Pool: pool, Lease: h.lease, Term: h.term, Fence: h.fence, Earlier: h.before.Workers, Before: h.before, Early: h.early,
		Grace: grantGrace, Keep: keepFactor * n.conf.Keep, Hold: min(holdSpan, n.conf.Longest), Longest: n.conf.Longest,
		Store: n.conf.Store, Workers: n.conf.Workers, Adviser: n.conf.Adviser, Logs: n.conf.Logs, Now: n.conf.Now, Wall: n.conf.Wall,
		Stamp: n.stamp, Clock: n.clock, Count: n.conf.Count, Event: n.conf.Event, Backlog: n.conf.Backlog,
		Without: n.conf.Without,
	})
	o.OnStuck(stuckAfter, func(failing time.Duration) { n.leave(ctx, o, failing) })
	n.mu.Lock()
	if !n.going.Load() {
		n.mu.Unlock()
		n.handOver(ctx, o, "the entry stops")
		return
	}
	n.owners[pool] = o
	n.taken(pool)
	list := n.listLocked()
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.owners, pool)
	}()
	o.Run(n.Site(), list)
}

// claimRest is how long an entry that had to leave a pool claims none.
const claimRest = 3 * time.Second

// leave has another entry take a pool whose owner here can't write to the table, or
// lacks processor time. Without one that can the owner goes on.
func (n *Node) leave(ctx context.Context, o *owner.Owner, failing time.Duration) {
	if !n.mayOffer(o.Pool()) {
		return
	}
	n.offering.Lock()
	defer n.offering.Unlock()
	to := n.successor(ctx, o.Pool(), failing)
	if to == "" {
		return
	}
	n.mu.Lock()
	n.restUntil = n.conf.Now() + claimRest
	n.mu.Unlock()
	if o.Stop("writes fail here, or it lags") {
		n.offer(ctx, to, offerOf(o))
	}
}

// mayOffer bounds how often a successor is looked for.
func (n *Node) mayOffer(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if last, ok := n.offers[pool]; ok && now-last < offerAgain {
		return false
	}
	n.offers[pool] = now
	return true
}

func offerOf(o *owner.Owner) offerCall {
	row, version := o.Offer()
	return offerCall{Pool: o.Pool(), Row: row, Version: version}
}

// handOver ends a pool's work here and has another entry take it at once, or any
// entry as soon as it sees that the lease is given up. Each pool writes out what it
// has taken in while others are offered: an entry that stops has a second for all.
func (n *Node) handOver(ctx context.Context, o *owner.Owner, why string) {
	var group conc.WaitGroup
	stopped := false
	group.Go(func() { stopped = o.Stop(why) })
	n.offering.Lock()
	defer n.offering.Unlock()
	to := n.successor(ctx, o.Pool(), 0)
	group.Wait()
	if stopped {
		n.give(ctx, o, to)
	}
}

// give has an entry take a pool that is stopped here; empty: there is none.
func (n *Node) give(ctx context.Context, o *owner.Owner, to string) {
	if to == "" || !n.offer(ctx, to, offerOf(o)) {
		o.GiveUp(ctx)
	}
}
