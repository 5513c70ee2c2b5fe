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
	MaxWaiting  int    // maximum number of requests that wait here
	Clock       gauge.Clock
	Random      *rand.Rand
	RequestSoon func() // called when slots are needed, to send a lease request soon
}

// Allocator assigns the slots of one pool at one entry. It is safe for concurrent use.
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
func (a *Allocator) SetHosts(hosts gauge.Hosts, promised int) {
	targets := make(map[string]gauge.Target, len(hosts))
	for _, h := range hosts {
		targets[h.ID] = h.Target()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts = len(targets)
	a.slots.SetTargets(targets)
	a.ejector.SetLimit(len(targets), promised)
	a.ejector.Retain(func(host string) bool { _, ok := targets[host]; return ok })
	a.assignIdle()
}

// Acquire returns a slot, after waiting for one if necessary. It refuses at once a request that
// can't start before its deadline.
func (a *Allocator) Acquire(ctx context.Context, class gauge.Class, deadline time.Time, earlier gauge.Attempts) (*gauge.Slot, error) {
	item := &queue.Item{Class: class, Deadline: deadline, Granted: make(chan *gauge.Slot, 1), Attempts: earlier}
	slot, err := a.takeOrEnqueue(item)
	if slot != nil || err != nil {
		return slot, err
	}
	a.conf.RequestSoon()
	select {
	case slot := <-item.Granted:
		return slot, nil
	case <-ctx.Done():
	}
	if slot := a.stopWaiting(item); slot != nil {
		a.Release(slot) // it was granted at the same moment
	}
	if ctx.Err() == context.Canceled {
		return nil, gauge.Refuse(earlier, gauge.KindCancelled, "the caller left while the request waited", 0)
	}
	return nil, gauge.Refuse(earlier, gauge.KindNoSlot, "no worker came free before the deadline", a.retryAfter(class))
}

func (a *Allocator) takeOrEnqueue(item *queue.Item) (*gauge.Slot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.conf.Clock()
	if a.hosts == 0 {
		return nil, gauge.Refuse(item.Attempts, gauge.KindNoWorker, "pool "+a.conf.Pool+" has no serving worker", minRetryAfter)
	}
	if a.queue.Len(item.Class) == 0 {
		if slot, ok := a.takeSlot(now, item); ok {
			return slot, nil
		}
	}
	wait, ok := a.queue.Add(now, item)
	if !ok {
		return nil, gauge.Refuse(item.Attempts, gauge.KindNoSlot, "no worker comes free in time", max(wait, minRetryAfter))
	}
	a.assignIdle() // those ahead of it may be retries that can't use the idle slots
	return nil, nil
}

const minRetryAfter = time.Second

func (a *Allocator) retryAfter(c gauge.Class) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(minRetryAfter, a.queue.EstimateWait(a.conf.Clock(), c))
}

func (a *Allocator) takeSlot(now time.Time, item *queue.Item) (*gauge.Slot, bool) {
	slot, ok := a.slots.Acquire(now, item.Class, item.Attempts, func(host string) bool { return a.ejector.IsBlocked(now, host) })
	if ok {
		a.ejector.RecordStart(now, slot.Target.Host)
	}
	return slot, ok
}

// stopWaiting removes a request from the queue. If a slot was granted meanwhile, it returns that.
func (a *Allocator) stopWaiting(item *queue.Item) *gauge.Slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Remove(item) {
		return nil
	}
	return <-item.Granted
}

// assignIdle gives idle slots to the waiting requests. A retry can't use slots of the hosts where
// it was tried. The requests behind it then go first, and it is counted in blockedRetries, so that
// slots of other hosts are requested although some are idle. Otherwise it would wait until its
// deadline while slots are idle.
func (a *Allocator) assignIdle() {
	now := a.conf.Clock()
	a.blockedRetries = 0
	for _, c := range []gauge.Class{gauge.ClassQuick, gauge.ClassLong} {
		var skipped []*queue.Item
		for item := a.queue.Peek(c); item != nil; item = a.queue.Peek(c) {
			slot, ok := a.takeSlot(now, item)
			if !ok && len(item.Attempts) == 0 {
				break
			}
			a.queue.Remove(item)
			if ok {
				item.Granted <- slot
				continue
			}
			skipped = append(skipped, item)
		}
		for _, item := range skipped {
			a.queue.Requeue(item)
		}
		a.blockedRetries += len(skipped)
	}
}

// waitingCounts returns how many requests wait for slots of each class. If some can't use the idle
// slots, it adds the number of idle slots, as package hold deducts those from what it requests.
func (a *Allocator) waitingCounts() (quick, long int) {
	quick, long = a.queue.Len(gauge.ClassQuick), a.queue.Len(gauge.ClassLong)
	if a.blockedRetries == 0 {
		return quick, long
	}
	if quick > 0 {
		quick += a.slots.IdleCount(gauge.ClassQuick)
	}
	if long > 0 {
		long += a.slots.IdleCount(gauge.ClassLong)
	}
	return quick, long
}

// HasUntriedHost reports whether there is a host on which a request hasn't been tried.
func (a *Allocator) HasUntriedHost(tried gauge.Attempts) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return tried.Hosts() < a.hosts
}

// Release returns a slot for the next request, here or, while slots are scarce, at another entry.
func (a *Allocator) Release(slot *gauge.Slot) {
	if a.release(slot) {
		a.conf.RequestSoon()
	}
}

func (a *Allocator) release(slot *gauge.Slot) (scarce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.RecordFinished(a.conf.Clock(), slot.Class)
	a.slots.Release(slot)
	a.assignIdle()
	return a.slots.IsScarce()
}

// CountAsLong counts a quick slot as long from the next lease renewal on.
func (a *Allocator) CountAsLong(slot *gauge.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots.CountAsLong(slot)
}

// RecordOutcome rates a worker by how a request ended there; successes add to the retry budget. It
// reports whether the worker is ejected as a result.
func (a *Allocator) RecordOutcome(host string, failed bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !failed {
		a.retryBudget.RecordSuccess()
	}
	return a.ejector.RecordOutcome(a.conf.Clock(), host, failed)
}

// SpendRetry takes the n-th retry of a request out of the budget and returns how long to wait
// before it, or false if the budget is spent.
func (a *Allocator) SpendRetry(n int) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.retryBudget.Spend(a.conf.Clock()) {
		return 0, false
	}
	return a.retryBudget.Pause(n), true
}

// RenewRequest returns the lease request that renews the lease, or false if there is nothing to
// renew or to wait for.
func (a *Allocator) RenewRequest() (slots.LeaseRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	quick, long := a.waitingCounts()
	if a.slots.IsEmpty() && quick+long == 0 {
		return slots.LeaseRequest{}, false
	}
	now := a.conf.Clock()
	a.lastFull = now
	return a.slots.FullRequest(now, quick, long), true
}

// minFullInterval is how soon an allocator without a lease may request one again.
const minFullInterval = 100 * time.Millisecond

// NextRequest returns a lease request between two renewals, or false if nothing has changed.
func (a *Allocator) NextRequest() (slots.LeaseRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.conf.Clock()
	quick, long := a.waitingCounts()
	if req, ok := a.slots.DeltaRequest(now, quick, long); ok {
		return req, true
	}
	if a.slots.HasLease(now) || quick+long == 0 || now.Sub(a.lastFull) < minFullInterval {
		return slots.LeaseRequest{}, false
	}
	a.lastFull = now
	return a.slots.FullRequest(now, quick, long), true
}

// ApplyGrant adds the slots that the owner grants.
func (a *Allocator) ApplyGrant(g slots.Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots.ApplyGrant(g)
	a.assignIdle()
}

// Counts returns the current state.
func (a *Allocator) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Counts{
		Pool: a.conf.Pool, Held: a.slots.LeasedCount(), Used: a.slots.UsedCount(), Hosts: a.hosts,
		Quick: a.queue.Len(gauge.ClassQuick), Long: a.queue.Len(gauge.ClassLong),
		Ejected: len(a.ejector.Ejected(a.conf.Clock())),
	}
}
