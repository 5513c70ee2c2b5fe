// Package slots decides which entry may use which slots of a pool's workers.
// The owner of a pool leases slots to the other entries: what a request needs,
// and while there are enough a few in reserve, so that most requests need no
// round trip. It is a state machine without input or output.
//
// It keeps: the slots leased on a worker, plus those that a vanished holder may
// still be using, never exceed what the worker has, times this owner's share
// (see package peers).
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
	settled bool // the doubts of the time before this owner are set
	all     int  // slots that this owner may hand out
	leased  int  // slots leased
}

type tally struct{ quick, long int }

func (t tally) total() int { return t.quick + t.long }

type holder struct {
	seq     uint64
	lots    map[string]tally
	total   int
	want    tally
	expires time.Time
}

// New makes an Owner that knows of no lease. Leases of an owner before it may
// be out: for one term it grants nothing, and learns of them from the asks.
func New(c Config) *Owner {
	return &Owner{conf: c, sums: make(map[string]tally), holders: make(map[string]*holder)}
}

// Set tells what may be handed out from now on.
func (o *Owner) Set(f Fleet) {
	o.fleet = f
	o.all = 0
	for _, r := range f.Hosts {
		o.all += o.limit(r.Slots)
	}
}

// Ask takes in what a holder has, gives back and wants. It returns the answer
// and what comes free for others. An ask that is older than one already seen
// was overtaken on the way and changes nothing.
func (o *Owner) Ask(now time.Time, a Ask) (Grant, []Push) {
	o.lapse(now)
	h := o.holders[a.Holder]
	if h == nil && !a.Full {
		return Grant{Pool: a.Pool, Seq: a.Seq, Not: true}, nil
	}
	if h == nil {
		h = &holder{}
		o.holders[a.Holder] = h
	}
	if a.Seq <= h.seq {
		return Grant{Pool: a.Pool, Seq: a.Seq, Not: true}, nil
	}
	h.seq = a.Seq
	if a.Full {
		o.renew(now, h, a)
	} else {
		o.change(h, a)
	}
	o.settle(now)
	fair := o.fair()
	given := o.serve(fair)
	most := 0
	if o.starved(fair) {
		most = fair
	}
	g := o.answer(h, given[a.Holder], most)
	g.Full, g.Term = a.Full, o.conf.Term
	delete(given, a.Holder)
	var pushes []Push
	for name, lots := range given {
		pushes = append(pushes, Push{Holder: name, Grant: o.answer(o.holders[name], lots, most)})
	}
	return g, pushes
}

// renew takes a full ask: what the holder had and doesn't name is given back.
func (o *Owner) renew(now time.Time, h *holder, a Ask) {
	h.expires = now.Add(o.conf.Term)
	o.clear(h)
	for _, l := range a.Have {
		// It only ever names what this owner or the one before it granted.
		o.add(h, l.Host, tally{max(0, l.Quick), max(0, l.Long)})
	}
	o.forgive(a.Holder)
	h.want = tally{max(0, a.Quick), max(0, a.Long)}
}

// change takes an ask that tells what has changed.
func (o *Owner) change(h *holder, a Ask) {
	for _, l := range a.Have {
		had := h.lots[l.Host]
		back := tally{min(max(0, l.Quick), had.quick), min(max(0, l.Long), had.long)}
		o.add(h, l.Host, tally{-back.quick, -back.long})
	}
	h.want = tally{max(0, h.want.quick+a.Quick), max(0, h.want.long+a.Long)}
}

func (o *Owner) answer(h *holder, lots map[string]tally, most int) Grant {
	g := Grant{Pool: o.conf.Pool, Seq: h.seq, Lots: list(lots), Free: o.free()}
	if h.total > most {
		g.Cap = most
	}
	return g
}

// serve gives the slots that are free to those that want them: those that have
// least first, and none over a fair part while others are below theirs.
func (o *Owner) serve(fair int) map[string]map[string]tally {
	given := make(map[string]map[string]tally)
	names := o.wanting()
	if !o.settled || len(names) == 0 || o.leased >= o.all {
		return given
	}
	rooms := o.rooms()
	for _, most := range []int{fair, math.MaxInt} {
		for _, name := range names {
			h := o.holders[name]
			lots := o.grant(h, rooms, most-h.total)
			for host, t := range lots {
				if given[name] == nil {
					given[name] = make(map[string]tally)
				}
				sum := given[name][host]
				given[name][host] = tally{sum.quick + t.quick, sum.long + t.long}
			}
		}
	}
	return given
}

// wanting lists the holders that want slots, those with the fewest first.
func (o *Owner) wanting() []string {
	var names []string
	for name, h := range o.holders {
		if h.want.total() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(o.holders[a].total, o.holders[b].total), cmp.Compare(a, b))
	})
	return names
}

// grant gives one holder what it wants, one slot at a time from the hosts with
// the most room, so that the work spreads.
func (o *Owner) grant(h *holder, rooms []room, most int) map[string]tally {
	lots := make(map[string]tally)
	quick := o.give(h, rooms, min(h.want.quick, most), tally{quick: 1}, lots)
	long := o.give(h, rooms, min(h.want.long, most-quick), tally{long: 1}, lots)
	h.want = tally{h.want.quick - quick, h.want.long - long}
	return lots
}

// room is what is left on a host.
type room struct {
	host  string
	left  int
	quick int
	long  int
}

// rooms lists the hosts that have something left, those with most first.
func (o *Owner) rooms() []room {
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
		})
	}
	slices.SortFunc(out, func(a, b room) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.host, b.host))
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

func (o *Owner) give(h *holder, rooms []room, want int, one tally, lots map[string]tally) (given int) {
	for given < want {
		before := given
		for i := range rooms {
			if given == want {
				return given
			}
			if rooms[i].take(one) {
				o.add(h, rooms[i].host, one)
				sum := lots[rooms[i].host]
				lots[rooms[i].host] = tally{sum.quick + one.quick, sum.long + one.long}
				given++
			}
		}
		if given == before {
			return given
		}
	}
	return given
}

func (r *room) take(one tally) bool {
	if r.left < 1 || (one.quick > 0 && r.quick < 1) || (one.long > 0 && r.long < 1) {
		return false
	}
	r.left--
	r.quick -= one.quick
	r.long -= one.long
	return true
}

func (o *Owner) add(h *holder, host string, t tally) {
	if h.lots == nil {
		h.lots = make(map[string]tally)
	}
	put(h.lots, host, t)
	put(o.sums, host, t)
	h.total += t.total()
	o.leased += t.total()
}

// put adds to an entry of a map; what has become nothing is dropped.
func put(m map[string]tally, host string, t tally) {
	sum := tally{m[host].quick + t.quick, m[host].long + t.long}
	if sum == (tally{}) {
		delete(m, host)
		return
	}
	m[host] = sum
}

func (o *Owner) clear(h *holder) {
	for host, t := range h.lots {
		put(o.sums, host, tally{-t.quick, -t.long})
	}
	o.leased -= h.total
	h.lots = nil
	h.total = 0
}

// Leased returns the slots of a host that are leased or in doubt.
func (o *Owner) Leased(host string) int { return o.sums[host].total() + o.doubtful(host) }

// fair is an equal part of all slots for each holder that has or wants some.
func (o *Owner) fair() int {
	active := 0
	for _, h := range o.holders {
		if h.total+h.want.total() > 0 {
			active++
		}
	}
	return max(1, o.all/max(1, active))
}

// starved tells whether a holder that has less than a fair part wants more and
// can't get it. Only then are the others bound to theirs: a bound that always
// held would leave slots idle while one entry has much to do.
func (o *Owner) starved(fair int) bool {
	for _, h := range o.holders {
		if h.want.total() > 0 && h.total < fair {
			return true
		}
	}
	return false
}

// keptFree is the part of the free slots that the holders together may keep in
// reserve; the rest stays with the owner for whoever comes.
const keptFree = 2

// free is how many idle slots each holder may keep.
func (o *Owner) free() int {
	return max(0, (o.all-o.leased)/(keptFree*max(1, len(o.holders))))
}

func list(lots map[string]tally) []Lot {
	out := make([]Lot, 0, len(lots))
	for host, t := range lots {
		out = append(out, Lot{Host: host, Quick: t.quick, Long: t.long})
	}
	slices.SortFunc(out, func(a, b Lot) int { return strings.Compare(a.Host, b.Host) })
	return out
}
