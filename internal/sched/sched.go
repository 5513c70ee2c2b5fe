// Package sched decides for one pool which task starts on which worker, and which runs are stopped.
// It is a state machine without I/O: events go in with their times, and orders come out. It
// guarantees that a task never has more than one run at once, or two if its step is speculative, that
// a worker's capacity is never exceeded, that no task starts before the steps it depends on are done,
// and that no worker is made to forget an end report before the table has it.
//
// All times are readings of one monotonic clock that also counts while the machine is suspended.
package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
	"sapphiregauge/internal/share"
	"sapphiregauge/internal/spans"
	"sapphiregauge/internal/speed"
)

// Config sets up a Pool.
type Config struct {
	Name           string
	Fence          gauge.FencingToken // this owner's fencing token
	Term           int                // number of previous owners
	LeaseExtension time.Duration      // how far a heartbeat extends a worker's lease
	StartTimeout   time.Duration      // a start that arrives later than this is refused
	HeartbeatWait  time.Duration      // how long a worker may delay its answer to a heartbeat
	// StartWindow bounds the starts without an answer; 0: no bound.
	StartWindow       int
	WorkerStartWindow int // the same for each worker; gangs are exempt
	Logs              logr.Logger
	// Disabled names the mechanisms that are switched off.
	Disabled   gauge.Disabled
	CountEvent func(event string) // counts events for operators; nil: they aren't counted

	// PreviousWorkers are the workers to which the previous owner may have given orders.
	PreviousWorkers []gauge.Incarnation
	// PreviousRunsEnd is when everything that the previous owner ordered has certainly ended.
	PreviousRunsEnd time.Duration
	// PreviousOrdersEnd is until when the previous owner may have sent orders.
	PreviousOrdersEnd time.Duration
	// PreviousLeaseEnd is when the previous owner's lease has certainly run out: until then it may
	// adopt jobs that are accepted. It is 0 if that owner has ended.
	PreviousLeaseEnd time.Duration
	// WorkerRunsEnd is that time for each worker that didn't answer the previous owner. Without it
	// each owner would wait a full lease duration again for the same silent workers.
	WorkerRunsEnd map[gauge.Incarnation]time.Duration
	// UnrecordedOwners is how many recent owners may have lost workers whose crashes aren't in the
	// table.
	UnrecordedOwners int
	// DrainedUntil are the workers, by id, that the previous owner was draining, and until when.
	DrainedUntil map[string]time.Duration
	// MaxWorkerLease is the longest lease that a worker grants. A worker that has restarted may
	// hold a lease that was meant for its previous incarnation, measured by another clock.
	MaxWorkerLease time.Duration
	MaxRowBytes    int // size limit of a job's row; 0: none
	// Limits are this pool's parts of the client accounts' limits; nil: there are no limits.
	Limits *limit.Parts
}

// Pool is the owner's state of one pool. It is not safe for concurrent use.
type Pool struct {
	conf            Config
	site            *gauge.Site
	rates           *share.Rates
	spans           *spans.Times  // learned run times, by queue
	triages         bool          // jobs are classified by learned run times
	rescueRoom      int           // thousandths of a core that late jobs may still take before timely ones
	leaseEnd        time.Duration // when this owner's lease ends unless it is renewed
	grantLimit      time.Duration // no grant reaches beyond this
	leaseHeldAt     time.Duration // this owner is known to have held its lease then
	renewalNeeded   bool          // tasks wait until the lease has been renewed
	jobs            map[string]*job
	endedJobs       map[string]endedJob          // jobs that have ended here
	workers         map[string]*worker           // by id: there is one incarnation at a time
	unreported      map[string]gauge.Incarnation // workers of the previous owner that haven't reported yet
	staleLeases     map[string]staleLease        // by worker, see expectStaleLease
	newIncarnations []gauge.Worker               // incarnations without heartbeats yet
	// leaseRowVersion is the version of the newest write of the lease row, and the next fencing
	// token that a worker can get; see fence.
	leaseRowVersion gauge.FencingToken
	// barriers are the open report barriers; newestBarrier is the latest of them.
	barriers      []*reportBarrier
	newestBarrier *reportBarrier
	jobsMissing   bool // jobs may be missing: some could not be read yet
	orders        []Order
	toStop        map[*run]bool // runs that are to end
	toRepeat      map[*run]bool // runs whose start is to be sent once more
	orphans       map[*orphanRun]bool
	suspects      map[*task]bool // tasks that may crash their workers
	losses        []*loss        // workers lost recently
	// replacedUnreported are incarnations that ended before they reported to this owner, and not
	// among the losses yet.
	replacedUnreported []gauge.Incarnation
	// suspectWorkers are the workers for which previous owners recorded a suspect run whose outcome
	// they didn't know.
	suspectWorkers map[gauge.Incarnation]bool
	// unsettled are the runs whose records a report of their worker may take back.
	unsettled    map[gauge.Incarnation][]unsettledRun
	earlyCancels map[string]earlyCancel // cancellations of unknown jobs
	lastTick     time.Duration          // time of the last tick
	resumedAt    time.Duration          // time of the last tick that followed a pause of this process
	adoptedWork  float64                // core-seconds of all jobs adopted so far
	meanCapacity gauge.Resources        // mean of the listed workers; zero: none was listed yet
	adoptedJobs  int                    // number of jobs adopted so far
	// inheritedTasksWait says that inherited tasks have to wait for reports, as of the last round
	// of starts.
	inheritedTasksWait bool
	inFlight           int // starts that have no answer yet
	index              poolIndex
	speeds             *speed.Tracker
	queueProgress      map[string]*queueProgress // of speculative runs, by queue
	lastSweep          time.Duration             // when ended jobs were last forgotten
	copiesCheckedAt    time.Duration             // when stragglers were last searched for

	lostUnreported bool          // workers were lost before they reported to this owner
	unheardLostAt  time.Duration // when a worker was last lost that hadn't reported all that it ran; 0: none was

	sortedWorkers []*worker      // workers by id; nil: to be sorted again
	roundBuf      []*worker      // reused by the next plan for its workers ...
	roomBuf       [2]frontier    // ... for what is free on them ...
	queue         candidateQueue // ... and for its candidates
}

// New returns a Pool without jobs and workers.
func New(c Config) *Pool {
	if c.CountEvent == nil {
		c.CountEvent = func(string) {}
	}
	p := &Pool{
		conf: c, jobs: make(map[string]*job), endedJobs: make(map[string]endedJob), toStop: make(map[*run]bool), toRepeat: make(map[*run]bool), workers: make(map[string]*worker),
		unreported: make(map[string]gauge.Incarnation), staleLeases: make(map[string]staleLease), site: &gauge.Site{}, rates: share.New(), spans: spans.New(spans.Config{}), index: newPoolIndex(), orphans: make(map[*orphanRun]bool), earlyCancels: make(map[string]earlyCancel),
		suspects: make(map[*task]bool), suspectWorkers: make(map[gauge.Incarnation]bool),
		unsettled: make(map[gauge.Incarnation][]unsettledRun),
	}
	p.queueProgress = make(map[string]*queueProgress)
	p.speeds = speed.New(speed.Config{MayBackOff: p.mayBackOff})
	for _, incarnation := range c.PreviousWorkers {
		p.awaitReport(incarnation)
	}
	return p
}

// Configure sets the site configuration.
func (p *Pool) Configure(s *gauge.Site) {
	p.site = s
	p.configureFairness(s)
	p.triages = s.SharesCapacity() && !p.conf.Disabled.Has(gauge.MechanismTriage)
}

// SetLease sets when this owner's lease ends unless it is renewed, and the time beyond which no grant
// may reach. From the end of the lease on a successor may act. The second time is later, so that runs
// survive a table outage: until then a successor waits for the workers that it doesn't reach.
func (p *Pool) SetLease(end, grantLimit time.Duration) { p.leaseEnd, p.grantLimit = end, grantLimit }

// NextHeartbeat returns the next heartbeat for an incarnation of a worker; false if it is dead.
func (p *Pool) NextHeartbeat(incarnation gauge.Incarnation, now time.Duration) (gauge.Worker, gauge.Heartbeat, bool) {
	w := p.current(incarnation)
	if w == nil || w.dead {
		return gauge.Worker{}, gauge.Heartbeat{}, false
	}
	c := gauge.Heartbeat{Fence: p.fence(w), SentAt: now}
	if !w.silent && w.reported {
		// A worker that doesn't answer may have restarted. It would discard its own end reports by
		// the numbers of its previous incarnation.
		c.LastSeenEnd = p.lastAcknowledgeable(w, now)
		// A worker that doesn't answer gets no extension: its runs have to expire some time, so
		// that their tasks can start elsewhere.
		c.Until = w.grant(now, min(p.conf.LeaseExtension, p.grantLimit-now))
		c.Wait = p.conf.HeartbeatWait
	}
	return w.info, c, true
}

// HeartbeatFailed records that a heartbeat to an incarnation of a worker got no answer.
func (p *Pool) HeartbeatFailed(incarnation gauge.Incarnation, err error, now time.Duration) {
	w := p.current(incarnation)
	if w == nil {
		return
	}
	if gauge.IsKind(err, gauge.KindReplaced) {
		p.retireAddress(w, now)
		return
	}
	if !w.silent {
		p.conf.Logs.Info("worker silent", "pool", p.conf.Name, "worker", incarnation.Worker, "born", incarnation.StartedAt, "runs", len(w.runs),
			"expires", w.leaseExpiry-now, "error", err.Error())
		w.silentSince = now
	} else {
		p.recordAtRisk(w) // from the second failure on: often only the answer was lost
	}
	w.silent, w.backUnproved = true, true
	p.raiseFence(w)
	for r := range w.runs {
		p.removeInFlight(r)
	}
}

// IsSilent reports whether the last heartbeat to an incarnation got no answer, or the incarnation
// is dead.
func (p *Pool) IsSilent(incarnation gauge.Incarnation) bool {
	w := p.current(incarnation)
	return w == nil || w.silent
}

// retireWorker marks an incarnation dead after another one has answered at its address or appeared
// in another pool, and no longer waits for its report: none of its runs can exist any more.
func (p *Pool) retireWorker(w *worker, reason string, now time.Duration) {
	if w.dead {
		return
	}
	p.markDead(w, reason, now)
	p.markReported(w.info.ID)
}

// retireAddress marks an incarnation dead after one with another ID has answered at its address.
// That one refuses whatever is still on its way to the worker.
func (p *Pool) retireAddress(w *worker, now time.Duration) {
	w.addressReused = true
	p.expireLateStarts(w, now)
	p.retireWorker(w, "another incarnation answers at its address", now)
}

// markDead ends an incarnation of a worker, and its runs with it.
func (p *Pool) markDead(w *worker, reason string, now time.Duration) {
	if w.dead {
		return
	}
	w.dead = true
	p.conf.Logs.Info("worker over", "pool", p.conf.Name, "worker", w.info.ID, "born", w.info.StartedAt, "runs", len(w.runs), "reason", reason)
	lost := len(w.runs)
	for r := range w.runs {
		p.lose(r, reason, lost-1, now)
	}
	if !w.reported || w.endsPending {
		p.unheardLostAt = now
	}
	p.recordLoss(w, now)
	p.forgetOrphans(w)
}

// endRun removes a run that is over and can't begin any more.
func (p *Pool) endRun(r *run, now time.Duration) {
	r.worker.removeRun(r, now)
	p.removeInFlight(r)
	p.endIsolation(r)
	if !r.lost {
		p.dropUnconfirmed(r.task, r.number) // the run has ended before its worker
	}
	delete(p.toStop, r)
	delete(p.toRepeat, r)
	r.task.detach(r)
	p.keepLateStart(r, now)
	p.endCopy(r)
	r.task.job.forgetOccurrence(r.task.stage.occ)
	r.task.readyAt = now
	if len(r.task.runs) == 0 {
		r.task.noRunSince = now
	}
}

// Tick handles the passing of time: leases that expire and occurrences that become due.
func (p *Pool) Tick(now time.Duration, wall time.Time) {
	if p.lastTick > 0 && now-p.lastTick > pauseThreshold {
		p.resumedAt = now
	}
	p.lastTick = now
	p.forgetCancels(now)
	for id, w := range p.workers {
		if w.silent && p.leaseHeldAt > max(w.leaseExpiry, p.conf.PreviousRunsEnd) {
			p.forgetOrphans(w) // whoever ordered them, their leases have expired
		}
		if now > w.leaseExpiry && (w.silent || !w.listed) {
			p.expireRuns(w, now)
		}
		p.expireLateStarts(w, now)
		if len(w.lostRuns) > 0 && w.isGone(now) {
			p.recordLoss(w, now)
		}
		if !w.listed && p.leaseHeldAt > w.leaseExpiry && len(w.runs)+len(w.lateStarts)+len(w.lostRuns) == 0 && (w.dead || w.silent && w.lastStoredEnd == w.lastEnd) {
			p.forgetOrphans(w)
			p.rememberIdleLoss(w)
			delete(p.workers, id)
			p.speeds.Forget(id)
			p.sortedWorkers = nil
		}
	}
	p.index.createDue(wall, now)
	p.expireAwaited(now)
	p.attributeLosses(now)
	p.forgetEndedJobs(now)
	p.updateOverload(now)
}

// minSweepInterval is the pause between two searches for ended jobs to forget: a large pool ends
// some ten thousand in a minute.
const minSweepInterval = time.Second

// forgetEndedJobs drops what is remembered of jobs that ended long ago.
func (p *Pool) forgetEndedJobs(now time.Duration) {
	if now < p.lastSweep+minSweepInterval {
		return
	}
	p.lastSweep = now
	for id, j := range p.endedJobs {
		if now > j.endedAt+endedRetention {
			delete(p.endedJobs, id)
		}
	}
}

// workersByID returns the workers in a fixed order.
func (p *Pool) workersByID() []*worker {
	if p.sortedWorkers == nil {
		p.sortedWorkers = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return p.sortedWorkers
}

// awaitsReports reports whether some workers haven't reported everything that previous owners
// started there: the previous owner may have started a task on a worker that hasn't answered yet,
// or that has more end reports to deliver.
func (p *Pool) awaitsReports(now time.Duration) bool {
	if len(p.unreported) > 0 || p.unheardLostAt > 0 && !p.renewedSince(p.unheardLostAt) {
		return true
	}
	for _, w := range p.workers {
		if w.endsPending && !w.dead && (!w.silent || !p.hasExpired(w.leaseExpiry, now)) {
			return true
		}
	}
	return false
}
