package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// writeLoop writes pending changes, and renews the lease with every write.
func (o *Owner) writeLoop() {
	var failingSince time.Duration  // when the first of the current failures began; 0: the last write succeeded
	var lastWriteTook time.Duration // duration of the last successful write
	for o.ctx.Err() == nil {
		began := o.conf.Now()
		more, err := o.write()
		if err != nil {
			if failingSince == 0 {
				failingSince = began
			}
			if now := o.conf.Now(); o.onHandoverNeeded != nil && now-failingSince > o.handoverAfter+min(slowWriteRetries*lastWriteTook, maxSlowWriteDelay) {
				o.recordWrite(true) // the callback may stop this owner, which must not wait for a write
				o.onHandoverNeeded(now - failingSince)
			}
			o.pause(nil, writeRetryDelay)
			continue
		}
		failingSince, lastWriteTook = 0, o.conf.Now()-began
		if more {
			continue // there are enough changes already, so don't pause to gather more
		}
		o.pause(nil, minWriteInterval)
		timer := time.NewTimer(renewInterval)
		select {
		case <-o.ctx.Done():
		case <-o.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const (
	// slowWriteRetries is how many times the duration of the last successful write is added to the
	// time after which a pool whose writes fail is offered to another entry, so that a failed write
	// can be retried as often. While the table was slow, one lost answer and the retry took longer
	// than that time, and the pool went to an entry for which the table was just as slow: the pool
	// started nothing for 1.5 s, and did so again 3 s later.
	slowWriteRetries = 2
	// maxSlowWriteDelay bounds what is added, because the pool has to be offered before its lease
	// is over.
	maxSlowWriteDelay = 700 * time.Millisecond
)

// recordWrite records, after a write, whether the table is unreachable, and wakes those that wait
// for a write.
func (o *Owner) recordWrite(unreachable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tableUnreachable = unreachable
	close(o.writeDone)
	o.writeDone = make(chan struct{})
}

// isTableUnreachable reports whether the last write that wasn't refused got no complete answer.
func (o *Owner) isTableUnreachable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tableUnreachable
}

// canReadTable reports whether the table answers a read. It is called after a failed write, because
// a write that is sent before the table is back hangs for longer than a read does.
func (o *Owner) canReadTable() bool {
	ctx, cancel := context.WithTimeout(o.ctx, tableProbeTimeout)
	defer cancel()
	_, _, err := o.conf.Store.Range(ctx, gauge.TableLeases, o.conf.Pool, gauge.KeyOwner, gauge.KeyOwner+"\x00")
	return err == nil
}

// tableProbeTimeout bounds that read. It takes 4 ms, or 60 to 90 times as long while the table is
// slow.
const tableProbeTimeout = 450 * time.Millisecond

// pendingWrite is one transaction: the lease row and the changes of jobs.
type pendingWrite struct {
	batch        sched.Batch
	txn          gauge.PartitionTxn
	lease        gauge.LeaseRow
	namedWorkers []gauge.Incarnation // incarnations of workers that the lease row names
}

// write sends one transaction and applies its result. It reports whether the next one is due at
// once.
func (o *Owner) write() (more bool, err error) {
	if o.isTableUnreachable() && !o.canReadTable() {
		return false, gauge.Errorf(gauge.KindOutage, "the table doesn't answer a read")
	}
	p, err := o.prepareWrite()
	if err != nil {
		o.conf.Logs.Error(err, "transaction not built", "pool", o.conf.Pool)
		return false, err
	}
	sent := o.conf.Now()
	o.withLock(func() { o.writeSentAt = sent })
	position, rows, err := o.conf.Lease.Commit(o.ctx, p.lease, p.txn)
	took := o.conf.Now() - sent
	o.withLock(func() { o.writeSentAt, o.lastWriteTook = 0, took })
	o.conf.ObserveCall("write", took)
	switch gauge.KindOf(err) {
	case gauge.KindFenced:
		o.loseLease(err.Error())
		return false, err
	case gauge.KindConflict:
		o.conf.Logs.Info("write refused", "pool", o.conf.Pool, "changes", len(p.batch.Changes), "rows", len(rows), "took", took)
		o.applyConflicts(rows)
		return false, err
	}
	if err != nil {
		o.conf.Logs.Info("write failed", "pool", o.conf.Pool, "queue", p.batch.Queue, "changes", len(p.batch.Changes), "largest", p.batch.LargestRow(), "lease", o.conf.Lease.Until()-o.conf.Now(),
			"took", took, "kind", gauge.KindOf(err), "error", err.Error())
		o.handleFailedWrite(p.batch, err)
		return false, err
	}
	o.conf.ObserveTableClock(position, sent)
	return o.applyWrite(p, position, sent), nil
}

// handleFailedWrite handles a write that failed for another reason than a changed row.
func (o *Owner) handleFailedWrite(b sched.Batch, err error) {
	if gauge.IsKind(err, gauge.KindInvalid) && len(b.Changes) > 0 {
		// The table answers, and would refuse these rows again.
		o.withLock(func() { o.pool.BatchRefused(b) })
		return
	}
	o.holdBack(b.Queue)
	o.recordWrite(true)
}

// holdBack holds back a queue's changes for a while after a write with them has failed. Only the
// partition of the table that holds this queue may be failing; the next write, without these
// changes, then renews the lease.
func (o *Owner) holdBack(queue string) {
	if queue != "" {
		o.heldBackUntil[queue] = o.conf.Now() + holdBackDelay
	}
}

func (o *Owner) isHeldBack(queue string) bool { return o.conf.Now() < o.heldBackUntil[queue] }

// holdBackDelay is the pause between two attempts to write a queue's changes.
const holdBackDelay = 400 * time.Millisecond

func (o *Owner) prepareWrite() (pendingWrite, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := o.pool.LeaseRowWorkers()
	lease := o.leaseRow(names)
	// After a failed write the lease is renewed alone: the partitions of several queues may fail.
	avoid := func(queue string) bool { return o.tableUnreachable || o.isHeldBack(queue) }
	batch, err := o.pool.NextBatch(maxTxnOperations-o.conf.Lease.Operations(&lease), o.conf.TableClock(), avoid)
	if err != nil {
		return pendingWrite{}, err
	}
	p := pendingWrite{batch: batch, lease: lease, namedWorkers: names}
	for _, c := range batch.Changes {
		job := gauge.RowKey{Table: gauge.TableJobs, Partition: c.Queue, Key: c.Job}
		p.txn.Checks = append(p.txn.Checks, gauge.RowCheck{RowKey: job, Version: c.Version})
		p.txn.Writes = append(p.txn.Writes, gauge.RowWrite{RowKey: job, Value: c.Row})
		if c.Final {
			p.txn.Deletes = append(p.txn.Deletes,
				gauge.RowKey{Table: gauge.TableSpecs, Partition: c.Queue, Key: c.Job},
				gauge.RowKey{Table: gauge.TableOpen, Partition: c.Queue, Key: c.Job})
		}
	}
	return p, nil
}

// leaseRow returns the lease row with this owner's counts or, before the pool is loaded, with those
// of the previous owner, which are reported while they are recent enough. Queues that haven't been
// read, or not recently, are listed as unread, because reporting them as empty would hide the jobs
// that wait there.
func (o *Owner) leaseRow(named []gauge.Incarnation) gauge.LeaseRow {
	row := gauge.LeaseRow{Workers: incarnationNames(named), UnrecordedOwners: o.unrecordedCrashes()}
	if o.conf.TableClock() < o.earlierLeaseUntil {
		row.EarlierLeaseUntil = o.earlierLeaseUntil
	}
	if !o.loaded {
		row.InheritDepths(&o.conf.PreviousRow)
		return row
	}
	row.Depths, row.UnreadQueues, row.Counted = o.pool.QueueDepths(), o.queuesWithoutCount(), o.conf.TableClock()
	return row
}

// unrecordedCrashesSpan is how long an owner keeps saying in the lease row that previous owners may
// not have recorded all crashes. After that, the tasks from before have run for long enough, or
// have crashed under this owner.
const unrecordedCrashesSpan = 30 * time.Second

// unrecordedCrashes returns how many of the previous owners may not have recorded all crashes.
func (o *Owner) unrecordedCrashes() int {
	switch {
	case o.conf.Now()-o.claimedAt >= unrecordedCrashesSpan:
		return 0
	case o.pool.HasUnreportedLosses():
		return o.conf.PreviousRow.UnrecordedOwners + 1
	default:
		return o.conf.PreviousRow.UnrecordedOwners
	}
}

func incarnationNames(incarnations []gauge.Incarnation) []string {
	names := make([]string, len(incarnations))
	for i, incarnation := range incarnations {
		names[i] = incarnation.String()
	}
	return names
}

func parseIncarnations(names []string) []gauge.Incarnation {
	incarnations := make([]gauge.Incarnation, len(names))
	for i, name := range names {
		incarnations[i] = gauge.ParseIncarnation(name)
	}
	return incarnations
}

// applyWrite applies a write that was sent at a time and is in the table. It reports whether the next
// one is due at once.
func (o *Owner) applyWrite(p pendingWrite, position gauge.TablePosition, sent time.Duration) bool {
	urgent, more := false, false
	o.withLock(func() {
		o.pool.LeaseHeld(sent)
		o.pool.BatchWritten(p.batch, position.Version, o.conf.Now())
		o.pool.LeaseRowWritten(p.namedWorkers, position.Version)
		urgent = o.pool.HasUrgent()
		more = p.batch.HasMore || o.stopping && len(p.batch.Changes) > 0 && o.pool.UnwrittenJobs() > 0
	})
	o.recordWrite(false)
	if urgent {
		o.wakeWriter()
	}
	o.update(nil)
	return more
}

// applyConflicts applies the job rows that the table returned with a refused write.
func (o *Owner) applyConflicts(rows []gauge.PartitionRow) {
	for _, r := range rows {
		row, err := gauge.DecodeJobRow(r.Value)
		if err != nil {
			o.conf.Logs.Error(err, "job row not decoded", "job", r.Key, "pool", o.conf.Pool)
			continue
		}
		o.withLock(func() { o.pool.RowConflicted(r.Key, row, r.Version) })
	}
	o.update(nil)
}
