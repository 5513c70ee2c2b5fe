package sapphiregauge_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a wave whose progress can't be stored, as the machines in one row are more than
// the table takes: the fleet's lease isn't renewed then, and no machine is moved or maintained.
func TestWaveOfManyMachinesFitsIntoRows(t *testing.T) {
	for _, n := range []int{1, 6_000, 12_000} {
		ordered := make([]string, n)
		for i := range ordered {
			ordered[i] = fmt.Sprintf("machine-%06d", i)
		}
		head := gauge.WaveRow{FirstSeen: 7}
		value, err := head.Encode()
		assert.NilError(t, err)
		rows := []gauge.PartitionRow{{RowKey: gauge.RowKey{Key: gauge.WaveKey(1)}, Value: value}}
		for i, part := range gauge.DivideWave(ordered) {
			value, err := part.Encode()
			assert.NilError(t, err)
			assert.Assert(t, len(value) <= 64<<10, "a row of %d bytes", len(value))
			key := gauge.WavePartKey(1, i)
			assert.Assert(t, key > gauge.WaveKey(1) && key < gauge.WaveKeysEnd(1))
			rows = append(rows, gauge.PartitionRow{RowKey: gauge.RowKey{Key: key}, Value: value})
		}
		assert.Assert(t, len(rows) <= 33, "%d rows", len(rows))
		read, err := gauge.DecodeWave(1, rows)
		assert.NilError(t, err)
		slices.Sort(read.Ordered)
		assert.DeepEqual(t, read, &gauge.WaveRow{Ordered: ordered, FirstSeen: 7})
	}
}

// The rows of one wave hold no row of another whose number begins with the same digits.
func TestKeysOfWavesAreSeparate(t *testing.T) {
	for _, other := range []string{gauge.WaveKey(10), gauge.WavePartKey(10, 3), gauge.WaveKey(2), gauge.WavePartKey(19, 31)} {
		assert.Assert(t, other < gauge.WaveKey(1) || other >= gauge.WaveKeysEnd(1), other)
	}
}

// A row of an older version names the machines itself.
func TestWaveRowOfAnOlderVersionKeepsItsMachines(t *testing.T) {
	old := gauge.WaveRow{Ordered: []string{"a", "b"}, Done: true}
	value, err := old.Encode()
	assert.NilError(t, err)
	read, err := gauge.DecodeWave(1, []gauge.PartitionRow{{RowKey: gauge.RowKey{Key: gauge.WaveKey(1)}, Value: value}})
	assert.NilError(t, err)
	assert.DeepEqual(t, read, &old)
	none, err := gauge.DecodeWave(1, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, none, &gauge.WaveRow{})
}
