package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	gauge "sapphiregauge"
)

// When the process of a pool's owner exits, its connections are closed at once. Without this check
// the pool would still have no owner until the lease expires. An early claim does no harm, since
// workers that the successor has called accept no orders from an owner that was wrongly taken for
// dead, and for the others the successor waits. So the whole lease is only waited for if the holder
// may just be unreachable from here.

const (
	// dialTimeout bounds connecting to a holder.
	dialTimeout = time.Second
	// holderCheckInterval is the interval between two checks of the holders during a table outage.
	holderCheckInterval = 500 * time.Millisecond
)

// keepConnected keeps a connection to a holder open, so that the end of its process shows.
func (n *Node) keepConnected(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := n.conf.Mesh.Connect(ctx, addr); err != nil {
		n.conf.Logs.Info("holder not reached", "addr", addr, "error", err.Error())
		n.CheckHolder(addr)
	}
}

// checkHolders checks all holders during a table outage. Those that answer get time to renew their
// leases when the table is reachable again; the leases of the others are claimed then.
func (n *Node) checkHolders() {
	n.mu.Lock()
	now := n.conf.Now()
	due := n.leasesReadAt > 0 && now-n.leasesReadAt > tableOutageAfter && now-n.holdersCheckedAt > holderCheckInterval
	if due {
		n.holdersCheckedAt = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	for _, addr := range n.peerAddrs(fleetPool) {
		n.group.Go(func() { n.CheckHolder(addr) })
	}
}

// suspectAfter returns how long a lease may go without a renewal before its holder is probed: two
// renewals and one poll of the leases are overdue by then. 0: holders aren't probed.
func suspectAfter(disabled gauge.Disabled) time.Duration {
	if disabled.Has(gauge.MechanismSuspect) {
		return 0
	}
	return time.Second
}

// probeSuspects probes the holders whose leases aren't renewed.
func (n *Node) probeSuspects() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if now-n.leasesReadAt > maxClaimViewAge {
		return // it can't be seen which leases are renewed
	}
	for _, addr := range n.leaseView.OverdueAddrs(now) {
		if n.probing[addr] {
			continue
		}
		n.probing[addr] = true
		n.group.Go(func() { n.probeSuspect(addr, now) })
	}
}

func (n *Node) probeSuspect(addr string, now time.Duration) {
	_, err := n.probe(context.Background(), addr, probeCall{})
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.probing, addr)
	if err != nil {
		n.leaseView.MarkUnanswered(addr, now)
		n.conf.Logs.Info("holder silent", "addr", addr, "error", err.Error())
	}
}

// CheckHolder finds out whether the process that held leases at an address has ended. It has ended
// if the address refuses connections, or if a process with another holder name answers there.
func (n *Node) CheckHolder(addr string) {
	n.mu.Lock()
	holders := n.leaseView.HoldersAt(addr)
	n.mu.Unlock()
	if len(holders) == 0 || addr == n.conf.Addr {
		return
	}
	a, err := n.probe(context.Background(), addr, probeCall{})
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return // it may be cut off from here
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range holders {
		if err == nil && a.Holder == h {
			n.leaseView.MarkAlive(h, n.conf.Now())
			continue
		}
		if err == nil {
			n.leaseView.MarkExited(h)
		} else {
			n.leaseView.MarkRefused(h, n.conf.Now())
		}
		n.suspectFreeLease()
		n.conf.CountEvent("holder gone")
		n.conf.Logs.Info("holder gone", "holder", h, "addr", addr, "answers", a.Holder, "kind", gauge.KindOf(err))
	}
}
