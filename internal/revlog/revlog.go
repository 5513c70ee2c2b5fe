// Package revlog keeps what is in force in the platform's table: one head row
// with the newest revision, a row for each revision's change, and a row for
// each record and host as it is now. A revision is accepted by one transaction
// that checks the head, so changes form one line and none is half applied.
package revlog

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	gauge "sapphiregauge"
)

// Keep is how many revisions' changes stay in the table. A follower that is
// further behind reads everything anew.
const Keep = 4096

const (
	headKey    = "head"
	recPrefix  = "rec/"
	hostPrefix = "host/"
)

func revKey(r int64) string { return fmt.Sprintf("rev/%020d", r) }

func recKey(id gauge.RecordID) string { return recPrefix + id.String() }

func hostKey(id string) string { return hostPrefix + id }

func subKey(id string) string { return "sub/" + id }

type headRow struct {
	Revision int64 `json:"revision"`
}

type subRow struct {
	Revision int64 `json:"revision"`
}

// Log reads and appends revisions.
type Log struct {
	table gauge.Table
}

// New makes a Log over a table.
func New(t gauge.Table) *Log { return &Log{table: t} }

// Head reads the newest revision; 0 if nothing was accepted yet.
func (l *Log) Head(ctx context.Context) (int64, error) {
	_, rev, err := l.head(ctx)
	return rev, err
}

func (l *Log) head(ctx context.Context) (gauge.Row, int64, error) {
	row, err := l.table.Get(ctx, headKey)
	if err != nil {
		return row, 0, err
	}
	if row.Version == 0 {
		return row, 0, nil
	}
	var h headRow
	if err := decode(row, &h); err != nil {
		return row, 0, err
	}
	return row, h.Revision, nil
}

// Change reads what one revision brought. Missing means that it was trimmed.
func (l *Log) Change(ctx context.Context, rev int64) (gauge.Change, error) {
	var c gauge.Change
	row, err := l.table.Get(ctx, revKey(rev))
	if err != nil {
		return c, err
	}
	if row.Version == 0 {
		return c, gauge.Fail(gauge.KindMissing, "revision %d", rev)
	}
	return c, decode(row, &c)
}

// Submitted returns the revision that a submission became; 0 if there is none.
func (l *Log) Submitted(ctx context.Context, id string) (int64, error) {
	row, err := l.table.Get(ctx, subKey(id))
	if err != nil || row.Version == 0 {
		return 0, err
	}
	var s subRow
	return s.Revision, decode(row, &s)
}

// Load reads the whole state. Rows may change while they are read, so the
// changes accepted since the first look at the head are applied on top: each
// holds whole rows, and applying one twice does no harm.
func (l *Log) Load(ctx context.Context) (gauge.State, error) {
	var s gauge.State
	rev, err := l.Head(ctx)
	if err != nil {
		return s, err
	}
	s.Revision = rev
	if s.Records, err = l.records(ctx); err != nil {
		return s, err
	}
	if s.ByHost, err = l.hosts(ctx); err != nil {
		return s, err
	}
	return l.CatchUp(ctx, s.Indexed())
}

// CatchUp applies the changes between a state and the head.
func (l *Log) CatchUp(ctx context.Context, s gauge.State) (gauge.State, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return s, err
	}
	for s.Revision < head {
		c, err := l.Change(ctx, s.Revision+1)
		if err != nil {
			return s, err
		}
		if s, err = s.Apply(c); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (l *Log) records(ctx context.Context) (map[gauge.RecordID]gauge.Record, error) {
	rows, err := l.table.Scan(ctx, recPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[gauge.RecordID]gauge.Record, len(rows))
	for _, row := range rows {
		var r gauge.Record
		if err := decode(row, &r); err != nil {
			return nil, err
		}
		out[r.ID()] = r
	}
	return out, nil
}

func (l *Log) hosts(ctx context.Context) (map[string]gauge.Host, error) {
	rows, err := l.table.Scan(ctx, hostPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]gauge.Host, len(rows))
	for _, row := range rows {
		var h gauge.Host
		if err := decode(row, &h); err != nil {
			return nil, err
		}
		out[h.ID] = h
	}
	return out, nil
}

// Append makes c the revision after basis. Checks are further conditions, such
// as the lease under which a controller acts. It returns conflict if somebody
// else's revision came first.
//
// The answer of the commit may be lost after it took effect. Then the revision
// is read back: ours, somebody else's (conflict), or not there. In the last
// case the same transaction is sent again; should the first one still arrive,
// the check of the head lets only one of them through.
func (l *Log) Append(ctx context.Context, basis int64, c gauge.Change, checks ...gauge.Check) (gauge.Change, error) {
	row, rev, err := l.head(ctx)
	if err != nil {
		return c, err
	}
	if rev != basis {
		return c, gauge.Fail(gauge.KindConflict, "revision %d is in force, the change was made for %d", rev, basis)
	}
	if c.Submission == "" {
		c.Submission = uuid.NewString()
	}
	c = stamp(c, basis+1)
	txn, err := l.txn(ctx, row, c)
	if err != nil {
		return c, err
	}
	txn.Checks = append(txn.Checks, checks...)
	return c, l.commit(ctx, txn, c)
}

const resends = 3

func (l *Log) commit(ctx context.Context, txn gauge.Txn, c gauge.Change) error {
	var err error
	for range resends {
		err = l.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if !gauge.Is(err, gauge.KindUnknown) && !gauge.Is(err, gauge.KindConflict) {
			return err
		}
		lost := err
		// A conflict may be our own earlier try that did take effect.
		there, readErr := l.Change(ctx, c.Revision)
		switch {
		case readErr == nil && there.Submission == c.Submission:
			return nil
		case readErr == nil || gauge.Is(lost, gauge.KindConflict):
			return gauge.Fail(gauge.KindConflict, "revision %d was taken by another change", c.Revision).Because(lost)
		case !gauge.Is(readErr, gauge.KindMissing):
			return gauge.Fail(gauge.KindUnknown, "revision %d: the answer was lost and reading back failed", c.Revision).Because(readErr)
		}
	}
	return err
}

// stamp writes the revision into everything that the change brings.
func stamp(c gauge.Change, rev int64) gauge.Change {
	c.Revision = rev
	for i := range c.Records {
		c.Records[i].Revision = rev
		if c.Records[i].Born == 0 {
			c.Records[i].Born = rev
		}
	}
	for i := range c.Hosts {
		c.Hosts[i].Since = rev
		c.Hosts[i].Epoch++
	}
	return c
}

func (l *Log) txn(ctx context.Context, head gauge.Row, c gauge.Change) (gauge.Txn, error) {
	t := gauge.Txn{Checks: []gauge.Check{
		{Key: headKey, Version: head.Version},
		{Key: subKey(c.Submission), Version: 0},
	}}
	var b batch
	b.put(headKey, headRow{Revision: c.Revision})
	b.put(revKey(c.Revision), c)
	b.put(subKey(c.Submission), subRow{Revision: c.Revision})
	for _, r := range c.Records {
		if r.Gone {
			b.drop(recKey(r.ID()))
			continue
		}
		b.put(recKey(r.ID()), r)
	}
	for _, h := range c.Hosts {
		b.put(hostKey(h.ID), h)
	}
	if err := l.trim(ctx, &b, c.Revision-Keep); err != nil {
		return t, err
	}
	t.Puts = b.puts
	return t, b.err
}

// trim drops the change that is no longer kept, with its submission.
func (l *Log) trim(ctx context.Context, b *batch, rev int64) error {
	if rev < 1 {
		return nil
	}
	old, err := l.Change(ctx, rev)
	if gauge.Is(err, gauge.KindMissing) {
		return nil
	}
	if err != nil {
		return err
	}
	b.drop(revKey(rev))
	b.drop(subKey(old.Submission))
	return nil
}

// batch gathers puts and the first error of encoding them.
type batch struct {
	puts []gauge.Put
	err  error
}

func (b *batch) put(key string, v any) {
	body, err := json.Marshal(v)
	if err != nil && b.err == nil {
		b.err = gauge.Fail(gauge.KindInternal, "revlog: encode %s", key).Because(err)
	}
	b.puts = append(b.puts, gauge.Put{Key: key, Value: body})
}

func (b *batch) drop(key string) { b.puts = append(b.puts, gauge.Put{Key: key}) }

// decode reads a row; a malformed one is named, and nothing of it is used.
func decode(row gauge.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return gauge.Fail(gauge.KindInvalid, "row %s", row.Key).Because(err)
	}
	return nil
}
