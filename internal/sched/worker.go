package sched

import (
	"time"

	gauge "sapphiregauge"
)

// phase is how much is known of a run.
type phase string

// The phases of a run.
const (
	phaseSent       phase = "sent"     // the start is sent
	phaseUnanswered phase = "unsure"   // the start got no answer, and may still be carried out
	phaseLive       phase = "live"     // the worker has confirmed the run
	phaseStopping   phase = "stopping" // the worker has confirmed a stop
)

// run is one start of a task that may exist on a worker. It is removed only when it is certainly
// over and can't begin any more: a start before that might run the task twice at once.
type run struct {
	task          *task
	worker        *worker
	number        int
	phase         phase
	resources     gauge.Resources
	orderedAt     time.Duration // when it was ordered, or found
	inherited     bool          // a previous owner started it
	resumed       bool          // it was started from a checkpoint
	rescue        bool          // it was started before timely ones although its job is late
	inFlight      bool          // its start has no answer yet, and counts for the start window
	startDeadline time.Duration // on the worker's clock: the start is refused if it arrives later
	// confirmedAt is the last time, on the worker's clock, that the worker is known to have had the
	// run, or its stop.
	confirmedAt  time.Duration
	priorRunTime time.Duration // how long it had run at least when this owner found it
	reportedAt   time.Duration // when its worker last reported it
	toStop       bool          // it is to end
	unanswered   bool          // its start got no answer
	attempts     startAttempts // to start it
	nextStopAt   time.Duration // no stop is sent before
	stopInFlight bool          // a stop is in flight
	progress     int           // percent of its work done; 100: a long-running task serves
	progressedAt time.Duration // when its progress was last reported to have changed
	listedAt     time.Duration // when its worker first listed it
	pace         int           // percent of full speed that it was last told to work at
	// load is as reported: the tail latency in ms of a task that serves users, else the processor
	// use in thousandths.
	load         int
	paceInFlight bool // a change of pace is in flight
	lastReport   int  // number of the last report that listed it
	// onProbation says that the row has a record of this run, which is dropped once the run has
	// lasted for its probation.
	onProbation      bool
	survivalRecorded bool  // the row has that it has lasted for proof.StartPhase
	isolatedFor      *task // the suspect that it is a run of, while its worker is closed to other jobs
	isCopy           bool  // it was started beside another run, and neither has ended as done yet
	passedOn         bool  // it was ordered from an earlier incarnation, and this one hasn't listed it
	hasTicket        bool  // its start has a ticket, by which no other incarnation carries it out
	lost             bool  // it ended with its worker's incarnation or lease
	lossRevoked      bool  // it was recorded as lost, but its order reached the next incarnation or none
}

// worker is one incarnation of a worker as this owner sees it.
type worker struct {
	info         gauge.Worker
	listed       bool               // it is on the platform's list
	listedHere   bool               // it has been listed in this pool
	knownSince   time.Duration      // when this owner first learnt of it
	inLeaseRow   bool               // the lease row names it: a successor asks it first
	fence        gauge.FencingToken // for this worker, see Pool.fence
	fencePending bool               // earlier calls may still be carried out: its token has to rise
	// staleCallsPossible says that calls for an earlier incarnation may still be carried out and
	// extend its lease.
	staleCallsPossible bool
	// longLeaseUntil is until when its lease may be the longest that it grants, as a call for an earlier
	// incarnation has extended it. Until then the lease row names that one, too.
	longLeaseUntil  time.Duration
	earlier         gauge.Incarnation
	reported        bool // it has answered a call with this owner's fencing token
	startUnanswered bool // a start got no answer, and no report has come since
	inFlight        int  // starts that have no answer yet
	silent          bool // its last heartbeat got no answer
	// backUnproved says that it hasn't answered a call that was sent since a heartbeat got no
	// answer: the next call may reach another incarnation, which would discard its own end reports by
	// the numbers of this one.
	backUnproved  bool
	dead          bool // it is certainly over
	addressReused bool // a worker with another ID has its address

	runs       map[*run]bool
	lateStarts map[*run]bool // runs that are over here, but whose starts the next incarnation may carry out
	used       gauge.Resources
	// of these runs: long-running, best-effort, and both
	longRunning, bestEffort, longRunningBestEffort int

	reportCount int                      // reports processed so far
	orphanCount int                      // runs there that belong to no job known here
	orphans     map[orphanKey]*orphanRun // of these, the runs that are to end

	reportClock time.Duration // worker's clock in the newest report

	clock          time.Duration // worker's clock ...
	clockReadAt    time.Duration // ... as read at this time on the local clock
	leavesAt       time.Duration // it stays at least until then while it is draining
	leaseExpiry    time.Duration // local time until which this owner's grants reach
	answeredAt     time.Duration
	seenAt         time.Duration // when the newest call was made that it has answered with a report
	probedAt       time.Duration // when it was last probed, beside the heartbeats
	drainSoonUntil time.Duration // until then it is expected to be drained soon
	drainSoon      bool          // the same for the current round of starts

	lastEnd              int64         // end reports up to this number are received
	lastStoredEnd        int64         // end reports up to this number are in the table
	heldEnds             []heldEnd     // received end reports that aren't acknowledged yet, in order
	unstoredEnds         []unstoredEnd // received end reports that wait for a job's row, in order
	endsPending          bool          // some end reports aren't received, or there may be more than it listed
	endAge               ageTracker    // of end reports, for Pool.Backlog
	drainUntil           time.Duration // it gets no starts before, as it is drained for maintenance or a move
	releasedUntil        time.Duration // until then its machine may be taken away, see lateOrderSpan
	unlistedAt           time.Duration // since when it is no longer listed
	longRunningOnlyUntil time.Duration // until then only long-running tasks start here
	forceDrain           bool          // runs that don't end by themselves are to be stopped as well
	backoffUntil         time.Duration // no starts before, as it fails or refuses them
	silentSince          time.Duration // since when its heartbeats get no answer, while it is silent
	atRiskRecorded       bool          // its runs are recorded as suspect, since it doesn't answer
	lostRuns             []lostRun     // runs that ended with its lease: it may have crashed or be cut off
	isolated             map[*task]int // suspects that run here in isolation: number of runs
	reservations         map[*task]int // suspects with a reservation here: number of tasks
	asideUntil           time.Duration // until then it is set aside for a suspect
	failures             int           // consecutive failures, of different jobs
	lastFailedJob        string        // job of the last failure
	speed                workerSpeed   // how starts treat it because of its speed
}

// minClockRate is the slowest that a worker's clock may run compared with the local one: it shows
// at least 98 % of the time that passes here, as the users specify.
const minClockRate = 0.98

// minClockAt is the least that the worker's clock may show now.
func (w *worker) minClockAt(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockReadAt)*minClockRate)
}

// grant returns a deadline on the worker's clock that has certainly passed once span has elapsed on
// the local clock, and extends leaseExpiry to that time. It returns 0 as long as the worker's clock
// isn't known.
func (w *worker) grant(now, span time.Duration) time.Duration {
	if w.clock == 0 || span <= 0 {
		return 0
	}
	w.leaseExpiry = max(w.leaseExpiry, now+span)
	return w.minClockAt(now) + time.Duration(float64(span)*minClockRate)
}

// readClock records a reading of the worker's clock.
func (w *worker) readClock(clock, now time.Duration) {
	if clock > 0 && clock >= w.clock {
		w.clock, w.clockReadAt = clock, now
	}
}

func (w *worker) addRun(r *run, now time.Duration) {
	w.runs[r] = true
	r.task.job.index.countUse(r, 1)
	r.task.job.index.fair.countRun(r, 1, now)
	w.used = w.used.Plus(r.resources)
	w.countRun(r, 1)
}

func (w *worker) removeRun(r *run, now time.Duration) {
	if w.runs[r] {
		delete(w.runs, r)
		r.task.job.index.countUse(r, -1)
		r.task.job.index.fair.countRun(r, -1, now)
		w.used = w.used.Minus(r.resources)
		w.countRun(r, -1)
		w.speed.removeRun(r)
		if r.rescue {
			r.task.job.index.rescuedMilliCPU -= r.resources.MilliCPU
			r.rescue = false
		}
	}
}

// countRun adds n to the counts by kind of run.
func (w *worker) countRun(r *run, n int) {
	spec := r.task.stage.spec
	if spec.LongRunning {
		w.longRunning += n
	}
	if spec.BestEffort {
		w.bestEffort += n
	}
	if spec.LongRunning && spec.BestEffort {
		w.longRunningBestEffort += n
	}
}

func (w *worker) free() gauge.Resources { return w.info.Capacity.Minus(w.used) }

// longRunningUsed returns the capacity that its long-running tasks use.
func (w *worker) longRunningUsed() gauge.Resources {
	var sum gauge.Resources
	for r := range w.runs {
		if r.task.stage.spec.LongRunning {
			sum = sum.Plus(r.resources)
		}
	}
	return sum
}

// findRun returns the run of a task with the given number, nil if there is none here.
func (w *worker) findRun(t *task, number int) *run {
	for _, r := range t.runs {
		if r.worker == w && r.number == number {
			return r
		}
	}
	return nil
}

// mayBeOmitted reports whether the lease row may leave the worker out: nothing runs there, it gets
// no starts, and the table has all its end reports. A dead incarnation is left out even without
// them, as it can't be asked any more.
func (w *worker) mayBeOmitted() bool {
	if !w.reported || len(w.runs) > 0 || len(w.lateStarts) > 0 && !w.dead || w.orphanCount > 0 {
		return false
	}
	return w.dead || w.isSettled() && (w.silent || !w.listed || w.info.Draining)
}

// waitsForLeaseRow reports whether a worker could be used as soon as the lease row names it.
func (w *worker) waitsForLeaseRow() bool {
	return !w.inLeaseRow && w.listed && w.reported && !w.silent && !w.dead && !w.info.Draining
}

// takesStarts reports whether new runs may start here.
func (w *worker) takesStarts(now time.Duration) bool {
	return w.listed && w.inLeaseRow && w.reported && !w.startUnanswered && !w.silent && !w.dead && !w.info.Draining &&
		now >= w.drainUntil && w.orphanCount == 0 && w.clock > 0 && now >= max(w.backoffUntil, w.speed.stalledUntil)
}
