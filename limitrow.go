package sapphiregauge

import "github.com/vmihailenco/msgpack/v5"

// TableLimits has one row for each client account with a limit: account -> LimitRow. All are in one
// partition, so that a pool's owner writes those of several accounts at once.
const TableLimits = "limits"

// LimitRow says how a client account's limit is divided between the pools. The parts are reserved:
// whether or not a pool uses its part, nobody else may. It is only written under the condition that
// it hasn't changed since it was read, so that the parts never add up to more than the limit.
type LimitRow struct {
	Parts map[string]LimitPart `msgpack:"p"` // by pool
	// Limit is the limit by which the parts were last divided, and Version that of the configuration
	// that it is from. An owner that still has an older configuration keeps to it.
	Limit   Resources `msgpack:"l"`
	Version int64     `msgpack:"v"`
}

// LimitPart is the most that may run for an account in one pool. It belongs to the pool and passes
// to the pool's next owner.
type LimitPart struct {
	Amount Resources    `msgpack:"a"`
	Fence  FencingToken `msgpack:"f"` // of the owner that wrote it
}

// Encode marshals the row for the table.
func (r *LimitRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Errorf(KindInternal, "limit row").WithCause(err)
	}
	return b, nil
}

// DecodeLimitRow decodes a row written by Encode.
func DecodeLimitRow(b []byte) (*LimitRow, error) {
	r := new(LimitRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Errorf(KindInvalid, "limit row").WithCause(err)
	}
	for pool, part := range r.Parts {
		if part.Amount.MilliCPU < 0 || part.Amount.MemoryMB < 0 || part.Amount.Accels < 0 {
			return nil, Errorf(KindInvalid, "limit row: part of %q: negative", pool)
		}
	}
	return r, nil
}
