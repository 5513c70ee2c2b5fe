// Package slots decides which entry may use which slots of a pool's workers. The owner of a pool
// leases slots to the other entries: as many as waiting requests need and, while there are enough,
// a few more to keep idle, so that most requests start without a round trip to the owner. It is a
// state machine without input or output.
//
// Invariant: the slots leased on a worker, plus those that an expired holder may still be using,
// never exceed the worker's slots times this owner's share (see package peers).
package slots

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Config sets up an Owner.
type Config struct {
	Pool          string
	LeaseDuration time.Duration
	// MaxRunTime is the longest run of a request: how long a slot may stay in use after its lease
	// expired.
	MaxRunTime time.Duration
	OwnerSince time.Time // when this entry became the owner
}

// Fleet is the capacity that an owner may lease out. Its share of each worker's slots is the
// fraction of the known entries that have the same view of the live entries as the owner.
type Fleet struct {
	Hosts         []HostCapacity
	Reserve       int // slots of each worker that long requests may not use
	Floor         int // slots of each worker that quick requests may not use
	SameViewCount int // entries with the same view, the owner included
	KnownCount    int
}

// HostCapacity is a worker that may be given requests, with all its slots.
type HostCapacity struct {
	Host  string
	Slots int
}

// Owner leases out the slots of one pool.
type Owner struct {
	conf        Config
	fleet       Fleet
	leased      map[string]classCounts  // by host
	holders     map[string]*holderState // by entry
	unconfirmed []unconfirmedSlots
	// firstLeaseOver: the first lease duration is over, and the slots that no holder reported have
	// been marked as unconfirmed.
	firstLeaseOver bool
	capacity       int // slots that this owner may lease out
	leasedCount    int // slots leased
}

type classCounts struct{ quick, long int }

func (t classCounts) total() int { return t.quick + t.long }

type holderState struct {
	lastSeq uint64
	byHost  map[string]classCounts
	total   int
	wanted  classCounts
	expires time.Time
}

// New returns an Owner without leases. Leases granted by a previous owner may still be in
// force, so for one lease duration it grants nothing and learns of them from the holders' requests.
func New(c Config) *Owner {
	return &Owner{conf: c, leased: make(map[string]classCounts), holders: make(map[string]*holderState)}
}

// SetFleet sets the capacity that may be leased out from now on.
func (o *Owner) SetFleet(f Fleet) {
	o.fleet = f
	o.capacity = 0
	for _, r := range f.Hosts {
		o.capacity += o.share(r.Slots)
	}
}

// HandleRequest records the slots that a holder has, gives back and wants. It returns the answer,
// and the grants for other holders that this makes possible. A request whose sequence number isn't
// above the last one seen was overtaken by a later one: it changes nothing and is rejected.
func (o *Owner) HandleRequest(now time.Time, req LeaseRequest) (Grant, []Push) {
	o.expireLeases(now)
	h := o.holders[req.Holder]
	if h == nil && !req.Full {
		return Grant{Pool: req.Pool, Seq: req.Seq, Rejected: true}, nil
	}
	if h == nil {
		h = &holderState{}
		o.holders[req.Holder] = h
	}
	if req.Seq <= h.lastSeq {
		return Grant{Pool: req.Pool, Seq: req.Seq, Rejected: true}, nil
	}
	h.lastSeq = req.Seq
	if req.Full {
		o.applyFull(now, h, req)
	} else {
		o.applyDelta(h, req)
	}
	o.markUnreported(now)
	fair := o.fairShare()
	granted := o.grantFree(fair)
	maxUsed := 0
	if o.hasStarvedHolder(fair) {
		maxUsed = fair
	}
	g := o.grantFor(h, granted[req.Holder], maxUsed)
	g.Full, g.LeaseDuration = req.Full, o.conf.LeaseDuration
	delete(granted, req.Holder)
	var pushes []Push
	for name, byHost := range granted {
		pushes = append(pushes, Push{Holder: name, Grant: o.grantFor(o.holders[name], byHost, maxUsed)})
	}
	return g, pushes
}

// applyFull applies a full request: slots that the holder had and doesn't name are given back.
func (o *Owner) applyFull(now time.Time, h *holderState, req LeaseRequest) {
	h.expires = now.Add(o.conf.LeaseDuration)
	o.clearLeases(h)
	for _, l := range req.Slots {
		// A holder only ever names slots that this owner or the previous one granted.
		o.addLease(h, l.Host, classCounts{max(0, l.Quick), max(0, l.Long)})
	}
	o.clearUnconfirmed(req.Holder)
	h.wanted = classCounts{max(0, req.WantedQuick), max(0, req.WantedLong)}
}

// applyDelta applies a request that names only what changed since the one before it.
func (o *Owner) applyDelta(h *holderState, req LeaseRequest) {
	for _, l := range req.Slots {
		leased := h.byHost[l.Host]
		returned := classCounts{min(max(0, l.Quick), leased.quick), min(max(0, l.Long), leased.long)}
		o.addLease(h, l.Host, classCounts{-returned.quick, -returned.long})
	}
	h.wanted = classCounts{max(0, h.wanted.quick+req.WantedQuick), max(0, h.wanted.long+req.WantedLong)}
}

func (o *Owner) grantFor(h *holderState, granted map[string]classCounts, limit int) Grant {
	g := Grant{Pool: o.conf.Pool, Seq: h.lastSeq, Slots: sortedSlots(granted), MaxIdle: o.maxIdle()}
	if h.total > limit {
		g.MaxUsed = limit
	}
	return g
}

// grantFree grants free slots to the holders that want some. Those with the fewest slots come first,
// and none gets more than its fair share while others have less than theirs.
func (o *Owner) grantFree(fair int) map[string]map[string]classCounts {
	given := make(map[string]map[string]classCounts)
	names := o.waitingHolders()
	if !o.firstLeaseOver || len(names) == 0 || o.leasedCount >= o.capacity {
		return given
	}
	hosts := o.freeHosts()
	for _, maxTotal := range []int{fair, math.MaxInt} {
		for _, name := range names {
			h := o.holders[name]
			granted := o.grantTo(h, hosts, maxTotal-h.total)
			for host, t := range granted {
				if given[name] == nil {
					given[name] = make(map[string]classCounts)
				}
				sum := given[name][host]
				given[name][host] = classCounts{sum.quick + t.quick, sum.long + t.long}
			}
		}
	}
	return given
}

// waitingHolders lists the holders that want slots, those that have the fewest first.
func (o *Owner) waitingHolders() []string {
	var names []string
	for name, h := range o.holders {
		if h.wanted.total() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(o.holders[a].total, o.holders[b].total), cmp.Compare(a, b))
	})
	return names
}

// grantTo grants one holder what it wants, one slot at a time from the hosts with the most free
// slots, so that the requests spread over the hosts.
func (o *Owner) grantTo(h *holderState, hosts []freeHost, maxTotal int) map[string]classCounts {
	granted := make(map[string]classCounts)
	quick := o.grantClass(h, hosts, min(h.wanted.quick, maxTotal), classCounts{quick: 1}, granted)
	long := o.grantClass(h, hosts, min(h.wanted.long, maxTotal-quick), classCounts{long: 1}, granted)
	h.wanted = classCounts{h.wanted.quick - quick, h.wanted.long - long}
	return granted
}

// freeHost holds the numbers of slots that may still be leased on a host.
type freeHost struct {
	host  string
	total int
	quick int
	long  int
}

// freeHosts lists the hosts with free slots, those with the most first.
func (o *Owner) freeHosts() []freeHost {
	out := make([]freeHost, 0, len(o.fleet.Hosts))
	for _, r := range o.fleet.Hosts {
		limit := o.share(r.Slots)
		sum := o.leased[r.Host]
		remaining := limit - sum.total() - o.unconfirmedAt(r.Host)
		if remaining <= 0 {
			continue
		}
		out = append(out, freeHost{
			host: r.Host, total: remaining,
			quick: classLimit(limit, o.fleet.Floor) - sum.quick,
			long:  classLimit(limit, o.fleet.Reserve) - sum.long,
		})
	}
	slices.SortFunc(out, func(a, b freeHost) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.host, b.host))
	})
	return out
}

// share returns how many of a worker's slots are this owner's to lease out.
func (o *Owner) share(slots int) int {
	if o.fleet.KnownCount <= 0 {
		return 0
	}
	return slots * o.fleet.SameViewCount / o.fleet.KnownCount
}

// classLimit returns the limit of one class: the total less the slots reserved for the other class,
// but at least one, so that neither class is left without slots when the share is small.
func classLimit(limit, reserved int) int { return max(limit-reserved, min(limit, 1)) }

func (o *Owner) grantClass(h *holderState, hosts []freeHost, want int, one classCounts, granted map[string]classCounts) (given int) {
	for given < want {
		before := given
		for i := range hosts {
			if given == want {
				return given
			}
			if hosts[i].take(one) {
				o.addLease(h, hosts[i].host, one)
				sum := granted[hosts[i].host]
				granted[hosts[i].host] = classCounts{sum.quick + one.quick, sum.long + one.long}
				given++
			}
		}
		if given == before {
			return given
		}
	}
	return given
}

func (h *freeHost) take(one classCounts) bool {
	if h.total < 1 || (one.quick > 0 && h.quick < 1) || (one.long > 0 && h.long < 1) {
		return false
	}
	h.total--
	h.quick -= one.quick
	h.long -= one.long
	return true
}

func (o *Owner) addLease(h *holderState, host string, t classCounts) {
	if h.byHost == nil {
		h.byHost = make(map[string]classCounts)
	}
	addCounts(h.byHost, host, t)
	addCounts(o.leased, host, t)
	h.total += t.total()
	o.leasedCount += t.total()
}

// addCounts adds to the counts of a host, and deletes them from the map when they become zero.
func addCounts(m map[string]classCounts, host string, t classCounts) {
	sum := classCounts{m[host].quick + t.quick, m[host].long + t.long}
	if sum == (classCounts{}) {
		delete(m, host)
		return
	}
	m[host] = sum
}

func (o *Owner) clearLeases(h *holderState) {
	for host, t := range h.byHost {
		addCounts(o.leased, host, classCounts{-t.quick, -t.long})
	}
	o.leasedCount -= h.total
	h.byHost = nil
	h.total = 0
}

// InUse returns how many slots of a host are leased, or unconfirmed after a lease expired.
func (o *Owner) InUse(host string) int { return o.leased[host].total() + o.unconfirmedAt(host) }

// fairShare returns the number of slots of each holder if all slots were shared equally among the
// holders that have or want some.
func (o *Owner) fairShare() int {
	active := 0
	for _, h := range o.holders {
		if h.total+h.wanted.total() > 0 {
			active++
		}
	}
	return max(1, o.capacity/max(1, active))
}

// hasStarvedHolder reports whether a holder with less than a fair share wants more and can't get
// it. Only then are the others limited to their share: a permanent limit would leave slots idle
// while one entry has many requests.
func (o *Owner) hasStarvedHolder(fair int) bool {
	for _, h := range o.holders {
		if h.wanted.total() > 0 && h.total < fair {
			return true
		}
	}
	return false
}

// idleDivisor is the divisor that gives the part of the free slots that the holders together may
// keep idle; the rest stays with the owner for the next entry that requests slots.
const idleDivisor = 2

// maxIdle returns how many idle slots each holder may keep.
func (o *Owner) maxIdle() int {
	return max(0, (o.capacity-o.leasedCount)/(idleDivisor*max(1, len(o.holders))))
}

func sortedSlots(byHost map[string]classCounts) []HostSlots {
	out := make([]HostSlots, 0, len(byHost))
	for host, t := range byHost {
		out = append(out, HostSlots{Host: host, Quick: t.quick, Long: t.long})
	}
	slices.SortFunc(out, func(a, b HostSlots) int { return strings.Compare(a.Host, b.Host) })
	return out
}
