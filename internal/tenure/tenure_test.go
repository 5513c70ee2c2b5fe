package tenure_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/tenure"
)

// table has one row and answers as a test says.
type table struct {
	gauge.Parted
	row    gauge.PartRow
	before func() // runs before each transaction
	fail   error  // given instead of the answer, after it was carried out
}

//nolint:gochecknoglobals // a constant; Go has no constant structs
var key = gauge.RowKey{Table: gauge.TableLeases, Part: "p", Key: gauge.KeyOwner}

func (t *table) Commit(_ context.Context, txn gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	if t.before != nil {
		t.before()
	}
	if txn.Checks[0].Version != t.row.Version {
		return gauge.Stamp{}, []gauge.PartRow{t.row, {RowKey: gauge.RowKey{Table: gauge.TableJobs}}}, gauge.Fail(gauge.KindConflict, "changed")
	}
	t.row = gauge.PartRow{RowKey: key, Value: txn.Writes[0].Value, Version: t.row.Version + 1}
	if t.fail != nil {
		return gauge.Stamp{}, nil, t.fail
	}
	return gauge.Stamp{Version: t.row.Version}, nil, nil
}

type rig struct {
	table *table
	lease *tenure.Tenure
	now   time.Duration
}

func newRig() *rig {
	g := &rig{table: &table{row: gauge.PartRow{RowKey: key, Version: 7}}}
	g.lease = tenure.New(tenure.Config{
		Key: key, Holder: "me", Addr: "a", Term: 3, Version: 7, Taken: 0, Lasts: 2 * time.Second,
		Store: g.table, Now: func() time.Duration { return g.now }, Clock: func() int64 { return 1 },
	})
	return g
}

func (g *rig) commit() error {
	_, _, err := g.lease.Commit(context.Background(), gauge.LeaseRow{}, gauge.PartTxn{})
	return err
}

// The lease counts from before the renewal was sent, however long the answer took.
func TestRenewalCountsFromBeforeItWasSent(t *testing.T) {
	g := newRig()
	g.now = time.Second
	g.table.before = func() { g.now += 500 * time.Millisecond }
	assert.NilError(t, g.commit())
	assert.Equal(t, g.lease.Until(), 3*time.Second)
}

// Symptom: an owner gives its pool up for nothing.
// Sequence: a renewal is carried out but not answered; the next is refused, as
// the row has another version.
// Cause: any other version is taken for another holder's.
func TestOwnUnansweredRenewalIsNoLoss(t *testing.T) {
	g := newRig()
	g.table.fail = gauge.Fail(gauge.KindUnknown, "no answer")
	assert.Equal(t, gauge.KindOf(g.commit()), gauge.KindUnknown)
	assert.Equal(t, g.lease.Until(), 2*time.Second, "an unanswered renewal renews nothing")
	g.table.fail = nil
	assert.Equal(t, gauge.KindOf(g.commit()), gauge.KindConflict)
	assert.Assert(t, !g.lease.Lost())
	assert.NilError(t, g.commit())
}

func TestAnotherHoldersRowIsALoss(t *testing.T) {
	g := newRig()
	other, err := (&gauge.LeaseRow{Holder: "other", Term: 4}).Encode()
	assert.NilError(t, err)
	g.table.row = gauge.PartRow{RowKey: key, Value: other, Version: 9}
	assert.Equal(t, gauge.KindOf(g.commit()), gauge.KindFenced)
	assert.Assert(t, g.lease.Lost())
}

// Symptom: a pool is without an owner for a term after SIGTERM.
// Sequence: a renewal is under way when the lease is given up, and is carried out
// first.
// Cause: giving up is refused for the version, and not tried again.
func TestGivingUpOutlivesARenewalUnderWay(t *testing.T) {
	g := newRig()
	assert.NilError(t, g.commit())
	raced := false
	g.table.before = func() {
		if raced {
			return
		}
		raced = true
		value, err := (&gauge.LeaseRow{Holder: "me", Term: 3}).Encode()
		assert.NilError(t, err)
		g.table.row = gauge.PartRow{RowKey: key, Value: value, Version: g.table.row.Version + 1}
	}
	assert.NilError(t, g.lease.GiveUp(context.Background(), gauge.LeaseRow{}))
	row, err := gauge.DecodeLeaseRow(g.table.row.Value)
	assert.NilError(t, err)
	assert.Equal(t, row.Holder, "")
}
