package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/jitter"
	"sapphiregauge/internal/watch"
)

// All entries write a row into the same partition of the table, which carries out one transaction
// after the other, and after a power loss all of them start at once. So each waits for a random time
// before it writes, and writes nothing if its row of an earlier start is still right.

const (
	// registerWindow is the window of the random delay before an entry's first attempt. The first
	// whole read of the entries' rows is over before most of it has passed.
	registerWindow = time.Second
	// maxRegisterWindow bounds the window after failed attempts.
	maxRegisterWindow = 16 * time.Second
)

// register writes this entry's row, by which other entries find it. An outdated row does little
// harm, since an entry is probed before a lease is offered to it.
func (n *Node) register(ctx context.Context) {
	entry := gauge.EntryRow{Addr: n.conf.Addr, Capacity: n.conf.CapacityCores}
	value, err := entry.Encode()
	if err != nil {
		n.conf.Logs.Error(err, "entry not registered")
		return
	}
	row := gauge.RowWrite{RowKey: gauge.RowKey{Table: gauge.TableEntries, Partition: gauge.PartitionEntries, Key: n.conf.Name}, Value: value}
	backoff := jitter.New(jitter.Config{First: registerWindow, Max: maxRegisterWindow})
	for sleep(ctx, backoff.Next()); ctx.Err() == nil; sleep(ctx, backoff.Next()) {
		if n.isRegistered(entry) {
			return
		}
		_, _, err := n.conf.Store.Commit(ctx, gauge.PartitionTxn{Writes: []gauge.RowWrite{row}})
		if err == nil {
			return
		}
		n.conf.Logs.Info("entry not registered", "kind", gauge.KindOf(err), "error", err.Error())
	}
}

// isRegistered reports whether the table was read and has this row of this entry.
func (n *Node) isRegistered(row gauge.EntryRow) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaseView.HasEntry(n.conf.Name, row)
}

func (n *Node) applyEntryRows(u watch.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := 0
	for _, r := range u.Rows {
		if !r.Deleted && n.applyEntryRow(r, changed < maxLoggedEntries) {
			changed++
		}
	}
	if changed > maxLoggedEntries {
		n.conf.Logs.Info("entries known", "changed", changed)
	}
}

// entryRereadSpacing is the mean time between two entries that read all rows of the entries again:
// with N entries N reads of N rows are due at the same moment, for rows that seldom change.
const entryRereadSpacing = 200 * time.Millisecond

// entryRereadDelay returns the bound of the delay before this entry reads all rows again.
func (n *Node) entryRereadDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.leaseView.EntryCount()) * entryRereadSpacing
}

// maxLoggedEntries bounds the log lines on the rows of one answer. Where hundreds of entries start
// together, each learns of all others.
const maxLoggedEntries = 8

// applyEntryRow applies the row of an entry and reports whether it has changed.
func (n *Node) applyEntryRow(r gauge.PartitionRow, logged bool) bool {
	row, err := gauge.DecodeEntryRow(r.Value)
	if err != nil {
		n.conf.Logs.Error(err, "entry row not read", "peer", r.Key, "version", r.Version)
		return false
	}
	changed := n.leaseView.SetEntry(r.Key, *row)
	if changed && logged {
		n.conf.Logs.Info("entry known", "peer", r.Key, "addr", row.Addr, "capacity", row.Capacity, "version", r.Version)
	}
	return changed
}
