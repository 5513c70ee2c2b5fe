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
// handover row read after it is current.
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
	h := HandoverRow{Workers: r.Workers, RemainingLeases: r.RemainingLeases, DrainedFor: r.DrainedFor, UnrecordedOwners: r.UnrecordedOwners, OwnOrders: r.OwnOrders, PreviousOrders: r.PreviousOrders, Retention: r.Retention, OrdersAnnounced: r.OrdersAnnounced}
	all := *r
	all.Join(&HandoverRow{})
	return all, h
}

// Join adds the fields for the next holder.
func (r *LeaseRow) Join(h *HandoverRow) {
	r.Workers, r.RemainingLeases, r.DrainedFor, r.UnrecordedOwners = h.Workers, h.RemainingLeases, h.DrainedFor, h.UnrecordedOwners
	r.OwnOrders, r.PreviousOrders, r.Retention, r.OrdersAnnounced = h.OwnOrders, h.PreviousOrders, h.Retention, h.OrdersAnnounced
}

// Equal reports whether two rows have the same content.
func (h *HandoverRow) Equal(o *HandoverRow) bool {
	return h.Retention == o.Retention && h.UnrecordedOwners == o.UnrecordedOwners && h.OrdersAnnounced == o.OrdersAnnounced && slices.Equal(h.Workers, o.Workers) &&
		maps.Equal(h.RemainingLeases, o.RemainingLeases) && maps.Equal(h.DrainedFor, o.DrainedFor) && maps.Equal(h.OwnOrders, o.OwnOrders) && maps.Equal(h.PreviousOrders, o.PreviousOrders)
}

// Encode marshals the row for the table.
func (h *HandoverRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(h)
	if err != nil {
		return nil, Errorf(KindInternal, "handover row").WithCause(err)
	}
	return b, nil
}

// DecodeHandoverRow decodes a row written by Encode.
func DecodeHandoverRow(b []byte) (*HandoverRow, error) {
	h := new(HandoverRow)
	if err := msgpack.Unmarshal(b, h); err != nil {
		return nil, Errorf(KindInvalid, "handover row").WithCause(err)
	}
	return h, nil
}
