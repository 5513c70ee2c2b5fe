package terms

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
)

// DefaultCapacity is the capacity assumed for a host of which nothing is known, in cores. Where
// hosts differ, those that can run busy pools have this capacity, and the others an eighth of it.
const DefaultCapacity = 0.8

// maxSmallHostDelay bounds how long a host waits for larger ones to claim a pool, which do so
// within Config.ClaimSpread plus Config.DelayPerLease for each lease that they have. If they are
// all dead, a pool without an owner loses that much time. It is a quarter of the lease duration,
// for which a pool whose owner died may be without one anyway.
const maxSmallHostDelay = 500 * time.Millisecond

// HostLoad is the load of a host: how many leases it has, and its capacity for them.
type HostLoad struct {
	Leases   int
	Capacity float64 // in cores of normal speed
}

// NextLoad returns the load per core with one more lease.
func (l HostLoad) NextLoad() float64 { return float64(l.Leases+1) / l.Capacity }

// ShouldMoveTo reports whether a lease should move from this host to another one: the load of each
// core here is at least twice what it would be there. Of two leases on one host and none on an
// equal one, each host gets one. After a move the opposite isn't true, so that no lease moves back
// and forth.
func (l HostLoad) ShouldMoveTo(to HostLoad) bool {
	return float64(l.Leases)/l.Capacity >= 2*to.NextLoad()
}

// Peer is another entry process that may own pools.
type Peer struct {
	Addr string // host:port at which it listens for other entries
	HostLoad
}

// SetEntry records the row of an entry and reports whether it has changed.
func (v *LeaseView) SetEntry(name string, row gauge.EntryRow) bool {
	if v.entries[name] == row {
		return false
	}
	v.entries[name] = row
	return true
}

// HasEntry reports whether an entry is known by this row.
func (v *LeaseView) HasEntry(name string, row gauge.EntryRow) bool { return v.entries[name] == row }

// EntryCount returns how many entries are known, including those that have died.
func (v *LeaseView) EntryCount() int { return len(v.entries) }

// LeaseCount returns the number of leases that name this entry as their holder.
func (v *LeaseView) LeaseCount() int {
	n := 0
	for _, s := range v.rows {
		if s.row.Holder == v.conf.Holder {
			n++
		}
	}
	return n
}

// Peers lists the other entries by their load with one more lease, the least loaded first. Entries
// of equal load come in an order that differs by pool: otherwise several owners that leave at once
// would all choose the same entry.
func (v *LeaseView) Peers(pool string) []Peer {
	peers := make(map[string]Peer)
	for _, e := range v.entries {
		peers[e.Addr] = Peer{Addr: e.Addr, HostLoad: HostLoad{Capacity: e.Capacity}}
	}
	for _, s := range v.rows {
		if s.row.Holder == "" {
			continue
		}
		p, known := peers[s.row.Addr]
		if !known { // the entry's own row hasn't arrived yet: assume a host like this one
			p = Peer{Addr: s.row.Addr, HostLoad: HostLoad{Capacity: v.conf.Capacity}}
		}
		p.Leases++
		peers[p.Addr] = p
	}
	delete(peers, v.conf.Addr)
	return slices.SortedFunc(maps.Values(peers), func(x, y Peer) int {
		return cmp.Or(cmp.Compare(x.NextLoad(), y.NextLoad()), cmp.Compare(xxhash.Sum64String(pool+x.Addr), xxhash.Sum64String(pool+y.Addr)))
	})
}

// IsSmallHost reports whether this host is small: it has less than half of the capacity of the
// largest known one.
func (v *LeaseView) IsSmallHost() bool { return v.relativeCapacity() < smallHostShare }

// smallHostShare is the share of the largest host's capacity below which a host is small.
const smallHostShare = 0.5

// relativeCapacity returns this host's capacity as a share of the largest one's. Known hosts may be
// dead by now. While no other host is known, there may be one of full capacity.
func (v *LeaseView) relativeCapacity() float64 {
	largest := 0.0
	for _, e := range v.entries {
		if e.Addr != v.conf.Addr {
			largest = max(largest, e.Capacity)
		}
	}
	if largest == 0 {
		largest = DefaultCapacity
	}
	return min(1, v.conf.Capacity/largest)
}

// smallHostDelay returns how much longer than the largest host this one waits before it claims a
// pool, given how many leases it holds.
func (v *LeaseView) smallHostDelay(held int) time.Duration {
	wait := float64(held+1) * (1/v.relativeCapacity() - 1) * float64(v.conf.DelayPerLease)
	return time.Duration(min(wait, float64(maxSmallHostDelay)))
}
