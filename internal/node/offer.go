package node

import (
	"context"
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
	// leasesNew: an entry that saw the leases so long ago at the most takes others'. It
	// looks every 0.3 s, which takes as long in a slow spell.
	leasesNew = 800 * time.Millisecond
	// probesAtOnce entries are asked at a time, and as many more each probeAgain as long
	// as none is ready: a call takes some milliseconds, and a tenth of a second more where
	// a quota of processor time is used up.
	probesAtOnce = 4
	probeAgain   = 100 * time.Millisecond
	// gatherWait is how long entries that are ready as well may take longer to say so:
	// a call takes some milliseconds.
	gatherWait = 30 * time.Millisecond
	// offerTries: between an offer and its claim a renewal of the holder may land,
	// and one more that got no answer.
	offerTries = 3
)

// probeCall asks whether an entry can take a lease over.
type probeCall struct {
	// Failing is for how long the table has not answered the holder; 0: it does.
	Failing time.Duration `msgpack:"f"`
	// Place asks to keep a place for a lease that is well but is to move there.
	Place bool `msgpack:"p"`
}

// offerCall offers a lease whose row names this holder.
type offerCall struct {
	Pool    string         `msgpack:"p"`
	Holder  string         `msgpack:"h"`
	Version int64          `msgpack:"v"` // of the row, as the holder last knew it
	Row     gauge.LeaseRow `msgpack:"r"` // what the holder would write now
}

type offerAnswer struct {
	Ready    bool    `msgpack:"r"`
	Holder   string  `msgpack:"h"` // who answers
	Held     int     `msgpack:"n"` // leases that it has, or is about to
	Capacity float64 `msgpack:"c"` // of its host
}

func (a *offerAnswer) burden() terms.Burden { return terms.Burden{Held: a.Held, Capacity: a.Capacity} }

// peers lists the addresses of other entries, those of the least burdened hosts first.
func (n *Node) peers(pool string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addrs []string
	for _, p := range n.board.Peers(pool) {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

// register writes this entry's row where the others find it. A row that is out of
// date does little harm: an entry is asked before it is given anything.
func (n *Node) register(ctx context.Context) {
	self := gauge.EntryRow{Addr: n.conf.Addr, Capacity: n.conf.Capacity}
	value, err := self.Encode()
	if err != nil {
		n.conf.Logs.Error(err, "entry not registered")
		return
	}
	row := gauge.RowWrite{RowKey: gauge.RowKey{Table: gauge.TableEntries, Key: n.conf.Name}, Value: value}
	for ctx.Err() == nil {
		_, _, err := n.conf.Store.Commit(ctx, gauge.PartTxn{Writes: []gauge.RowWrite{row}})
		if err == nil {
			return
		}
		n.conf.Logs.Info("entry not registered", "kind", gauge.KindOf(err), "error", err.Error())
		pause(ctx, registerAgain)
	}
}

// registerAgain is the pause after a try that failed. Until the others know of a strong
// host weak ones claim as if there were none; they look as often.
const registerAgain = 300 * time.Millisecond

// successor finds an entry that can take a pool's lease over: of those that say so
// at about the same time the one on the least burdened host. Empty: none. Failing is for
// how long the table has not answered here.
//
// Hosts without power don't answer, and may be the least burdened ones: waited for, a
// dozen of them took up the second in which an entry that stops gives its pools away.
func (n *Node) successor(ctx context.Context, pool string, failing time.Duration) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := n.peers(pool)
	replies := make(chan reply, len(peers))
	more := time.NewTimer(0)
	defer more.Stop()
	var best reply
	var late <-chan time.Time
	for asked, answered := 0, 0; answered < len(peers); {
		select {
		case <-more.C:
			for range min(probesAtOnce, len(peers)-asked) {
				n.askReady(ctx, peers[asked], failing, replies)
				asked++
			}
			more.Reset(probeAgain)
		case r := <-replies:
			answered++
			best = better(best, r)
			if answered == asked && !best.Ready {
				more.Reset(0)
			}
		case <-late:
			return best.addr
		}
		if best.Ready && late == nil {
			late = time.After(gatherWait)
		}
	}
	return best.addr
}

// reply is an entry's answer to a probe.
type reply struct {
	addr string
	offerAnswer
}

// better is the one of two that is ready, or on the less burdened host.
func better(best, r reply) reply {
	if r.Ready && (!best.Ready || r.burden().Next() < best.burden().Next()) {
		return r
	}
	return best
}

// askReady asks an entry whether it can take a lease over.
func (n *Node) askReady(ctx context.Context, addr string, failing time.Duration, replies chan<- reply) {
	go func() {
		a, err := n.probe(ctx, addr, probeCall{Failing: failing})
		a.Ready = a.Ready && err == nil
		replies <- reply{addr, a}
	}()
}

// choose asks some entries at once, and waits for the others for gatherWait once
// one is ready. Of those that are it returns the one on the least burdened host.
func (n *Node) choose(ctx context.Context, addrs []string) reply {
	replies := make(chan reply, len(addrs))
	for _, addr := range addrs {
		n.askReady(ctx, addr, 0, replies)
	}
	var best reply
	var late <-chan time.Time
	for range addrs {
		select {
		case r := <-replies:
			best = better(best, r)
		case <-late:
			return best
		}
		if best.Ready && late == nil {
			late = time.After(gatherWait)
		}
	}
	return best
}

// probe asks an entry who it is and whether it can take a lease over.
func (n *Node) probe(ctx context.Context, addr string, c probeCall) (offerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, offerWait)
	defer cancel()
	var a offerAnswer
	err := n.conf.Mesh.Call(ctx, addr, methodProbe, &c, &a)
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
	taken := err == nil && a.Ready
	if taken {
		n.moved(c.Pool, addr)
	}
	return taken
}

func (n *Node) handleProbe(_ context.Context, body []byte) (any, error) {
	var c probeCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	seen := leasesNew
	if c.Failing > 0 {
		seen = c.Failing - probeMargin
	}
	return n.answer(n.mayTake(seen) && (!c.Place || n.keepPlace())), nil
}

func (n *Node) handleOffer(_ context.Context, body []byte) (any, error) {
	var c offerCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	ready := n.mayTake(leasesNew)
	if ready {
		n.mu.Lock()
		if ready = !n.busy[c.Pool]; ready {
			n.begin(c.Pool)
		}
		n.mu.Unlock()
	}
	if ready {
		n.group.Go(func() { n.claim(n.context(), n.offered(c), c.Holder) })
	}
	return n.answer(ready), nil
}

func (n *Node) answer(ready bool) offerAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return offerAnswer{Ready: ready, Holder: n.holder, Held: len(n.busy), Capacity: n.conf.Capacity}
}

// offered is the claim of an offered lease. Its holder has stopped: nothing has to
// be waited for.
func (n *Node) offered(c offerCall) terms.Claim {
	c.Row.Holder, c.Row.Addr = "", ""
	return terms.Claim{Pool: c.Pool, Version: c.Version, Row: c.Row}
}

// mayTake tells whether this entry can take a lease over: it is to go on, didn't
// have to leave a pool itself just now, and had the table answer within some time.
// One for which the table is just back leaves holders the time to find out as well.
func (n *Node) mayTake(within time.Duration) bool {
	if !n.going.Load() || n.Site() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	return now >= n.restUntil && now-n.leases <= min(within, leasesNew) && (n.back == 0 || now-n.back > regainWait)
}
