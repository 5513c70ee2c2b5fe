// Package desk assigns the slots of one pool to the requests at one entry. It keeps, under one
// lock, the leased slots, the requests that wait for one, the ejected workers and the retry budget.
package desk

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/eject"
	"sapphiregauge/internal/hold"
	"sapphiregauge/internal/queue"
	"sapphiregauge/internal/retry"
	"sapphiregauge/internal/slots"
)

// Config sets up an Allocator.
type Config struct {
	Pool        string
	Holder      string // ID and start ID of this entry
	MaxWaiting  int    // most requests that wait here
	Clock       gauge.Clock
	Random      *rand.Rand
	RequestSoon func() // called when slots are needed, to send a lease request soon
}

// Allocator hands out the slots of one pool at one entry. It is safe for concurrent use.
type Allocator struct {
	conf Config

	mu             sync.Mutex
	slots          *hold.Holder
	queue          *queue.Queue
	ejector        *eject.Ejector
	retryBudget    *retry.Budget
	hosts          int
	blockedRetries int // waiting retries that can't use the idle slots

	lastFull time.Time // when the last full lease request was made
}

// Counts is the current state of an Allocator, in slots, requests and hosts.
type Counts struct {
	Pool    string
	Held    int
	Used    int
	Quick   int // waiting
	Long    int // waiting
	Hosts   int
	Ejected int
}

// New returns an Allocator without hosts.
func New(c Config) *Allocator {
	now := c.Clock()
	return &Allocator{
		conf:        c,
		slots:       hold.New(hold.Config{Name: c.Holder, Pool: c.Pool}),
		queue:       queue.New(queue.Config{MaxLength: c.MaxWaiting, StartTime: now}),
		ejector:     eject.New(eject.Config{}),
		retryBudget: retry.New(retry.Config{Random: c.Random, Start: now}),
	}
}

// SetHosts sets the hosts that serve the pool and how many were promised. Hosts that are leaving
// get no requests from here on.
func (d *Allocator) SetHosts(hosts gauge.Hosts, promised int) {
	targets := make(map[string]gauge.Target, len(hosts))
	for _, h := range hosts {
		targets[h.ID] = h.Target()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = len(targets)
	d.slots.SetTargets(targets)
	d.ejector.SetLimit(len(targets), promised)
	d.ejector.Retain(func(host string) bool { _, ok := targets[host]; return ok })
	d.assignIdle()
}

// Acquire returns a slot, after waiting for one if necessary. It refuses at once a request that
// can't start before its deadline.
func (d *Allocator) Acquire(ctx context.Context, class gauge.Class, deadline time.Time, earlier gauge.Attempts) (*gauge.Slot, error) {
	it := &queue.Item{Class: class, Deadline: deadline, Granted: make(chan *gauge.Slot, 1), Attempts: earlier}
	p, err := d.takeOrEnqueue(it)
	if p != nil || err != nil {
		return p, err
	}
	d.conf.RequestSoon()
	select {
	case p := <-it.Granted:
		return p, nil
	case <-ctx.Done():
	}
	if p := d.stopWaiting(it); p != nil {
		d.Release(p) // it was granted at the same moment
	}
	if ctx.Err() == context.Canceled {
		return nil, gauge.Refuse(earlier, gauge.KindCancelled, "the caller left while the request waited", 0)
	}
	return nil, gauge.Refuse(earlier, gauge.KindNoSlot, "no worker came free before the deadline", d.retryAfter(class))
}

func (d *Allocator) takeOrEnqueue(item *queue.Item) (*gauge.Slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.conf.Clock()
	if d.hosts == 0 {
		return nil, gauge.Refuse(item.Attempts, gauge.KindNoWorker, "pool "+d.conf.Pool+" has no serving worker", minRetryAfter)
	}
	if d.queue.Len(item.Class) == 0 {
		if p, ok := d.takeSlot(now, item); ok {
			return p, nil
		}
	}
	wait, ok := d.queue.Add(now, item)
	if !ok {
		return nil, gauge.Refuse(item.Attempts, gauge.KindNoSlot, "no worker comes free in time", max(wait, minRetryAfter))
	}
	d.assignIdle() // those ahead of it may be retries that can't use the idle slots
	return nil, nil
}

const minRetryAfter = time.Second

func (d *Allocator) retryAfter(c gauge.Class) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minRetryAfter, d.queue.EstimateWait(d.conf.Clock(), c))
}

func (d *Allocator) takeSlot(now time.Time, it *queue.Item) (*gauge.Slot, bool) {
	p, ok := d.slots.Acquire(now, it.Class, it.Attempts, func(host string) bool { return d.ejector.IsBlocked(now, host) })
	if ok {
		d.ejector.RecordStart(now, p.Target.Host)
	}
	return p, ok
}

// stopWaiting removes a request from the queue. If a slot was granted meanwhile, it returns that.
func (d *Allocator) stopWaiting(it *queue.Item) *gauge.Slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Remove(it) {
		return nil
	}
	return <-it.Granted
}

// assignIdle gives idle slots to the waiting requests. A retry can't use slots of the hosts where
// it was tried: it is passed over for the requests behind it and counted, so that slots of other
// hosts are requested although some are idle. Otherwise it would wait next to idle slots until its
// deadline.
func (d *Allocator) assignIdle() {
	now := d.conf.Clock()
	d.blockedRetries = 0
	for _, c := range []gauge.Class{gauge.ClassQuick, gauge.ClassLong} {
		var skipped []*queue.Item
		for it := d.queue.Peek(c); it != nil; it = d.queue.Peek(c) {
			p, ok := d.takeSlot(now, it)
			if !ok && len(it.Attempts) == 0 {
				break
			}
			d.queue.Remove(it)
			if ok {
				it.Granted <- p
				continue
			}
			skipped = append(skipped, it)
		}
		for _, it := range skipped {
			d.queue.Requeue(it)
		}
		d.blockedRetries += len(skipped)
	}
}

// waitingCounts returns how many requests wait for slots of each class. If some can't use the idle
// slots, as many more are counted as there are idle ones.
func (d *Allocator) waitingCounts() (quick, long int) {
	quick, long = d.queue.Len(gauge.ClassQuick), d.queue.Len(gauge.ClassLong)
	if d.blockedRetries == 0 {
		return quick, long
	}
	if quick > 0 {
		quick += d.slots.IdleCount(gauge.ClassQuick)
	}
	if long > 0 {
		long += d.slots.IdleCount(gauge.ClassLong)
	}
	return quick, long
}

// HasUntriedHost reports whether there is a host that a request wasn't tried on.
func (d *Allocator) HasUntriedHost(tried gauge.Attempts) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return tried.Hosts() < d.hosts
}

// Release returns a slot for the next request, here or, while slots are scarce, at another entry.
func (d *Allocator) Release(p *gauge.Slot) {
	if d.release(p) {
		d.conf.RequestSoon()
	}
}

func (d *Allocator) release(p *gauge.Slot) (scarce bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.RecordFinished(d.conf.Clock(), p.Class)
	d.slots.Release(p)
	d.assignIdle()
	return d.slots.IsScarce()
}

// CountAsLong counts a quick slot as long from the next lease renewal on.
func (d *Allocator) CountAsLong(p *gauge.Slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots.CountAsLong(p)
}

// RecordOutcome rates a worker by how a request ended there; successes add to the retry budget. It
// returns true if the worker is ejected for it.
func (d *Allocator) RecordOutcome(host string, failed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !failed {
		d.retryBudget.RecordSuccess()
	}
	return d.ejector.RecordOutcome(d.conf.Clock(), host, failed)
}

// SpendRetry takes the n-th retry of a request out of the budget and returns how long to wait
// before it, or false if the budget is spent.
func (d *Allocator) SpendRetry(n int) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retryBudget.Spend(d.conf.Clock()) {
		return 0, false
	}
	return d.retryBudget.Pause(n), true
}

// RenewRequest returns the lease request that renews the lease, or false if there is nothing to
// renew or to wait for.
func (d *Allocator) RenewRequest() (slots.LeaseRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	quick, long := d.waitingCounts()
	if d.slots.IsEmpty() && quick+long == 0 {
		return slots.LeaseRequest{}, false
	}
	now := d.conf.Clock()
	d.lastFull = now
	return d.slots.FullRequest(now, quick, long), true
}

// minFullInterval is how soon an allocator without a lease may request one again.
const minFullInterval = 100 * time.Millisecond

// NextRequest returns a lease request between two renewals, or false if nothing has changed.
func (d *Allocator) NextRequest() (slots.LeaseRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.conf.Clock()
	quick, long := d.waitingCounts()
	if req, ok := d.slots.DeltaRequest(now, quick, long); ok {
		return req, true
	}
	if d.slots.HasLease(now) || quick+long == 0 || now.Sub(d.lastFull) < minFullInterval {
		return slots.LeaseRequest{}, false
	}
	d.lastFull = now
	return d.slots.FullRequest(now, quick, long), true
}

// ApplyGrant takes in slots that the owner grants.
func (d *Allocator) ApplyGrant(g slots.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots.ApplyGrant(g)
	d.assignIdle()
}

// Counts returns the current state.
func (d *Allocator) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Counts{
		Pool: d.conf.Pool, Held: d.slots.LeasedCount(), Used: d.slots.UsedCount(), Hosts: d.hosts,
		Quick: d.queue.Len(gauge.ClassQuick), Long: d.queue.Len(gauge.ClassLong),
		Ejected: len(d.ejector.Ejected(d.conf.Clock())),
	}
}
