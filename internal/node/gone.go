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

// meetWait bounds the connecting to a holder.
const meetWait = time.Second

// meet keeps a connection to a holder, so that its end is noticed.
func (n *Node) meet(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), meetWait)
	defer cancel()
	if err := n.conf.Mesh.Open(ctx, addr); err != nil {
		n.conf.Logs.Info("holder not met", "addr", addr, "error", err.Error())
		n.CheckHolder(addr)
	}
}

// checkHolders looks at all holders, after the table was away.
func (n *Node) checkHolders() {
	for _, addr := range n.peers() {
		n.group.Go(func() { n.CheckHolder(addr) })
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
	a, err := n.hail(context.Background(), addr, 0)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return // it may be cut off from here
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range holders {
		if err == nil && a.Holder == h {
			continue
		}
		n.board.Gone(h)
		n.conf.Event("holder gone")
		n.conf.Logs.Info("holder gone", "holder", h, "addr", addr, "answers", a.Holder, "kind", gauge.KindOf(err))
	}
}
