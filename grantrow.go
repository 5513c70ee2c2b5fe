package sapphiregauge

import (
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// GrantRow is what the next holder of a lease must know about the orders of this holder and
// previous ones; its fields are those of LeaseRow. When it has changed it is written in one
// transaction with the lease row, and only an entry that takes the lease reads it. As each change
// of it changes the version of the lease row, a claim conditional on that version proves that the
// grants read after it are current.
type GrantRow struct {
	Workers   []string         `msgpack:"w,omitempty"`
	Left      map[string]int64 `msgpack:"l,omitempty"`
	Emptied   map[string]int64 `msgpack:"y,omitempty"`
	Unnoted   int              `msgpack:"z,omitempty"`
	Ordered   map[string]int64 `msgpack:"o,omitempty"`
	Earlier   map[string]int64 `msgpack:"e,omitempty"`
	Kept      int64            `msgpack:"p,omitempty"`
	Announced bool             `msgpack:"b,omitempty"`
}

// Split separates the fields for all entries from those for the next holder.
func (r *LeaseRow) Split() (LeaseRow, GrantRow) {
	g := GrantRow{Workers: r.Workers, Left: r.Left, Emptied: r.Emptied, Unnoted: r.Unnoted, Ordered: r.Ordered, Earlier: r.Earlier, Kept: r.Kept, Announced: r.Announced}
	all := *r
	all.Join(&GrantRow{})
	return all, g
}

// Join adds the fields for the next holder.
func (r *LeaseRow) Join(g *GrantRow) {
	r.Workers, r.Left, r.Emptied, r.Unnoted = g.Workers, g.Left, g.Emptied, g.Unnoted
	r.Ordered, r.Earlier, r.Kept, r.Announced = g.Ordered, g.Earlier, g.Kept, g.Announced
}

// Equal reports whether two rows have the same content.
func (g *GrantRow) Equal(o *GrantRow) bool {
	return g.Kept == o.Kept && g.Unnoted == o.Unnoted && g.Announced == o.Announced && slices.Equal(g.Workers, o.Workers) &&
		maps.Equal(g.Left, o.Left) && maps.Equal(g.Emptied, o.Emptied) && maps.Equal(g.Ordered, o.Ordered) && maps.Equal(g.Earlier, o.Earlier)
}

// Encode marshals the row for the table.
func (g *GrantRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(g)
	if err != nil {
		return nil, Fail(KindInternal, "grant row").Because(err)
	}
	return b, nil
}

// DecodeGrantRow decodes a row written by Encode.
func DecodeGrantRow(b []byte) (*GrantRow, error) {
	g := new(GrantRow)
	if err := msgpack.Unmarshal(b, g); err != nil {
		return nil, Fail(KindInvalid, "grant row").Because(err)
	}
	return g, nil
}
