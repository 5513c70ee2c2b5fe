package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

const (
	// limitInterval is how often the parts of the client accounts' limits are looked at when no
	// start is held back.
	limitInterval = 200 * time.Millisecond
	// limitReadInterval is how often the parts of other pools are read while they have what is
	// wanted here.
	limitReadInterval = 250 * time.Millisecond
	// limitRetryDelay is the pause after a refused or failed call.
	limitRetryDelay = 30 * time.Millisecond
	// maxLimitWrites is how many accounts' rows are written in a transaction: each takes a check and
	// a write, of 100.
	maxLimitWrites = 40
)

// limitLoop keeps the pool's parts of the client accounts' limits.
func (o *Owner) limitLoop() {
	var readAt time.Duration
	for o.ctx.Err() == nil {
		needsRead, hasLimits := false, false
		o.withLock(func() { needsRead, hasLimits = o.limits.NeedsRead(), o.limits.HasLimits() })
		if !hasLimits {
			o.awaitLimits()
			continue
		}
		if needsRead && (readAt == 0 || o.conf.Now()-readAt >= limitReadInterval) {
			readAt = o.conf.Now()
			if err := o.readLimits(); err != nil {
				o.conf.Logs.Info("limits not read", "pool", o.conf.Pool, "error", err.Error())
				o.pause(nil, limitReadInterval)
				continue
			}
		}
		if !o.writeLimits() {
			o.pause(nil, limitRetryDelay)
			continue
		}
		o.awaitLimitWork()
	}
}

// awaitLimits waits for a configuration, which may have limits.
func (o *Owner) awaitLimits() {
	select {
	case <-o.ctx.Done():
	case <-o.limitWake:
	}
}

// awaitLimitWork waits until a start is held back, or for limitInterval.
func (o *Owner) awaitLimitWork() {
	o.pause(nil, limitRetryDelay)
	timer := time.NewTimer(limitInterval)
	defer timer.Stop()
	select {
	case <-o.ctx.Done():
	case <-o.limitWake:
	case <-timer.C:
	}
}

// wakeLimits has limitLoop look at once whether held back starts can be allowed.
func (o *Owner) wakeLimits() {
	select {
	case o.limitWake <- struct{}{}:
	default:
	}
}

// readLimits reads the parts of all pools.
func (o *Owner) readLimits() error {
	rows, _, err := o.conf.Store.Range(o.ctx, gauge.TableLimits, "", "", "")
	if err != nil {
		return err
	}
	limits, versions := o.decodeLimits(rows)
	o.withLock(func() { o.limits.SetRows(limits, versions) })
	return nil
}

// decodeLimits returns the rows by account. One that can't be decoded is left out: the account's
// next write then conflicts, and nothing of it starts.
func (o *Owner) decodeLimits(rows []gauge.PartitionRow) (map[string]gauge.LimitRow, map[string]int64) {
	limits, versions := make(map[string]gauge.LimitRow, len(rows)), make(map[string]int64, len(rows))
	for _, r := range rows {
		if r.Deleted || r.Version == 0 {
			limits[r.Key], versions[r.Key] = gauge.LimitRow{}, 0
			continue
		}
		row, err := gauge.DecodeLimitRow(r.Value)
		if err != nil {
			o.conf.Logs.Error(err, "limit row not decoded", "account", r.Key, "version", r.Version)
			continue
		}
		limits[r.Key], versions[r.Key] = *row, r.Version
	}
	return limits, versions
}

// writeLimits writes the parts that are to change. It reports false if some have to be looked at
// again.
func (o *Owner) writeLimits() bool {
	var writes []limit.Write
	o.withLock(func() {
		if !o.stopping && o.conf.Now() < o.conf.Lease.Until() {
			writes = o.limits.Update(o.pool.AccountUses(), o.conf.Now())
		}
	})
	done := true
	for len(writes) > 0 {
		n := min(len(writes), maxLimitWrites)
		done = o.commitLimits(writes[:n]) && done
		writes = writes[n:]
	}
	return done
}

// commitLimits sends one transaction and applies its result.
func (o *Owner) commitLimits(writes []limit.Write) bool {
	var txn gauge.PartitionTxn
	for _, w := range writes {
		value, err := w.Row.Encode()
		if err != nil {
			o.conf.Logs.Error(err, "limit row not encoded", "account", w.Account)
			return false
		}
		key := gauge.RowKey{Table: gauge.TableLimits, Key: w.Account}
		txn.Checks = append(txn.Checks, gauge.RowCheck{RowKey: key, Version: w.Version})
		txn.Writes = append(txn.Writes, gauge.RowWrite{RowKey: key, Value: value})
	}
	ctx, cancel := context.WithTimeout(o.ctx, limitWriteTimeout)
	defer cancel()
	position, rows, err := o.conf.Store.Commit(ctx, txn)
	switch {
	case err == nil:
		o.withLock(func() { o.limits.Written(writes, position.Version) })
		o.update(nil)
		return true
	case gauge.IsKind(err, gauge.KindConflict):
		limits, versions := o.decodeLimits(rows)
		o.withLock(func() { o.limits.Conflicted(writes, limits, versions) })
		return false
	}
	o.conf.Logs.Info("limits not written", "pool", o.conf.Pool, "accounts", len(writes), "kind", gauge.KindOf(err), "error", err.Error())
	o.withLock(func() { o.limits.Unanswered(writes) })
	return false
}

// limitWriteTimeout bounds a write of limits: it takes 5 ms, and 60 to 90 times as long while the
// table is slow.
const limitWriteTimeout = 900 * time.Millisecond
