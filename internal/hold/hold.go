// Package hold is an entry's side of leased slots: which of them are in use,
// what to give back and how many more to ask for. It is a state machine without
// input or output, and implements gauge.Slots.
//
// A lease counts from before the ask was sent, on this entry's own clock, so it
// ends here before it ends at the owner, however long the answer took or this
// entry was paused.
package hold

import (
	"slices"
	"strings"
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
	asked   time.Time // when the open ask was sent; zero: none is open
	most    int       // others are short: hold no more; 0: no bound
	turned  []*gauge.Place
	used    int
}

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
	if !now.Before(h.until) {
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

// Open tells whether an ask was sent that has no answer yet.
func (h *Holder) Open() bool { return !h.asked.IsZero() }

// Ask makes the next ask, given how many requests wait. It gives back idle
// slots that are more than a reserve of a quarter of those in use.
func (h *Holder) Ask(now time.Time, waitingQuick, waitingLong int) slots.Ask {
	if !now.Before(h.until) {
		h.lapse()
	}
	h.applyTurned()
	h.giveBack(gauge.ClassQuick, waitingQuick)
	h.giveBack(gauge.ClassLong, waitingLong)
	h.seq++
	h.asked = now
	return slots.Ask{
		Holder: h.conf.Name, Pool: h.conf.Pool, Seq: h.seq, Have: h.list(),
		Quick: h.want(gauge.ClassQuick, waitingQuick),
		Long:  h.want(gauge.ClassLong, waitingLong),
	}
}

// lapse forgets idle slots after the lease ran out; those in use are named on,
// since they are occupied whatever the lease says.
func (h *Holder) lapse() {
	for host, l := range h.lots {
		l.quick, l.long = l.usedQuick, l.usedLong
		if l.empty() {
			delete(h.lots, host)
		}
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
	leastReserve = 2
	reservePart  = 4 // one idle slot for so many in use
)

// reserve is how many idle slots are worth having, so that a request needs not
// wait for a round trip.
func reserve(used int) int { return max(leastReserve, used/reservePart) }

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

func (h *Holder) want(c gauge.Class, waiting int) int {
	used, idle := h.count(c)
	if used+waiting == 0 {
		return 0 // no demand: nothing to hold back from the others
	}
	return max(0, waiting+reserve(used)-idle)
}

// giveBack drops idle slots: all on hosts that take no new work, and what is
// over twice the reserve or over the bound that the owner set.
func (h *Holder) giveBack(c gauge.Class, waiting int) {
	for host, l := range h.lots {
		if _, serves := h.targets[host]; !serves {
			h.drop(host, l, c, l.idle(c))
		}
	}
	used, idle := h.count(c)
	keep := waiting + 2*reserve(used)
	if used+waiting == 0 {
		keep = 0
	}
	over := max(0, idle-keep)
	if h.most > 0 {
		over = max(over, min(idle, h.Held()-h.most))
	}
	for _, host := range h.hosts() {
		if over <= 0 {
			return
		}
		l := h.lots[host]
		n := min(over, l.idle(c))
		h.drop(host, l, c, n)
		over -= n
	}
}

func (h *Holder) drop(host string, l *lot, c gauge.Class, n int) {
	if c == gauge.ClassLong {
		l.long -= n
	} else {
		l.quick -= n
	}
	if l.empty() {
		delete(h.lots, host)
	}
}

func (h *Holder) hosts() []string {
	out := make([]string, 0, len(h.lots))
	for host := range h.lots {
		out = append(out, host)
	}
	slices.Sort(out)
	return out
}

func (h *Holder) list() []slots.Lot {
	out := make([]slots.Lot, 0, len(h.lots))
	for host, l := range h.lots {
		if l.quick+l.long > 0 {
			out = append(out, slots.Lot{Host: host, Quick: l.quick, Long: l.long})
		}
	}
	slices.SortFunc(out, func(a, b slots.Lot) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Answer takes in the answer to the open ask; any other came too late and is
// dropped, since slots may have been given back after it was sent.
func (h *Holder) Answer(g slots.Grant) {
	if g.Seq != h.seq || h.asked.IsZero() {
		return
	}
	sent := h.asked
	h.asked = time.Time{}
	if g.Not {
		return
	}
	h.until = sent.Add(g.Term)
	h.most = g.Cap
	for _, l := range h.lots {
		l.quick, l.long = 0, 0
	}
	for _, g := range g.Lots {
		l := h.lots[g.Host]
		if l == nil {
			l = &lot{}
			h.lots[g.Host] = l
		}
		l.quick, l.long = g.Quick, g.Long
	}
	for host, l := range h.lots {
		if l.empty() {
			delete(h.lots, host)
		}
	}
}

// Lost notes that the open ask got no answer.
func (h *Holder) Lost() { h.asked = time.Time{} }
