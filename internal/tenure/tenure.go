// Package tenure holds one lease in the table. Every transaction made with the lease is conditional
// on this holder still having it, and renews it.
package tenure

import (
	"context"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Config holds the settings and dependencies of a Tenure.
type Config struct {
	Key     gauge.RowKey  // key of the lease row
	Holder  string        // name of this entry and of its start
	Addr    string        // address for calls from other entries
	Term    int           // number of holders before this one
	Version int64         // version of the lease row after the claim
	Taken   time.Duration // when the transaction that claimed the lease was sent
	Lasts   time.Duration // how long the lease lasts after a renewal was sent
	Store   gauge.Parted
	Now     func() time.Duration
	Clock   func() int64 // the table's clock in milliseconds, approximately
}

// Tenure is one holder's period of holding a lease.
type Tenure struct {
	conf Config

	mu           sync.Mutex
	version      int64
	until        time.Duration
	lost         bool
	storedGrants *gauge.GrantRow // the grant row that is known to be in the table; nil: unknown
}

// New returns a Tenure of a lease that was just claimed.
func New(c Config) *Tenure {
	return &Tenure{conf: c, version: c.Version, until: c.Taken + c.Lasts}
}

// Until returns when the lease ends unless it is renewed; no other entry can have claimed it
// before. The term counts from when the renewal was sent, however long the answer took.
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

// Lost reports whether the lease was given up, or another holder is known to have it.
func (t *Tenure) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Lose records that another holder has the lease.
func (t *Tenure) Lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
}

// Commit carries out a transaction that also renews the lease. With an error of KindConflict it
// returns the other rows as the table has them. KindFenced means that another holder has the lease.
func (t *Tenure) Commit(ctx context.Context, row gauge.LeaseRow, txn gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	txn, grants, err := t.withLease(row, txn)
	if err != nil {
		return gauge.Stamp{}, nil, err
	}
	sent := t.conf.Now()
	stamp, rows, err := t.conf.Store.Commit(ctx, txn)
	if err == nil {
		t.mu.Lock()
		t.version, t.until, t.storedGrants = stamp.Version, sent+t.conf.Lasts, grants
		t.mu.Unlock()
		return stamp, nil, nil
	}
	t.mu.Lock()
	t.storedGrants = nil // the transaction may still be carried out
	t.mu.Unlock()
	if !gauge.Is(err, gauge.KindConflict) {
		return stamp, nil, err
	}
	others, ok := t.splitConflict(rows)
	if !ok {
		t.Lose()
		return stamp, nil, gauge.Fail(gauge.KindFenced, "the table names another holder").Because(err)
	}
	return stamp, others, err
}

// withLease adds the lease row to a transaction, and the grant row, which the next holder needs,
// unless the same one is known to be stored.
func (t *Tenure) withLease(row gauge.LeaseRow, txn gauge.PartTxn) (gauge.PartTxn, *gauge.GrantRow, error) {
	row.Holder, row.Addr, row.Term = t.conf.Holder, t.conf.Addr, t.conf.Term
	row.Renewed = t.conf.Clock()
	t.mu.Lock()
	check := gauge.RowCheck{RowKey: t.conf.Key, Version: t.version}
	storedGrants := t.storedGrants
	t.mu.Unlock()
	writes, err := Writes(t.conf.Key, &row)
	if err != nil {
		return txn, nil, err
	}
	_, grants := row.Split()
	if storedGrants != nil && storedGrants.Equal(&grants) {
		writes = writes[:1]
	}
	txn.Checks = append([]gauge.RowCheck{check}, txn.Checks...)
	txn.Writes = append(writes, txn.Writes...)
	return txn, &grants, nil
}

// Writes returns the writes that store a lease: first the lease row, which all entries read, then
// the grant row, which only the next holder reads.
func Writes(key gauge.RowKey, row *gauge.LeaseRow) ([]gauge.RowWrite, error) {
	all, grants := row.Split()
	value, err := all.Encode()
	if err != nil {
		return nil, err
	}
	grantsValue, err := grants.Encode()
	if err != nil {
		return nil, err
	}
	return []gauge.RowWrite{{RowKey: key, Value: value}, {RowKey: grantsKey(key), Value: grantsValue}}, nil
}

func grantsKey(key gauge.RowKey) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableGrants, Part: key.Part, Key: key.Key}
}

// Read adds the contents of the grant row to a lease row. They are consistent if the lease is then
// claimed at the version with which the lease row was read.
func Read(ctx context.Context, store gauge.Parted, key gauge.RowKey, row *gauge.LeaseRow) error {
	grantsAt := grantsKey(key)
	rows, _, err := store.Range(ctx, grantsAt.Table, grantsAt.Part, grantsAt.Key, grantsAt.Key+"\x00")
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return nil // the lease row is from an older version, which stored everything in it
	}
	grants, err := gauge.DecodeGrantRow(rows[0].Value)
	if err != nil {
		return err
	}
	row.Join(grants)
	return nil
}

// splitConflict removes the lease row from the rows returned with a refused transaction. If it is
// this holder's with another version, an earlier transaction that got no answer has been carried
// out. It reports false if the row is another holder's.
func (t *Tenure) splitConflict(rows []gauge.PartRow) ([]gauge.PartRow, bool) {
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
	writes, err := Writes(t.conf.Key, &row)
	if err != nil {
		return err
	}
	for range maxGiveUpTries {
		var rows []gauge.PartRow
		_, rows, err = t.conf.Store.Commit(ctx, gauge.PartTxn{
			Checks: []gauge.RowCheck{{RowKey: t.conf.Key, Version: version}},
			Writes: writes,
		})
		if !gauge.Is(err, gauge.KindConflict) {
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
