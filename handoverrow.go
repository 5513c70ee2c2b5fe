package sapphiregauge

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// HandoverRow is what the next holder of a lease must know about the orders of this holder and
// previous ones; its fields are those of LeaseRow. When it has changed it is written in one
// transaction with the lease row, and only an entry that takes the lease reads it. As each change
// of it changes the version of the lease row, a claim conditional on that version proves that the
// handover row read after it is current.
//
// The table bounds the size of a row, and with thousands of workers only a few change at a time. So
// what is kept by worker or machine is stored in parts, each in a row of its own: see Divide.
type HandoverRow struct {
	Workers           []string         `msgpack:"w,omitempty"`
	RemainingLeases   map[string]int64 `msgpack:"l,omitempty"`
	DrainedFor        map[string]int64 `msgpack:"y,omitempty"`
	EarlierLeaseUntil int64            `msgpack:"x,omitempty"`
	UnrecordedOwners  int              `msgpack:"z,omitempty"`
	OwnOrders         map[string]int64 `msgpack:"o,omitempty"`
	PreviousOrders    map[string]int64 `msgpack:"e,omitempty"`
	Retention         int64            `msgpack:"p,omitempty"`
	OrdersAnnounced   bool             `msgpack:"b,omitempty"`
	// Parts lists the parts that belong to the row; the rows of others are outdated.
	Parts []int `msgpack:"c,omitempty"`
}

// HandoverParts is the number of parts into which a handover row is divided. A row of 64 KiB holds
// a thirty-second of 16,000 workers with all their leases.
const HandoverParts = 32

// HandoverPartKey returns the key of a part's row, for the key of the lease.
func HandoverPartKey(key string, part int) string { return fmt.Sprintf("%s.%02d", key, part) }

// Divide divides the row into what it has once, and the parts with what it has by worker and
// machine. The head lists the parts that aren't empty.
func (h *HandoverRow) Divide() (head HandoverRow, parts [HandoverParts]HandoverRow) {
	for _, w := range h.Workers {
		p := &parts[partOf(w, HandoverParts)]
		p.Workers = append(p.Workers, w)
	}
	for _, m := range []struct {
		from map[string]int64
		to   func(*HandoverRow) *map[string]int64
	}{
		{h.RemainingLeases, func(p *HandoverRow) *map[string]int64 { return &p.RemainingLeases }},
		{h.DrainedFor, func(p *HandoverRow) *map[string]int64 { return &p.DrainedFor }},
		{h.OwnOrders, func(p *HandoverRow) *map[string]int64 { return &p.OwnOrders }},
		{h.PreviousOrders, func(p *HandoverRow) *map[string]int64 { return &p.PreviousOrders }},
	} {
		for key, value := range m.from {
			to := m.to(&parts[partOf(key, HandoverParts)])
			if *to == nil {
				*to = make(map[string]int64)
			}
			(*to)[key] = value
		}
	}
	head = HandoverRow{EarlierLeaseUntil: h.EarlierLeaseUntil, UnrecordedOwners: h.UnrecordedOwners, Retention: h.Retention, OrdersAnnounced: h.OrdersAnnounced}
	for i := range parts {
		if !parts[i].Equal(&HandoverRow{}) {
			head.Parts = append(head.Parts, i)
		}
	}
	return head, parts
}

// partOf returns in which of some parts a key is.
func partOf(key string, parts int) int { return int(xxhash.Sum64String(key) % uint64(parts)) }

// Merge adds a part to the row.
func (h *HandoverRow) Merge(part *HandoverRow) {
	h.Workers = append(h.Workers, part.Workers...)
	merge := func(to *map[string]int64, from map[string]int64) {
		if *to == nil && len(from) > 0 {
			*to = make(map[string]int64)
		}
		maps.Copy(*to, from)
	}
	merge(&h.RemainingLeases, part.RemainingLeases)
	merge(&h.DrainedFor, part.DrainedFor)
	merge(&h.OwnOrders, part.OwnOrders)
	merge(&h.PreviousOrders, part.PreviousOrders)
}

// Split separates the fields for all entries from those for the next holder.
func (r *LeaseRow) Split() (LeaseRow, HandoverRow) {
	h := HandoverRow{Workers: r.Workers, RemainingLeases: r.RemainingLeases, DrainedFor: r.DrainedFor, EarlierLeaseUntil: r.EarlierLeaseUntil, UnrecordedOwners: r.UnrecordedOwners, OwnOrders: r.OwnOrders, PreviousOrders: r.PreviousOrders, Retention: r.Retention, OrdersAnnounced: r.OrdersAnnounced}
	all := *r
	all.Join(&HandoverRow{})
	return all, h
}

// Join adds the fields for the next holder.
func (r *LeaseRow) Join(h *HandoverRow) {
	r.Workers, r.RemainingLeases, r.DrainedFor = h.Workers, h.RemainingLeases, h.DrainedFor
	r.EarlierLeaseUntil, r.UnrecordedOwners = h.EarlierLeaseUntil, h.UnrecordedOwners
	r.OwnOrders, r.PreviousOrders, r.Retention, r.OrdersAnnounced = h.OwnOrders, h.PreviousOrders, h.Retention, h.OrdersAnnounced
}

// Equal reports whether two rows have the same content.
func (h *HandoverRow) Equal(o *HandoverRow) bool {
	return h.Retention == o.Retention && h.EarlierLeaseUntil == o.EarlierLeaseUntil && h.UnrecordedOwners == o.UnrecordedOwners && h.OrdersAnnounced == o.OrdersAnnounced &&
		slices.Equal(h.Workers, o.Workers) && slices.Equal(h.Parts, o.Parts) &&
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
