package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/terms"
)

// A holder that can't write to the table, or that stops, would leave its pool without an owner
// until the lease expires. So it stops all its orders and then asks another entry to take over.
// Neither of the two calls needs the table: with a slow table, a read of the lease row would take
// longer than a busy pool can wait.

const (
	// methodProbe asks whether an entry can take over a lease.
	methodProbe = "lease.probe"
	// methodOffer asks an entry to take over a lease.
	methodOffer = "lease.offer"
	// stuckAfter is how long writes must fail before a lease is offered: longer than one lost
	// answer.
	stuckAfter = 500 * time.Millisecond
	// offerTimeout bounds each of the two calls.
	offerTimeout = 400 * time.Millisecond
	// offerRetryDelay is the minimum time between two searches for a successor for the same lease.
	offerRetryDelay = 300 * time.Millisecond
	// probeMargin is by how much an entry's last answer from the table must be later than the
	// holder's first failure to show that the entry reaches what the holder can't. Entries with
	// leases poll every 0.3 s, so in an outage for all, each had its last answer before that failure
	// or shortly after it.
	probeMargin = 350 * time.Millisecond
	// maxTakeOverViewAge is how long ago an entry that takes over a lease may have sent the last call
	// that the table has answered. Entries with leases poll every 0.3 s, and the poll takes as long
	// in a slow period of the table; others read one row when they are asked.
	maxTakeOverViewAge = 800 * time.Millisecond
	// maxConcurrentProbes is how many entries are probed at first, and how many more after each
	// nextProbesDelay while none is ready. A call takes some milliseconds, and 100 ms more where a
	// quota of processor time is used up.
	maxConcurrentProbes = 4
	nextProbesDelay     = 100 * time.Millisecond
	// readyGatherTimeout is how long answers of other entries are awaited after the first one that
	// is ready: a call takes some milliseconds.
	readyGatherTimeout = 30 * time.Millisecond
	// offerClaimAttempts allows for one renewal by the holder that takes effect between an offer
	// and its claim, and for another one that got no answer.
	offerClaimAttempts = 3
)

// probeCall asks whether an entry can take over a lease.
type probeCall struct {
	// FailingFor is for how long the table hasn't answered the holder; 0: it does answer.
	FailingFor time.Duration `msgpack:"f"`
	// Reserve asks for a reservation for a healthy lease that is about to move there.
	Reserve bool `msgpack:"p"`
}

// offerCall offers a lease whose row names the caller as its holder.
type offerCall struct {
	Pool    string         `msgpack:"p"`
	Holder  string         `msgpack:"h"`
	Version int64          `msgpack:"v"` // of the row, as last known to the holder
	Row     gauge.LeaseRow `msgpack:"r"` // what the holder would write now
}

type offerAnswer struct {
	Ready       bool    `msgpack:"r"`
	Holder      string  `msgpack:"h"` // that answers
	LeasesInUse int     `msgpack:"n"` // leases that it holds or is claiming
	Capacity    float64 `msgpack:"c"` // of its host
}

func (a *offerAnswer) load() terms.HostLoad {
	return terms.HostLoad{Leases: a.LeasesInUse, Capacity: a.Capacity}
}

// peerAddrs lists the addresses of the other entries, the least loaded hosts first.
func (n *Node) peerAddrs(pool string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addrs []string
	for _, p := range n.leaseView.Peers(pool) {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

// findSuccessor returns the address of an entry that can take over a pool's lease, or "" if there
// is none. Of the entries that answer at about the same time it chooses the one on the least loaded
// host. Failing is for how long the table hasn't answered here.
//
// Hosts without power don't answer, and may count as the least loaded. Waiting for each of them is
// too slow: a dozen used up the 1 s in which a stopping entry hands over its pools.
func (n *Node) findSuccessor(ctx context.Context, pool string, failing time.Duration) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := n.peerAddrs(pool)
	replies := make(chan probeReply, len(peers))
	nextProbes := time.NewTimer(0)
	defer nextProbes.Stop()
	var best probeReply
	var gatherEnd <-chan time.Time
	for asked, answered := 0, 0; answered < len(peers); {
		select {
		case <-nextProbes.C:
			for range min(maxConcurrentProbes, len(peers)-asked) {
				n.probeInBackground(ctx, peers[asked], failing, replies)
				asked++
			}
			nextProbes.Reset(nextProbesDelay)
		case r := <-replies:
			answered++
			best = betterReply(best, r)
			if answered == asked && !best.Ready {
				nextProbes.Reset(0)
			}
		case <-gatherEnd:
			return best.addr
		}
		if best.Ready && gatherEnd == nil {
			gatherEnd = time.After(readyGatherTimeout)
		}
	}
	return best.addr
}

// probeReply is an entry's answer to a probe.
type probeReply struct {
	addr string
	offerAnswer
}

// betterReply returns the reply that is ready, and of two that are, the one from the less loaded
// host.
func betterReply(best, r probeReply) probeReply {
	if r.Ready && (!best.Ready || r.load().NextLoad() < best.load().NextLoad()) {
		return r
	}
	return best
}

// probeInBackground asks an entry whether it can take over a lease.
func (n *Node) probeInBackground(ctx context.Context, addr string, failing time.Duration, replies chan<- probeReply) {
	go func() {
		a, err := n.probe(ctx, addr, probeCall{FailingFor: failing})
		a.Ready = a.Ready && err == nil
		replies <- probeReply{addr, a}
	}()
}

// chooseReady probes some entries at the same time and, once one is ready, waits for the others for
// readyGatherTimeout. It returns the ready one on the least loaded host.
func (n *Node) chooseReady(ctx context.Context, addrs []string) probeReply {
	replies := make(chan probeReply, len(addrs))
	for _, addr := range addrs {
		n.probeInBackground(ctx, addr, 0, replies)
	}
	var best probeReply
	var gatherEnd <-chan time.Time
	for range addrs {
		select {
		case r := <-replies:
			best = betterReply(best, r)
		case <-gatherEnd:
			return best
		}
		if best.Ready && gatherEnd == nil {
			gatherEnd = time.After(readyGatherTimeout)
		}
	}
	return best
}

// probe asks an entry for its identity and whether it can take over a lease.
func (n *Node) probe(ctx context.Context, addr string, c probeCall) (offerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var a offerAnswer
	err := n.conf.Mesh.Call(ctx, addr, methodProbe, &c, &a)
	return a, err
}

// offerLease asks an entry to take over a lease and reports whether it does. The holder must have
// stopped all its orders. If the call is lost, the lease expires.
func (n *Node) offerLease(ctx context.Context, addr string, c offerCall) bool {
	c.Holder = n.holder
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var a offerAnswer
	err := n.conf.Mesh.Call(ctx, addr, methodOffer, &c, &a)
	n.conf.Logs.Info("lease offered", "pool", c.Pool, "to", addr, "version", c.Version, "taken", err == nil && a.Ready)
	taken := err == nil && a.Ready
	if taken {
		n.recordMove(c.Pool, addr)
	}
	return taken
}

func (n *Node) handleProbe(ctx context.Context, body []byte) (any, error) {
	var c probeCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	maxAge := maxTakeOverViewAge
	if c.FailingFor > 0 {
		maxAge = c.FailingFor - probeMargin
	}
	if n.tableAge() > maxAge && !n.followsLeases() {
		ctx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
		defer cancel()
		n.readLease(ctx, fleetPool)
	}
	return n.newAnswer(n.canTakeOver(maxAge) && (!c.Reserve || n.reserve())), nil
}

func (n *Node) handleOffer(_ context.Context, body []byte) (any, error) {
	var c offerCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	ready := n.canTakeOver(maxTakeOverViewAge)
	if ready {
		n.mu.Lock()
		if ready = !n.leasesInUse[c.Pool]; ready {
			n.markClaiming(c.Pool)
		}
		n.mu.Unlock()
	}
	if ready {
		n.group.Go(func() { n.claim(n.runContext(), n.claimOf(c), c.Holder) })
	}
	return n.newAnswer(ready), nil
}

func (n *Node) newAnswer(ready bool) offerAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return offerAnswer{Ready: ready, Holder: n.holder, LeasesInUse: len(n.leasesInUse), Capacity: n.conf.CapacityCores}
}

// claimOf returns the claim of an offered lease. Its holder has stopped, so the claim doesn't wait
// for anything.
func (n *Node) claimOf(c offerCall) terms.Claim {
	c.Row.Holder, c.Row.Addr = "", ""
	return terms.Claim{Pool: c.Pool, Version: c.Version, Row: c.Row}
}

// canTakeOver reports whether this entry can take over a lease: it isn't stopping, hasn't handed
// over a stuck pool within claimPauseAfterHandover, and the table has answered a call that it sent
// within maxAge. After an outage it first leaves the holders the time to notice that the table
// answers again.
func (n *Node) canTakeOver(maxAge time.Duration) bool {
	if !n.running.Load() || n.Site() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	return now >= n.claimPauseUntil && now-n.tableReachedAt <= min(maxAge, maxTakeOverViewAge) && (n.tableBackAt == 0 || now-n.tableBackAt > renewalGrace)
}

// tableAge returns how long ago the last call was sent that the table has answered.
func (n *Node) tableAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conf.Now() - n.tableReachedAt
}
