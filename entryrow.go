package sapphiregauge

import (
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// EntryRow is an entry's own row: where others find it, and how many leases its host
// can carry beside theirs.
type EntryRow struct {
	Addr     string  `msgpack:"a"` // for calls from other entries
	Capacity float64 `msgpack:"c"` // cores of plain speed; less if the host's link is the narrower
}

// Encode packs the row.
func (r *EntryRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Fail(KindInternal, "entry row").Because(err)
	}
	return b, nil
}

// DecodeEntryRow reads what Encode wrote. A row that gives no capacity to reckon with is
// malformed: the host would seem to carry any number of leases, or none.
func DecodeEntryRow(b []byte) (*EntryRow, error) {
	r := new(EntryRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Fail(KindInvalid, "entry row").Because(err)
	}
	if r.Addr == "" || !(r.Capacity > 0) || math.IsInf(r.Capacity, 0) {
		return nil, Fail(KindInvalid, "entry row: address %q, capacity %g", r.Addr, r.Capacity)
	}
	return r, nil
}
