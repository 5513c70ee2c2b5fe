package node

import (
	"context"
	"slices"
	"time"

	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/terms"
)

// Leases are claimed by entries that see them free, and stay while their holders are healthy. So a
// small host would keep its pool while a larger one that started later, or was down for a while,
// had nothing to do. Therefore a holder that is far more loaded than another moves its leases
// there, one at a time, with the same handover as at SIGTERM.

const (
	// rebalanceInterval is the time between two moves of leases away from here; within it, the
	// counts of leases in the table come to reflect the previous move.
	rebalanceInterval = 2 * time.Second
	// minHeldBeforeMove is how long a pool must have been owned here before it may move. Its
	// workers have to report first, and each move leaves it without an owner for some tenths of a
	// second.
	minHeldBeforeMove = 3 * time.Second
	// reservationDuration is how long an entry reserves room for a lease that is to move to it:
	// longer than the offer and the transaction of the claim take.
	reservationDuration = time.Second
	// reasonLessLoaded is the logged reason for moving a healthy lease.
	reasonLessLoaded = "another host is far less loaded"
)

// rebalance moves one lease at each interval if another host is far less loaded, until ctx ends.
func (n *Node) rebalance(ctx context.Context) {
	for {
		sleep(ctx, rebalanceInterval)
		if ctx.Err() != nil {
			return
		}
		if o, f := n.movableLeases(); o != nil {
			n.movePool(ctx, o)
		} else if f != nil {
			f.requestMove(n.findLessLoaded(ctx, fleetPool))
		}
	}
}

// movableLeases returns, of the pools that may move, the one that has been owned the longest, and
// the fleet if it may move. Each is nil if there is none.
func (n *Node) movableLeases() (*owner.Owner, *fleet) {
	n.mu.Lock()
	owners, f := n.ownersLocked(), n.fleet
	n.mu.Unlock()
	now := n.conf.Now()
	var first *owner.Owner
	var since time.Duration
	for _, o := range owners {
		if at, ok := o.ServingSince(); ok && now-at >= minHeldBeforeMove && (first == nil || at < since) {
			first, since = o, at
		}
	}
	if f != nil && now-f.takenAt < minHeldBeforeMove {
		f = nil
	}
	return first, f
}

// movePool has another entry take over a pool if its host is far less loaded. The search doesn't
// hold offerMu, so that a stopping entry doesn't wait for it: probed entries may be dead, and the
// chosen one keeps a reservation anyway.
func (n *Node) movePool(ctx context.Context, o *owner.Owner) {
	to := n.findLessLoaded(ctx, o.Pool())
	if to == "" {
		return
	}
	n.offerMu.Lock()
	defer n.offerMu.Unlock()
	if o.Stop(reasonLessLoaded) {
		n.offerOrGiveUp(ctx, o, to)
	}
}

// findLessLoaded returns the address of a ready entry that is so much less loaded that a lease
// should move there, and has that entry make a reservation. It returns "" if there is none.
func (n *Node) findLessLoaded(ctx context.Context, pool string) string {
	here, peers := n.moveCandidates(pool)
	for group := range slices.Chunk(peers, maxConcurrentProbes) {
		best := n.chooseReady(ctx, group)
		if !best.Ready || !here.ShouldMoveTo(best.load()) {
			continue
		}
		// Other holders may have chosen the same entry.
		reserved, err := n.probe(ctx, best.addr, probeCall{Reserve: true})
		if err != nil || !reserved.Ready || !here.ShouldMoveTo(reserved.load()) {
			return ""
		}
		n.conf.Logs.Info("lease moves", "pool", pool, "to", best.addr, "held", here.Leases, "capacity", here.Capacity,
			"heldThere", reserved.LeasesInUse, "capacityThere", reserved.Capacity)
		return best.addr
	}
	return ""
}

// moveCandidates returns this host's load and, according to the table, the addresses of entries on
// far less loaded hosts. There are none while the table is out of reach or this entry is about to
// stop.
func (n *Node) moveCandidates(pool string) (here terms.HostLoad, candidates []string) {
	if !n.canTakeOver(maxTakeOverViewAge) {
		return here, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	here = terms.HostLoad{Leases: n.leaseView.LeaseCount(), Capacity: n.conf.CapacityCores}
	for _, p := range n.leaseView.Peers(pool) {
		if here.ShouldMoveTo(p.HostLoad) {
			candidates = append(candidates, p.Addr)
		}
	}
	return here, candidates
}

// reserve makes a reservation for a lease that is about to move here. It reports false if there is
// one already. Without reservations, several owners that see this host as free would all move their
// leases here at once.
func (n *Node) reserve() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if now < n.reservedUntil {
		return false
	}
	n.reservedUntil = now + reservationDuration
	return true
}
