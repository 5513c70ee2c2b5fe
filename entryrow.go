package sapphiregauge

import (
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// EntryRow is the row of an entry: its address, and its host's capacity, which bounds how many
// leases it can hold compared with other entries.
type EntryRow struct {
	Addr     string  `msgpack:"a"` // ip:port for calls from other entries
	Capacity float64 `msgpack:"c"` // cores of normal speed; fewer if the host's network link is the bottleneck
}

// Encode marshals the row for the table.
func (r *EntryRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Errorf(KindInternal, "entry row").WithCause(err)
	}
	return b, nil
}

// DecodeEntryRow decodes a row written by Encode. A row without a usable capacity is malformed: the
// host would seem to be able to hold any number of leases, or none.
func DecodeEntryRow(b []byte) (*EntryRow, error) {
	r := new(EntryRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Errorf(KindInvalid, "entry row").WithCause(err)
	}
	if r.Addr == "" || !(r.Capacity > 0) || math.IsInf(r.Capacity, 0) {
		return nil, Errorf(KindInvalid, "entry row: address %q, capacity %g", r.Addr, r.Capacity)
	}
	return r, nil
}
