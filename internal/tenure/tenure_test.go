package tenure_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/tenure"
)

// fakeTable has one lease row and the rows of its handover.
type fakeTable struct {
	gauge.PartitionedTable
	row       gauge.PartitionRow
	before    func() // called before each transaction
	commitErr error  // returned after the transaction was carried out

	handover       map[gauge.RowKey][]byte
	handoverWrites int // how many transactions wrote rows of the handover
	rowsWritten    int // rows of the handover that the last transaction wrote
	largest        int // bytes of the largest of these rows so far

	holder []byte // holder row that the last transaction wrote
}

func (t *fakeTable) Range(_ context.Context, name, part, from, _ string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	var rows []gauge.PartitionRow
	for k, value := range t.handover {
		if k.Table == name && k.Partition == part && k.Key >= from {
			rows = append(rows, gauge.PartitionRow{RowKey: k, Value: value})
		}
	}
	return rows, gauge.TablePosition{}, nil
}

//nolint:gochecknoglobals // a constant; Go has no constant structs
var leaseKey = gauge.RowKey{Table: gauge.TableLeases, Partition: "p", Key: gauge.KeyOwner}

func (t *fakeTable) Commit(_ context.Context, txn gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	if t.before != nil {
		t.before()
	}
	if txn.Checks[0].Version != t.row.Version {
		return gauge.TablePosition{}, []gauge.PartitionRow{t.row, {RowKey: gauge.RowKey{Table: gauge.TableJobs}}}, gauge.Errorf(gauge.KindConflict, "changed")
	}
	t.row = gauge.PartitionRow{RowKey: leaseKey, Value: txn.Writes[0].Value, Version: t.row.Version + 1}
	t.rowsWritten, t.holder = 0, nil
	for _, w := range txn.Writes[1:] {
		if w.Table == gauge.TableHolders {
			t.holder = w.Value
			continue
		}
		t.rowsWritten++
		t.handover[w.RowKey] = w.Value
		t.largest = max(t.largest, len(w.Value))
	}
	if t.rowsWritten > 0 {
		t.handoverWrites++
	}
	if t.commitErr != nil {
		return gauge.TablePosition{}, nil, t.commitErr
	}
	return gauge.TablePosition{Version: t.row.Version}, nil, nil
}

type fixture struct {
	table *fakeTable
	lease *tenure.Tenure
	now   time.Duration
}

func newFixture() *fixture {
	g := &fixture{table: &fakeTable{row: gauge.PartitionRow{RowKey: leaseKey, Version: 7}, handover: make(map[gauge.RowKey][]byte)}}
	g.lease = tenure.New(tenure.Config{
		Key: leaseKey, Holder: "me", Addr: "a", Term: 3, Version: 7, ClaimedAt: 0, LeaseDuration: 2 * time.Second,
		Store: g.table, Now: func() time.Duration { return g.now }, TableClock: func() int64 { return 1 },
	})
	return g
}

func (g *fixture) commit() error {
	_, _, err := g.lease.Commit(context.Background(), gauge.LeaseRow{}, gauge.PartitionTxn{})
	return err
}

// The lease duration counts from when the renewal was sent, however long the answer took.
func TestRenewalCountsFromBeforeItWasSent(t *testing.T) {
	g := newFixture()
	g.now = time.Second
	g.table.before = func() { g.now += 500 * time.Millisecond }
	assert.NilError(t, g.commit())
	assert.Equal(t, g.lease.Until(), 3*time.Second)
}

// Guards against an owner giving up its pool for nothing: a renewal is carried out but not
// answered, and the next one is refused because the row has another version. That version must not
// be taken for another holder's.
func TestOwnUnansweredRenewalIsNoLoss(t *testing.T) {
	g := newFixture()
	g.table.commitErr = gauge.Errorf(gauge.KindUnknown, "no answer")
	assert.Equal(t, gauge.KindOf(g.commit()), gauge.KindUnknown)
	assert.Equal(t, g.lease.Until(), 2*time.Second, "an unanswered renewal renews nothing")
	g.table.commitErr = nil
	assert.Equal(t, gauge.KindOf(g.commit()), gauge.KindConflict)
	assert.Assert(t, !g.lease.IsLost())
	assert.NilError(t, g.commit())
}

func TestAnotherHoldersRowIsALoss(t *testing.T) {
	g := newFixture()
	other, err := (&gauge.LeaseRow{Holder: "other", Term: 4}).Encode()
	assert.NilError(t, err)
	g.table.row = gauge.PartitionRow{RowKey: leaseKey, Value: other, Version: 9}
	assert.Equal(t, gauge.KindOf(g.commit()), gauge.KindFenced)
	assert.Assert(t, g.lease.IsLost())
}

// Guards against a pool without an owner for a whole lease duration after SIGTERM: the lease is
// given up while a renewal is in progress, which is carried out first. GiveUp is then refused
// because of the version, and has to try again.
func TestGiveUpIsRetriedAfterAConcurrentRenewal(t *testing.T) {
	g := newFixture()
	assert.NilError(t, g.commit())
	raced := false
	g.table.before = func() {
		if raced {
			return
		}
		raced = true
		value, err := (&gauge.LeaseRow{Holder: "me", Term: 3}).Encode()
		assert.NilError(t, err)
		g.table.row = gauge.PartitionRow{RowKey: leaseKey, Value: value, Version: g.table.row.Version + 1}
	}
	assert.NilError(t, g.lease.GiveUp(context.Background(), gauge.LeaseRow{}))
	row, err := gauge.DecodeLeaseRow(g.table.row.Value)
	assert.NilError(t, err)
	assert.Equal(t, row.Holder, "")
}

// Entries that don't follow renewals find the owner of a pool by the holder row, which is written
// only when the holder changes: a renewal that wrote it would wake all of them.
func TestHolderRowIsWrittenWhenTheHolderChanges(t *testing.T) {
	g := newFixture()
	assert.NilError(t, g.commit())
	assert.Equal(t, len(g.table.holder), 0)
	writes, err := tenure.RowWrites(leaseKey, &gauge.LeaseRow{Holder: "next", Addr: "b", Term: 4})
	assert.NilError(t, err)
	row, err := gauge.DecodeHolderRow(writes[len(writes)-1].Value)
	assert.NilError(t, err)
	assert.DeepEqual(t, *row, gauge.HolderRow{Holder: "next", Addr: "b", Term: 4})
	assert.Equal(t, gauge.LeaseOfHolderKey(writes[len(writes)-1].Key), "p")
	assert.NilError(t, g.lease.GiveUp(t.Context(), gauge.LeaseRow{}))
	row, err = gauge.DecodeHolderRow(g.table.holder)
	assert.NilError(t, err)
	assert.DeepEqual(t, *row, gauge.HolderRow{Term: 3})
}

// What only the next holder needs isn't rewritten with each renewal, because all entries read the
// lease row: with 600 workers it is 15 KB.
func TestHandoverRowIsWrittenOnlyWhenChanged(t *testing.T) {
	g := newFixture()
	commit := func(workers ...string) {
		t.Helper()
		_, _, err := g.lease.Commit(t.Context(), gauge.LeaseRow{Workers: workers, Depths: map[string]int{"q": 1}}, gauge.PartitionTxn{})
		assert.NilError(t, err)
	}
	read := func() []string {
		t.Helper()
		row, err := gauge.DecodeLeaseRow(g.table.row.Value)
		assert.NilError(t, err)
		assert.Equal(t, len(row.Workers), 0)
		assert.Equal(t, row.Depths["q"], 1)
		assert.NilError(t, tenure.ReadHandoverRow(t.Context(), g.table, leaseKey, row))
		return row.Workers
	}
	commit("a")
	commit("a")
	assert.Equal(t, g.table.handoverWrites, 1)
	commit("a", "b")
	assert.Equal(t, g.table.handoverWrites, 2)
	assert.DeepEqual(t, read(), []string{"a", "b"})
	assert.NilError(t, g.lease.GiveUp(t.Context(), gauge.LeaseRow{Workers: []string{"c"}, Depths: map[string]int{"q": 1}}))
	assert.DeepEqual(t, read(), []string{"c"})
}

// Guards against a successor that doesn't call a worker with orders: a write that leaves a worker
// out gets no answer but is carried out, and the worker is named again. What was written before the
// unanswered write must not be taken for what the table has.
func TestHandoverRowIsRewrittenAfterUnansweredWrite(t *testing.T) {
	g := newFixture()
	commit := func(workers ...string) error {
		_, _, err := g.lease.Commit(t.Context(), gauge.LeaseRow{Workers: workers}, gauge.PartitionTxn{})
		return err
	}
	assert.NilError(t, commit("a", "b"))
	g.table.commitErr = gauge.Errorf(gauge.KindUnknown, "no answer")
	assert.Equal(t, gauge.KindOf(commit("a")), gauge.KindUnknown)
	g.table.commitErr = nil
	assert.Equal(t, gauge.KindOf(commit("a", "b")), gauge.KindConflict, "the version is its own")
	assert.NilError(t, commit("a", "b"))
	var row gauge.LeaseRow
	assert.NilError(t, tenure.ReadHandoverRow(t.Context(), g.table, leaseKey, &row))
	assert.DeepEqual(t, row.Workers, []string{"a", "b"})
}

func TestLeaseRowOfOlderVersionKeepsItsWorkers(t *testing.T) {
	row := gauge.LeaseRow{Workers: []string{"a"}}
	assert.NilError(t, tenure.ReadHandoverRow(t.Context(), &fakeTable{}, leaseKey, &row))
	assert.DeepEqual(t, row.Workers, []string{"a"})
}

// names returns the incarnations of n workers.
func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("worker-%016x@%d", i, 1_000_000+i)
	}
	return all
}

// maxRowBytes is the most that the table takes in a row.
const maxRowBytes = 64 << 10

// Guards against a lease that can't be renewed or handed over, as a row of it is larger than the
// table takes: a successor must know of each worker of its pool, with what is left of each lease.
func TestHandoverOfALargePoolFitsIntoRows(t *testing.T) {
	for _, n := range []int{1_500, 3_000, 12_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newFixture()
			row := gauge.LeaseRow{Workers: names(n), RemainingLeases: make(map[string]int64), DrainedFor: make(map[string]int64)}
			for i, w := range row.Workers {
				row.RemainingLeases[w] = int64(10_000 + i)
				id, _, _ := strings.Cut(w, "@")
				row.DrainedFor[id] = int64(i)
			}
			assert.NilError(t, g.lease.GiveUp(t.Context(), row))
			assert.Assert(t, g.table.largest <= maxRowBytes, "a row of %d bytes", g.table.largest)
			assert.Assert(t, g.table.rowsWritten+2 <= 100, "%d rows in a transaction", g.table.rowsWritten)
			var read gauge.LeaseRow
			assert.NilError(t, tenure.ReadHandoverRow(t.Context(), g.table, leaseKey, &read))
			slices.Sort(row.Workers)
			assert.DeepEqual(t, read, row)
		})
	}
}

// Guards against writes that grow with the square of a pool: the row that names all workers was
// rewritten for each worker that came or left.
func TestOnlyTheChangedPartOfAHandoverIsWritten(t *testing.T) {
	g := newFixture()
	all := names(3_000)
	assert.NilError(t, g.commitWorkers(all))
	assert.NilError(t, g.commitWorkers(all[1:]))
	assert.Equal(t, g.table.rowsWritten, 1)
	assert.NilError(t, g.commitWorkers(all))
	assert.Equal(t, g.table.rowsWritten, 1)
	assert.Equal(t, g.lease.Operations(&gauge.LeaseRow{Workers: all[2:]}), 2+2)
	var read gauge.LeaseRow
	assert.NilError(t, tenure.ReadHandoverRow(t.Context(), g.table, leaseKey, &read))
	assert.DeepEqual(t, read.Workers, all)
}

// Guards against workers that a successor waits for though they are gone: the part that named the
// last of them is empty, and its row in the table outdated.
func TestPartsThatHaveBecomeEmptyAreNotRead(t *testing.T) {
	g := newFixture()
	assert.NilError(t, g.commitWorkers([]string{"a", "b", "c"}))
	assert.NilError(t, g.commitWorkers([]string{"b"}))
	var read gauge.LeaseRow
	assert.NilError(t, tenure.ReadHandoverRow(t.Context(), g.table, leaseKey, &read))
	assert.DeepEqual(t, read.Workers, []string{"b"})
}

func (g *fixture) commitWorkers(workers []string) error {
	_, _, err := g.lease.Commit(context.Background(), gauge.LeaseRow{Workers: workers}, gauge.PartitionTxn{})
	return err
}

// Guards against a lease that others see run out long before its holder does: the process stands still between the two readings of
// its clocks. A successor that claims by the time in the row then waits too short for this holder's orders.
func TestLeaseLastsNoLongerThanItsRowTells(t *testing.T) {
	g := newFixture()
	const paused = 1500 * time.Millisecond
	g.now = time.Second
	g.lease = tenure.New(tenure.Config{
		Key: leaseKey, Holder: "me", Addr: "a", Term: 3, Version: 7, ClaimedAt: 0, LeaseDuration: 2 * time.Second,
		Store: g.table, Now: func() time.Duration { return g.now }, TableClock: func() int64 {
			defer func() { g.now += paused }()
			return g.now.Milliseconds()
		},
	})
	assert.NilError(t, g.commit())
	row, err := gauge.DecodeLeaseRow(g.table.row.Value)
	assert.NilError(t, err)
	told := time.Duration(row.RenewedAt)*time.Millisecond + 2*time.Second
	assert.Assert(t, g.lease.Until() <= told, "it lasts until %v, its row tells %v", g.lease.Until(), told)
}
