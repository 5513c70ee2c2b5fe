// Package owner runs one pool at the entry that holds its lease: it keeps a hold
// at every worker, sends the orders that sched decides on, and writes what has
// come of them to the table, each write on condition that the lease is still
// this entry's.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/lag"
	"sapphiregauge/internal/sched"
	"sapphiregauge/internal/tenure"
)

// Config sets up an Owner.
type Config struct {
	Pool    string
	Lease   *tenure.Tenure
	Term    int // owners before this one
	Fence   gauge.Fence
	Earlier []string       // lives of workers of the owner before
	Before  gauge.LeaseRow // as it was taken: its counts are told until this owner has its own

	Early time.Duration // how much of the lease before may not be over: its holder may go on for so long
	Grace time.Duration // how long orders and holds may reach beyond the lease's end
	Keep  time.Duration // how long an ended job's state is told
	Hold  time.Duration // how far a hold extends a worker's lease
	// Longest is the longest lease that a worker grants.
	Longest time.Duration

	Store   gauge.Parted
	Workers gauge.Workers
	Adviser gauge.Adviser // nil: there is no advice service
	Logs    logr.Logger
	Now     func() time.Duration
	Wall    func() time.Time
	Stamp   func(s gauge.Stamp, sent time.Duration) // told of every reading of the table's clock
	Clock   func() int64                            // the table's clock in milliseconds, about
	Count   func(event string, took time.Duration)
	Event   func(event string) // counts what an operator should see
	// Backlog is told what waits here, several times a second, and nil when this owner
	// has ended; nil: nobody is told.
	Backlog func(pool string, b *gauge.Backlog)
	Without gauge.Without // what is switched off
}

// Owner runs one pool.
type Owner struct {
	conf       Config
	group      conc.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
	wake       chan struct{} // a change waits to be written
	stuck      func(failing time.Duration)
	stuckAfter time.Duration
	began      time.Duration
	queued     atomic.Int64  // orders that wait for their turn at a worker
	belief     *lag.Belief   // whether this owner is behind; of tickLoop alone
	sighted    time.Duration // when what waits was last looked at; of tickLoop alone

	mu        sync.Mutex
	core      *sched.Pool
	written   chan struct{} // closed at each write, then made anew
	away      bool          // the table didn't answer the last write
	writing   time.Duration // when the write under way was sent; 0: none is
	took      time.Duration // what the last write took
	ended     bool          // the lease was lost or given up
	stopping  bool          // it is being handed over: nothing new begins
	planned   time.Duration // when the last plan was made
	planning  bool          // one is due at the end of the gap
	lanes     map[gauge.Life]chan struct{}
	stopLanes map[gauge.Life]chan struct{}
	lag       *lag.Meter // of orders
	leaving   bool       // a successor is looked for
	loaded    bool
	site      *gauge.Site
	listed    []gauge.Worker           // newest list
	scans     int                      // of scanLoop alone
	scanned   time.Duration            // when the last scan was begun; of scanLoop alone
	avoids    map[string]time.Duration // queues whose changes wait, until when; of writeLoop alone
	missing   map[string]bool          // queues that were not read whole yet
	sights    sights                   // as of when the queues' jobs are known
}

const (
	// startSpan is how late a start may arrive and still be carried out. The
	// shorter, the sooner an unanswered start is settled; a worker answers within
	// some milliseconds.
	startSpan = time.Second
	// holdWait is how long a worker may keep a hold without news. Each extends
	// the lease, so it is well below the hold's span.
	holdWait = time.Second
	// tickEvery is how often time alone is looked at.
	tickEvery = 100 * time.Millisecond
	// lagWindow, lagCalls and lagPeers: when more than half of ten orders or more
	// within a second, to three workers or more, take longer than lagSlow, this
	// process lacks processor time or its way to the workers is bad. Orders take
	// some milliseconds; a quota that is used up delays one by a tenth of a second.
	lagWindow = time.Second
	lagSlow   = 150 * time.Millisecond
	lagCalls  = 10
	lagPeers  = 3
	// planGap is the least time between two plans. Under load several ends go
	// into one plan: each plan looks at every job that waits.
	planGap = 4 * time.Millisecond
	// startWindow bounds the starts without an answer. An answer takes some 5 ms, so
	// that it allows 10,000 starts a second; at 10 Mbit/s and 2.6 KB a start those of
	// the window take a tenth of a second, a third of what an answer is waited for.
	startWindow = 48
	// ordersAtOnce to one worker; an order takes some milliseconds.
	ordersAtOnce = 3
	// stopsAtOnce to one worker, beside these. Together they fill the connections that
	// rest for a worker.
	stopsAtOnce = 1
	// renewEvery is how often the lease is renewed without other writes: four
	// tries within its term.
	renewEvery = 400 * time.Millisecond
	// writeGap is the shortest time between two writes; ends that come in
	// between go together. A write takes some 10 ms, and each is paid for.
	writeGap = 30 * time.Millisecond
	// writeAgain is the pause after a write that failed.
	writeAgain = 150 * time.Millisecond
	// scanEvery is how often jobs are looked for of which no message came.
	scanEvery = 1500 * time.Millisecond
	// scansOfAll: so many scans make one of all queues.
	scansOfAll = 4
	// doubtMargin covers the difference between two entries' steady clocks.
	doubtMargin = 200 * time.Millisecond
	// holdAgain is the pause after a hold that failed.
	holdAgain = 200 * time.Millisecond
	// adviseAgain is the pause after a question to the advice service that failed.
	adviseAgain = 200 * time.Millisecond
	// ackWait bounds how long a hold waits for the ends before to be written.
	ackWait = 400 * time.Millisecond
	// batchEntries of a transaction are for changes of jobs: it holds 100 at most, by
	// the users' figure, and the lease takes three, its check and its two writes.
	batchEntries = 100 - 3
)

// New makes an Owner of a pool whose lease was just taken. With ctx all its work
// ends, and the lease is left to run out.
func New(ctx context.Context, c Config) *Owner {
	now := c.Now()
	o := &Owner{
		conf: c, began: now,
		wake: make(chan struct{}, 1), lanes: make(map[gauge.Life]chan struct{}), stopLanes: make(map[gauge.Life]chan struct{}),
		lag: lag.New(lag.Config{Window: lagWindow, Slow: lagSlow, Calls: lagCalls, Peers: lagPeers}), avoids: make(map[string]time.Duration), written: make(chan struct{}),
		belief: lag.NewBelief(lag.BeliefConfig{Behind: behindAfter, Again: behindAgain}),
		core: sched.New(sched.Config{
			Name: c.Pool, Fence: c.Fence, Term: c.Term, Hold: c.Hold, Start: startSpan, Wait: holdWait, Window: startWindow, Lane: ordersAtOnce,
			Without: c.Without, Logs: c.Logs, Count: c.Event, Longest: c.Longest,
			Earlier: parseLives(c.Earlier), Doubt: now + c.Early + c.Grace + doubtMargin, Over: over(&c.Before, now),
			Emptied: emptied(&c.Before, now), Unnoted: c.Before.Unnoted,
		}),
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	return o
}

// over is when nothing runs any more on workers that didn't answer the owner before, as
// it told when it gave the lease away. A row that it wrote while it went on says nothing
// of what it granted since.
func over(before *gauge.LeaseRow, now time.Duration) map[gauge.Life]time.Duration {
	if before.Holder != "" {
		return nil
	}
	until := make(map[gauge.Life]time.Duration, len(before.Left))
	for name, left := range before.Left {
		until[gauge.ParseLife(name)] = now + time.Duration(left)*time.Millisecond + doubtMargin
	}
	return until
}

// emptied is until when workers get no starts that the owner before said to be empty, as it told
// when it gave the lease away.
func emptied(before *gauge.LeaseRow, now time.Duration) map[string]time.Duration {
	if before.Holder != "" {
		return nil
	}
	until := make(map[string]time.Duration, len(before.Emptied))
	for id, left := range before.Emptied {
		until[id] = now + time.Duration(left)*time.Millisecond
	}
	return until
}

// Run works until the lease is lost or Close is called.
func (o *Owner) Run(site *gauge.Site, workers []gauge.Worker) {
	o.Configure(site)
	o.locked(func() {
		if o.listed == nil { // else it was told of a newer list since these workers were listed
			o.listed = workers
		}
	})
	o.run(func() {
		// The group isn't over before the owner has ended for whatever reason.
		<-o.ctx.Done()
		o.end()
	})
	// The lease is renewed from now on: reading the jobs may take longer than its term.
	o.run(o.writeLoop)
	if !o.load() {
		o.end()
		o.group.Wait()
		return
	}
	o.mu.Lock()
	workers = o.listed
	o.mu.Unlock()
	o.List(workers)
	o.run(o.tickLoop)
	o.run(o.scanLoop)
	o.run(o.sweepLoop)
	o.group.Wait()
	o.blind()
}

// Offer is the lease's row for a successor, and its version as last known.
func (o *Owner) Offer() (gauge.LeaseRow, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	row := o.leaseRow(o.core.Name())
	row.Term = o.conf.Term
	now := o.conf.Now()
	if o.core.Unnoted() {
		row.Unnoted++
	}
	row.Left, row.Emptied = make(map[string]int64), make(map[string]int64)
	for l, left := range o.core.Left(now) {
		row.Left[l.String()] = left.Milliseconds() + 1
	}
	for id, left := range o.core.Emptied(now) {
		row.Emptied[id] = left.Milliseconds() + 1
	}
	return row, o.conf.Lease.Version()
}

// GiveUp lets any entry take the pool at once. It follows Stop.
func (o *Owner) GiveUp(ctx context.Context) {
	row, _ := o.Offer()
	if err := o.conf.Lease.GiveUp(ctx, row); err != nil {
		o.conf.Logs.Info("lease not given up", "pool", o.conf.Pool, "error", err.Error())
		return
	}
	o.conf.Logs.Info("lease given up", "pool", o.conf.Pool, "fence", o.conf.Fence)
}

// OnStuck has something done, again and again, while writes have failed for some
// time, which it is told, or while orders lag: then that time is 0. It is set
// before Run.
func (o *Owner) OnStuck(after time.Duration, do func(failing time.Duration)) {
	o.stuckAfter, o.stuck = after, do
}

// Pool is the pool's name.
func (o *Owner) Pool() string { return o.conf.Pool }

// lose takes in that another entry owns the pool now.
func (o *Owner) lose(why string) {
	if !o.end() {
		return
	}
	o.conf.Lease.Lose()
	o.conf.Event("lease lost")
	o.conf.Logs.Info("lease lost", "pool", o.conf.Pool, "fence", o.conf.Fence, "reason", why)
}

// end stops all work; false: it had ended already.
func (o *Owner) end() bool {
	o.mu.Lock()
	already := o.ended
	o.ended = true
	o.mu.Unlock()
	o.cancel()
	return !already
}

// locked does something under the owner's lock, which a panic doesn't keep.
func (o *Owner) locked(do func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do()
}

// Configure takes in a configuration, never an older one: an owner is begun with the one
// that was in force when its entry took the pool, and may have been told of a newer one
// since.
func (o *Owner) Configure(s *gauge.Site) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.site != nil && s.Version < o.site.Version {
		return
	}
	o.site = s
	o.core.Configure(s)
}

// List takes in the platform's list of workers.
func (o *Owner) List(workers []gauge.Worker) {
	o.locked(func() {
		o.listed = workers
		if o.loaded && !o.ended { // else a report would be of jobs that aren't known yet
			o.core.Workers(workers)
		}
	})
	o.holdFresh()
	o.act(nil)
}

// mayAdopt tells whether a job that was accepted now surely isn't another
// owner's: the lease lasts.
func (o *Owner) mayAdopt() bool { return !o.ended && o.loaded && o.conf.Now() < o.conf.Lease.Until() }

// Adopt takes in a job that another entry, or this one, has just accepted.
func (o *Owner) Adopt(id, queue string, spec *gauge.JobSpec, row *gauge.JobRow, version int64) bool {
	now := o.conf.Now()
	ok := false
	o.locked(func() {
		if ok = o.mayAdopt(); ok {
			o.core.Adopt(sched.Accepted{
				ID: id, Queue: queue, Spec: spec, Row: row, Version: version, Arrived: o.arrival(row, now),
			}, now)
		}
	})
	if ok {
		o.act(nil)
	}
	return ok
}

// arrival turns the time of acceptance on the table's clock into ours.
func (o *Owner) arrival(row *gauge.JobRow, now time.Duration) time.Duration {
	age := time.Duration(o.conf.Clock()-row.Accepted) * time.Millisecond
	return now - max(0, age)
}

// Cancel takes in that a job was cancelled.
func (o *Owner) Cancel(id string, version int64) {
	o.locked(func() { o.core.Cancel(id, version) })
	o.act(nil)
}

// Empty has a worker emptied, for some seconds from now on, and tells whether
// nothing runs there. Force: what doesn't end by itself is ended. Without a lease that
// lasts nobody can tell: the next owner may have started tasks there.
func (o *Owner) Empty(worker string, force bool) bool {
	empty := false
	o.act(func(now time.Duration) { empty = o.core.Empty(worker, force, now) && o.mayAdopt() && !o.stopping })
	return empty
}

// Since is when this owner took the pool; false: it hasn't read the jobs yet, or may
// not have the lease any more.
func (o *Owner) Since() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.began, o.mayAdopt()
}

// State tells how far a job of a queue is; false: it isn't known here, or another
// owner may know better.
func (o *Owner) State(queue, id string) (gauge.JobState, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mayAdopt() {
		return "", false
	}
	return o.core.State(queue, id)
}

// Depth is how many jobs of a queue have no task started; false: this owner doesn't
// know, as it has not read the queue lately, or another owner may know better.
func (o *Owner) Depth(queue string) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mayAdopt() || o.missing[queue] || o.sights.old(queue, o.conf.Now()) {
		return 0, false
	}
	return o.core.Depths()[queue], true
}

// Load tells what the pool has to do, and takes in which of its workers are to be
// emptied before long.
func (o *Owner) Load(soon []string) gauge.PoolLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.conf.Now()
	o.core.Soon(soon, now)
	return o.core.Load(now)
}
