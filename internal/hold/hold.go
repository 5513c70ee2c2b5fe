// Package hold is an entry's side of leased slots: which of them are in use,
// what to give back and how many more to ask for. It is a state machine without
// input or output, and implements gauge.Slots.
//
// A lease counts from before the ask was sent, on this entry's own clock, so it
// ends here before it ends at the owner, however long the answer took or this
// entry was paused.
package hold

import (
	"maps"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/slots"
)

// Config sets up a Holder.
type Config struct {
	Name string // of this entry: id and run
	Pool string
}

// Holder keeps the slots leased to this entry in one pool.
type Holder struct {
	conf    Config
	lots    map[string]*lot
	targets map[string]gauge.Target // hosts that may be given new work
	until   time.Time
	seq     uint64
	full    uint64    // seq of the last full ask
	asked   time.Time // when it was sent
	renewed bool      // it was answered
	most    int       // others are short: use no more; 0: no bound
	keep    int       // idle slots of a class that may be kept
	wanted  tally     // wants that the owner knows of
	turned  []*gauge.Place
	used    int
}

// tally counts slots by class.
type tally struct{ quick, long int }

// lot is the slots of one worker.
type lot struct {
	quick, long         int
	usedQuick, usedLong int
}

func (l *lot) empty() bool { return l.quick+l.long+l.usedQuick+l.usedLong == 0 }

func (l *lot) idle(c gauge.Class) int {
	if c == gauge.ClassLong {
		return l.long - l.usedLong
	}
	return l.quick - l.usedQuick
}

func (l *lot) use(c gauge.Class, n int) {
	if c == gauge.ClassLong {
		l.usedLong += n
		return
	}
	l.usedQuick += n
}

// New makes a Holder that has nothing.
func New(c Config) *Holder { return &Holder{conf: c, lots: make(map[string]*lot)} }

// Set tells which hosts may be given new work from now on.
func (h *Holder) Set(targets map[string]gauge.Target) { h.targets = targets }

// Take returns a place on the host with the most idle slots; a host or rack of
// an earlier attempt only if there is no other rack.
func (h *Holder) Take(now time.Time, class gauge.Class, earlier gauge.Attempts, skip func(string) bool) (*gauge.Place, bool) {
	if !now.Before(h.until) || (h.most > 0 && h.used >= h.most) {
		return nil, false
	}
	best, rank := "", 0
	for host, l := range h.lots {
		idle := l.idle(class)
		t, serves := h.targets[host]
		if idle < 1 || !serves || (skip != nil && skip(host)) {
			continue
		}
		r := rankOf(t, idle, earlier)
		if r > rank || (r == rank && r > 0 && host < best) {
			best, rank = host, r
		}
	}
	if best == "" {
		return nil, false
	}
	h.lots[best].use(class, 1)
	h.used++
	return &gauge.Place{Pool: h.conf.Pool, Class: class, Target: h.targets[best]}, true
}

const newRack = 1 << 20 // outweighs any number of idle slots

// rankOf is 0 for a host that was tried already.
func rankOf(t gauge.Target, idle int, earlier gauge.Attempts) int {
	r := idle + newRack
	for _, a := range earlier {
		if a.Target.Host == t.Host {
			return 0
		}
		if a.Target.Rack == t.Rack {
			r = idle
		}
	}
	return r
}

// Done gives a place back.
func (h *Holder) Done(p *gauge.Place) {
	h.used--
	h.turned = slices.DeleteFunc(h.turned, func(t *gauge.Place) bool { return t == p })
	l := h.lots[p.Target.Host]
	if l == nil {
		return
	}
	l.use(p.Class, -1)
	if l.empty() {
		delete(h.lots, p.Target.Host)
	}
}

// Turn makes a quick place count as long from the next ask on.
func (h *Holder) Turn(p *gauge.Place) {
	if p.Class == gauge.ClassQuick {
		h.turned = append(h.turned, p)
	}
}

// Used returns the slots in use.
func (h *Holder) Used() int { return h.used }

// Idle returns the slots of a class that are leased and not in use, on hosts
// that may be given work.
func (h *Holder) Idle(c gauge.Class) int {
	_, idle := h.count(c)
	return idle
}

// Held returns the slots leased.
func (h *Holder) Held() int {
	n := 0
	for _, l := range h.lots {
		n += l.quick + l.long
	}
	return n
}

// Idles tells whether there is nothing to renew.
func (h *Holder) Idles() bool { return len(h.lots) == 0 }

// Full makes an ask that names everything and renews the lease.
func (h *Holder) Full(now time.Time, waitingQuick, waitingLong int) slots.Ask {
	if !now.Before(h.until) {
		h.lapse()
	}
	h.applyTurned()
	h.giveBack(waitingQuick, waitingLong)
	h.wanted = h.wants(waitingQuick, waitingLong)
	h.seq++
	h.full, h.asked, h.renewed = h.seq, now, false
	return slots.Ask{
		Holder: h.conf.Name, Pool: h.conf.Pool, Seq: h.seq, Full: true, Have: h.list(),
		Quick: h.wanted.quick, Long: h.wanted.long,
	}
}

// Change makes an ask that tells what has changed since the one before; false
// if nothing has, or if a full ask has to come first.
func (h *Holder) Change(now time.Time, waitingQuick, waitingLong int) (slots.Ask, bool) {
	if !h.Leased(now) {
		return slots.Ask{}, false
	}
	back := h.giveBack(waitingQuick, waitingLong)
	want := h.wants(waitingQuick, waitingLong)
	more := tally{want.quick - h.wanted.quick, want.long - h.wanted.long}
	if len(back) == 0 && more == (tally{}) {
		return slots.Ask{}, false
	}
	h.wanted = want
	h.seq++
	return slots.Ask{
		Holder: h.conf.Name, Pool: h.conf.Pool, Seq: h.seq, Have: back,
		Quick: more.quick, Long: more.long,
	}, true
}

// Leased tells whether a lease is in force that changes can be made under.
func (h *Holder) Leased(now time.Time) bool { return h.renewed && now.Before(h.until) }

// Short tells whether slots are scarce, so that those that come free are to be
// given back at once.
func (h *Holder) Short() bool { return h.most > 0 || h.keep == 0 }

// lapse forgets idle slots after the lease ran out; those in use are named on,
// since they are occupied whatever the lease says.
func (h *Holder) lapse() {
	for host, l := range h.lots {
		l.quick, l.long = l.usedQuick, l.usedLong
		h.prune(host, l)
	}
}

func (h *Holder) prune(host string, l *lot) {
	if l.empty() {
		delete(h.lots, host)
	}
}

func (h *Holder) applyTurned() {
	for _, p := range h.turned {
		p.Class = gauge.ClassLong
		if l := h.lots[p.Target.Host]; l != nil {
			l.quick--
			l.usedQuick--
			l.long++
			l.usedLong++
		}
	}
	h.turned = nil
}

const (
	leastReserve = 1
	reservePart  = 4 // one idle slot for so many in use
)

// reserve is how many idle slots of a class are worth having, so that a request
// needs not wait for a round trip; no more than the owner lets this entry keep.
// Without demand there is none: the slots are of more use elsewhere.
func (h *Holder) reserve(used, waiting int) int {
	if used+waiting == 0 {
		return 0
	}
	return min(max(leastReserve, used/reservePart), h.keep)
}

func (h *Holder) count(c gauge.Class) (used, idle int) {
	for host, l := range h.lots {
		if c == gauge.ClassLong {
			used += l.usedLong
		} else {
			used += l.usedQuick
		}
		if _, serves := h.targets[host]; serves {
			idle += l.idle(c)
		}
	}
	return used, idle
}

func (h *Holder) wants(waitingQuick, waitingLong int) tally {
	return tally{h.want(gauge.ClassQuick, waitingQuick), h.want(gauge.ClassLong, waitingLong)}
}

func (h *Holder) want(c gauge.Class, waiting int) int {
	used, idle := h.count(c)
	return max(0, waiting+h.reserve(used, waiting)-idle)
}

// giveBack drops idle slots and returns them: all on hosts that take no new
// work, what is over twice the reserve, and what is over the owner's bound.
func (h *Holder) giveBack(waitingQuick, waitingLong int) []slots.Lot {
	back := make(map[string]slots.Lot)
	h.giveBackOf(gauge.ClassQuick, waitingQuick, back)
	h.giveBackOf(gauge.ClassLong, waitingLong, back)
	out := make([]slots.Lot, 0, len(back))
	for _, host := range sorted(back) {
		out = append(out, back[host])
	}
	return out
}

func (h *Holder) giveBackOf(c gauge.Class, waiting int, back map[string]slots.Lot) {
	for _, host := range sorted(h.lots) {
		if _, serves := h.targets[host]; !serves {
			h.drop(host, c, h.lots[host].idle(c), back)
		}
	}
	used, idle := h.count(c)
	over := max(0, idle-waiting-2*h.reserve(used, waiting))
	if h.most > 0 {
		over = max(over, min(idle, h.Held()-h.most))
	}
	for _, host := range sorted(h.lots) {
		if over <= 0 {
			return
		}
		n := min(over, h.lots[host].idle(c))
		h.drop(host, c, n, back)
		over -= n
	}
}

func (h *Holder) drop(host string, c gauge.Class, n int, back map[string]slots.Lot) {
	if n <= 0 {
		return
	}
	l, b := h.lots[host], back[host]
	b.Host = host
	if c == gauge.ClassLong {
		l.long -= n
		b.Long += n
	} else {
		l.quick -= n
		b.Quick += n
	}
	back[host] = b
	h.prune(host, l)
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func (h *Holder) list() []slots.Lot {
	out := make([]slots.Lot, 0, len(h.lots))
	for _, host := range sorted(h.lots) {
		if l := h.lots[host]; l.quick+l.long > 0 {
			out = append(out, slots.Lot{Host: host, Quick: l.quick, Long: l.long})
		}
	}
	return out
}

// Grant takes in what the owner gives. What it gave before it saw the last full
// ask is dropped: that ask did not name it, so the owner has it back. Each grant
// is to be passed here once at most.
func (h *Holder) Grant(g slots.Grant) {
	if g.Not || g.Seq < h.full || h.full == 0 {
		return
	}
	if g.Full && g.Seq == h.full {
		h.until = h.asked.Add(g.Term)
		h.renewed = true
	}
	h.most, h.keep = g.Cap, g.Free
	for _, add := range g.Lots {
		l := h.lots[add.Host]
		if l == nil {
			l = &lot{}
			h.lots[add.Host] = l
		}
		l.quick += add.Quick
		l.long += add.Long
		h.wanted.quick -= add.Quick
		h.wanted.long -= add.Long
	}
	h.wanted = tally{max(0, h.wanted.quick), max(0, h.wanted.long)}
}
