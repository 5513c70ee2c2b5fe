package owner

import (
	"context"
	"time"
)

// drainWait bounds writing out what was taken in before a pool is handed over: some
// 30 transactions, or a thousand ended jobs. An entry that stops has a second for
// all of its pools, and has to find successors and have them answer in the rest.
const drainWait = 400 * time.Millisecond

// calmTook is what a write takes at most while the table isn't slow: some 10 ms, and a
// tenth of a second more where a quota of processor time is used up.
const calmTook = 150 * time.Millisecond

// Calm tells whether a successor could take the pool over quickly: the table answers,
// and isn't slow. Taking a lease and reading a pool takes some five calls one after the
// other; with a table that is 65 times slower a busy pool stood still for two to three
// seconds.
func (o *Owner) Calm() bool {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended || !o.away && o.took < calmTook && (o.writing == 0 || now-o.writing < calmTook)
}

// Stop ends all work; whoever is offered the pool then needn't wait for anything. It
// first writes out what was taken in: an end that isn't in the table is lost if its
// worker goes before the successor has asked it. Meanwhile the lease is held, and
// renewed by each write. False: it had ended already.
func (o *Owner) Stop(why string) bool {
	began := o.conf.Now()
	o.drain()
	if !o.end() {
		return false
	}
	b := o.backlog(o.conf.Now())
	o.conf.Logs.Info("pool left", "pool", o.conf.Pool, "fence", o.conf.Fence, "reason", why,
		"unwritten", b.Changes, "ends", b.Ends, "took", o.conf.Now()-began)
	return true
}

// drain begins nothing new and waits until all changes are in the table. It doesn't
// wait for a table that can't be reached.
func (o *Owner) drain() {
	ctx, cancel := context.WithTimeout(o.ctx, drainWait)
	defer cancel()
	for {
		o.mu.Lock()
		o.stopping = true
		over := o.ended || o.away || o.core.Unwritten() == 0
		written := o.written
		o.mu.Unlock()
		if over {
			return
		}
		o.poke()
		select {
		case <-ctx.Done():
			return
		case <-written:
		}
	}
}
