package sapphiregauge_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

func TestEntryRowRoundTrip(t *testing.T) {
	row := gauge.EntryRow{Addr: "10.1.0.9:7060", Capacity: 0.1}
	value, err := row.Encode()
	assert.NilError(t, err)
	read, err := gauge.DecodeEntryRow(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, *read, row)
}

// A row without an address or a usable capacity must be refused, so that no lease is placed by it.
func TestMalformedEntryRowsAreRefused(t *testing.T) {
	packed := func(r gauge.EntryRow) []byte {
		b, err := r.Encode()
		assert.NilError(t, err)
		return b
	}
	for _, tt := range []struct {
		name  string
		value []byte
	}{
		{"empty", nil},
		{"a bare address", []byte("10.1.0.9:7060")},
		{"no address", packed(gauge.EntryRow{Capacity: 1})},
		{"no capacity", packed(gauge.EntryRow{Addr: "10.1.0.9:7060"})},
		{"less than none", packed(gauge.EntryRow{Addr: "10.1.0.9:7060", Capacity: -1})},
		{"not a number", packed(gauge.EntryRow{Addr: "10.1.0.9:7060", Capacity: math.NaN()})},
		{"without bound", packed(gauge.EntryRow{Addr: "10.1.0.9:7060", Capacity: math.Inf(1)})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := gauge.DecodeEntryRow(tt.value)
			assert.Equal(t, gauge.KindOf(err), gauge.KindInvalid)
		})
	}
}

// Guards against reporting a number of waiting jobs that nobody has counted. A row is written by an
// owner that couldn't read a queue, or by an older version; a queue that isn't in the row would
// count as empty.
func TestLeaseRowSaysWhichDepthsAreKnown(t *testing.T) {
	b, err := (&gauge.LeaseRow{Depths: map[string]int{"sheets": 7}, UnreadQueues: []string{"parts"}, RenewedAt: 500, Counted: 400}).Encode()
	assert.NilError(t, err)
	row, err := gauge.DecodeLeaseRow(b)
	assert.NilError(t, err)
	for queue, want := range map[string]int{"sheets": 7, "empty": 0} {
		waiting, known := row.Depth(queue)
		assert.Assert(t, known)
		assert.Equal(t, waiting, want)
	}
	_, known := row.Depth("parts")
	assert.Assert(t, !known)
	assert.Equal(t, row.CountedAt(), int64(400))
	older := gauge.LeaseRow{RenewedAt: 500}
	assert.Equal(t, older.CountedAt(), int64(500), "an older program counts with each renewal")
}

// Guards against losing a field that only the next holder needs on the way to it.
func TestLeaseRowSplitAndJoin(t *testing.T) {
	row := gauge.LeaseRow{
		Holder: "e/1", Addr: "a", Term: 2, Workers: []string{"w@1"}, RemainingLeases: map[string]int64{"w@1": 1}, DrainedFor: map[string]int64{"w": 2}, UnrecordedOwners: 2,
		Depths: map[string]int{"sheets": 1}, OwnOrders: map[string]int64{"m": 3}, PreviousOrders: map[string]int64{"n": 4}, Retention: 5, OrdersAnnounced: true,
	}
	all, handover := row.Split()
	value, err := handover.Encode()
	assert.NilError(t, err)
	read, err := gauge.DecodeHandoverRow(value)
	assert.NilError(t, err)
	assert.Assert(t, read.Equal(&handover))
	assert.Equal(t, len(all.DrainedFor), 0)
	all.Join(read)
	assert.DeepEqual(t, all, row)
}
