// Package hold is an entry's side of leased slots: which of them are in use, which to give back and
// how many more to ask for. It is a state machine without input or output, and implements
// gauge.Slots.
//
// The duration of a lease counts from before its request was sent, by this entry's own clock. So the
// lease ends here before it ends at the owner, even if the answer was slow or this entry was paused.
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
	Name string // ID and start ID of this entry
	Pool string
}

// Holder keeps track of the slots leased to this entry in one pool.
type Holder struct {
	conf         Config
	byHost       map[string]*hostSlots
	targets      map[string]gauge.Target // hosts that may be given new requests
	leaseExpires time.Time
	seq          uint64
	fullSeq      uint64    // sequence number of the last full request
	requestedAt  time.Time // when that request was sent
	renewed      bool      // whether that request was answered
	// maxUsed is the maximum number of slots to use while other entries have too few; 0: no limit.
	maxUsed      int
	maxIdle      int         // maximum number of idle slots of a class to keep
	wanted       classCounts // slots wanted, as the owner knows: last requested, less those granted since
	becomingLong []*gauge.Slot
	used         int
}

// classCounts counts slots by class.
type classCounts struct{ quick, long int }

// hostSlots are the leased slots of one worker.
type hostSlots struct {
	quick, long         int
	usedQuick, usedLong int
}

func (l *hostSlots) isEmpty() bool { return l.quick+l.long+l.usedQuick+l.usedLong == 0 }

func (l *hostSlots) idleCount(c gauge.Class) int {
	if c == gauge.ClassLong {
		return l.long - l.usedLong
	}
	return l.quick - l.usedQuick
}

func (l *hostSlots) addUsed(c gauge.Class, n int) {
	if c == gauge.ClassLong {
		l.usedLong += n
		return
	}
	l.usedQuick += n
}

// New returns a Holder without slots.
func New(c Config) *Holder { return &Holder{conf: c, byHost: make(map[string]*hostSlots)} }

// SetTargets sets the hosts that new requests may be sent to from now on.
func (h *Holder) SetTargets(targets map[string]gauge.Target) { h.targets = targets }

// Acquire returns a slot on the host with the most idle ones. It uses no host of an earlier
// attempt, and a rack of an earlier attempt only if there is no other.
func (h *Holder) Acquire(now time.Time, class gauge.Class, earlier gauge.Attempts, skip func(string) bool) (*gauge.Slot, bool) {
	if !now.Before(h.leaseExpires) || (h.maxUsed > 0 && h.used >= h.maxUsed) {
		return nil, false
	}
	best, rank := "", 0
	for host, l := range h.byHost {
		idle := l.idleCount(class)
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
	h.byHost[best].addUsed(class, 1)
	h.used++
	return &gauge.Slot{Pool: h.conf.Pool, Class: class, Target: h.targets[best]}, true
}

const newRackBonus = 1 << 20 // outweighs any number of idle slots

// rankOf returns the preference for a host: the higher the better, and 0 for a host that was already
// tried.
func rankOf(t gauge.Target, idle int, earlier gauge.Attempts) int {
	r := idle + newRackBonus
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

// Release returns a slot after its request ended.
func (h *Holder) Release(slot *gauge.Slot) {
	h.used--
	h.becomingLong = slices.DeleteFunc(h.becomingLong, func(s *gauge.Slot) bool { return s == slot })
	l := h.byHost[slot.Target.Host]
	if l == nil {
		return
	}
	l.addUsed(slot.Class, -1)
	if l.isEmpty() {
		delete(h.byHost, slot.Target.Host)
	}
}

// CountAsLong counts a quick slot as long from the next full request on.
func (h *Holder) CountAsLong(slot *gauge.Slot) {
	if slot.Class == gauge.ClassQuick {
		h.becomingLong = append(h.becomingLong, slot)
	}
}

// UsedCount returns the number of slots in use.
func (h *Holder) UsedCount() int { return h.used }

// IdleCount returns the number of slots of a class that are leased and not in use, on hosts that
// may be given requests.
func (h *Holder) IdleCount(c gauge.Class) int {
	_, idle := h.countSlots(c)
	return idle
}

// LeasedCount returns the number of slots leased.
func (h *Holder) LeasedCount() int {
	n := 0
	for _, l := range h.byHost {
		n += l.quick + l.long
	}
	return n
}

// IsEmpty reports whether no slots are leased or in use, so that there is nothing to renew.
func (h *Holder) IsEmpty() bool { return len(h.byHost) == 0 }

// FullRequest returns a request that names all slots and renews the lease.
func (h *Holder) FullRequest(now time.Time, waitingQuick, waitingLong int) slots.LeaseRequest {
	if !now.Before(h.leaseExpires) {
		h.dropIdle()
	}
	h.applyLong()
	h.giveBack(waitingQuick, waitingLong)
	h.wanted = h.wantedCounts(waitingQuick, waitingLong)
	h.seq++
	h.fullSeq, h.requestedAt, h.renewed = h.seq, now, false
	return slots.LeaseRequest{
		Holder: h.conf.Name, Pool: h.conf.Pool, Seq: h.seq, Full: true, Slots: h.leasedSlots(),
		WantedQuick: h.wanted.quick, WantedLong: h.wanted.long,
	}
}

// DeltaRequest returns a request that names what changed since the one before it. It returns false
// if nothing changed, or if a full request has to come first.
func (h *Holder) DeltaRequest(now time.Time, waitingQuick, waitingLong int) (slots.LeaseRequest, bool) {
	if !h.HasLease(now) {
		return slots.LeaseRequest{}, false
	}
	returned := h.giveBack(waitingQuick, waitingLong)
	want := h.wantedCounts(waitingQuick, waitingLong)
	more := classCounts{want.quick - h.wanted.quick, want.long - h.wanted.long}
	if len(returned) == 0 && more == (classCounts{}) {
		return slots.LeaseRequest{}, false
	}
	h.wanted = want
	h.seq++
	return slots.LeaseRequest{
		Holder: h.conf.Name, Pool: h.conf.Pool, Seq: h.seq, Slots: returned,
		WantedQuick: more.quick, WantedLong: more.long,
	}, true
}

// HasLease reports whether a renewed lease is in force, so that a delta request may be sent.
func (h *Holder) HasLease(now time.Time) bool { return h.renewed && now.Before(h.leaseExpires) }

// IsScarce reports whether slots are scarce, so that those that become free should be given back
// at once.
func (h *Holder) IsScarce() bool { return h.maxUsed > 0 || h.maxIdle == 0 }

// dropIdle drops the idle slots after the lease expired. Those in use are still named in requests,
// since they are occupied even without a lease.
func (h *Holder) dropIdle() {
	for host, l := range h.byHost {
		l.quick, l.long = l.usedQuick, l.usedLong
		h.deleteIfEmpty(host, l)
	}
}

func (h *Holder) deleteIfEmpty(host string, l *hostSlots) {
	if l.isEmpty() {
		delete(h.byHost, host)
	}
}

func (h *Holder) applyLong() {
	for _, slot := range h.becomingLong {
		slot.Class = gauge.ClassLong
		if l := h.byHost[slot.Target.Host]; l != nil {
			l.quick--
			l.usedQuick--
			l.long++
			l.usedLong++
		}
	}
	h.becomingLong = nil
}

const (
	minReserve     = 1
	usedPerReserve = 4 // slots in use for each idle slot that is kept
)

// reserve returns how many idle slots of a class to keep, so that a request needn't wait for a
// round trip; never more than the owner allows. Without demand it is 0, as other entries may need
// the slots.
func (h *Holder) reserve(used, waiting int) int {
	if used+waiting == 0 {
		return 0
	}
	return min(max(minReserve, used/usedPerReserve), h.maxIdle)
}

func (h *Holder) countSlots(c gauge.Class) (used, idle int) {
	for host, l := range h.byHost {
		if c == gauge.ClassLong {
			used += l.usedLong
		} else {
			used += l.usedQuick
		}
		if _, serves := h.targets[host]; serves {
			idle += l.idleCount(c)
		}
	}
	return used, idle
}

func (h *Holder) wantedCounts(waitingQuick, waitingLong int) classCounts {
	return classCounts{h.wantedCount(gauge.ClassQuick, waitingQuick), h.wantedCount(gauge.ClassLong, waitingLong)}
}

func (h *Holder) wantedCount(c gauge.Class, waiting int) int {
	used, idle := h.countSlots(c)
	return max(0, waiting+h.reserve(used, waiting)-idle)
}

// giveBack drops idle slots and returns them: all on hosts that take no new requests, those in
// excess of twice the reserve, and those over the owner's limit.
func (h *Holder) giveBack(waitingQuick, waitingLong int) []slots.HostSlots {
	returned := make(map[string]slots.HostSlots)
	h.giveBackClass(gauge.ClassQuick, waitingQuick, returned)
	h.giveBackClass(gauge.ClassLong, waitingLong, returned)
	out := make([]slots.HostSlots, 0, len(returned))
	for _, host := range sortedKeys(returned) {
		out = append(out, returned[host])
	}
	return out
}

func (h *Holder) giveBackClass(c gauge.Class, waiting int, returned map[string]slots.HostSlots) {
	for _, host := range sortedKeys(h.byHost) {
		if _, serves := h.targets[host]; !serves {
			h.dropSlots(host, c, h.byHost[host].idleCount(c), returned)
		}
	}
	used, idle := h.countSlots(c)
	excess := max(0, idle-waiting-2*h.reserve(used, waiting))
	if h.maxUsed > 0 {
		excess = max(excess, min(idle, h.LeasedCount()-h.maxUsed))
	}
	for _, host := range sortedKeys(h.byHost) {
		if excess <= 0 {
			return
		}
		n := min(excess, h.byHost[host].idleCount(c))
		h.dropSlots(host, c, n, returned)
		excess -= n
	}
}

func (h *Holder) dropSlots(host string, c gauge.Class, n int, returned map[string]slots.HostSlots) {
	if n <= 0 {
		return
	}
	l, b := h.byHost[host], returned[host]
	b.Host = host
	if c == gauge.ClassLong {
		l.long -= n
		b.Long += n
	} else {
		l.quick -= n
		b.Quick += n
	}
	returned[host] = b
	h.deleteIfEmpty(host, l)
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func (h *Holder) leasedSlots() []slots.HostSlots {
	out := make([]slots.HostSlots, 0, len(h.byHost))
	for _, host := range sortedKeys(h.byHost) {
		if l := h.byHost[host]; l.quick+l.long > 0 {
			out = append(out, slots.HostSlots{Host: host, Quick: l.quick, Long: l.long})
		}
	}
	return out
}

// ApplyGrant adds the slots that the owner grants. A grant sent before the owner saw the last full
// request is ignored: that request didn't name its slots, so the owner has taken them back. Each
// grant must be applied at most once.
func (h *Holder) ApplyGrant(g slots.Grant) {
	if g.Rejected || g.Seq < h.fullSeq || h.fullSeq == 0 {
		return
	}
	if g.Full && g.Seq == h.fullSeq {
		h.leaseExpires = h.requestedAt.Add(g.LeaseDuration)
		h.renewed = true
	}
	h.maxUsed, h.maxIdle = g.MaxUsed, g.MaxIdle
	for _, add := range g.Slots {
		l := h.byHost[add.Host]
		if l == nil {
			l = &hostSlots{}
			h.byHost[add.Host] = l
		}
		l.quick += add.Quick
		l.long += add.Long
		h.wanted.quick -= add.Quick
		h.wanted.long -= add.Long
	}
	h.wanted = classCounts{max(0, h.wanted.quick), max(0, h.wanted.long)}
}
