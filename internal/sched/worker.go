package sched

import (
	"time"

	gauge "sapphiregauge"
)

// phase is how much is known of a run.
type phase string

// The phases of a run.
const (
	phaseSent     phase = "sent"     // the start is sent
	phaseUnsure   phase = "unsure"   // the start got no answer, and may still be carried out
	phaseLive     phase = "live"     // the worker has confirmed the run
	phaseStopping phase = "stopping" // the worker has confirmed a stop
)

// run is one start of a task that may exist on a worker. It is removed only when it is certainly
// over and can't begin any more: a start before that might run the task twice at once.
type run struct {
	task     *task
	worker   *worker
	number   int
	phase    phase
	room     gauge.Resources
	sent     time.Duration // when it was ordered, or found
	found    bool          // a previous owner started it
	flying   bool          // its start has no answer yet, and counts for the start window
	until    time.Duration // on the worker's clock: the start is refused if it arrives later
	known    time.Duration // on the worker's clock: last time that the worker is known to have had the run, or its stop
	credit   time.Duration // how long it had lived at least when this owner found it
	toldAt   time.Duration // when its worker last reported it
	stop     bool          // it is to end
	unsure   bool          // its start got no answer
	again    time.Duration // no stop is sent before
	asked    bool          // a stop is in flight
	progress int           // percent of its work done; 100: a long-running task serves
	paced    int           // percent of full speed that it was last told to work at
	load     int           // as reported: tail in ms of a task that serves users, else processor use in thousandths
	pacing   bool          // a change of pace is in flight
	listed   int           // number of the last report that listed it
	tried    bool          // it is a run of a suspect, and still on probation
	outlived bool          // the row has that it has lived for proof.Soon
	trial    *task         // the suspect that it is a run of, while its worker is closed to other jobs
	lost     bool          // it ended with its worker's incarnation or lease
	spared   bool          // it was taken for lost, and wasn't
}

// worker is one incarnation of a worker as this owner sees it.
type worker struct {
	info     gauge.Worker
	listed   bool          // it is on the platform's list
	known    bool          // it has been listed in this pool
	since    time.Duration // when this owner first learnt of it
	noted    bool          // the lease row names it: a successor asks it first
	fence    gauge.Fence   // for this worker, see Pool.fence
	unfenced bool          // earlier calls may still be carried out: its token has to rise
	follows  bool          // its worker had orders in an earlier incarnation
	heard    bool          // it has answered a call with this owner's fencing token
	mute     bool          // a start got no answer, and no report has come since
	flying   int           // starts that have no answer yet
	silent   bool          // its last heartbeat got no answer
	gone     bool          // it is certainly over

	runs map[*run]bool
	used gauge.Resources
	// of these runs: long-running, best-effort, and both
	lasting, fills, lastingFills int

	reports int                // reports processed so far
	odd     int                // runs there that belong to no job known here
	odds    map[oddKey]*oddRun // of these, the runs that are to end

	pictured time.Duration // worker's clock in the newest report

	clock     time.Duration // worker's clock ...
	readAt    time.Duration // ... as read at this time on the local clock
	leaves    time.Duration // it stays at least until then while it is draining
	expiry    time.Duration // local time until which this owner's grants reach
	heardAt   time.Duration
	lookedAt  time.Duration // when it was last polled, beside the heartbeats
	soonUntil time.Duration // until then it is expected to be drained soon
	soon      bool          // the same for the current round of starts

	ends       int64         // end reports up to this number are received
	kept       int64         // end reports up to this number are in the table
	unkept     []unkept      // received end reports that wait for a job's row, in order
	held       bool          // some end reports aren't received, or there may be more than it listed
	mark       mark          // of end reports, for Backlog
	emptyUntil time.Duration // it gets no starts before, as it is drained for maintenance or a move
	keptUntil  time.Duration // until then only long-running tasks start here
	force      bool          // runs that don't end by themselves are to be stopped as well
	rest       time.Duration // no starts before, as it fails or refuses them
	silentAt   time.Duration // since when its heartbeats get no answer, while it is silent
	watched    bool          // its runs are recorded as suspect, since it doesn't answer
	lost       []lostRun     // runs that ended with its lease: it may have crashed or be cut off
	trials     map[*task]int // suspects that run here in isolation: number of runs
	places     map[*task]int // suspects with a reservation here: number of tasks
	asideUntil time.Duration // until then it is kept free for a suspect
	misses     int           // consecutive failures, of different jobs
	missed     string        // job of the last failure
}

// slowClock is the least rate of a worker's clock: it shows at least 98 % of the time that passes
// here, as the users specify.
const slowClock = 0.98

// clockAt is the least that the worker's clock may show now.
func (w *worker) clockAt(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.readAt)*slowClock)
}

// grant returns a deadline on the worker's clock that has certainly passed after a span from now,
// and records when that is. It returns 0 as long as the worker's clock isn't known.
func (w *worker) grant(now, span time.Duration) time.Duration {
	if w.clock == 0 || span <= 0 {
		return 0
	}
	w.expiry = max(w.expiry, now+span)
	return w.clockAt(now) + time.Duration(float64(span)*slowClock)
}

// read records a reading of the worker's clock.
func (w *worker) read(clock, now time.Duration) {
	if clock > 0 && clock >= w.clock {
		w.clock, w.readAt = clock, now
	}
}

func (w *worker) add(r *run) {
	w.runs[r] = true
	w.used = w.used.Plus(r.room)
	w.count(r, 1)
}

func (w *worker) remove(r *run) {
	if w.runs[r] {
		delete(w.runs, r)
		w.used = w.used.Minus(r.room)
		w.count(r, -1)
	}
}

// count adds n to the counts by kind of run.
func (w *worker) count(r *run, n int) {
	spec := r.task.stage.spec
	if spec.Lasts {
		w.lasting += n
	}
	if spec.Fills {
		w.fills += n
	}
	if spec.Lasts && spec.Fills {
		w.lastingFills += n
	}
}

func (w *worker) free() gauge.Resources { return w.info.Capacity.Minus(w.used) }

// longRunningRoom is the capacity that its long-running tasks use.
func (w *worker) lastingRoom() gauge.Resources {
	var sum gauge.Resources
	for r := range w.runs {
		if r.task.stage.spec.Lasts {
			sum = sum.Plus(r.room)
		}
	}
	return sum
}

// find returns the run of a task with the given number, nil if there is none here.
func (w *worker) find(t *task, number int) *run {
	for _, r := range t.runs {
		if r.worker == w && r.number == number {
			return r
		}
	}
	return nil
}

// omittable reports whether the lease row may leave the worker out: nothing runs there, it gets no
// starts, and no end report is missing. A dead incarnation can't be asked for any.
func (w *worker) done() bool {
	if !w.heard || len(w.runs) > 0 || w.odd > 0 {
		return false
	}
	return w.gone || w.settled() && (w.silent || !w.listed || w.info.Draining)
}

// waitsForLeaseRow reports whether a worker could be used as soon as the lease row names it.
func (w *worker) waits() bool {
	return !w.noted && w.listed && w.heard && !w.silent && !w.gone && !w.info.Draining
}

// takesStarts reports whether new runs may start here.
func (w *worker) takes(now time.Duration) bool {
	return w.listed && w.noted && w.heard && !w.mute && !w.silent && !w.gone && !w.info.Draining &&
		now >= w.emptyUntil && w.odd == 0 && w.clock > 0 && now >= w.rest
}
