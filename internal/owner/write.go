package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// writeLoop writes pending changes, and renews the lease with every write.
func (o *Owner) writeLoop() {
	var failing time.Duration // when the first of the current failures began; 0: the last write succeeded
	var usual time.Duration   // duration of the last successful write
	for o.ctx.Err() == nil {
		began := o.conf.Now()
		more, err := o.write()
		if err != nil {
			if failing == 0 {
				failing = began
			}
			if now := o.conf.Now(); o.stuck != nil && now-failing > o.stuckAfter+min(slowWrites*usual, slowMost) {
				o.settle(true) // the callback may stop this owner, which must not wait for a write
				o.stuck(now - failing)
			}
			o.rest(nil, writeAgain)
			continue
		}
		failing, usual = 0, o.conf.Now()-began
		if more {
			continue // there are enough changes already, so don't pause to gather more
		}
		o.rest(nil, writeGap)
		timer := time.NewTimer(renewEvery)
		select {
		case <-o.ctx.Done():
		case <-o.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const (
	// slowWrites is how many times the duration of the last successful write is added to the time
	// before a pool whose writes fail is left, so that a failed write can be retried as often.
	// While the table was slow, one lost answer and the retry took longer than that time, and the
	// pool went to an entry for which the table was just as slow: the pool stood still for 1.5 s,
	// and again 3 s later.
	slowWrites = 2
	// slowMost bounds that addition, because the pool has to be offered before its lease is over.
	slowMost = 700 * time.Millisecond
)

// settle records, after a write, whether the table is unreachable, and wakes those that wait for a
// write.
func (o *Owner) settle(away bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.away = away
	close(o.written)
	o.written = make(chan struct{})
}

// isAway reports whether the last write got no complete answer.
func (o *Owner) isAway() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away
}

// reaches reports whether the table answers a read. It is called after a failed write, because a
// write that is sent before the table is back hangs for longer than a read does.
func (o *Owner) reaches() bool {
	ctx, cancel := context.WithTimeout(o.ctx, reachWait)
	defer cancel()
	_, _, err := o.conf.Store.Range(ctx, gauge.TableLeases, o.conf.Pool, gauge.KeyOwner, gauge.KeyOwner+"\x00")
	return err == nil
}

// reachWait bounds that read. It takes 4 ms, or 60 to 90 times as long while the table is slow.
const reachWait = 450 * time.Millisecond

// pending is one transaction: the lease row and the changes of jobs.
type pending struct {
	batch sched.Batch
	txn   gauge.PartTxn
	lease gauge.LeaseRow
	names []gauge.Life // incarnations of workers that the lease row names
}

// write sends one transaction and applies its result. It reports whether the next one is due at
// once.
func (o *Owner) write() (more bool, err error) {
	if o.isAway() && !o.reaches() {
		return false, gauge.Fail(gauge.KindOutage, "the table doesn't answer a read")
	}
	p, err := o.prepare()
	if err != nil {
		o.conf.Logs.Error(err, "write not made", "pool", o.conf.Pool)
		return false, err
	}
	sent := o.conf.Now()
	o.locked(func() { o.writing = sent })
	stamp, rows, err := o.conf.Lease.Commit(o.ctx, p.lease, p.txn)
	took := o.conf.Now() - sent
	o.locked(func() { o.writing, o.took = 0, took })
	o.conf.Count("write", took)
	switch gauge.KindOf(err) {
	case gauge.KindFenced:
		o.lose(err.Error())
		return false, err
	case gauge.KindConflict:
		o.conf.Logs.Info("write refused", "pool", o.conf.Pool, "changes", len(p.batch.Changes), "rows", len(rows), "took", took)
		o.conflicted(rows)
		return false, err
	}
	if err != nil {
		o.avoid(p.batch.Queue)
		o.conf.Logs.Info("write failed", "pool", o.conf.Pool, "queue", p.batch.Queue, "changes", len(p.batch.Changes), "lease", o.conf.Lease.Until()-o.conf.Now(),
			"took", took, "kind", gauge.KindOf(err), "error", err.Error())
		o.settle(true)
		return false, err
	}
	o.conf.Stamp(stamp, sent)
	return o.wrote(p, stamp), nil
}

// avoid holds back a queue's changes for a while after a write with them has failed. Only the
// partition of the table that holds this queue may be failing; the next write, without these
// changes, then renews the lease.
func (o *Owner) avoid(queue string) {
	if queue != "" {
		o.avoids[queue] = o.conf.Now() + avoidFor
	}
}

func (o *Owner) avoided(queue string) bool { return o.conf.Now() < o.avoids[queue] }

// avoidFor is the pause between two attempts to write a queue's changes.
const avoidFor = 400 * time.Millisecond

func (o *Owner) prepare() (pending, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch, err := o.core.Batch(batchEntries, o.conf.Clock(), o.avoided)
	if err != nil {
		return pending{}, err
	}
	names := o.core.Name()
	p := pending{batch: batch, lease: o.leaseRow(names), names: names}
	for _, c := range batch.Changes {
		job := gauge.RowKey{Table: gauge.TableJobs, Part: c.Queue, Key: c.Job}
		p.txn.Checks = append(p.txn.Checks, gauge.RowCheck{RowKey: job, Version: c.Version})
		p.txn.Writes = append(p.txn.Writes, gauge.RowWrite{RowKey: job, Value: c.Row})
		if c.Final {
			p.txn.Drops = append(p.txn.Drops,
				gauge.RowKey{Table: gauge.TableSpecs, Part: c.Queue, Key: c.Job},
				gauge.RowKey{Table: gauge.TableOpen, Part: c.Queue, Key: c.Job})
		}
	}
	return p, nil
}

// leaseRow returns the lease row with this owner's counts or, before the pool is loaded, with those
// of the previous owner, which are reported while they are recent enough. Queues that haven't been
// read, or not for long, are listed as unread, because reporting them as empty would hide the jobs
// that wait there.
func (o *Owner) leaseRow(names []gauge.Life) gauge.LeaseRow {
	row := gauge.LeaseRow{Workers: lifeNames(names), Unnoted: o.unnotedBefore()}
	if !o.loaded {
		row.CountsOf(&o.conf.Before)
		return row
	}
	row.Depths, row.Unread, row.Counted = o.core.Depths(), o.unsighted(), o.conf.Clock()
	return row
}

// unnotedFor is how long an owner hands on that previous owners may not have recorded all crashes.
// After that, the tasks from before have run for long enough, or have crashed under this owner.
const unnotedFor = 30 * time.Second

// unnotedBefore returns how many of the previous owners may not have recorded all crashes.
func (o *Owner) unnotedBefore() int {
	switch {
	case o.conf.Now()-o.began >= unnotedFor:
		return 0
	case o.core.LostBefore():
		return o.conf.Before.Unnoted + 1
	default:
		return o.conf.Before.Unnoted
	}
}

func lifeNames(lives []gauge.Life) []string {
	names := make([]string, len(lives))
	for i, l := range lives {
		names[i] = l.String()
	}
	return names
}

func parseLives(names []string) []gauge.Life {
	lives := make([]gauge.Life, len(names))
	for i, name := range names {
		lives[i] = gauge.ParseLife(name)
	}
	return lives
}

// wrote applies a write that is in the table. It reports whether the next one is due at once.
func (o *Owner) wrote(p pending, stamp gauge.Stamp) bool {
	urgent, more := false, false
	o.locked(func() {
		o.core.Written(p.batch, stamp.Version, o.conf.Now())
		o.core.Noted(p.names, stamp.Version)
		urgent = o.core.Urgent()
		more = p.batch.More || o.stopping && len(p.batch.Changes) > 0 && o.core.Unwritten() > 0
	})
	o.settle(false)
	if urgent {
		o.poke()
	}
	o.act(nil)
	return more
}

// conflicted applies the job rows that the table returned with a refused write.
func (o *Owner) conflicted(rows []gauge.PartRow) {
	for _, r := range rows {
		row, err := gauge.DecodeJobRow(r.Value)
		if err != nil {
			o.conf.Logs.Error(err, "job row not read", "job", r.Key, "pool", o.conf.Pool)
			continue
		}
		o.locked(func() { o.core.Conflicted(r.Key, row, r.Version) })
	}
	o.act(nil)
}
