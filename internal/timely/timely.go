// Package timely bounds how long a transaction's answer is waited for by how
// long the last ones took, the way TCP sets its retransmission timeout (RFC 6298).
//
// Without it one bound has to serve a calm table, which answers in some
// milliseconds, and a slow one, which takes most of a second. Then each answer
// that is lost on its way costs the long bound, during which whatever waits for
// the same transaction stands still: hand-ins of a queue, and the renewal of a
// lease, of which only two tries fit into its term.
package timely

import (
	"context"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Table.
type Config struct {
	Store gauge.Parted
	Least time.Duration // no answer is waited for shorter than this
	Most  time.Duration // nor longer
	Now   func() time.Duration
}

// Table is a gauge.Parted whose Commit gives up an answer that is overdue. The
// reads are passed on as they are: some wait for a change.
type Table struct {
	gauge.Parted
	conf Config

	mu       sync.Mutex
	mean     time.Duration // smoothed time to an answer; 0: none came yet
	spread   time.Duration // smoothed distance from it
	unheeded int           // transactions in a row without an answer
}

// New makes a Table.
func New(c Config) *Table { return &Table{Parted: c.Store, conf: c} }

// Shares of the newest answer in the smoothed figures, and how many spreads over
// the mean an answer may take: those of RFC 6298.
const (
	meanShare   = 8
	spreadShare = 4
	spreads     = 4
)

// Commit is that of gauge.Parted. An overdue answer is one of KindUnknown.
func (t *Table) Commit(ctx context.Context, txn gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Wait())
	defer cancel()
	sent := t.conf.Now()
	stamp, rows, err := t.Parted.Commit(ctx, txn)
	t.note(t.conf.Now()-sent, ctx.Err() == nil)
	return stamp, rows, err
}

// Wait is how long the next answer is waited for. It doubles with each that
// didn't come, so that a table that has just become slow is not given up for good.
func (t *Table) Wait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(t.conf.Least, t.mean+spreads*t.spread)
	for range t.unheeded {
		if wait >= t.conf.Most {
			break
		}
		wait *= 2
	}
	return min(wait, t.conf.Most)
}

func (t *Table) note(took time.Duration, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !answered {
		t.unheeded++
		return
	}
	t.unheeded = 0
	if t.mean == 0 {
		t.mean, t.spread = took, took/2
		return
	}
	t.spread += ((took - t.mean).Abs() - t.spread) / spreadShare
	t.mean += (took - t.mean) / meanShare
}
