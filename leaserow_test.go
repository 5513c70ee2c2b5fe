package sapphiregauge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: a count of waiting jobs is told that nobody has made.
// Sequence: a row of an owner that couldn't read a queue, or of an older program, is
// written and read.
// Cause: a queue that isn't in the row counts as empty.
func TestLeaseRowTellsWhichCountsAreKnown(t *testing.T) {
	b, err := (&gauge.LeaseRow{Depths: map[string]int{"sheets": 7}, Unread: []string{"parts"}, Renewed: 500, Counted: 400}).Encode()
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
	older := gauge.LeaseRow{Renewed: 500}
	assert.Equal(t, older.CountedAt(), int64(500), "an older program counts with each renewal")
}
