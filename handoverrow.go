package sapphiregauge

import (
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// GrantRow is what the next holder of a lease has to know of the orders of this one and
// those before. It is written in one transaction with the lease's row, when it has
// changed, and read only by who takes the lease: as each change of it changes the
// version of the lease's row, a claim of that version is of what was read after it.
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

// Split takes apart what is for all entries and what is for the next holder.
func (r *LeaseRow) Split() (LeaseRow, GrantRow) {
	g := GrantRow{Workers: r.Workers, Left: r.Left, Emptied: r.Emptied, Unnoted: r.Unnoted, Ordered: r.Ordered, Earlier: r.Earlier, Kept: r.Kept, Announced: r.Announced}
	all := *r
	all.Join(&GrantRow{})
	return all, g
}

// Join adds what is for the next holder.
func (r *LeaseRow) Join(g *GrantRow) {
	r.Workers, r.Left, r.Emptied, r.Unnoted = g.Workers, g.Left, g.Emptied, g.Unnoted
	r.Ordered, r.Earlier, r.Kept, r.Announced = g.Ordered, g.Earlier, g.Kept, g.Announced
}

// Equal tells whether two rows say the same.
func (g *GrantRow) Equal(o *GrantRow) bool {
	return g.Kept == o.Kept && g.Unnoted == o.Unnoted && g.Announced == o.Announced && slices.Equal(g.Workers, o.Workers) &&
		maps.Equal(g.Left, o.Left) && maps.Equal(g.Emptied, o.Emptied) && maps.Equal(g.Ordered, o.Ordered) && maps.Equal(g.Earlier, o.Earlier)
}

// Encode packs the row.
func (g *GrantRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(g)
	if err != nil {
		return nil, Fail(KindInternal, "grant row").Because(err)
	}
	return b, nil
}

// DecodeGrantRow reads what Encode wrote.
func DecodeGrantRow(b []byte) (*GrantRow, error) {
	g := new(GrantRow)
	if err := msgpack.Unmarshal(b, g); err != nil {
		return nil, Fail(KindInvalid, "grant row").Because(err)
	}
	return g, nil
}
