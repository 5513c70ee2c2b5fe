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

// The ways to share slots that are compared.
const (
	wayLoose  = "uncoordinated"
	wayTicket = "ticket"
	wayLease  = "lease"
)

const (
	oneWay    = 1500 * time.Microsecond // between two data centres of Brandýs
	compared  = 60 * time.Second
	pauseFrom = 20 * time.Second
	pauseTo   = 25 * time.Second
	quickMean = 100 * time.Millisecond
	longMean  = 2 * time.Second
	longShare = 0.1
	frameHead = 20 // bytes of a frame around an ask, and of a ticket's three messages each
)

// event happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || (e[a].at == e[b].at && e[a].order < e[b].order)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// trial is one run of one way, all in one goroutine on made-up time.
type trial struct {
	way     string
	load    float64
	workers []gauge.Host
	random  *rand.Rand
	queue   events
	order   int
	now     time.Duration
	entries []*tryEntry
	owner   *slots.Owner
	tickets []*tryRequest // waiting at the owner of the tickets
	running map[string]int
	total   int
	waiting int

	overfull, wasted float64 // slot-seconds
	bytes            int
	waits            *hdrhistogram.Histogram
	last             time.Duration
}

type tryEntry struct {
	slots  gauge.Slots
	holder *hold.Holder
	lines  map[gauge.Class][]*tryRequest
	asking bool
}

type tryRequest struct {
	entry int
	class gauge.Class
	came  time.Duration
	runs  time.Duration
	place *gauge.Place

	paused bool // its entry was paused when it came: the wait is not the way's fault
}

func base() time.Time { return time.Unix(1_000_000, 0) }

func newTrial(way string, entries, workers int, load float64) *trial {
	w := &trial{
		way: way, load: load, random: rand.New(rand.NewPCG(1, 2)),
		running: make(map[string]int), waits: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	targets := make(map[string]gauge.Target)
	f := slots.Fleet{Reserve: 2, Floor: 1, Same: 1, Known: 1}
	for i := range workers {
		h := gauge.Host{ID: fmt.Sprintf("w%03d", i), Slots: size, State: gauge.HostServing, Rack: fmt.Sprint(i / 4)}
		w.workers = append(w.workers, h)
		targets[h.ID] = h.Target()
		f.Hosts = append(f.Hosts, slots.Room{Host: h.ID, Slots: size})
	}
	w.owner = slots.New(slots.Config{Pool: "p", Term: term, Limit: limit, Start: base().Add(-time.Hour)})
	w.owner.Set(f)
	for i := range entries {
		e := &tryEntry{lines: make(map[gauge.Class][]*tryRequest)}
		if way == wayLease {
			e.holder = hold.New(hold.Config{Name: fmt.Sprint(i), Pool: "p"})
			e.holder.Set(targets)
			e.slots = e.holder
		} else {
			e.slots = loose.New(loose.Config{Pool: "p", Random: w.random}, w.workers)
		}
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *trial) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

// at runs something at an entry, once it is not paused. The second entry is
// the one that pauses.
func (w *trial) atEntry(i int, do func()) {
	if i == 1 && w.now >= pauseFrom && w.now < pauseTo {
		w.after(pauseTo-w.now, do)
		return
	}
	do()
}

func (w *trial) run() {
	mean := (1-longShare)*quickMean.Seconds() + longShare*longMean.Seconds()
	rate := w.load * float64(len(w.workers)*size) / mean
	w.after(0, func() { w.arrive(rate) })
	for i := range w.entries {
		w.after(time.Duration(i)*time.Millisecond, func() { w.round(i) })
	}
	if w.way == wayLease {
		// The first term and a report of idle workers are over.
		w.owner.Ask(base(), slots.Ask{Holder: "first", Seq: 1, Full: true})
		for _, h := range w.workers {
			w.owner.Seen(h.ID, 0, base().Add(time.Second))
		}
	}
	for len(w.queue) > 0 {
		e, _ := heap.Pop(&w.queue).(event)
		if e.at > compared {
			return
		}
		w.integrate(e.at)
		w.now = e.at
		e.do()
	}
}

// integrate adds up what was overfull, or idle while work waited, since the
// last event.
func (w *trial) integrate(to time.Duration) {
	dt := (to - w.last).Seconds()
	w.last = to
	if dt == 0 {
		return
	}
	over := 0
	for _, n := range w.running {
		over += max(0, n-size)
	}
	idle := len(w.workers)*size - (w.total - over)
	w.overfull += float64(over) * dt
	w.wasted += float64(min(idle, w.waiting)) * dt
}

func (w *trial) arrive(rate float64) {
	r := &tryRequest{entry: w.random.IntN(len(w.entries)), class: gauge.ClassQuick, came: w.now}
	mean := quickMean
	if w.random.Float64() < longShare {
		r.class, mean = gauge.ClassLong, longMean
	}
	r.paused = r.entry == 1 && w.now >= pauseFrom && w.now < pauseTo
	r.runs = time.Duration(w.random.ExpFloat64() * float64(mean))
	w.waiting++
	w.atEntry(r.entry, func() { w.accept(r) })
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(rate) })
}

func (w *trial) accept(r *tryRequest) {
	if w.way == wayTicket {
		w.bytes += 3 * (frameHead + 40)
		w.after(oneWay, func() { w.tickets = append(w.tickets, r); w.issue() })
		return
	}
	e := w.entries[r.entry]
	e.lines[r.class] = append(e.lines[r.class], r)
	w.pump(r.entry)
	if len(e.lines[r.class]) > 0 {
		w.askSoon(r.entry)
	}
}

// issue gives tickets in the order of the requests, on the least used worker.
func (w *trial) issue() {
	for len(w.tickets) > 0 {
		best := ""
		for _, h := range w.workers {
			if w.running[h.ID] < size && (best == "" || w.running[h.ID] < w.running[best]) {
				best = h.ID
			}
		}
		if best == "" {
			return
		}
		r := w.tickets[0]
		w.tickets = w.tickets[1:]
		r.place = &gauge.Place{Target: gauge.Target{Host: best}}
		w.running[best]++ // taken from now on
		w.total++
		w.after(oneWay, func() {
			w.atEntry(r.entry, func() {
				w.started(r)
				w.after(r.runs, func() {
					w.after(oneWay, func() { w.running[best]--; w.total--; w.issue() })
				})
			})
		})
	}
}

func (w *trial) started(r *tryRequest) {
	w.waiting--
	if r.class == gauge.ClassQuick && !r.paused {
		_ = w.waits.RecordValue(max(1, int64((w.now-r.came)/time.Microsecond)))
	}
}

func (w *trial) pump(i int) {
	e := w.entries[i]
	for _, c := range []gauge.Class{gauge.ClassQuick, gauge.ClassLong} {
		for len(e.lines[c]) > 0 {
			p, ok := e.slots.Take(base().Add(w.now), c, nil, nil)
			if !ok {
				break
			}
			r := e.lines[c][0]
			e.lines[c] = e.lines[c][1:]
			w.start(i, r, p)
		}
	}
}

func (w *trial) start(i int, r *tryRequest, p *gauge.Place) {
	w.started(r)
	w.running[p.Target.Host]++
	w.total++
	w.after(r.runs, func() {
		w.running[p.Target.Host]--
		w.total--
		w.atEntry(i, func() {
			e := w.entries[i]
			e.slots.Done(p)
			w.pump(i)
			if e.holder != nil && e.holder.Short() {
				w.askSoon(i)
			}
		})
	})
}

func (w *trial) round(i int) {
	if w.way != wayLease {
		return
	}
	w.atEntry(i, func() { w.ask(i, true) })
	w.after(time.Second, func() { w.round(i) })
}

func (w *trial) askSoon(i int) {
	e := w.entries[i]
	if w.way != wayLease || e.asking {
		return
	}
	e.asking = true
	w.after(2*time.Millisecond, func() { w.atEntry(i, func() { e.asking = false; w.ask(i, false) }) })
}

func (w *trial) ask(i int, full bool) {
	h, now := w.entries[i].holder, base().Add(w.now)
	quick, long := len(w.entries[i].lines[gauge.ClassQuick]), len(w.entries[i].lines[gauge.ClassLong])
	a, ok := h.Change(now, quick, long)
	if full {
		a, ok = h.Full(now, quick, long), true
	}
	if !ok {
		return
	}
	w.count(a)
	w.after(oneWay, func() {
		g, pushes := w.owner.Ask(base().Add(w.now), a)
		w.deliver(i, g)
		for _, p := range pushes {
			w.deliver(number("e"+p.Holder), p.Grant)
		}
	})
}

func (w *trial) deliver(i int, g slots.Grant) {
	w.count(g)
	w.after(oneWay, func() {
		w.atEntry(i, func() {
			w.entries[i].holder.Grant(g)
			w.pump(i)
			w.askSoon(i)
		})
	})
}

func (w *trial) count(v any) {
	b, _ := msgpack.Marshal(v)
	w.bytes += len(b) + frameHead
}

// BenchmarkShare compares the ways on the same arrivals: overfilled
// slot-seconds, slot-seconds idle while work waits, the wait of quick work, and
// control bytes a second and entry, with one entry paused for 5 of 60 s.
func BenchmarkShare(b *testing.B) {
	for _, n := range []struct{ entries, workers int }{{8, 50}, {32, 50}, {128, 50}, {128, 400}} {
		for _, load := range []float64{0.7, 0.95} {
			for _, way := range []string{wayLoose, wayTicket, wayLease} {
				b.Run(fmt.Sprintf("%dx%d/load=%v/%s", n.entries, n.workers, load, way), func(b *testing.B) {
					for b.Loop() {
						w := newTrial(way, n.entries, n.workers, load)
						w.run()
						b.ReportMetric(w.overfull, "overfull-slot-s")
						b.ReportMetric(w.wasted, "idle-slot-s")
						b.ReportMetric(float64(w.waits.ValueAtQuantile(50))/1000, "p50-ms")
						b.ReportMetric(float64(w.waits.ValueAtQuantile(99))/1000, "p99-ms")
						b.ReportMetric(float64(w.bytes)/compared.Seconds()/float64(n.entries), "B/s/entry")
					}
				})
			}
		}
	}
}
