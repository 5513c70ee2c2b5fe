// Package tenure holds one lease in the table. Every transaction made with the lease is conditional
// on this holder still having it, and renews it.
package tenure

import (
	"context"
	"slices"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Config holds the settings and dependencies of a Tenure.
type Config struct {
	Key           gauge.RowKey  // key of the lease row
	Holder        string        // name of this entry and of its start
	Addr          string        // address for calls from other entries
	Term          int           // number of holders before this one
	Version       int64         // version of the lease row after the claim
	ClaimedAt     time.Duration // when the transaction that claimed the lease was sent
	LeaseDuration time.Duration // how long the lease lasts after a renewal was sent
	Store         gauge.PartitionedTable
	Now           func() time.Duration
	TableClock    func() int64 // the table's clock in milliseconds, approximately
}

// Tenure is one holder's period of holding a lease.
type Tenure struct {
	conf Config

	mu      sync.Mutex
	version int64
	until   time.Duration
	lost    bool
	// stored holds the rows of the handover that are known to be in the table.
	stored map[gauge.RowKey]gauge.HandoverRow
}

// New returns a Tenure of a lease that was just claimed.
func New(c Config) *Tenure {
	return &Tenure{conf: c, version: c.Version, until: c.ClaimedAt + c.LeaseDuration, stored: make(map[gauge.RowKey]gauge.HandoverRow)}
}

// Until returns when the lease ends unless it is renewed. Another entry may have claimed it before if
// it took this holder for dead. The lease duration counts from when the renewal was sent, however long the answer took.
func (t *Tenure) Until() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// Version returns the last known version of the lease row.
func (t *Tenure) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// IsLost reports whether this holder must not use the lease any more: the lease was given up, or
// MarkLost was called.
func (t *Tenure) IsLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// MarkLost records that this holder must not use the lease any more.
func (t *Tenure) MarkLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
}

// Commit carries out a transaction that also renews the lease. With an error of KindConflict it
// returns the other rows as the table has them. KindFenced means that another holder has the lease.
func (t *Tenure) Commit(ctx context.Context, row gauge.LeaseRow, txn gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	sent := t.conf.Now() // before the row's time is read: others count from that
	txn, handover, err := t.withLease(row, txn)
	if err != nil {
		return gauge.TablePosition{}, nil, err
	}
	position, rows, err := t.conf.Store.Commit(ctx, txn)
	if err == nil {
		t.mu.Lock()
		t.version, t.until = position.Version, sent+t.conf.LeaseDuration
		for _, h := range handover {
			t.stored[h.key] = h.row
		}
		t.mu.Unlock()
		return position, nil, nil
	}
	t.mu.Lock()
	for _, h := range handover {
		delete(t.stored, h.key) // the transaction may still be carried out
	}
	t.mu.Unlock()
	if !gauge.IsKind(err, gauge.KindConflict) {
		return position, nil, err
	}
	others, ok := t.splitConflict(rows)
	if !ok {
		t.MarkLost()
		return position, nil, gauge.Errorf(gauge.KindFenced, "the table names another holder").WithCause(err)
	}
	return position, others, err
}

// withLease adds the lease row to a transaction, and the rows of the handover, which the next holder
// needs, except those that are known to be stored. It also returns the rows of the handover that it
// added.
func (t *Tenure) withLease(row gauge.LeaseRow, txn gauge.PartitionTxn) (gauge.PartitionTxn, []handoverRow, error) {
	row.Holder, row.Addr, row.Term = t.conf.Holder, t.conf.Addr, t.conf.Term
	row.RenewedAt = t.conf.TableClock()
	all, handover := row.Split()
	changed := t.changedRows(&handover)
	t.mu.Lock()
	check := gauge.RowCheck{RowKey: t.conf.Key, Version: t.version}
	t.mu.Unlock()
	writes, err := encodeRows(t.conf.Key, &all, changed)
	if err != nil {
		return txn, nil, err
	}
	txn.Checks = append([]gauge.RowCheck{check}, txn.Checks...)
	txn.Writes = append(writes, txn.Writes...)
	return txn, changed, nil
}

// Operations returns how many operations a transaction needs to renew the lease with this row.
func (t *Tenure) Operations(row *gauge.LeaseRow) int {
	_, handover := row.Split()
	return leaseOperations + len(t.changedRows(&handover))
}

// leaseOperations are the check and the write of the lease row.
const leaseOperations = 2

// handoverRow is one row of a handover.
type handoverRow struct {
	key gauge.RowKey
	row gauge.HandoverRow
}

// divide returns the rows in which a handover is stored: the head, and the parts that aren't empty.
func divide(key gauge.RowKey, h *gauge.HandoverRow) []handoverRow {
	head, parts := h.Divide()
	rows := []handoverRow{{key: handoverRowKey(key), row: head}}
	for _, i := range head.Parts {
		partKey := handoverRowKey(key)
		partKey.Key = gauge.HandoverPartKey(key.Key, i)
		rows = append(rows, handoverRow{key: partKey, row: parts[i]})
	}
	return rows
}

// changedRows returns the rows of a handover that aren't known to be stored.
func (t *Tenure) changedRows(h *gauge.HandoverRow) []handoverRow {
	rows := divide(t.conf.Key, h)
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(rows, func(r handoverRow) bool {
		stored, ok := t.stored[r.key]
		return ok && stored.Equal(&r.row)
	})
}

// RowWrites returns the writes that store a lease with another holder than before: first the lease
// row, then the rows of the handover, which only the next holder reads, and the holder row, which
// all entries read.
func RowWrites(key gauge.RowKey, row *gauge.LeaseRow) ([]gauge.RowWrite, error) {
	all, handover := row.Split()
	writes, err := encodeRows(key, &all, divide(key, &handover))
	if err != nil {
		return nil, err
	}
	holder := gauge.HolderRow{Holder: row.Holder, Addr: row.Addr, Term: row.Term}
	value, err := holder.Encode()
	if err != nil {
		return nil, err
	}
	holderKey := gauge.RowKey{Table: gauge.TableHolders, Partition: gauge.PartitionHolders, Key: gauge.HolderKey(key.Partition)}
	return append(writes, gauge.RowWrite{RowKey: holderKey, Value: value}), nil
}

func encodeRows(key gauge.RowKey, lease *gauge.LeaseRow, handover []handoverRow) ([]gauge.RowWrite, error) {
	value, err := lease.Encode()
	if err != nil {
		return nil, err
	}
	writes := []gauge.RowWrite{{RowKey: key, Value: value}}
	for _, h := range handover {
		value, err := h.row.Encode()
		if err != nil {
			return nil, err
		}
		writes = append(writes, gauge.RowWrite{RowKey: h.key, Value: value})
	}
	return writes, nil
}

func handoverRowKey(key gauge.RowKey) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableHandovers, Partition: key.Partition, Key: key.Key}
}

// ReadHandoverRow adds the contents of the handover's rows to a lease row. They are consistent if
// the lease is then claimed at the version with which the lease row was read.
func ReadHandoverRow(ctx context.Context, store gauge.PartitionedTable, key gauge.RowKey, row *gauge.LeaseRow) error {
	rows, _, err := store.Range(ctx, gauge.TableHandovers, key.Partition, key.Key, "")
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return nil // the lease row is from an older version, which stored everything in it
	}
	values := make(map[string][]byte, len(rows))
	for _, r := range rows {
		values[r.Key] = r.Value
	}
	handover, err := gauge.DecodeHandoverRow(values[key.Key])
	if err != nil {
		return err
	}
	for _, i := range handover.Parts {
		part, err := gauge.DecodeHandoverRow(values[gauge.HandoverPartKey(key.Key, i)])
		if err != nil {
			return err
		}
		handover.Merge(part)
	}
	slices.Sort(handover.Workers)
	row.Join(handover)
	return nil
}

// splitConflict removes the lease row from the rows returned with a refused transaction. If it is
// this holder's with another version, an earlier transaction that got no answer has been carried
// out. It reports false if the row is another holder's.
func (t *Tenure) splitConflict(rows []gauge.PartitionRow) ([]gauge.PartitionRow, bool) {
	var others []gauge.PartitionRow
	for _, r := range rows {
		if r.RowKey != t.conf.Key {
			others = append(others, r)
			continue
		}
		lease, err := gauge.DecodeLeaseRow(r.Value)
		if err != nil || lease.Holder != t.conf.Holder || lease.Term != t.conf.Term {
			return nil, false
		}
		t.mu.Lock()
		t.version = max(t.version, r.Version)
		t.mu.Unlock()
	}
	return others, true
}

// GiveUp writes the lease row without a holder, so that another entry needn't wait for the lease to
// expire. The lease must not be used any more.
func (t *Tenure) GiveUp(ctx context.Context, row gauge.LeaseRow) error {
	t.mu.Lock()
	already := t.lost
	t.lost = true
	version := t.version
	t.mu.Unlock()
	if already {
		return nil
	}
	row.Holder, row.Addr, row.Term = "", "", t.conf.Term
	writes, err := RowWrites(t.conf.Key, &row)
	if err != nil {
		return err
	}
	for range maxGiveUpTries {
		var rows []gauge.PartitionRow
		_, rows, err = t.conf.Store.Commit(ctx, gauge.PartitionTxn{
			Checks: []gauge.RowCheck{{RowKey: t.conf.Key, Version: version}},
			Writes: writes,
		})
		if !gauge.IsKind(err, gauge.KindConflict) {
			return err
		}
		// A renewal that was in progress when this call began has been carried out.
		if _, ours := t.splitConflict(rows); !ours {
			return err
		}
		t.mu.Lock()
		version = t.version
		t.mu.Unlock()
	}
	return err
}

// maxGiveUpTries allows for one concurrent renewal, and for one more that got no answer.
const maxGiveUpTries = 3
