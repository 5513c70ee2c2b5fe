package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// writeLoop writes what has changed, and renews the lease with every write.
func (o *Owner) writeLoop() {
	for o.ctx.Err() == nil {
		if !o.write() {
			o.rest(nil, writeAgain)
			continue
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

// pending is one write: the lease row and the changes of jobs.
type pending struct {
	batch   sched.Batch
	txn     gauge.PartTxn
	workers []string
}

func leaseKey(pool string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableLeases, Part: pool, Key: gauge.KeyOwner}
}

// write sends one transaction; true: the table has it.
func (o *Owner) write() bool {
	p, err := o.prepare()
	if err != nil {
		o.conf.Logs.Error(err, "write not made", "pool", o.conf.Pool)
		return false
	}
	sent := o.conf.Now()
	stamp, rows, err := o.conf.Store.Commit(o.ctx, p.txn)
	took := o.conf.Now() - sent
	o.conf.Count("write", took)
	switch {
	case err == nil:
		o.conf.Stamp(stamp)
		o.wrote(p, stamp, sent)
		return true
	case gauge.Is(err, gauge.KindConflict):
		o.conf.Logs.Info("write refused", "pool", o.conf.Pool, "changes", len(p.batch.Changes), "rows", len(rows), "took", took)
		o.conflicted(rows)
		return false
	default:
		o.conf.Logs.Info("write failed", "pool", o.conf.Pool, "changes", len(p.batch.Changes), "lease", o.until-o.conf.Now(),
			"took", took, "kind", gauge.KindOf(err), "error", err.Error())
		return false
	}
}

func (o *Owner) prepare() (pending, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch, err := o.core.Batch(batchJobs, o.conf.Clock())
	if err != nil {
		return pending{}, err
	}
	p := pending{batch: batch, workers: o.core.Known()}
	row := gauge.LeaseRow{
		Holder: o.conf.Holder, Addr: o.conf.Addr, Term: o.conf.Term, Workers: p.workers, Depths: o.core.Depths(),
	}
	value, err := row.Encode()
	if err != nil {
		return pending{}, err
	}
	key := leaseKey(o.conf.Pool)
	p.txn.Checks = append(p.txn.Checks, gauge.RowCheck{RowKey: key, Version: o.version})
	p.txn.Writes = append(p.txn.Writes, gauge.RowWrite{RowKey: key, Value: value})
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

// wrote takes in that a write is in the table.
func (o *Owner) wrote(p pending, stamp gauge.Stamp, sent time.Duration) {
	o.mu.Lock()
	o.version = stamp.Version
	o.until = sent + o.conf.Lease
	o.core.Written(p.batch, stamp.Version)
	o.core.Noted(p.workers)
	close(o.written)
	o.written = make(chan struct{})
	more := o.core.Urgent()
	o.mu.Unlock()
	if more {
		o.poke()
	}
	if len(p.batch.Changes) > 0 {
		o.act(nil)
	}
}

// conflicted takes in the rows as the table has them. A lease row of this holder
// means that an earlier write without an answer was carried out.
func (o *Owner) conflicted(rows []gauge.PartRow) {
	for _, r := range rows {
		if r.Table == gauge.TableLeases {
			lease, err := gauge.DecodeLeaseRow(r.Value)
			if err != nil || lease.Holder != o.conf.Holder || lease.Term != o.conf.Term {
				o.lose("the table names another holder")
				return
			}
			o.mu.Lock()
			o.version = max(o.version, r.Version)
			o.mu.Unlock()
			continue
		}
		row, err := gauge.DecodeJobRow(r.Value)
		if err != nil {
			o.conf.Logs.Error(err, "job row not read", "job", r.Key, "pool", o.conf.Pool)
			continue
		}
		o.mu.Lock()
		o.core.Conflicted(r.Key, row, r.Version)
		o.mu.Unlock()
	}
	o.act(nil)
}

// giveUp writes a lease row without a holder.
func (o *Owner) giveUp(ctx context.Context) {
	o.mu.Lock()
	row := gauge.LeaseRow{Term: o.conf.Term, Workers: o.core.Known(), Depths: o.core.Depths()}
	version := o.version
	o.mu.Unlock()
	value, err := row.Encode()
	if err != nil {
		o.conf.Logs.Error(err, "lease not given up", "pool", o.conf.Pool)
		return
	}
	key := leaseKey(o.conf.Pool)
	_, _, err = o.conf.Store.Commit(ctx, gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: version}},
		Writes: []gauge.RowWrite{{RowKey: key, Value: value}},
	})
	if err != nil {
		o.conf.Logs.Info("lease not given up", "pool", o.conf.Pool, "error", err.Error())
		return
	}
	o.conf.Logs.Info("lease given up", "pool", o.conf.Pool, "fence", o.conf.Fence)
}
