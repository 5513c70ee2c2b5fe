package terms

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
)

// FullCapacity is that of a host of which nothing is known, in cores: where hosts
// differ, those that can carry busy pools have it, and the others an eighth of it.
const FullCapacity = 0.8

// weakMost bounds the wait of a host for those that can carry more. They claim within
// Spread and Held for each lease that they have. A pool without an owner loses as long
// if they are all gone, so that this is a quarter of the lease's term, which a pool of
// a lost owner may stand still anyway.
const weakMost = 500 * time.Millisecond

// Burden is what a host has to carry, and what it can.
type Burden struct {
	Held     int     // leases
	Capacity float64 // cores of plain speed
}

// Next is the burden of each core with one lease more.
func (b Burden) Next() float64 { return float64(b.Held+1) / b.Capacity }

// Moves tells whether a lease should move from this host to another: each core here
// has twice or more of what it would have there: of two leases at one host and none at an
// equal one, each gets one. The other way round it isn't true after the move, so that no
// lease goes back and forth.
func (b Burden) Moves(to Burden) bool { return float64(b.Held)/b.Capacity >= 2*to.Next() }

// Peer is another entry.
type Peer struct {
	Addr string
	Burden
}

// Entry takes in the row of an entry; true: it says something new.
func (b *Board) Entry(name string, row gauge.EntryRow) bool {
	if b.entries[name] == row {
		return false
	}
	b.entries[name] = row
	return true
}

// Held is how many leases name this entry.
func (b *Board) Held() int {
	n := 0
	for _, s := range b.rows {
		if s.row.Holder == b.conf.Self {
			n++
		}
	}
	return n
}

// Peers lists the other entries, those first that are the least burdened with one
// lease more, else in an order that differs by pool: several owners that leave at once
// would otherwise all choose the same entry.
func (b *Board) Peers(pool string) []Peer {
	peers := make(map[string]Peer)
	for _, e := range b.entries {
		peers[e.Addr] = Peer{Addr: e.Addr, Burden: Burden{Capacity: e.Capacity}}
	}
	for _, s := range b.rows {
		if s.row.Holder == "" {
			continue
		}
		p, known := peers[s.row.Addr]
		if !known { // its own row hasn't come yet: a host like this one
			p = Peer{Addr: s.row.Addr, Burden: Burden{Capacity: b.conf.Capacity}}
		}
		p.Held++
		peers[p.Addr] = p
	}
	delete(peers, b.conf.Addr)
	return slices.SortedFunc(maps.Values(peers), func(x, y Peer) int {
		return cmp.Or(cmp.Compare(x.Next(), y.Next()), cmp.Compare(xxhash.Sum64String(pool+x.Addr), xxhash.Sum64String(pool+y.Addr)))
	})
}

// Weak tells whether this host can carry less than half of what the best one can.
func (b *Board) Weak() bool { return b.relative() < weakShare }

// weakShare of the best host's capacity and more isn't weak.
const weakShare = 0.5

// relative is this host's capacity as a part of the best one's. Those that are known may
// be gone, and while none is known there may be a full one.
func (b *Board) relative() float64 {
	best := 0.0
	for _, e := range b.entries {
		if e.Addr != b.conf.Addr {
			best = max(best, e.Capacity)
		}
	}
	if best == 0 {
		best = FullCapacity
	}
	return min(1, b.conf.Capacity/best)
}

// weakness is how much longer a host waits before it claims a pool, with some leases,
// than one that can carry the most of all.
func (b *Board) weakness(held int) time.Duration {
	wait := float64(held+1) * (1/b.relative() - 1) * float64(b.conf.Held)
	return time.Duration(min(wait, float64(weakMost)))
}
