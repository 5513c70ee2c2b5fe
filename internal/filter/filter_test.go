package filter_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/filter"
)

// decode decodes a row with the value "POOL STATE SEQUENCE".
func decode(r gauge.PartitionRow) (*gauge.Worker, error) {
	fields := strings.Fields(string(r.Value))
	if len(fields) != 3 {
		return nil, gauge.Errorf(gauge.KindInvalid, "worker row")
	}
	return &gauge.Worker{ID: r.Key, Pool: fields[0], Draining: fields[1] == "draining"}, nil
}

func row(id, value string, version int64) gauge.PartitionRow {
	return gauge.PartitionRow{RowKey: gauge.RowKey{Table: "workers", Key: id}, Value: []byte(value), Version: version, Deleted: value == ""}
}

// rowsOf returns IDs and values of an answer's rows, in order.
func rowsOf(a filter.Answer) []string {
	var rows []string
	for _, r := range a.Rows {
		rows = append(rows, strings.TrimSpace(r.Key+" "+string(r.Value)))
	}
	slices.Sort(rows)
	return rows
}

func newFilter() *filter.Filter {
	f := filter.New(filter.Config{Decode: decode})
	f.Apply([]gauge.PartitionRow{row("w1", "a ready 1", 3), row("w2", "a ready 1", 4), row("w3", "b ready 1", 5)}, true, 10)
	return f
}

func TestOnlyChangesOfThePoolAreTold(t *testing.T) {
	f := newFilter()
	assert.Equal(t, len(f.Since("a", 10, nil).Rows), 0)
	assert.Assert(t, !f.Apply([]gauge.PartitionRow{row("w1", "a ready 2", 11), row("w3", "b ready 2", 12)}, false, 12))
	a := f.Since("a", 10, nil)
	assert.Equal(t, len(a.Rows), 0, "only the sequence has changed")
	assert.Equal(t, a.Version, int64(12))
	assert.Assert(t, f.Apply([]gauge.PartitionRow{row("w1", "a draining 3", 13), row("w3", "b draining 3", 14), row("w4", "a ready 1", 15)}, false, 15))
	assert.DeepEqual(t, rowsOf(f.Since("a", 12, nil)), []string{"w1 a draining 3", "w4 a ready 1"})
	assert.DeepEqual(t, rowsOf(f.Since("a", 13, nil)), []string{"w4 a ready 1"})
	assert.DeepEqual(t, rowsOf(f.Since("b", 10, nil)), []string{"w3 b draining 3"})
}

// Guards against an owner that goes on with a worker that is gone, or is in another pool under the
// same ID.
func TestWorkersThatLeaveThePoolAreTold(t *testing.T) {
	f := newFilter()
	f.Apply([]gauge.PartitionRow{row("w1", "", 11), row("w2", "b ready 1", 12), row("w3", "unreadable", 13)}, false, 13)
	assert.DeepEqual(t, rowsOf(f.Since("a", 10, nil)), []string{"w1", "w2 b ready 1"})
	b := f.Since("b", 10, nil)
	assert.DeepEqual(t, rowsOf(b), []string{"w2 b ready 1", "w3"})
	for _, r := range b.Rows {
		assert.Equal(t, r.Deleted, r.Key == "w3", "a row that can't be read names no worker")
	}
}

func TestAskerThatIsFurtherBehindGetsAllOfThePool(t *testing.T) {
	f := newFilter()
	f.Apply([]gauge.PartitionRow{row("w2", "b ready 1", 12), row("w3", "", 13)}, false, 13)
	a := f.Since("a", 9, []string{"w1", "w2", "w3", "w9"})
	assert.Assert(t, a.Whole)
	assert.DeepEqual(t, rowsOf(a), []string{"w1 a ready 1", "w2 b ready 1"})
	assert.Equal(t, len(f.Since("c", 0, nil).Rows), 0)
	f.Apply([]gauge.PartitionRow{row("w1", "a ready 1", 20)}, true, 30)
	assert.Assert(t, f.Since("a", 13, nil).Whole, "what happened before the table was read again isn't known")
}

// Changes are kept up to a bound; whoever has missed those that were dropped is told so.
func TestDroppedChangesAreNotMissed(t *testing.T) {
	f := newFilter()
	version := int64(10)
	for n := range 10_000 {
		version++
		f.Apply([]gauge.PartitionRow{row("w1", fmt.Sprintf("a %s 1", []string{"ready", "draining"}[n%2]), version)}, false, version)
	}
	assert.Assert(t, f.Since("a", 10, nil).Whole)
	assert.DeepEqual(t, rowsOf(f.Since("a", version-1, nil)), []string{"w1 a draining 1"})
	assert.Equal(t, len(f.Since("a", version, nil).Rows), 0)
}

// Guards against what grows with the whole site: an owner read the rows of all workers, each time
// that any of them rewrote its own.
func TestAnswersGrowWithThePoolOnly(t *testing.T) {
	rowsAt := func(pools int) int {
		f := filter.New(filter.Config{Decode: decode})
		var rows []gauge.PartitionRow
		for p := range pools {
			for w := range 50 {
				rows = append(rows, row(fmt.Sprintf("w%d-%d", p, w), fmt.Sprintf("p%d ready 1", p), 1))
			}
		}
		f.Apply(rows, true, 1)
		told := len(f.Since("p0", 0, nil).Rows)
		for i := range rows {
			rows[i] = row(rows[i].Key, fmt.Sprintf("p%d ready 2", i/50), 2)
		}
		rows[7].Value = []byte("p0 draining 2")
		f.Apply(rows, false, 2)
		return told + len(f.Since("p0", 1, nil).Rows)
	}
	assert.Equal(t, rowsAt(5), 50+1)
	assert.Equal(t, rowsAt(117), 50+1)
}

// An answer that wouldn't fit into a call is divided, or refused if it can't be.
func TestLargeAnswers(t *testing.T) {
	const workers = 3_000
	f := filter.New(filter.Config{Decode: decode})
	f.Apply(nil, true, 1)
	version := int64(1)
	for w := range workers {
		version++
		f.Apply([]gauge.PartitionRow{row(fmt.Sprintf("w%d", w), "a ready 1", version)}, false, version)
	}
	first := f.Since("a", 1, nil)
	assert.Equal(t, len(first.Rows), filter.MaxRows)
	rest := f.Since("a", first.Version, nil)
	assert.Equal(t, len(rest.Rows), workers-filter.MaxRows)
	assert.Equal(t, rest.Version, version)
	assert.Assert(t, f.Since("a", 0, nil).TooLarge)
}
