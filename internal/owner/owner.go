// Package owner runs one pool at the entry (server process) that holds the pool's lease. It keeps a
// heartbeat (a long-polling call that extends the worker's lease and returns its report) open at
// every worker, sends the orders that package sched decides on, and writes the results to the
// table. Each write is conditional on this entry still holding the lease.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/admit"
	"sapphiregauge/internal/lag"
	"sapphiregauge/internal/limit"
	"sapphiregauge/internal/sched"
)

// Owner runs one pool.
type Owner struct {
	conf              Config
	group             conc.WaitGroup
	cancel            context.CancelFunc
	ctx               context.Context
	wake              chan struct{}               // signals writeLoop that a change is due to be written
	limitWake         chan struct{}               // signals limitLoop that a start is held back
	onHandoverNeeded  func(failing time.Duration) // see OnHandoverNeeded
	handoverAfter     time.Duration               // how long writes may fail before onHandoverNeeded is called
	claimedAt         time.Duration               // when this owner was made, right after the claim
	earlierLeaseUntil int64                       // as in LeaseRow, for the next owner
	waitingOrders     atomic.Int64                // orders that wait for a slot at their worker
	behindDetector    *lag.BehindDetector         // whether this owner is behind; used by tickLoop only
	lastBacklogReport time.Duration               // when the backlog was last reported; used by tickLoop only

	mu               sync.Mutex
	pool             *sched.Pool
	limits           *limit.Parts
	writeDone        chan struct{}                       // closed after each write and replaced by a new channel
	tableUnreachable bool                                // the last write got no complete answer
	writeSentAt      time.Duration                       // when the write in progress was sent; 0: there is none
	lastWriteTook    time.Duration                       // duration of the last write
	ended            bool                                // the lease was lost or given up
	stopping         bool                                // the pool is being handed over: nothing new is started
	lastPlan         time.Duration                       // when the last plan was made
	planScheduled    bool                                // a plan is scheduled for the end of the minimum interval
	orderSlots       map[gauge.Incarnation]chan struct{} // semaphores of all orders to an incarnation of a worker
	stopSlots        map[gauge.Incarnation]chan struct{} // additional semaphores of stops
	orderLag         *lag.Meter                          // durations of orders
	seekingSuccessor bool                                // a successor is being looked for
	loaded           bool                                // the first read of the pool's jobs is over
	site             *gauge.Site
	workerList       []gauge.Worker // newest list of workers from the platform
	workersVersion   int64          // of the table, as of which the list is
	scanCount        int            // used by scanLoop only
	lastScan         time.Duration  // when the last scan began; used by scanLoop only
	// heldBackUntil holds the queues whose changes are held back, and until when; used by writeLoop
	// only.
	heldBackUntil map[string]time.Duration
	unread        map[string]bool // queues of which not all open jobs have been read
	readTimes     readTimes       // when each queue's open jobs were last read
	admission     *admit.Controller
	reachable     reachableCores
}

// New returns an Owner of a pool whose lease was just claimed. When ctx ends, all its work stops
// and the lease is left to expire.
func New(ctx context.Context, c Config) *Owner {
	now := c.Now()
	previous := newPredecessor(&c, now)
	limits := limit.New(limit.Config{Pool: c.Pool, Fence: c.Fence, First: c.Term == 0, Logs: c.Logs})
	o := &Owner{
		conf: c, claimedAt: now, limits: limits, admission: admit.New(),
		wake: make(chan struct{}, 1), limitWake: make(chan struct{}, 1), writeDone: make(chan struct{}),
		orderSlots: make(map[gauge.Incarnation]chan struct{}), stopSlots: make(map[gauge.Incarnation]chan struct{}),
		orderLag:          lag.New(lag.Config{Window: lagWindow, SlowCall: lagThreshold, MinCalls: lagMinOrders, MinPeers: lagMinWorkers}),
		behindDetector:    lag.NewBehindDetector(lag.BehindConfig{Threshold: behindAfter, ReportInterval: behindLogInterval}),
		heldBackUntil:     make(map[string]time.Duration),
		earlierLeaseUntil: previous.earlierLeaseUntil,
		pool:              sched.New(poolConfig(&c, &previous, limits)),
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	return o
}

// Run reads the pool's jobs and runs the pool until the lease is lost, Stop is called or the
// context given to New ends.
func (o *Owner) Run(site *gauge.Site, workers []gauge.Worker) {
	o.Configure(site)
	o.withLock(func() {
		if o.workerList == nil { // otherwise a newer list arrived after this one was fetched
			o.workerList = workers
		}
	})
	o.spawn(func() {
		// Keeps the group open until the owner has ended, for whatever reason.
		<-o.ctx.Done()
		o.end()
	})
	// The lease is renewed from here on, because reading the jobs may take longer than the lease
	// duration.
	o.spawn(o.writeLoop)
	o.spawn(o.limitLoop)
	if !o.readJobs() {
		o.end()
		o.group.Wait()
		return
	}
	o.mu.Lock()
	workers, version := o.workerList, o.workersVersion
	o.mu.Unlock()
	o.SetWorkers(workers, version)
	o.spawn(o.tickLoop)
	o.spawn(o.scanLoop)
	o.spawn(o.sweepLoop)
	o.group.Wait()
	o.clearBacklog()
}

// LeaseOffer returns the lease row to hand to a successor, and the row's last known version.
func (o *Owner) LeaseOffer() (gauge.LeaseRow, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	row := o.leaseRow(o.pool.LeaseRowWorkers())
	row.Term = o.conf.Term
	now := o.conf.Now()
	if o.pool.HasUnrecordedCrashes() {
		row.UnrecordedOwners++
	}
	row.RemainingLeases, row.DrainedFor = make(map[string]int64), make(map[string]int64)
	for incarnation, left := range o.pool.RemainingLeases(now) {
		row.RemainingLeases[incarnation.String()] = left.Milliseconds() + 1
	}
	for id, left := range o.pool.DrainedWorkers(now) {
		row.DrainedFor[id] = left.Milliseconds() + 1
	}
	return row, o.conf.Lease.Version()
}

// GiveUp writes the lease row without a holder, so that any entry can claim the pool at once. It is
// called after Stop.
func (o *Owner) GiveUp(ctx context.Context) {
	row, _ := o.LeaseOffer()
	if err := o.conf.Lease.GiveUp(ctx, row); err != nil {
		o.conf.Logs.Info("lease not given up", "pool", o.conf.Pool, "error", err.Error())
		return
	}
	o.conf.Logs.Info("lease given up", "pool", o.conf.Pool, "fence", o.conf.Fence)
}

// OnHandoverNeeded sets the function that is called repeatedly while writes have failed for longer
// than after, with the time since the first failure, and while orders lag, with 0. It must be
// called before Run.
func (o *Owner) OnHandoverNeeded(after time.Duration, do func(failing time.Duration)) {
	o.handoverAfter, o.onHandoverNeeded = after, do
}

// LeaseUntil returns when the lease ends unless it is renewed.
func (o *Owner) LeaseUntil() time.Duration { return o.conf.Lease.Until() }

// IsFirst reports whether the pool had no owner before.
func (o *Owner) IsFirst() bool { return o.conf.Term == 0 }

// Pool returns the pool's name.
func (o *Owner) Pool() string { return o.conf.Pool }

// loseLease ends this owner because another entry may own the pool now.
func (o *Owner) loseLease(why string) {
	if !o.end() {
		return
	}
	o.conf.Lease.MarkLost()
	o.conf.CountEvent("lease lost")
	o.conf.Logs.Info("lease lost", "pool", o.conf.Pool, "fence", o.conf.Fence, "reason", why)
}

// end stops all work. It reports false if the owner had ended already.
func (o *Owner) end() bool {
	o.mu.Lock()
	already := o.ended
	o.ended = true
	o.mu.Unlock()
	o.cancel()
	return !already
}

// withLock calls a function with the owner's lock held, and releases the lock if the function
// panics.
func (o *Owner) withLock(do func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do()
}

// Configure applies a configuration unless it is older than the current one: an owner is started
// with the configuration that was in force when its entry claimed the pool, and may have received a
// newer one since.
func (o *Owner) Configure(s *gauge.Site) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.site != nil && s.Version < o.site.Version {
		return
	}
	o.site = s
	o.pool.Configure(s)
	o.limits.Configure(s)
	o.wakeLimits()
}

// SetWorkers applies the platform's list of workers as of a version of the table, with at least all
// workers of the pool. A list that is older than the present one is ignored.
func (o *Owner) SetWorkers(workers []gauge.Worker, version int64) {
	o.withLock(func() {
		if version < o.workersVersion {
			return
		}
		o.workerList, o.workersVersion = workers, version
		if o.loaded && !o.ended { // before that, reports would refer to jobs that aren't known yet
			o.pool.UpdateWorkers(workers)
		}
	})
	o.startHeartbeats()
	o.update(nil)
}

// isServing reports whether the pool is loaded and the lease isn't over. Another owner can have newer
// state only if it has claimed the pool early, as this one didn't answer. The lock is held.
func (o *Owner) isServing() bool { return !o.ended && o.loaded && o.conf.Now() < o.conf.Lease.Until() }

// Adopt adds a job that this or another entry has just accepted. It reports false if this owner
// isn't serving the pool.
func (o *Owner) Adopt(id, queue string, spec *gauge.JobSpec, row *gauge.JobRow, version int64) bool {
	now := o.conf.Now()
	ok := false
	o.withLock(func() {
		if ok = o.isServing(); ok {
			o.pool.Adopt(sched.AcceptedJob{
				ID: id, Queue: queue, Spec: spec, Row: row, Version: version, Arrived: o.arrivalTime(row, now),
			}, now)
			o.admission.MarkAdopted(id)
		}
	})
	if ok {
		o.update(nil)
	}
	return ok
}

// arrivalTime converts the time of acceptance, on the table's clock, to this process's monotonic
// clock.
func (o *Owner) arrivalTime(row *gauge.JobRow, now time.Duration) time.Duration {
	age := time.Duration(o.conf.TableClock()-row.Accepted) * time.Millisecond
	return now - max(0, age)
}

// Cancel records that a job was cancelled in the given version of its row.
func (o *Owner) Cancel(id string, version int64) {
	o.withLock(func() { o.pool.Cancel(id, version) })
	o.update(nil)
}

// DrainWorkers requests that workers are drained: for some seconds from now on they get no starts.
// It returns those on which nothing runs and of which the table has all end reports. With force,
// tasks that don't end by themselves are stopped. It returns none without a valid lease, because
// the next owner may have started tasks there.
func (o *Owner) DrainWorkers(ids []string, force bool) []string {
	var drained []string
	o.update(func(now time.Duration) {
		for _, id := range ids {
			if o.pool.DrainWorker(id, force, now) && o.isServing() && !o.stopping {
				drained = append(drained, id)
			}
		}
	})
	return drained
}

// ServingSince returns when this owner claimed the pool. It reports false if the jobs haven't been
// read yet or the lease may be over.
func (o *Owner) ServingSince() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claimedAt, o.isServing()
}

// JobStatus returns the status of a job. It reports false if the job isn't known here, or if
// another owner may have newer state.
func (o *Owner) JobStatus(queue, id string) (gauge.JobStatus, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isServing() {
		return gauge.JobStatus{}, false
	}
	return o.pool.JobStatus(queue, id)
}

// QueueDepth returns how many jobs of a queue have no task started. It reports false if this owner
// hasn't read the queue lately, or if another owner may have newer state.
func (o *Owner) QueueDepth(queue string) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isServing() || o.unread[queue] || o.readTimes.isOld(queue, o.conf.Now()) {
		return 0, false
	}
	return o.pool.QueueDepths()[queue], true
}

// Load returns the pool's load. It also records which of the workers are to be drained soon.
func (o *Owner) Load(soon []string) gauge.PoolLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.conf.Now()
	o.pool.ExpectDrain(soon, now)
	return o.pool.Load(now)
}
