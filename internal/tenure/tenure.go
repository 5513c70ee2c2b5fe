// Package tenure holds one lease: every transaction made with it is conditional
// on the lease still being this holder's, and renews it.
package tenure

import (
	"context"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Tenure.
type Config struct {
	Key     gauge.RowKey  // of the lease's row
	Holder  string        // this entry and its start
	Addr    string        // for calls from other entries
	Term    int           // holders before this one
	Version int64         // of the row, as taken
	Taken   time.Duration // when the transaction that took it was sent
	Lasts   time.Duration // after a renewal was sent
	Store   gauge.Parted
	Now     func() time.Duration
	Clock   func() int64 // the table's clock in milliseconds, about
}

// Tenure is one holder's time with a lease.
type Tenure struct {
	conf Config

	mu      sync.Mutex
	version int64
	until   time.Duration
	lost    bool
	granted *gauge.GrantRow // as the table surely has it; nil: not known
}

// New makes a Tenure of a lease that was just taken.
func New(c Config) *Tenure {
	return &Tenure{conf: c, version: c.Version, until: c.Taken + c.Lasts}
}

// Until is when the lease ends unless it is renewed: before that no other entry
// can have taken it. It counts from before the renewal was sent, whatever time
// the answer took.
func (t *Tenure) Until() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// Version is that of the lease's row, as last known.
func (t *Tenure) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Lost tells whether another holder is known to have it, or it was given up.
func (t *Tenure) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Lose takes in that another holder has it.
func (t *Tenure) Lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
}

// Commit carries out a transaction with the lease's row in it. With KindConflict
// it returns the other rows as the table has them; KindFenced: another holder
// has the lease.
func (t *Tenure) Commit(ctx context.Context, row gauge.LeaseRow, txn gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	txn, grants, err := t.with(row, txn)
	if err != nil {
		return gauge.Stamp{}, nil, err
	}
	sent := t.conf.Now()
	stamp, rows, err := t.conf.Store.Commit(ctx, txn)
	if err == nil {
		t.mu.Lock()
		t.version, t.until, t.granted = stamp.Version, sent+t.conf.Lasts, grants
		t.mu.Unlock()
		return stamp, nil, nil
	}
	t.mu.Lock()
	t.granted = nil // it may be carried out yet
	t.mu.Unlock()
	if !gauge.Is(err, gauge.KindConflict) {
		return stamp, nil, err
	}
	others, ok := t.sort(rows)
	if !ok {
		t.Lose()
		return stamp, nil, gauge.Fail(gauge.KindFenced, "the table names another holder").Because(err)
	}
	return stamp, others, err
}

// with adds the lease's row to a transaction, and what the next holder has to know if
// the table hasn't got that yet.
func (t *Tenure) with(row gauge.LeaseRow, txn gauge.PartTxn) (gauge.PartTxn, *gauge.GrantRow, error) {
	row.Holder, row.Addr, row.Term = t.conf.Holder, t.conf.Addr, t.conf.Term
	row.Renewed = t.conf.Clock()
	t.mu.Lock()
	check := gauge.RowCheck{RowKey: t.conf.Key, Version: t.version}
	granted := t.granted
	t.mu.Unlock()
	writes, err := Writes(t.conf.Key, &row)
	if err != nil {
		return txn, nil, err
	}
	_, grants := row.Split()
	if granted != nil && granted.Equal(&grants) {
		writes = writes[:1]
	}
	txn.Checks = append([]gauge.RowCheck{check}, txn.Checks...)
	txn.Writes = append(writes, txn.Writes...)
	return txn, &grants, nil
}

// Writes are those of a lease's row: first what all entries read, then what only the
// next holder does.
func Writes(key gauge.RowKey, row *gauge.LeaseRow) ([]gauge.RowWrite, error) {
	all, grants := row.Split()
	value, err := all.Encode()
	if err != nil {
		return nil, err
	}
	granted, err := grants.Encode()
	if err != nil {
		return nil, err
	}
	return []gauge.RowWrite{{RowKey: key, Value: value}, {RowKey: grantsOf(key), Value: granted}}, nil
}

func grantsOf(key gauge.RowKey) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableGrants, Part: key.Part, Key: key.Key}
}

// Read completes the row of a lease, as all entries read it, by what is for the next
// holder. That holds for a claim of the version that the row was seen with.
func Read(ctx context.Context, store gauge.Parted, key gauge.RowKey, row *gauge.LeaseRow) error {
	at := grantsOf(key)
	rows, _, err := store.Range(ctx, at.Table, at.Part, at.Key, at.Key+"\x00")
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return nil // of an older program, which has it all in one row
	}
	grants, err := gauge.DecodeGrantRow(rows[0].Value)
	if err != nil {
		return err
	}
	row.Join(grants)
	return nil
}

// sort takes the lease's row out of those of a refused transaction. A row of
// this holder with another version means that an earlier transaction, which got
// no answer, was carried out. False: it is another holder's.
func (t *Tenure) sort(rows []gauge.PartRow) ([]gauge.PartRow, bool) {
	var others []gauge.PartRow
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

// GiveUp writes the lease's row without a holder, so that another entry needn't
// wait for its end. Nothing may be done with the lease any more.
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
	writes, err := Writes(t.conf.Key, &row)
	if err != nil {
		return err
	}
	for range giveUpTries {
		var rows []gauge.PartRow
		_, rows, err = t.conf.Store.Commit(ctx, gauge.PartTxn{
			Checks: []gauge.RowCheck{{RowKey: t.conf.Key, Version: version}},
			Writes: writes,
		})
		if !gauge.Is(err, gauge.KindConflict) {
			return err
		}
		// A renewal that was under way when this began has been carried out.
		if _, ours := t.sort(rows); !ours {
			return err
		}
		t.mu.Lock()
		version = t.version
		t.mu.Unlock()
	}
	return err
}

// giveUpTries: a renewal may land between, and one more that got no answer.
const giveUpTries = 3
