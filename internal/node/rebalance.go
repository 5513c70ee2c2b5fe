package node

import (
	"context"
	"slices"
	"time"

	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/terms"
)

// Leases are taken by those that see them free, and stay for as long as their holders
// are well. A weak host would keep its pool while a strong one that came later, or was
// down for a while, has nothing to do. So a holder that is far more burdened than
// another moves its leases there, one at a time, the way they go at SIGTERM.

const (
	// spreadEvery is how often a lease may move away. The counts of leases, as the
	// table tells them, are right again by then.
	spreadEvery = 2 * time.Second
	// settleAfter: a pool that was taken later stays. Its workers are heard first, and
	// each move has it stand still for some tenths of a second.
	settleAfter = 3 * time.Second
	// placeKept is how long an entry keeps a place for a lease that is to move to it:
	// longer than the offer and the claim's transaction take.
	placeKept = time.Second
	// lessBurdened is why a lease that is well moves.
	lessBurdened = "another host is far less burdened"
)

// spread moves a lease from time to time, if another host is far less burdened.
func (n *Node) spread(ctx context.Context) {
	for {
		pause(ctx, spreadEvery)
		if ctx.Err() != nil {
			return
		}
		if o, f := n.settled(); o != nil {
			n.move(ctx, o)
		} else if f != nil {
			f.moveTo(n.lighter(ctx, fleetPool))
		}
	}
}

// settled returns the pool that was taken first, of those that may move, and the fleet
// if it may.
func (n *Node) settled() (*owner.Owner, *fleet) {
	n.mu.Lock()
	owners, f := n.ownersLocked(), n.fleet
	n.mu.Unlock()
	now := n.conf.Now()
	var first *owner.Owner
	var since time.Duration
	for _, o := range owners {
		if at, ok := o.Since(); ok && now-at >= settleAfter && (first == nil || at < since) {
			first, since = o, at
		}
	}
	if f != nil && now-f.taken < settleAfter {
		f = nil
	}
	return first, f
}

// move has another entry take a pool, if one is far less burdened. An entry that stops
// doesn't wait for the choice: those that are asked may be dead, and what is chosen
// keeps a place.
func (n *Node) move(ctx context.Context, o *owner.Owner) {
	to := n.lighter(ctx, o.Pool())
	if to == "" {
		return
	}
	n.offering.Lock()
	defer n.offering.Unlock()
	if o.Stop(lessBurdened) {
		n.give(ctx, o, to)
	}
}

// lighter finds an entry that is ready and so much less burdened that a lease should
// move there, and has a place kept for it. Empty: none.
func (n *Node) lighter(ctx context.Context, pool string) string {
	here, peers := n.burdens(pool)
	for some := range slices.Chunk(peers, probesAtOnce) {
		best := n.choose(ctx, some)
		if !best.Ready || !here.Moves(best.burden()) {
			continue
		}
		// Others may have chosen it as well.
		kept, err := n.probe(ctx, best.addr, probeCall{Place: true})
		if err != nil || !kept.Ready || !here.Moves(kept.burden()) {
			return ""
		}
		n.conf.Logs.Info("lease moves", "pool", pool, "to", best.addr, "held", here.Held, "capacity", here.Capacity,
			"heldThere", kept.Held, "capacityThere", kept.Capacity)
		return best.addr
	}
	return ""
}

// burdens returns this host's burden and the addresses of those that are less
// burdened by far, as the table tells. While it doesn't, or this entry is to leave,
// nothing moves.
func (n *Node) burdens(pool string) (here terms.Burden, lighter []string) {
	if !n.mayTake(leasesNew) {
		return here, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	here = terms.Burden{Held: n.board.Held(), Capacity: n.conf.Capacity}
	for _, p := range n.board.Peers(pool) {
		if here.Moves(p.Burden) {
			lighter = append(lighter, p.Addr)
		}
	}
	return here, lighter
}

// keepPlace keeps a place for a lease that is to move here; false: one is kept for
// another already. Several owners that see this host free would otherwise all move
// their leases here at once.
func (n *Node) keepPlace() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if now < n.placed {
		return false
	}
	n.placed = now + placeKept
	return true
}
