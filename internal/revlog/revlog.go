// Package revlog stores the configuration in force in the platform's table: a head row with the
// newest revision, a row for each revision's change, and a row for the current state of each
// record and host. A revision is accepted by one transaction that checks the head row, so
// changes are totally ordered and none is applied in part.
package revlog

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	gauge "sapphiregauge"
)

// RetainedRevisions is the number of revisions whose changes stay in the table. A follower that
// is further behind loads the whole state again.
const RetainedRevisions = 4096

const (
	headKey      = "head"
	recordPrefix = "rec/"
	hostPrefix   = "host/"
)

func revisionKey(r int64) string { return fmt.Sprintf("rev/%020d", r) }

func recordKey(id gauge.RecordID) string { return recordPrefix + id.String() }

func hostKey(id string) string { return hostPrefix + id }

func submissionKey(id string) string { return "sub/" + id }

type headRow struct {
	Revision int64 `json:"revision"`
}

type submissionRow struct {
	Revision int64 `json:"revision"`
}

// Log reads and appends revisions.
type Log struct {
	table gauge.Table
}

// New returns a Log that is stored in t.
func New(t gauge.Table) *Log { return &Log{table: t} }

// Head returns the newest revision, or 0 if none was accepted yet.
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

// Change returns the change of one revision. An error of KindNotFound means that it was trimmed or
// doesn't exist yet.
func (l *Log) Change(ctx context.Context, rev int64) (gauge.Change, error) {
	var c gauge.Change
	row, err := l.table.Get(ctx, revisionKey(rev))
	if err != nil {
		return c, err
	}
	if row.Version == 0 {
		return c, gauge.Errorf(gauge.KindNotFound, "revision %d", rev)
	}
	return c, decode(row, &c)
}

// SubmissionRevision returns the revision that a submission was accepted as, or 0 if it wasn't
// accepted or was trimmed since.
func (l *Log) SubmissionRevision(ctx context.Context, id string) (int64, error) {
	row, err := l.table.Get(ctx, submissionKey(id))
	if err != nil || row.Version == 0 {
		return 0, err
	}
	var s submissionRow
	return s.Revision, decode(row, &s)
}

// Load reads the whole state. Rows may change while they are read, so the changes accepted since
// the head was first read are applied on top. Each change holds whole rows, so applying one twice
// is harmless.
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
	return l.CatchUp(ctx, s.WithIndex())
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
	rows, err := l.table.Scan(ctx, recordPrefix)
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

// Append stores c as the revision after basis and returns it as stored. Checks are further
// conditions, such as the lease under which a controller acts. It returns an error of
// KindConflict if another revision came first, and of KindUnknown if c may or may not be stored.
//
// The answer of the commit may be lost after it took effect. The revision is then read back: it is
// this change, another one (conflict), or missing. If it is missing, the same transaction is sent
// again; if the first one still arrives, the check of the head row lets only one of them succeed.
func (l *Log) Append(ctx context.Context, basis int64, c gauge.Change, checks ...gauge.Check) (gauge.Change, error) {
	row, rev, err := l.head(ctx)
	if err != nil {
		return c, err
	}
	if rev != basis {
		return c, gauge.Errorf(gauge.KindConflict, "revision %d is in force, the change was made for %d", rev, basis)
	}
	if c.Submission == "" {
		c.Submission = uuid.NewString()
	}
	c = setRevision(c, basis+1)
	txn, err := l.buildTxn(ctx, row, c)
	if err != nil {
		return c, err
	}
	txn.Checks = append(txn.Checks, checks...)
	return c, l.commit(ctx, txn, c)
}

const maxCommits = 3

func (l *Log) commit(ctx context.Context, txn gauge.Txn, c gauge.Change) error {
	var err error
	for range maxCommits {
		err = l.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if !gauge.IsKind(err, gauge.KindUnknown) && !gauge.IsKind(err, gauge.KindConflict) {
			return err
		}
		commitErr := err
		// The conflict may be with an earlier attempt of this call that did take effect.
		stored, readErr := l.Change(ctx, c.Revision)
		switch {
		case readErr == nil && stored.Submission == c.Submission:
			return nil
		case readErr == nil || gauge.IsKind(commitErr, gauge.KindConflict):
			return gauge.Errorf(gauge.KindConflict, "revision %d was taken by another change", c.Revision).WithCause(commitErr)
		case !gauge.IsKind(readErr, gauge.KindNotFound):
			return gauge.Errorf(gauge.KindUnknown, "revision %d: the answer was lost and reading back failed", c.Revision).WithCause(readErr)
		}
	}
	return err
}

// setRevision sets the revision of all records and hosts of the change, and increments the hosts'
// epochs.
func setRevision(c gauge.Change, rev int64) gauge.Change {
	c.Revision = rev
	for i := range c.Records {
		c.Records[i].Revision = rev
		if c.Records[i].FirstRevision == 0 {
			c.Records[i].FirstRevision = rev
		}
	}
	for i := range c.Hosts {
		c.Hosts[i].ChangedRevision = rev
		c.Hosts[i].Epoch++
	}
	return c
}

func (l *Log) buildTxn(ctx context.Context, head gauge.Row, c gauge.Change) (gauge.Txn, error) {
	t := gauge.Txn{Checks: []gauge.Check{
		{Key: headKey, Version: head.Version},
		{Key: submissionKey(c.Submission), Version: 0},
	}}
	var b batch
	b.put(headKey, headRow{Revision: c.Revision})
	b.put(revisionKey(c.Revision), c)
	b.put(submissionKey(c.Submission), submissionRow{Revision: c.Revision})
	for _, r := range c.Records {
		if r.Deleted {
			b.delete(recordKey(r.ID()))
			continue
		}
		b.put(recordKey(r.ID()), r)
	}
	for _, h := range c.Hosts {
		b.put(hostKey(h.ID), h)
	}
	if err := l.trim(ctx, &b, c.Revision-RetainedRevisions); err != nil {
		return t, err
	}
	t.Puts = b.puts
	return t, b.err
}

// trim deletes the change of revision rev, which is beyond those kept, and its submission row.
func (l *Log) trim(ctx context.Context, b *batch, rev int64) error {
	if rev < 1 {
		return nil
	}
	old, err := l.Change(ctx, rev)
	if gauge.IsKind(err, gauge.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	b.delete(revisionKey(rev))
	b.delete(submissionKey(old.Submission))
	return nil
}

// batch collects puts and the first error in encoding them.
type batch struct {
	puts []gauge.Put
	err  error
}

func (b *batch) put(key string, v any) {
	body, err := json.Marshal(v)
	if err != nil && b.err == nil {
		b.err = gauge.Errorf(gauge.KindInternal, "revlog: encode %s", key).WithCause(err)
	}
	b.puts = append(b.puts, gauge.Put{Key: key, Value: body})
}

func (b *batch) delete(key string) { b.puts = append(b.puts, gauge.Put{Key: key}) }

// decode parses a row's value. The error names a malformed row, of which nothing must be used.
func decode(row gauge.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return gauge.Errorf(gauge.KindInvalid, "row %s", row.Key).WithCause(err)
	}
	return nil
}
