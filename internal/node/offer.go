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

// A holder that can't write to the table, or that is to stop, would leave its pool
// without an owner until the lease runs out. It asks another entry to take over,
// once all its own work has ended. Neither call needs the table: when that is slow
// a look at the lease's row would take longer than a busy pool should wait.

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
	// probeMargin: an entry that had an answer from the table so much later than the
	// holder's first failure reaches what the holder can't. Each looks at the leases
	// every 0.3 s, so that when the table is away for all, all of them had their last
	// answer before that failure or not long after.
	probeMargin = 350 * time.Millisecond
	// probesAtOnce entries at most are asked at a time: one that is dead makes the
	// others wait for offerWait.
	probesAtOnce = 4
	// offerTries: between an offer and its claim a renewal of the holder may land,
	// and one more that got no answer.
	offerTries = 3
)

// probeCall asks whether an entry can take a lease over.
type probeCall struct {
	// Failing is for how long the table has not answered the holder; 0: it does.
	Failing time.Duration `msgpack:"f"`
}

// offerCall offers a lease whose row names this holder.
type offerCall struct {
	Pool    string         `msgpack:"p"`
	Holder  string         `msgpack:"h"`
	Version int64          `msgpack:"v"` // of the row, as the holder last knew it
	Row     gauge.LeaseRow `msgpack:"r"` // what the holder would write now
}

type offerAnswer struct {
	Ready  bool   `msgpack:"r"`
	Holder string `msgpack:"h"` // who answers
}

// peers lists the addresses of other entries, those with the fewest leases first.
func (n *Node) peers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := make(map[string]int)
	for _, addr := range n.entries {
		held[addr] = 0
	}
	for _, pool := range n.board.Pools() {
		if row, ok := n.board.Holder(pool); ok {
			held[row.Addr]++
		}
	}
	delete(held, n.conf.Addr)
	addrs := slices.Sorted(maps.Keys(held))
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
	return addrs
}

// enroll writes this entry's address where the others find it. A row that is out
// of date does no harm: it is asked before it is given anything.
func (n *Node) enroll(ctx context.Context) {
	row := gauge.RowWrite{
		RowKey: gauge.RowKey{Table: gauge.TableLeases, Part: n.conf.Name, Key: gauge.KeyEntry}, Value: []byte(n.conf.Addr),
	}
	for ctx.Err() == nil {
		_, _, err := n.conf.Store.Commit(ctx, gauge.PartTxn{Writes: []gauge.RowWrite{row}})
		if err == nil {
			return
		}
		n.conf.Logs.Info("entry not enrolled", "kind", gauge.KindOf(err), "error", err.Error())
		pause(ctx, enrollAgain)
	}
}

// enrollAgain is the pause after a try that failed; nothing waits for it.
const enrollAgain = time.Second

// successor finds an entry that can take a lease over: of those with the fewest
// leases the first that says so. Empty: none. Failing is for how long the table has
// not answered here.
func (n *Node) successor(ctx context.Context, failing time.Duration) string {
	for some := range slices.Chunk(n.peers(), probesAtOnce) {
		answers := make(chan string, len(some))
		for _, addr := range some {
			go func() {
				if !n.probe(ctx, addr, failing) {
					addr = ""
				}
				answers <- addr
			}()
		}
		for range some {
			if addr := <-answers; addr != "" {
				return addr
			}
		}
	}
	return ""
}

// probe asks an entry whether it can take a lease over.
func (n *Node) probe(ctx context.Context, addr string, failing time.Duration) bool {
	a, err := n.hail(ctx, addr, failing)
	return err == nil && a.Ready
}

// hail asks an entry who it is and whether it can take a lease over.
func (n *Node) hail(ctx context.Context, addr string, failing time.Duration) (offerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, offerWait)
	defer cancel()
	var a offerAnswer
	err := n.conf.Mesh.Call(ctx, addr, methodProbe, &probeCall{Failing: failing}, &a)
	return a, err
}

// offer has an entry take a lease over; true: it does. The holder must have stopped
// all its orders. If the call is lost, the lease runs out by itself.
func (n *Node) offer(ctx context.Context, addr string, c offerCall) bool {
	c.Holder = n.holder
	ctx, cancel := context.WithTimeout(ctx, offerWait)
	defer cancel()
	var a offerAnswer
	err := n.conf.Mesh.Call(ctx, addr, methodOffer, &c, &a)
	n.conf.Logs.Info("lease offered", "pool", c.Pool, "to", addr, "version", c.Version, "taken", err == nil && a.Ready)
	return err == nil && a.Ready
}

func (n *Node) handleProbe(_ context.Context, body []byte) (any, error) {
	var c probeCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	seen := leasesOld
	if c.Failing > 0 {
		seen = c.Failing - probeMargin
	}
	return offerAnswer{Ready: n.mayTake(seen), Holder: n.holder}, nil
}

func (n *Node) handleOffer(_ context.Context, body []byte) (any, error) {
	var c offerCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	ready := n.mayTake(leasesOld)
	if ready {
		n.mu.Lock()
		ready = !n.busy[c.Pool]
		n.busy[c.Pool] = true
		n.mu.Unlock()
	}
	if ready {
		n.group.Go(func() { n.claim(n.context(), n.offered(c), c.Holder) })
	}
	return offerAnswer{Ready: ready, Holder: n.holder}, nil
}

// offered is the claim of an offered lease. Its holder has stopped: nothing has to
// be waited for.
func (n *Node) offered(c offerCall) terms.Claim {
	c.Row.Holder, c.Row.Addr = "", ""
	return terms.Claim{Pool: c.Pool, Version: c.Version, Row: c.Row}
}

// mayTake tells whether this entry can take a lease over: it is to go on, didn't
// have to leave a pool itself just now, and had the table answer within some time.
func (n *Node) mayTake(within time.Duration) bool {
	if !n.going.Load() || n.Site() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	return now >= n.restUntil && now-n.leases <= min(within, leasesOld)
}
