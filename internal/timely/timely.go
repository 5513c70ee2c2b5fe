// Package timely finds out why a transaction has no answer yet, and sets its timeout accordingly.
//
// A lost answer never comes. A slow table answers after most of a second, and each attempt that
// times out before makes it do wasted work. No single timeout fits both: a long one blocks
// a queue's submissions, or the renewal of a lease within its term, for each lost answer; a short
// one fails every write while the table is slow. So when an answer is late, a read of a row of
// the transaction tells the cases apart: if the read is fast, the answer is lost; if it is slow,
// the table is slow; if it has no answer, the table is unreachable.
package timely

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Table.
type Config struct {
	Store         gauge.PartitionedTable
	CheckDelay    time.Duration // after this long without an answer the cause is checked by a read
	MaxFastRead   time.Duration // a read that takes no longer shows that the table isn't slow
	ReadTimeout   time.Duration // timeout of the read; after it the table counts as unreachable
	CommitTimeout time.Duration // timeout of a transaction on a slow table
	Now           func() time.Duration
}

// Table is a gauge.PartitionedTable whose Commit stops waiting for an answer that won't come. Reads
// are passed through unchanged.
type Table struct {
	gauge.PartitionedTable
	conf Config
}

// New makes a Table.
func New(c Config) *Table { return &Table{PartitionedTable: c.Store, conf: c} }

// Commit implements gauge.PartitionedTable. When it stops waiting for the answer, the error is of
// KindUnknown: the transaction may or may not be stored.
func (t *Table) Commit(ctx context.Context, txn gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	ctx, cancel := context.WithTimeout(ctx, t.conf.CommitTimeout)
	defer cancel()
	check := time.AfterFunc(t.conf.CheckDelay, func() {
		if len(txn.Checks) > 0 && !t.isSlow(ctx, txn.Checks[0].RowKey) {
			cancel()
		}
	})
	defer check.Stop()
	return t.PartitionedTable.Commit(ctx, txn)
}

// isSlow reports whether the partition that holds a row answers a read, but slowly.
func (t *Table) isSlow(ctx context.Context, row gauge.RowKey) bool {
	ctx, cancel := context.WithTimeout(ctx, t.conf.ReadTimeout)
	defer cancel()
	sent := t.conf.Now()
	_, _, err := t.Range(ctx, row.Table, row.Partition, row.Key, row.Key+"\x00")
	return err == nil && t.conf.Now()-sent > t.conf.MaxFastRead
}
