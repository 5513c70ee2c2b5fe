package node

import (
	"context"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
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
		for _, c := range n.due() {
			n.group.Go(func() { n.claim(ctx, c) })
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
	pools := n.board.Pools()
	for _, q := range site.Queues {
		pools = append(pools, q.Pool)
	}
	slices.Sort(pools)
	pools = slices.Compact(pools)
	pools = slices.DeleteFunc(pools, func(p string) bool { return n.busy[p] || n.owners[p] != nil })
	claims := n.board.Due(pools, len(n.owners)+len(n.busy), n.conf.Now())
	for _, c := range claims {
		n.busy[c.Pool] = true
	}
	return claims
}

// claim tries to take a pool's lease and, with it, runs the pool.
func (n *Node) claim(ctx context.Context, c terms.Claim) {
	o := n.take(ctx, c)
	n.mu.Lock()
	delete(n.busy, c.Pool)
	if o == nil || !n.going.Load() {
		n.mu.Unlock()
		if o != nil {
			o.Close(ctx)
		}
		return
	}
	n.owners[c.Pool] = o
	list := n.listLocked()
	n.mu.Unlock()
	o.Run(n.Site(), list)
	n.mu.Lock()
	delete(n.owners, c.Pool)
	n.mu.Unlock()
}

// take writes the lease row on condition that it is as it was seen. The version
// of that transaction is the fencing token: versions only grow, and no two
// transactions share one.
func (n *Node) take(ctx context.Context, c terms.Claim) *owner.Owner {
	term := c.Row.Term
	if c.Version > 0 {
		term++
	}
	row := gauge.LeaseRow{Holder: n.holder, Addr: n.conf.Addr, Term: term, Workers: c.Row.Workers, Depths: c.Row.Depths}
	value, err := row.Encode()
	if err != nil {
		n.conf.Logs.Error(err, "lease not claimed", "pool", c.Pool)
		return nil
	}
	key := gauge.RowKey{Table: gauge.TableLeases, Part: c.Pool, Key: gauge.KeyOwner}
	sent := n.conf.Now()
	stamp, rows, err := n.conf.Store.Commit(ctx, gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: c.Version}},
		Writes: []gauge.RowWrite{{RowKey: key, Value: value}},
	})
	if err != nil {
		n.conf.Logs.Info("lease not taken", "pool", c.Pool, "version", c.Version, "kind", gauge.KindOf(err))
		n.toldLeases(rows, false)
		return nil
	}
	n.stamp(stamp)
	n.mu.Lock()
	n.board.Tell(c.Pool, row, stamp.Version, n.conf.Now())
	n.mu.Unlock()
	n.conf.Logs.Info("lease taken", "pool", c.Pool, "fence", stamp.Version, "term", term, "before", c.Row.Holder,
		"workers", len(c.Row.Workers), "seen", c.Version)
	return owner.New(owner.Config{
		Pool: c.Pool, Holder: n.holder, Addr: n.conf.Addr, Term: term, Fence: gauge.Fence(stamp.Version),
		Taken: sent, Version: stamp.Version, Earlier: c.Row.Workers,
		Lease: leaseTerm, Grace: grantGrace, Hold: min(holdSpan, n.conf.Longest),
		Store: n.conf.Store, Workers: n.conf.Workers, Logs: n.conf.Logs, Now: n.conf.Now, Wall: n.conf.Wall,
		Stamp: n.stamp, Clock: n.clock, Count: n.conf.Count,
	})
}
