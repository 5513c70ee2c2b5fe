package slots_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fixed"
	"sapphiregauge/internal/hold"
	"sapphiregauge/internal/slots"
)

const (
	term  = 3 * time.Second
	limit = 10 * time.Second
	size  = 8
)

func TestMain(m *testing.M) { fixed.Run{Checks: "5000", Steps: "60"}.Main(m) }

// request is one that runs at a worker, whatever becomes of its holder.
type request struct {
	place  *gauge.Place
	holder int
	ends   time.Time
	over   bool // its holder has seen its end
}

// world is some holders, one owner at a time, and messages that may be lost,
// late or out of order.
type world struct {
	now     time.Time
	owner   *slots.Owner
	holders []*hold.Holder
	asks    []slots.Ask
	grants  []addressed
	running []*request
	hosts   int
	size    int
	kept    int // of each class
}

type addressed struct {
	holder int
	grant  slots.Grant
}

func newWorld(holders int) *world { return newSized(holders, 3, size, 1) }

func newSized(holders, hosts, size, kept int) *world {
	w := &world{now: time.Unix(1_000_000, 0), hosts: hosts, size: size, kept: kept}
	targets := make(map[string]gauge.Target)
	for i := range hosts {
		id := fmt.Sprintf("w%d", i)
		targets[id] = gauge.Target{Host: id, Rack: id}
	}
	for i := range holders {
		h := hold.New(hold.Config{Name: fmt.Sprintf("e%d", i), Pool: "p"})
		h.Set(targets)
		w.holders = append(w.holders, h)
	}
	w.change()
	return w
}

// change makes another entry the owner: it knows of no lease.
func (w *world) change() {
	w.owner = slots.New(slots.Config{Pool: "p", Term: term, Limit: limit, Start: w.now})
	w.asks = nil // they were sent to the old one
}

func (w *world) fleet() slots.Fleet {
	f := slots.Fleet{Reserve: 2 * w.kept, Floor: w.kept, Same: 1, Known: 1}
	for i := range w.hosts {
		f.Hosts = append(f.Hosts, slots.Room{Host: fmt.Sprintf("w%d", i), Slots: w.size})
	}
	return f
}

func (w *world) ask(i, quick, long int) {
	w.asks = append(w.asks, w.holders[i].Full(w.now, quick, long))
}

func (w *world) tell(i, quick, long int) {
	if a, ok := w.holders[i].Change(w.now, quick, long); ok {
		w.asks = append(w.asks, a)
	}
}

func (w *world) deliverAsk(i int) {
	a := w.asks[i]
	w.owner.Set(w.fleet())
	g, pushes := w.owner.Ask(w.now, a)
	w.grants = append(w.grants, addressed{number(a.Holder), g})
	for _, p := range pushes {
		w.grants = append(w.grants, addressed{number(p.Holder), p.Grant})
	}
}

// deliverGrant brings one answer to its holder, once.
func (w *world) deliverGrant(i int) {
	g := w.grants[i]
	w.grants = slices.Delete(w.grants, i, i+1)
	w.holders[g.holder].Grant(g.grant)
}

// deliverAll brings all messages in the order in which they were sent.
func (w *world) deliverAll() {
	for len(w.asks) > 0 {
		w.deliverAsk(0)
		w.asks = w.asks[1:]
	}
	for len(w.grants) > 0 {
		w.deliverGrant(0)
	}
}

func number(holder string) int {
	n, _ := strconv.Atoi(holder[1:])
	return n
}

func (w *world) take(i int, class gauge.Class, runs time.Duration) bool {
	p, ok := w.holders[i].Take(w.now, class, nil, nil)
	if ok {
		w.running = append(w.running, &request{place: p, holder: i, ends: w.now.Add(runs)})
	}
	return ok
}

// report gives the owner a reading of all workers, taken now.
func (w *world) report() {
	for i := range w.hosts {
		host := fmt.Sprintf("w%d", i)
		used := 0
		for _, r := range w.running {
			if r.place.Target.Host == host && w.now.Before(r.ends) {
				used++
			}
		}
		w.owner.Seen(host, used, w.now)
	}
}

// finish lets the holders that are awake see which of their requests ended.
func (w *world) finish(i int) {
	for _, r := range w.running {
		if r.holder == i && !r.over && !w.now.Before(r.ends) {
			w.holders[i].Done(r.place)
			r.over = true
		}
	}
}

// overfull returns a worker that runs more than it has slots for.
func (w *world) overfull() string {
	at := make(map[string]int)
	for _, r := range w.running {
		if w.now.Before(r.ends) {
			at[r.place.Target.Host]++
			if at[r.place.Target.Host] > w.size {
				return r.place.Target.Host
			}
		}
	}
	return ""
}

// Symptom: a worker runs more requests than it has slots.
// Sequence: any order of asks and answers that are lost, late or overtaken,
// holders that pause and wake, owners that change, leases that lapse.
// Cause: a slot would be handed out again while the entry that had it before
// may still use it.
func TestNeverMoreThanTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSized(2, 1, 2, 0) // small, so that few steps fill it
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "i") }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(*rapid.T) {
				i := pick(len(w.holders))
				w.finish(i)
				w.ask(i, pick(4), pick(3))
			},
			"tell": func(*rapid.T) {
				i := pick(len(w.holders))
				w.finish(i)
				w.tell(i, pick(4), pick(3))
			},
			"inOrder": func(*rapid.T) { w.deliverAll() },
			"askArrives": func(*rapid.T) {
				if len(w.asks) > 0 {
					w.deliverAsk(pick(len(w.asks)))
				}
			},
			"grantArrives": func(*rapid.T) {
				if len(w.grants) > 0 {
					w.deliverGrant(pick(len(w.grants)))
				}
			},
			"lose": func(*rapid.T) {
				w.asks, w.grants = nil, nil
			},
			"take": func(*rapid.T) {
				i := pick(len(w.holders))
				class := rapid.SampledFrom([]gauge.Class{gauge.ClassQuick, gauge.ClassLong}).Draw(t, "class")
				for range 1 + pick(3) {
					w.take(i, class, time.Duration(pick(int(limit/time.Second)))*time.Second)
				}
			},
			"turn": func(*rapid.T) {
				if len(w.running) > 0 {
					r := w.running[pick(len(w.running))]
					if !r.over {
						w.holders[r.holder].Turn(r.place)
					}
				}
			},
			"finish": func(*rapid.T) { w.finish(pick(len(w.holders))) },
			"pass": func(*rapid.T) {
				w.now = w.now.Add(time.Duration(pick(4000)) * time.Millisecond)
			},
			"report": func(*rapid.T) { w.report() },
			"change": func(*rapid.T) { w.change() },
			"": func(t *rapid.T) {
				if host := w.overfull(); host != "" {
					t.Fatalf("%s is overfull", host)
				}
			},
		})
	})
}

// settle lets the first term pass and the platform report idle workers.
func (w *world) settle() {
	w.now = w.now.Add(term)
	w.renew(0, 0)
	w.now = w.now.Add(time.Millisecond)
	w.report()
}

// renew lets every holder ask once and hear at once.
func (w *world) renew(quick, long int) {
	for i := range w.holders {
		w.finish(i)
		w.ask(i, quick, long)
		w.deliverAll()
	}
}

// Symptom: quick work waits while long work has all the slots, or the reverse.
// Sequence: one class asks for everything, again and again.
// Cause: without the reserve and the floor the first class to ask takes all.
func TestEachClassHasItsSlots(t *testing.T) {
	for _, tt := range []struct {
		class       gauge.Class
		quick, long int
		most        int
	}{
		{gauge.ClassLong, 0, 100, 3 * (size - 2)},
		{gauge.ClassQuick, 100, 0, 3 * (size - 1)},
	} {
		t.Run(string(tt.class), func(t *testing.T) {
			w := newWorld(1)
			w.settle()
			taken := 0
			for range 5 {
				w.renew(tt.quick, tt.long)
				for w.take(0, tt.class, time.Hour) {
					taken++
				}
			}
			assert.Equal(t, taken, tt.most)
		})
	}
}

// Symptom: one entry has all the slots, the others' requests wait for good.
// Sequence: the first entry takes everything for work that comes without end,
// then the others ask.
// Cause: without a fair share the slots that come free go back to their holder.
func TestSlotsAreSharedFairly(t *testing.T) {
	w := newWorld(3)
	w.settle()
	running := func(i int) int {
		n := 0
		for _, r := range w.running {
			if r.holder == i && w.now.Before(r.ends) {
				n++
			}
		}
		return n
	}
	for round := range 40 {
		for i := range w.holders {
			if i > 0 && round < 10 {
				continue // the first is alone at first
			}
			w.finish(i)
			w.ask(i, 30, 0)
			w.deliverAll()
			for w.take(i, gauge.ClassQuick, 500*time.Millisecond) {
			}
		}
		w.now = w.now.Add(time.Second)
		for i := range w.holders {
			w.finish(i)
		}
		for i := range w.holders {
			for w.take(i, gauge.ClassQuick, 500*time.Millisecond) {
			}
		}
	}
	total := 3 * (size - 1)
	for i := range w.holders {
		assert.Assert(t, running(i) >= total/3-2, "entry %d has %d of %d slots", i, running(i), total)
	}
}

// Symptom: a worker's slots stay unused long after the entry that had them died.
// Sequence: an entry takes slots and dies; its lease lapses; the platform then
// reports the worker idle.
// Cause: without the report the slots would stay in doubt for the longest run.
func TestReportEndsTheDoubt(t *testing.T) {
	w := newWorld(2)
	w.settle()
	w.renew(20, 0)
	w.now = w.now.Add(term)
	w.ask(1, 0, 0)
	w.deliverAll()
	assert.Assert(t, w.owner.Leased("w0") > 0)
	w.owner.Seen("w0", 0, w.now.Add(-time.Second)) // read before the lapse: proves nothing
	assert.Assert(t, w.owner.Leased("w0") > 0)
	w.owner.Seen("w0", 0, w.now.Add(time.Second))
	assert.Equal(t, w.owner.Leased("w0"), 0)
}

// Symptom: a worker is overfull for as long as a request runs, after an entry
// died.
// Sequence: the owner of a pool dies with requests of its own running; another
// becomes the owner and hands out all the slots.
// Cause: without the doubt the new owner would know nothing of the dead one's
// requests.
func TestNewOwnerDoubtsWhatNobodyNames(t *testing.T) {
	w := newWorld(2)
	w.settle()
	w.renew(9, 0)
	for w.take(0, gauge.ClassQuick, limit) {
	}
	w.change() // entry 0 is dead from here on
	for range 8 {
		w.now = w.now.Add(time.Second)
		w.ask(1, 100, 0)
		w.deliverAll()
		w.report()
		for w.take(1, gauge.ClassQuick, limit) {
		}
		assert.Equal(t, w.overfull(), "")
	}
	assert.Assert(t, w.holders[1].Used() > 0)
}
