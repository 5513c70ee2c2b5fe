package sapphiregauge_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

const rowLimit = 48 << 10

// wideRow is the row of a job with so many tasks, each of which has a checkpoint, a suspect run and a
// failure.
func wideRow(tasks int) *gauge.JobRow {
	r := &gauge.JobRow{
		State: gauge.JobRunning, Pool: "p", Done: map[int][][]byte{0: {{7}}},
		Checkpoints: make(map[string]string), SuspectRuns: make(map[string]gauge.SuspectRuns), Failures: make(map[string][]int),
		Unattributed: make(map[string]int), Presumed: make(map[string]int),
	}
	for i := range tasks {
		key := fmt.Sprint("0.0.", i)
		r.Checkpoints[key] = "checkpoint 000001"
		r.SuspectRuns[key] = gauge.SuspectRuns{{Run: 1, Worker: fmt.Sprint("i-", i), StartedAt: 1796585127522, Evidence: gauge.EvidenceLapsed}}
		r.Failures[key] = []int{1}
		r.Unattributed[key], r.Presumed[key] = 1, 1
	}
	return r
}

// Guards against a row that the table refuses: it grows with each task that is stopped, lost or failed.
func TestJobRowOfAnyNumberOfTasksFits(t *testing.T) {
	for _, tasks := range []int{1, 100, 1000, gauge.MaxTasks} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			row := wideRow(tasks)
			whole, err := row.Encode()
			assert.NilError(t, err)
			b, omitted, err := row.EncodeWithin(rowLimit)
			assert.NilError(t, err)
			t.Logf("%d bytes, of %d; %d entries left out", len(b), len(whole), omitted)
			assert.Assert(t, len(b) <= rowLimit)
			assert.Equal(t, omitted > 0, len(whole) > rowLimit)
			assert.Equal(t, len(row.Checkpoints), tasks, "the row itself keeps them")
			read, err := gauge.DecodeJobRow(b)
			assert.NilError(t, err)
			assert.Assert(t, read.IsDone(0, 0, 2))
			assert.Equal(t, len(read.Presumed), len(read.Unattributed))
		})
	}
}

// Guards against leaving out more than needed, and a record of crashes before a checkpoint.
func TestShortenedRowLeavesOutWhatCostsLeast(t *testing.T) {
	row := wideRow(300)
	row.Checkpoints["0.0.7"] = strings.Repeat("x", rowLimit)
	b, omitted, err := row.EncodeWithin(rowLimit)
	assert.NilError(t, err)
	assert.Equal(t, omitted, 1)
	read, err := gauge.DecodeJobRow(b)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Checkpoints), 299)
	assert.Equal(t, read.Checkpoints["0.0.7"], "")

	row = wideRow(1000)
	row.SuspectRuns["0.0.9"] = append(row.SuspectRuns["0.0.9"], gauge.SuspectRun{Run: 2, Worker: "i-2", Crashed: true})
	b, _, err = row.EncodeWithin(rowLimit)
	assert.NilError(t, err)
	read, err = gauge.DecodeJobRow(b)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Checkpoints), 0)
	assert.Equal(t, len(read.Failures), 1000)
	assert.Equal(t, len(read.SuspectRuns["0.0.9"]), 2)
	assert.Assert(t, len(read.SuspectRuns) > 300, "%d tasks with suspect runs left", len(read.SuspectRuns))
}

// BenchmarkEncodeWithin measures the encoding of a row that is too large, beside one that fits.
func BenchmarkEncodeWithin(b *testing.B) {
	for _, tasks := range []int{300, 3000} {
		row := &gauge.JobRow{State: gauge.JobRunning, Pool: "p", Checkpoints: wideRow(tasks).Checkpoints}
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := row.EncodeWithin(rowLimit); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
