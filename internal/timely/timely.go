// Package timely finds out why a transaction has no answer yet, so that each case
// is waited for as long as it deserves.
//
// An answer that is lost on its way never comes; one of a slow table comes after
// most of a second, and giving it up has the table do the work for nothing, again
// and again. One bound can't serve both: a long one has a queue's hand-ins, or a
// lease that must be renewed within its term, stand still for each lost answer; a
// short one has every write of a slow spell fail. So when an answer is late, a read
// of a row of the transaction tells the cases apart: answered fast, the answer is
// lost; answered slowly, the table is slow; not answered, it is away.
package timely

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Table.
type Config struct {
	Store gauge.Parted
	Late  time.Duration // an answer that takes longer is looked into
	Fast  time.Duration // a read that takes no longer shows that the table isn't slow
	Away  time.Duration // a read that takes longer shows that it is away
	Most  time.Duration // a slow table's answer is waited for no longer
	Now   func() time.Duration
}

// Table is a gauge.Parted whose Commit gives up an answer that won't come. The
// reads are passed on as they are.
type Table struct {
	gauge.Parted
	conf Config
}

// New makes a Table.
func New(c Config) *Table { return &Table{Parted: c.Store, conf: c} }

// Commit is that of gauge.Parted. An answer that was given up is one of KindUnknown.
func (t *Table) Commit(ctx context.Context, txn gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	ctx, cancel := context.WithTimeout(ctx, t.conf.Most)
	defer cancel()
	look := time.AfterFunc(t.conf.Late, func() {
		if len(txn.Checks) > 0 && !t.slow(ctx, txn.Checks[0].RowKey) {
			cancel()
		}
	})
	defer look.Stop()
	return t.Parted.Commit(ctx, txn)
}

// slow tells whether the part of the table with a row answers, but slowly.
func (t *Table) slow(ctx context.Context, row gauge.RowKey) bool {
	ctx, cancel := context.WithTimeout(ctx, t.conf.Away)
	defer cancel()
	sent := t.conf.Now()
	_, _, err := t.Range(ctx, row.Table, row.Part, row.Key, row.Key+"\x00")
	return err == nil && t.conf.Now()-sent > t.conf.Fast
}
