package sapphiregauge

import (
	"fmt"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// TableWaves is the table of maintenance waves: WaveKey -> WaveRow, and WavePartKey -> WavePart.
const TableWaves = "waves"

// WaveRow is the stored state of a maintenance wave. The machines of it that have been ordered are
// in parts, each in a row of its own, as the table bounds the size of a row and each order changes
// one of them.
type WaveRow struct {
	Ordered []string `msgpack:"b,omitempty"` // in rows of older versions of this software only
	Done    bool     `msgpack:"d"`
	// FirstSeen is when the wave was first seen, by the table's clock in milliseconds; 0: not
	// known.
	FirstSeen int64 `msgpack:"s,omitempty"`
}

// WavePart is a part of the machines of a wave that have been ordered.
type WavePart struct {
	Ordered []string `msgpack:"b"`
}

// waveParts is the number of parts of a wave. A row of 64 KiB holds a thirty-second of 100,000
// machines.
const waveParts = 32

// WaveKey returns the key of a wave's row.
func WaveKey(wave int64) string { return strconv.FormatInt(wave, 10) }

// WavePartKey returns the key of a part of a wave.
func WavePartKey(wave int64, part int) string { return fmt.Sprintf("%s.%02d", WaveKey(wave), part) }

// WaveKeysEnd returns the end of the range of keys that begins with WaveKey and holds all parts.
func WaveKeysEnd(wave int64) string { return WaveKey(wave) + "/" }

// DivideWave divides the ordered machines of a wave into its parts, by index. A machine is always in
// the same one.
func DivideWave(ordered []string) map[int]WavePart {
	parts := make(map[int]WavePart)
	for _, machine := range ordered {
		i := partOf(machine, waveParts)
		parts[i] = WavePart{Ordered: append(parts[i].Ordered, machine)}
	}
	return parts
}

// Encode marshals the row for the table.
func (r *WaveRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Errorf(KindInternal, "wave row").WithCause(err)
	}
	return b, nil
}

// Encode marshals the part for the table.
func (p *WavePart) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(p)
	if err != nil {
		return nil, Errorf(KindInternal, "wave part").WithCause(err)
	}
	return b, nil
}

// DecodeWave decodes a wave's rows, of the range from WaveKey to WaveKeysEnd.
func DecodeWave(wave int64, rows []PartitionRow) (*WaveRow, error) {
	w := new(WaveRow)
	var ordered []string
	for _, r := range rows {
		if r.Key == WaveKey(wave) {
			if err := msgpack.Unmarshal(r.Value, w); err != nil {
				return nil, Errorf(KindInvalid, "wave row").WithCause(err)
			}
			continue
		}
		var p WavePart
		if err := msgpack.Unmarshal(r.Value, &p); err != nil {
			return nil, Errorf(KindInvalid, "wave part").WithCause(err)
		}
		ordered = append(ordered, p.Ordered...)
	}
	w.Ordered = append(w.Ordered, ordered...)
	return w, nil
}
