// Package slots decides which entry may use which slots of a pool's workers.
// The owner of a pool leases slots to the other entries in batches, so that a
// request needs no round trip. It is a state machine without input or output.
//
// It keeps: the slots leased on a worker, plus those that a vanished holder may
// still be using, never exceed what the worker has, times this owner's share
// (see package peers).
package slots

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets up an Owner.
type Config struct {
	Pool  string
	Term  time.Duration // of a lease
	Limit time.Duration // longest run of a request: how long a lapsed slot may still be in use
	Start time.Time     // when this entry became the owner
}

// Fleet is what an owner may hand out.
type Fleet struct {
	Hosts   []Room
	Reserve int // slots of each worker kept from long work
	Floor   int // slots of each worker kept from quick work
	Same    int // this owner's share is Same of Known
	Known   int
}

// Room is a worker that may be given work, with all its slots.
type Room struct {
	Host  string
	Slots int
}

// Owner leases out the slots of one pool.
type Owner struct {
	conf    Config
	fleet   Fleet
	sums    map[string]tally   // leased, by host
	holders map[string]*holder // by entry
	doubts  []doubt
}

type tally struct{ quick, long int }

func (t tally) total() int { return t.quick + t.long }

type holder struct {
	seq     uint64
	lots    map[string]tally
	total   int
	expires time.Time
	short   time.Time // when it last wanted more than it got
}

// doubt is slots of a holder that let its lease lapse: a request that it
// started may still be running there.
type doubt struct {
	host   string
	holder string
	slots  int
	lapsed time.Time
	until  time.Time
}

// New makes an Owner that knows of no lease. Leases of an owner before it may
// be out: for one term it grants nothing, and learns of them from the asks.
func New(c Config) *Owner {
	return &Owner{conf: c, sums: make(map[string]tally), holders: make(map[string]*holder)}
}

// Set tells what may be handed out from now on.
func (o *Owner) Set(f Fleet) { o.fleet = f }

// Ask renews a holder's lease, takes back what it no longer names and grants
// more as far as there is. An ask that is older than one already answered was
// overtaken on the way and changes nothing.
func (o *Owner) Ask(now time.Time, a Ask) Grant {
	o.lapse(now)
	h := o.holders[a.Holder]
	if h == nil {
		h = &holder{}
		o.holders[a.Holder] = h
	}
	if a.Seq <= h.seq {
		return Grant{Pool: a.Pool, Seq: a.Seq, Not: true}
	}
	h.seq = a.Seq
	h.expires = now.Add(o.conf.Term)
	o.replace(h, a.Have)
	o.forgive(a.Holder)
	fair := o.fair()
	others := o.othersShort(now, a.Holder)
	if now.Sub(o.conf.Start) >= o.conf.Term {
		o.grant(a.Holder, h, a, fair, others)
	}
	if o.unmet(a, h) {
		h.short = now
	}
	g := Grant{Pool: a.Pool, Seq: a.Seq, Lots: h.list(), Term: o.conf.Term}
	if others && h.total > fair {
		g.Cap = fair
	}
	return g
}

// unmet tells whether a holder wanted more than it has now.
func (o *Owner) unmet(a Ask, h *holder) bool {
	had := 0
	for _, l := range a.Have {
		had += l.Quick + l.Long
	}
	return h.total < had+a.Quick+a.Long
}

// grant gives what was asked for, one slot at a time from the host with the
// most room, so that the work spreads.
func (o *Owner) grant(name string, h *holder, a Ask, fair int, others bool) {
	most := a.Quick + a.Long
	if others {
		most = min(most, max(0, fair-h.total))
	}
	quick := min(a.Quick, most)
	if a.Quick > 0 && a.Long > 0 {
		// Neither class may take all that there is for this holder.
		quick = min(quick, max(1, most*a.Quick/(a.Quick+a.Long)))
	}
	rooms := o.rooms(name)
	given := o.give(h, rooms, quick, tally{quick: 1})
	o.give(h, rooms, min(a.Long, most-given), tally{long: 1})
}

// room is what is left on a host.
type room struct {
	host  string
	left  int
	quick int
	long  int
	order uint64
}

func (o *Owner) rooms(holder string) []room {
	out := make([]room, 0, len(o.fleet.Hosts))
	for _, r := range o.fleet.Hosts {
		limit := o.limit(r.Slots)
		sum := o.sums[r.Host]
		left := limit - sum.total() - o.doubtful(r.Host)
		if left <= 0 {
			continue
		}
		out = append(out, room{
			host: r.Host, left: left,
			quick: atMostBut(limit, o.fleet.Floor) - sum.quick,
			long:  atMostBut(limit, o.fleet.Reserve) - sum.long,
			order: xxhash.Sum64String(holder + "\x00" + r.Host),
		})
	}
	slices.SortFunc(out, func(a, b room) int {
		if a.left != b.left {
			return b.left - a.left
		}
		return cmp.Compare(a.order, b.order) // another order for each holder
	})
	return out
}

// limit is this owner's share of a worker's slots.
func (o *Owner) limit(slots int) int {
	if o.fleet.Known <= 0 {
		return 0
	}
	return slots * o.fleet.Same / o.fleet.Known
}

// atMostBut is the limit less what is kept for the other class, but never so
// little that a class is shut out of a small share.
func atMostBut(limit, kept int) int { return max(limit-kept, min(limit, 1)) }

func (o *Owner) give(h *holder, rooms []room, want int, one tally) (given int) {
	for given < want {
		before := given
		for i := range rooms {
			if given == want {
				return given
			}
			if o.giveOne(h, &rooms[i], one) {
				given++
			}
		}
		if given == before {
			return given
		}
	}
	return given
}

func (o *Owner) giveOne(h *holder, r *room, one tally) bool {
	if r.left < 1 || (one.quick > 0 && r.quick < 1) || (one.long > 0 && r.long < 1) {
		return false
	}
	r.left--
	r.quick -= one.quick
	r.long -= one.long
	o.add(h, r.host, one)
	return true
}

func (o *Owner) add(h *holder, host string, t tally) {
	if h.lots == nil {
		h.lots = make(map[string]tally)
	}
	lot, sum := h.lots[host], o.sums[host]
	h.lots[host] = tally{lot.quick + t.quick, lot.long + t.long}
	o.sums[host] = tally{sum.quick + t.quick, sum.long + t.long}
	h.total += t.total()
}

// replace takes a holder's word for what it has: it only ever names what this
// owner or the one before it granted.
func (o *Owner) replace(h *holder, have []Lot) {
	o.clear(h)
	for _, l := range have {
		o.add(h, l.Host, tally{max(0, l.Quick), max(0, l.Long)})
	}
}

func (o *Owner) clear(h *holder) {
	for host, t := range h.lots {
		sum := o.sums[host]
		sum = tally{sum.quick - t.quick, sum.long - t.long}
		if sum == (tally{}) {
			delete(o.sums, host)
			continue
		}
		o.sums[host] = sum
	}
	h.lots = nil
	h.total = 0
}

// lapse takes back the leases that ran out. What was started under them may
// run on, so the slots stay in doubt: for the longest run of a request, or
// until the platform reports the worker less used.
func (o *Owner) lapse(now time.Time) {
	for name, h := range o.holders {
		if now.Before(h.expires) {
			continue
		}
		for host, t := range h.lots {
			o.doubts = append(o.doubts, doubt{
				host: host, holder: name, slots: t.total(),
				lapsed: now, until: now.Add(o.conf.Limit),
			})
		}
		o.clear(h)
		delete(o.holders, name)
	}
	o.doubts = slices.DeleteFunc(o.doubts, func(d doubt) bool { return !now.Before(d.until) })
}

// forgive drops the doubts about a holder that is back: what it still uses it
// names itself.
func (o *Owner) forgive(holder string) {
	o.doubts = slices.DeleteFunc(o.doubts, func(d doubt) bool { return d.holder == holder })
}

// Seen takes in how many slots of a host the platform saw in use at a time.
// Slots in doubt before that time can't be more.
func (o *Owner) Seen(host string, used int, at time.Time) {
	for i := range o.doubts {
		d := &o.doubts[i]
		if d.host != host || !d.lapsed.Before(at) {
			continue
		}
		d.slots = min(d.slots, used)
		used -= d.slots
	}
	o.doubts = slices.DeleteFunc(o.doubts, func(d doubt) bool { return d.slots == 0 })
}

func (o *Owner) doubtful(host string) int {
	n := 0
	for _, d := range o.doubts {
		if d.host == host {
			n += d.slots
		}
	}
	return n
}

// Leased returns the slots of a host that are leased or in doubt.
func (o *Owner) Leased(host string) int { return o.sums[host].total() + o.doubtful(host) }

// fair is an equal part of all slots for each holder.
func (o *Owner) fair() int {
	total := 0
	for _, r := range o.fleet.Hosts {
		total += o.limit(r.Slots)
	}
	return max(1, total/max(1, len(o.holders)))
}

// othersShort tells whether another holder lately wanted more than it got.
func (o *Owner) othersShort(now time.Time, but string) bool {
	for name, h := range o.holders {
		if name != but && !h.short.IsZero() && now.Sub(h.short) < o.conf.Term {
			return true
		}
	}
	return false
}

func (h *holder) list() []Lot {
	out := make([]Lot, 0, len(h.lots))
	for host, t := range h.lots {
		out = append(out, Lot{Host: host, Quick: t.quick, Long: t.long})
	}
	slices.SortFunc(out, func(a, b Lot) int { return strings.Compare(a.Host, b.Host) })
	return out
}
