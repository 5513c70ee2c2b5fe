package slots_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/hold"
	"sapphiregauge/internal/loose"
	"sapphiregauge/internal/slots"
)

// The ways of sharing slots that are compared.
const (
	sharingUncoordinated = "uncoordinated"
	sharingTicket        = "ticket"
	sharingLease         = "lease"
)

const (
	networkDelay  = 1500 * time.Microsecond // network delay between two data centres
	simulated     = 60 * time.Second
	pauseFrom     = 20 * time.Second
	pauseTo       = 25 * time.Second
	quickMean     = 100 * time.Millisecond
	longMean      = 2 * time.Second
	longShare     = 0.1
	frameOverhead = 20 // bytes of framing around each lease request and each of the three messages of a ticket
)

// event is an action at a simulated time.
type event struct {
	time     time.Duration
	sequence int
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].time < e[b].time || (e[a].time == e[b].time && e[a].sequence < e[b].sequence)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one run of one way of sharing, in one goroutine on simulated time.
type simulation struct {
	sharing      string
	load         float64
	workers      []gauge.Host
	random       *rand.Rand
	queue        events
	nextSequence int
	now          time.Duration
	entries      []*simEntry
	owner        *slots.Owner
	ticketQueue  []*simRequest // waiting at the owner that issues the tickets
	running      map[string]int
	total        int
	waiting      int

	overfull, wastedIdle float64 // in slot-seconds
	bytes                int
	waits                *hdrhistogram.Histogram
	lastEvent            time.Duration
}

type simEntry struct {
	slots          gauge.Slots
	holder         *hold.Holder
	queues         map[gauge.Class][]*simRequest
	requestPlanned bool
}

type simRequest struct {
	entry     int
	class     gauge.Class
	arrivedAt time.Duration
	duration  time.Duration
	slot      *gauge.Slot

	// paused: its entry was paused when it arrived, so its waiting time says nothing about how slots
	// are shared.
	paused bool
}

func base() time.Time { return time.Unix(1_000_000, 0) }

func newSimulation(sharing string, entries, workers int, load float64) *simulation {
	w := &simulation{
		sharing: sharing, load: load, random: rand.New(rand.NewPCG(1, 2)),
		running: make(map[string]int), waits: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	targets := make(map[string]gauge.Target)
	f := slots.Fleet{Reserve: 2, Floor: 1, SameViewCount: 1, KnownCount: 1}
	for i := range workers {
		h := gauge.Host{ID: fmt.Sprintf("w%03d", i), Slots: slotsPerWorker, State: gauge.HostServing, Rack: fmt.Sprint(i / 4)}
		w.workers = append(w.workers, h)
		targets[h.ID] = h.Target()
		f.Hosts = append(f.Hosts, slots.HostCapacity{Host: h.ID, Slots: slotsPerWorker})
	}
	w.owner = slots.New(slots.Config{Pool: "p", LeaseDuration: leaseDuration, MaxRunTime: maxRunTime, OwnerSince: base().Add(-time.Hour)})
	w.owner.SetFleet(f)
	for i := range entries {
		e := &simEntry{queues: make(map[gauge.Class][]*simRequest)}
		if sharing == sharingLease {
			e.holder = hold.New(hold.Config{Name: fmt.Sprint(i), Pool: "p"})
			e.holder.SetTargets(targets)
			e.slots = e.holder
		} else {
			e.slots = loose.New(loose.Config{Pool: "p", Random: w.random}, w.workers)
		}
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.nextSequence++
	heap.Push(&w.queue, event{w.now + d, w.nextSequence, do})
}

// atEntry runs a function at an entry once that entry isn't paused. Only the second entry pauses.
func (w *simulation) atEntry(i int, do func()) {
	if i == 1 && w.now >= pauseFrom && w.now < pauseTo {
		w.schedule(pauseTo-w.now, do)
		return
	}
	do()
}

func (w *simulation) run() {
	mean := (1-longShare)*quickMean.Seconds() + longShare*longMean.Seconds()
	rate := w.load * float64(len(w.workers)*slotsPerWorker) / mean
	w.schedule(0, func() { w.arrive(rate) })
	for i := range w.entries {
		w.schedule(time.Duration(i)*time.Millisecond, func() { w.renewRound(i) })
	}
	if w.sharing == sharingLease {
		// Skips the first lease duration and reports all workers idle.
		w.owner.HandleRequest(base(), slots.LeaseRequest{Holder: "first", Seq: 1, Full: true})
		for _, h := range w.workers {
			w.owner.ObserveUsage(h.ID, 0, base().Add(time.Second))
		}
	}
	for len(w.queue) > 0 {
		e, _ := heap.Pop(&w.queue).(event)
		if e.time > simulated {
			return
		}
		w.integrate(e.time)
		w.now = e.time
		e.action()
	}
}

// integrate adds up the slots that were overfull, or idle while requests waited, since the last
// event.
func (w *simulation) integrate(to time.Duration) {
	dt := (to - w.lastEvent).Seconds()
	w.lastEvent = to
	if dt == 0 {
		return
	}
	over := 0
	for _, n := range w.running {
		over += max(0, n-slotsPerWorker)
	}
	idle := len(w.workers)*slotsPerWorker - (w.total - over)
	w.overfull += float64(over) * dt
	w.wastedIdle += float64(min(idle, w.waiting)) * dt
}

func (w *simulation) arrive(rate float64) {
	r := &simRequest{entry: w.random.IntN(len(w.entries)), class: gauge.ClassQuick, arrivedAt: w.now}
	mean := quickMean
	if w.random.Float64() < longShare {
		r.class, mean = gauge.ClassLong, longMean
	}
	r.paused = r.entry == 1 && w.now >= pauseFrom && w.now < pauseTo
	r.duration = time.Duration(w.random.ExpFloat64() * float64(mean))
	w.waiting++
	w.atEntry(r.entry, func() { w.accept(r) })
	w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(rate) })
}

func (w *simulation) accept(r *simRequest) {
	if w.sharing == sharingTicket {
		w.bytes += 3 * (frameOverhead + 40)
		w.schedule(networkDelay, func() { w.ticketQueue = append(w.ticketQueue, r); w.issueTickets() })
		return
	}
	e := w.entries[r.entry]
	e.queues[r.class] = append(e.queues[r.class], r)
	w.startQueued(r.entry)
	if len(e.queues[r.class]) > 0 {
		w.sendRequestSoon(r.entry)
	}
}

// issueTickets issues tickets in the order of the requests, on the least used worker.
func (w *simulation) issueTickets() {
	for len(w.ticketQueue) > 0 {
		best := ""
		for _, h := range w.workers {
			if w.running[h.ID] < slotsPerWorker && (best == "" || w.running[h.ID] < w.running[best]) {
				best = h.ID
			}
		}
		if best == "" {
			return
		}
		r := w.ticketQueue[0]
		w.ticketQueue = w.ticketQueue[1:]
		r.slot = &gauge.Slot{Target: gauge.Target{Host: best}}
		w.running[best]++ // occupied from now on
		w.total++
		w.schedule(networkDelay, func() {
			w.atEntry(r.entry, func() {
				w.recordStart(r)
				w.schedule(r.duration, func() {
					w.schedule(networkDelay, func() { w.running[best]--; w.total--; w.issueTickets() })
				})
			})
		})
	}
}

func (w *simulation) recordStart(r *simRequest) {
	w.waiting--
	if r.class == gauge.ClassQuick && !r.paused {
		_ = w.waits.RecordValue(max(1, int64((w.now-r.arrivedAt)/time.Microsecond)))
	}
}

func (w *simulation) startQueued(i int) {
	e := w.entries[i]
	for _, c := range []gauge.Class{gauge.ClassQuick, gauge.ClassLong} {
		for len(e.queues[c]) > 0 {
			slot, ok := e.slots.Acquire(base().Add(w.now), c, nil, nil)
			if !ok {
				break
			}
			r := e.queues[c][0]
			e.queues[c] = e.queues[c][1:]
			w.start(i, r, slot)
		}
	}
}

func (w *simulation) start(i int, r *simRequest, slot *gauge.Slot) {
	w.recordStart(r)
	w.running[slot.Target.Host]++
	w.total++
	w.schedule(r.duration, func() {
		w.running[slot.Target.Host]--
		w.total--
		w.atEntry(i, func() {
			e := w.entries[i]
			e.slots.Release(slot)
			w.startQueued(i)
			if e.holder != nil && e.holder.IsScarce() {
				w.sendRequestSoon(i)
			}
		})
	})
}

func (w *simulation) renewRound(i int) {
	if w.sharing != sharingLease {
		return
	}
	w.atEntry(i, func() { w.sendRequest(i, true) })
	w.schedule(time.Second, func() { w.renewRound(i) })
}

func (w *simulation) sendRequestSoon(i int) {
	e := w.entries[i]
	if w.sharing != sharingLease || e.requestPlanned {
		return
	}
	e.requestPlanned = true
	w.schedule(2*time.Millisecond, func() { w.atEntry(i, func() { e.requestPlanned = false; w.sendRequest(i, false) }) })
}

func (w *simulation) sendRequest(i int, full bool) {
	h, now := w.entries[i].holder, base().Add(w.now)
	quick, long := len(w.entries[i].queues[gauge.ClassQuick]), len(w.entries[i].queues[gauge.ClassLong])
	req, ok := h.DeltaRequest(now, quick, long)
	if full {
		req, ok = h.FullRequest(now, quick, long), true
	}
	if !ok {
		return
	}
	w.countBytes(req)
	w.schedule(networkDelay, func() {
		g, pushes := w.owner.HandleRequest(base().Add(w.now), req)
		w.deliver(i, g)
		for _, p := range pushes {
			w.deliver(holderIndex("e"+p.Holder), p.Grant)
		}
	})
}

func (w *simulation) deliver(i int, g slots.Grant) {
	w.countBytes(g)
	w.schedule(networkDelay, func() {
		w.atEntry(i, func() {
			w.entries[i].holder.ApplyGrant(g)
			w.startQueued(i)
			w.sendRequestSoon(i)
		})
	})
}

func (w *simulation) countBytes(v any) {
	b, _ := msgpack.Marshal(v)
	w.bytes += len(b) + frameOverhead
}

// BenchmarkShare compares the ways of sharing on the same arrivals: overfull slot-seconds,
// slot-seconds idle while requests wait, the waiting time of quick requests, and the bytes of
// control messages per second and entry, with one entry paused for 5 of 60 s.
func BenchmarkShare(b *testing.B) {
	for _, n := range []struct{ entries, workers int }{{8, 50}, {32, 50}, {128, 50}, {128, 400}} {
		for _, load := range []float64{0.7, 0.95} {
			for _, sharing := range []string{sharingUncoordinated, sharingTicket, sharingLease} {
				b.Run(fmt.Sprintf("%dx%d/load=%v/%s", n.entries, n.workers, load, sharing), func(b *testing.B) {
					for b.Loop() {
						w := newSimulation(sharing, n.entries, n.workers, load)
						w.run()
						b.ReportMetric(w.overfull, "overfull-slot-s")
						b.ReportMetric(w.wastedIdle, "idle-slot-s")
						b.ReportMetric(float64(w.waits.ValueAtQuantile(50))/1000, "p50-ms")
						b.ReportMetric(float64(w.waits.ValueAtQuantile(99))/1000, "p99-ms")
						b.ReportMetric(float64(w.bytes)/simulated.Seconds()/float64(n.entries), "B/s/entry")
					}
				})
			}
		}
	}
}
