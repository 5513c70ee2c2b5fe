package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	gauge "sapphiregauge"
)

// A pool whose owner's process ends stands still until the lease has run out, though
// the end is known at once: its connections are closed. Workers keep an owner that is
// taken for dead by mistake from ordering anything, so that an early claim does no
// harm; the lease is waited out only for holders that can't be told from one that is
// cut off.

const (
	// dialWait bounds the connecting to a holder.
	dialWait = time.Second
	// checkEvery is the pause between two looks at the holders while the table is away.
	checkEvery = 500 * time.Millisecond
)

// dial keeps a connection to a holder, so that its end is noticed.
func (n *Node) dial(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialWait)
	defer cancel()
	if err := n.conf.Mesh.Open(ctx, addr); err != nil {
		n.conf.Logs.Info("holder not reached", "addr", addr, "error", err.Error())
		n.CheckHolder(addr)
	}
}

// checkHolders looks at all holders while the table is away: those that answer have
// time to renew their leases when it is back, the others' are claimed then.
func (n *Node) checkHolders() {
	n.mu.Lock()
	now := n.conf.Now()
	due := n.leases > 0 && now-n.leases > leasesLost && now-n.checked > checkEvery
	if due {
		n.checked = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	for _, addr := range n.peers(fleetPool) {
		n.group.Go(func() { n.CheckHolder(addr) })
	}
}

// suspectAfter is how long a lease may go without a renewal before its holder is asked
// whether it lives: two renewals and a look at the leases later than due.
func suspectAfter(without gauge.Without) time.Duration {
	if without.Has(gauge.MechanismSuspect) {
		return 0
	}
	return time.Second
}

// askSuspects asks holders whose leases aren't renewed whether they live.
func (n *Node) askSuspects() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	for _, addr := range n.board.Suspects(now) {
		if n.asked[addr] {
			continue
		}
		n.asked[addr] = true
		n.group.Go(func() { n.askSuspect(addr, now) })
	}
}

func (n *Node) askSuspect(addr string, now time.Duration) {
	_, err := n.probe(context.Background(), addr, probeCall{})
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.asked, addr)
	if err != nil {
		n.board.Unanswered(addr, now)
		n.conf.Logs.Info("holder silent", "addr", addr, "error", err.Error())
	}
}

// CheckHolder finds out whether the process that held leases at an address has
// ended: nothing listens there, or another start of it does.
func (n *Node) CheckHolder(addr string) {
	n.mu.Lock()
	holders := n.board.HoldersAt(addr)
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
			n.board.Alive(h, n.conf.Now())
			continue
		}
		n.board.Gone(h)
		n.conf.Event("holder gone")
		n.conf.Logs.Info("holder gone", "holder", h, "addr", addr, "answers", a.Holder, "kind", gauge.KindOf(err))
	}
}
