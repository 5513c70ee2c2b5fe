package sapphiregauge

import (
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// HandoverRow is what the next holder of a lease must know about the orders of this holder and
// previous ones; its fields are those of LeaseRow. When it has changed it is written in one
// transaction with the lease row, and only an entry that takes the lease reads it. As each change
// of it changes the version of the lease row, a claim conditional on that version proves that the
// contents read after it are current.
type HandoverRow struct {
	Workers          []string         `msgpack:"w,omitempty"`
	RemainingLeases  map[string]int64 `msgpack:"l,omitempty"`
	DrainedFor       map[string]int64 `msgpack:"y,omitempty"`
	UnrecordedOwners int              `msgpack:"z,omitempty"`
	OwnOrders        map[string]int64 `msgpack:"o,omitempty"`
	PreviousOrders   map[string]int64 `msgpack:"e,omitempty"`
	Retention        int64            `msgpack:"p,omitempty"`
	OrdersAnnounced  bool             `msgpack:"b,omitempty"`
}

// Split separates the fields for all entries from those for the next holder.
func (r *LeaseRow) Split() (LeaseRow, HandoverRow) {
	g := HandoverRow{Workers: r.Workers, RemainingLeases: r.RemainingLeases, DrainedFor: r.DrainedFor, UnrecordedOwners: r.UnrecordedOwners, OwnOrders: r.OwnOrders, PreviousOrders: r.PreviousOrders, Retention: r.Retention, OrdersAnnounced: r.OrdersAnnounced}
	all := *r
	all.Join(&HandoverRow{})
	return all, g
}

// Join adds the fields for the next holder.
func (r *LeaseRow) Join(g *HandoverRow) {
	r.Workers, r.RemainingLeases, r.DrainedFor, r.UnrecordedOwners = g.Workers, g.RemainingLeases, g.DrainedFor, g.UnrecordedOwners
	r.OwnOrders, r.PreviousOrders, r.Retention, r.OrdersAnnounced = g.OwnOrders, g.PreviousOrders, g.Retention, g.OrdersAnnounced
}

// Equal reports whether two rows have the same content.
func (g *HandoverRow) Equal(o *HandoverRow) bool {
	return g.Retention == o.Retention && g.UnrecordedOwners == o.UnrecordedOwners && g.OrdersAnnounced == o.OrdersAnnounced && slices.Equal(g.Workers, o.Workers) &&
		maps.Equal(g.RemainingLeases, o.RemainingLeases) && maps.Equal(g.DrainedFor, o.DrainedFor) && maps.Equal(g.OwnOrders, o.OwnOrders) && maps.Equal(g.PreviousOrders, o.PreviousOrders)
}

// Encode marshals the row for the table.
func (g *HandoverRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(g)
	if err != nil {
		return nil, Errorf(KindInternal, "grant row").WithCause(err)
	}
	return b, nil
}

// DecodeHandoverRow decodes a row written by Encode.
func DecodeHandoverRow(b []byte) (*HandoverRow, error) {
	g := new(HandoverRow)
	if err := msgpack.Unmarshal(b, g); err != nil {
		return nil, Errorf(KindInvalid, "grant row").WithCause(err)
	}
	return g, nil
}
