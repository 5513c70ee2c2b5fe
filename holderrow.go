package sapphiregauge

import "github.com/vmihailenco/msgpack/v5"

// HolderRow says which entry holds a lease. It is written with each claim and when a lease is given
// up, unlike the lease row, which each write of the holder renews. So entries that only have to find
// the owner of a pool follow these rows.
type HolderRow struct {
	Holder string `msgpack:"h"` // as in LeaseRow
	Addr   string `msgpack:"a"`
	Term   int    `msgpack:"t"`
}

// HolderKey returns the key of the row for a lease; the fleet lease has no name.
func HolderKey(lease string) string { return holderKeyPrefix + lease }

// LeaseOfHolderKey returns the lease that a row's key is for.
func LeaseOfHolderKey(key string) string { return key[min(len(holderKeyPrefix), len(key)):] }

const holderKeyPrefix = "/"

// LeaseRow returns what the row says of the lease row at the same version. Nothing is known of its
// depths.
func (h *HolderRow) LeaseRow() LeaseRow {
	return LeaseRow{Holder: h.Holder, Addr: h.Addr, Term: h.Term, Counted: neverCounted}
}

// Encode marshals the row for the table.
func (h *HolderRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(h)
	if err != nil {
		return nil, Errorf(KindInternal, "holder row").WithCause(err)
	}
	return b, nil
}

// DecodeHolderRow decodes a row written by Encode.
func DecodeHolderRow(b []byte) (*HolderRow, error) {
	h := new(HolderRow)
	if err := msgpack.Unmarshal(b, h); err != nil {
		return nil, Errorf(KindInvalid, "holder row").WithCause(err)
	}
	return h, nil
}
