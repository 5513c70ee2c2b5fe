package owner

import (
	"context"
	"time"
)

// flushTimeout bounds how long a handover waits for unwritten changes: about 30 transactions, or
// 1,000 ended jobs. An entry that stops has one second for all of its pools, and needs the rest to
// find successors and get their answers.
const flushTimeout = 400 * time.Millisecond

// maxFastWrite is the longest write while the table isn't slow: a write takes about 10 ms, and a
// tenth of a second more when the CPU quota is used up.
const maxFastWrite = 150 * time.Millisecond

// IsTableFast reports whether a successor could take over quickly because the table answers and
// isn't slow. Claiming a lease and reading a pool takes about five calls in sequence; with a table
// 65 times slower than usual, a busy pool started nothing for two to three seconds.
func (o *Owner) IsTableFast() bool {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended || !o.tableUnreachable && o.lastWriteTook < maxFastWrite && (o.writeSentAt == 0 || now-o.writeSentAt < maxFastWrite)
}

// Stop ends all work, so that a successor who is offered the pool needn't wait. It first writes the
// pending changes: the end of a run that isn't in the table is lost if its worker leaves before the
// successor has called it. Meanwhile the lease is held, and each write renews it. It reports false
// if the owner had ended already.
func (o *Owner) Stop(why string) bool {
	began := o.conf.Now()
	o.flushChanges()
	if !o.end() {
		return false
	}
	b := o.backlog(o.conf.Now())
	o.conf.Logs.Info("pool left", "pool", o.conf.Pool, "fence", o.conf.Fence, "reason", why,
		"unwritten", b.UnwrittenChanges, "ends", b.UnacknowledgedEnds, "took", o.conf.Now()-began)
	return true
}

// flushChanges starts nothing new and waits until all changes are in the table, or for
// flushTimeout. It doesn't wait if the table is unreachable.
func (o *Owner) flushChanges() {
	ctx, cancel := context.WithTimeout(o.ctx, flushTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		o.stopping = true
		done := o.ended || o.tableUnreachable || o.pool.UnwrittenJobs() == 0
		writeDone := o.writeDone
		o.mu.Unlock()
		if done {
			return
		}
		o.wakeWriter()
		select {
		case <-ctx.Done():
			return
		case <-writeDone:
		}
	}
}
