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
	leaseDuration  = 3 * time.Second
	maxRunTime     = 10 * time.Second
	slotsPerWorker = 8
)

func TestMain(m *testing.M) { fixed.Flags{Checks: "5000", Steps: "60"}.Main(m) }

// request runs on a worker, no matter what happens to its holder.
type request struct {
	slot    *gauge.Slot
	holder  int
	ends    time.Time
	endSeen bool // its holder has learned that it ended
}

// world has several holders, one owner at a time, and messages that may be lost, delayed or
// reordered.
type world struct {
	now      time.Time
	owner    *slots.Owner
	holders  []*hold.Holder
	requests []slots.LeaseRequest
	grants   []addressedGrant
	running  []*request
	hosts    int
	size     int
	// reservedLong is the number of slots of each worker that are reserved for long requests; twice as
	// many are reserved for quick ones.
	reservedLong int
}

type addressedGrant struct {
	holder int
	grant  slots.Grant
}

func newWorld(holders int) *world { return newSized(holders, 3, slotsPerWorker, 1) }

func newSized(holders, hosts, size, reserved int) *world {
	w := &world{now: time.Unix(1_000_000, 0), hosts: hosts, size: size, reservedLong: reserved}
	targets := make(map[string]gauge.Target)
	for i := range hosts {
		id := fmt.Sprintf("w%d", i)
		targets[id] = gauge.Target{Host: id, Rack: id}
	}
	for i := range holders {
		h := hold.New(hold.Config{Name: fmt.Sprintf("e%d", i), Pool: "p"})
		h.SetTargets(targets)
		w.holders = append(w.holders, h)
	}
	w.changeOwner()
	return w
}

// changeOwner makes another entry the owner, which has no record of any lease.
func (w *world) changeOwner() {
	w.owner = slots.New(slots.Config{Pool: "p", LeaseDuration: leaseDuration, MaxRunTime: maxRunTime, OwnerSince: w.now})
	w.requests = nil // they were sent to the previous owner
}

func (w *world) fleet() slots.Fleet {
	f := slots.Fleet{Reserve: 2 * w.reservedLong, Floor: w.reservedLong, SameViewCount: 1, KnownCount: 1}
	for i := range w.hosts {
		f.Hosts = append(f.Hosts, slots.HostCapacity{Host: fmt.Sprintf("w%d", i), Slots: w.size})
	}
	return f
}

func (w *world) sendFull(i, quick, long int) {
	w.requests = append(w.requests, w.holders[i].FullRequest(w.now, quick, long))
}

func (w *world) sendDelta(i, quick, long int) {
	if req, ok := w.holders[i].DeltaRequest(w.now, quick, long); ok {
		w.requests = append(w.requests, req)
	}
}

func (w *world) deliverRequest(i int) {
	req := w.requests[i]
	w.owner.SetFleet(w.fleet())
	g, pushes := w.owner.HandleRequest(w.now, req)
	w.grants = append(w.grants, addressedGrant{holderIndex(req.Holder), g})
	for _, p := range pushes {
		w.grants = append(w.grants, addressedGrant{holderIndex(p.Holder), p.Grant})
	}
}

// deliverGrant delivers one answer to its holder, once.
func (w *world) deliverGrant(i int) {
	g := w.grants[i]
	w.grants = slices.Delete(w.grants, i, i+1)
	w.holders[g.holder].ApplyGrant(g.grant)
}

// deliverAll delivers all messages in the order in which they were sent.
func (w *world) deliverAll() {
	for len(w.requests) > 0 {
		w.deliverRequest(0)
		w.requests = w.requests[1:]
	}
	for len(w.grants) > 0 {
		w.deliverGrant(0)
	}
}

func holderIndex(holder string) int {
	n, _ := strconv.Atoi(holder[1:])
	return n
}

func (w *world) take(i int, class gauge.Class, runs time.Duration) bool {
	slot, ok := w.holders[i].Acquire(w.now, class, nil, nil)
	if ok {
		w.running = append(w.running, &request{slot: slot, holder: i, ends: w.now.Add(runs)})
	}
	return ok
}

// report gives the owner the platform's readings of all workers, taken now.
func (w *world) report() {
	for i := range w.hosts {
		host := fmt.Sprintf("w%d", i)
		used := 0
		for _, r := range w.running {
			if r.slot.Target.Host == host && w.now.Before(r.ends) {
				used++
			}
		}
		w.owner.ObserveUsage(host, used, w.now)
	}
}

// finish reports to one holder which of its requests ended.
func (w *world) finish(i int) {
	for _, r := range w.running {
		if r.holder == i && !r.endSeen && !w.now.Before(r.ends) {
			w.holders[i].Release(r.slot)
			r.endSeen = true
		}
	}
}

// overfullWorker returns a worker that runs more requests than it has slots, or an empty string.
func (w *world) overfullWorker() string {
	running := make(map[string]int)
	for _, r := range w.running {
		if w.now.Before(r.ends) {
			running[r.slot.Target.Host]++
			if running[r.slot.Target.Host] > w.size {
				return r.slot.Target.Host
			}
		}
	}
	return ""
}

// Guards against a worker that runs more requests than it has slots, because a slot is granted
// again while its previous holder may still use it. Lease requests and their answers are lost,
// delayed and reordered, holders pause and resume, owners change and leases expire, in any order.
func TestNeverMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSized(2, 1, 2, 0) // small, so that few steps fill it
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "i") }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(*rapid.T) {
				i := pick(len(w.holders))
				w.finish(i)
				w.sendFull(i, pick(4), pick(3))
			},
			"tell": func(*rapid.T) {
				i := pick(len(w.holders))
				w.finish(i)
				w.sendDelta(i, pick(4), pick(3))
			},
			"inOrder": func(*rapid.T) { w.deliverAll() },
			"askArrives": func(*rapid.T) {
				if len(w.requests) > 0 {
					w.deliverRequest(pick(len(w.requests)))
				}
			},
			"grantArrives": func(*rapid.T) {
				if len(w.grants) > 0 {
					w.deliverGrant(pick(len(w.grants)))
				}
			},
			"lose": func(*rapid.T) {
				w.requests, w.grants = nil, nil
			},
			"take": func(*rapid.T) {
				i := pick(len(w.holders))
				class := rapid.SampledFrom([]gauge.Class{gauge.ClassQuick, gauge.ClassLong}).Draw(t, "class")
				for range 1 + pick(3) {
					w.take(i, class, time.Duration(pick(int(maxRunTime/time.Second)))*time.Second)
				}
			},
			"turn": func(*rapid.T) {
				if len(w.running) > 0 {
					r := w.running[pick(len(w.running))]
					if !r.endSeen {
						w.holders[r.holder].CountAsLong(r.slot)
					}
				}
			},
			"finish": func(*rapid.T) { w.finish(pick(len(w.holders))) },
			"pass": func(*rapid.T) {
				w.now = w.now.Add(time.Duration(pick(4000)) * time.Millisecond)
			},
			"report": func(*rapid.T) { w.report() },
			"change": func(*rapid.T) { w.changeOwner() },
			"": func(t *rapid.T) {
				if host := w.overfullWorker(); host != "" {
					t.Fatalf("%s is overfull", host)
				}
			},
		})
	})
}

// passFirstLease lets the first lease duration pass, after which the platform reports all workers
// idle.
func (w *world) passFirstLease() {
	w.now = w.now.Add(leaseDuration)
	w.renew(0, 0)
	w.now = w.now.Add(time.Millisecond)
	w.report()
}

// renew lets every holder send a full request, and delivers the answers at once.
func (w *world) renew(quick, long int) {
	for i := range w.holders {
		w.finish(i)
		w.sendFull(i, quick, long)
		w.deliverAll()
	}
}

// Guards against quick requests waiting while long ones have all the slots, or the reverse. One
// class asks for all slots again and again; without the two reserves, the class that asks first
// would get them all.
func TestClassesKeepTheirSlots(t *testing.T) {
	for _, tt := range []struct {
		class       gauge.Class
		quick, long int
		maxTaken    int
	}{
		{gauge.ClassLong, 0, 100, 3 * (slotsPerWorker - 2)},
		{gauge.ClassQuick, 100, 0, 3 * (slotsPerWorker - 1)},
	} {
		t.Run(string(tt.class), func(t *testing.T) {
			w := newWorld(1)
			w.passFirstLease()
			taken := 0
			for range 5 {
				w.renew(tt.quick, tt.long)
				for w.take(0, tt.class, time.Hour) {
					taken++
				}
			}
			assert.Equal(t, taken, tt.maxTaken)
		})
	}
}

// Guards against one entry keeping all the slots while the others' requests wait forever. The first
// entry takes all slots for an endless flow of requests before the others request any; without a
// fair share, each slot that becomes free would go back to its last holder.
func TestFairShare(t *testing.T) {
	w := newWorld(3)
	w.passFirstLease()
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
				continue // the first entry is alone for ten rounds
			}
			w.finish(i)
			w.sendFull(i, 30, 0)
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
	total := 3 * (slotsPerWorker - 1)
	for i := range w.holders {
		assert.Assert(t, running(i) >= total/3-2, "entry %d has %d of %d slots", i, running(i), total)
	}
}

// Guards against a worker's slots staying unused long after the entry that had them died. The entry
// takes slots and dies, its lease expires, and the platform then reports the worker idle; without
// that report the slots would stay unconfirmed for the longest run of a request.
func TestUsageReportConfirmsIdleSlots(t *testing.T) {
	w := newWorld(2)
	w.passFirstLease()
	w.renew(20, 0)
	w.now = w.now.Add(leaseDuration)
	w.sendFull(1, 0, 0)
	w.deliverAll()
	assert.Assert(t, w.owner.InUse("w0") > 0)
	// Read before the lease expired, so it proves nothing.
	w.owner.ObserveUsage("w0", 0, w.now.Add(-time.Second))
	assert.Assert(t, w.owner.InUse("w0") > 0)
	w.owner.ObserveUsage("w0", 0, w.now.Add(time.Second))
	assert.Equal(t, w.owner.InUse("w0"), 0)
}

// Guards against a worker that is overfull for as long as a request runs after an entry died. The
// owner of a pool dies with requests of its own running. Its successor knows nothing of them and
// would grant all slots, unless it treats those that no holder reports as unconfirmed.
func TestNewOwnerKeepsUnreportedSlots(t *testing.T) {
	w := newWorld(2)
	w.passFirstLease()
	w.renew(9, 0)
	for w.take(0, gauge.ClassQuick, maxRunTime) {
	}
	w.changeOwner() // entry 0 is dead from here on
	for range 8 {
		w.now = w.now.Add(time.Second)
		w.sendFull(1, 100, 0)
		w.deliverAll()
		w.report()
		for w.take(1, gauge.ClassQuick, maxRunTime) {
		}
		assert.Equal(t, w.overfullWorker(), "")
	}
	assert.Assert(t, w.holders[1].UsedCount() > 0)
}
