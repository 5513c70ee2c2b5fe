package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/terms"
)

// A holder that can't write to the table would keep its pool until the lease
// runs out, though other entries may reach the table. It asks one of them to
// take over, and gives up its own work only when one says that it can.

const (
	// methodProbe asks whether an entry can take a lease over.
	methodProbe = "lease.probe"
	// methodOffer has it taken over.
	methodOffer = "lease.offer"
	// stuckAfter is how long writes must fail before a lease is offered: longer
	// than a single answer that is lost.
	stuckAfter = 500 * time.Millisecond
	// offerWait bounds each of the two calls.
	offerWait = 400 * time.Millisecond
	// offerAgain is the pause between two rounds of offers.
	offerAgain = 300 * time.Millisecond
)

// offerCall offers a lease whose row names this holder.
type offerCall struct {
	Pool    string           `msgpack:"p"`
	Holder  string           `msgpack:"h"`
	Ordered map[string]int64 `msgpack:"o"` // machines that the fleet's holder ordered lately
}

type offerAnswer struct {
	Ready bool `msgpack:"r"`
}

// peers lists the addresses of other entries that hold leases, those with the
// fewest first.
func (n *Node) peers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := make(map[string]int)
	for _, pool := range n.board.Pools() {
		row, ok := n.board.Holder(pool)
		if ok && row.Addr != n.conf.Addr {
			held[row.Addr]++
		}
	}
	addrs := slices.Sorted(maps.Keys(held))
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
	return addrs
}

// successor finds an entry that can take a lease over; empty: none.
func (n *Node) successor(ctx context.Context, pool string) string {
	for _, addr := range n.peers() {
		callCtx, cancel := context.WithTimeout(ctx, offerWait)
		var a offerAnswer
		err := n.conf.Mesh.Call(callCtx, addr, methodProbe, &offerCall{Pool: pool, Holder: n.holder}, &a)
		cancel()
		if err == nil && a.Ready {
			return addr
		}
	}
	return ""
}

// offer tells an entry to take a lease over. The holder must have stopped all
// its orders. If the call is lost, the lease runs out by itself.
func (n *Node) offer(ctx context.Context, addr string, c offerCall) {
	ctx, cancel := context.WithTimeout(ctx, offerWait)
	defer cancel()
	var a offerAnswer
	err := n.conf.Mesh.Call(ctx, addr, methodOffer, &c, &a)
	n.conf.Logs.Info("lease offered", "pool", c.Pool, "to", addr, "taken", err == nil && a.Ready)
}

func (n *Node) handleProbe(ctx context.Context, body []byte) (any, error) {
	var c offerCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	_, ready := n.offered(ctx, c)
	return offerAnswer{Ready: ready}, nil
}

func (n *Node) handleOffer(ctx context.Context, body []byte) (any, error) {
	var c offerCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	claim, ready := n.offered(ctx, c)
	if ready {
		n.mu.Lock()
		ready = !n.busy[c.Pool]
		n.busy[c.Pool] = true
		n.mu.Unlock()
	}
	if ready {
		n.group.Go(func() { n.claim(n.context(), claim) })
	}
	return offerAnswer{Ready: ready}, nil
}

// resting tells whether this entry had to leave a pool just now itself.
func (n *Node) resting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conf.Now() < n.restUntil
}

// offered looks at the row of an offered lease: it still has to name the holder
// that offers it.
func (n *Node) offered(ctx context.Context, c offerCall) (terms.Claim, bool) {
	if !n.going.Load() || n.Site() == nil || n.resting() {
		return terms.Claim{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, offerWait)
	defer cancel()
	rows, _, err := n.conf.Store.Range(ctx, gauge.TableLeases, c.Pool, gauge.KeyOwner, gauge.KeyOwner+"\x00")
	if err != nil || len(rows) != 1 {
		return terms.Claim{}, false
	}
	row, err := gauge.DecodeLeaseRow(rows[0].Value)
	if err != nil || row.Holder != c.Holder {
		return terms.Claim{}, false
	}
	row.Holder = "" // it has stopped: nothing has to be waited for
	if c.Ordered != nil {
		row.Ordered = c.Ordered // it may have ordered more since it wrote the row
	}
	return terms.Claim{Pool: c.Pool, Version: rows[0].Version, Row: *row}, true
}
