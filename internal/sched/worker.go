package sched

import (
	"time"

	gauge "sapphiregauge"
)

// phase is how much is known of a run.
type phase string

// The phases of a run.
const (
	phaseSent     phase = "sent"     // the order is out
	phaseUnsure   phase = "unsure"   // it got no answer, and may be carried out yet
	phaseLive     phase = "live"     // the worker has it
	phaseStopping phase = "stopping" // a stop was answered
)

// run is one start of a task that may exist on a worker. It leaves the lists
// only when it is sure that it is over and can't begin any more: another start
// before that might run the task twice at once.
type run struct {
	task     *task
	worker   *worker
	number   int
	phase    phase
	room     gauge.Resources
	sent     time.Duration // when it was ordered, or found
	found    bool          // an owner before this one started it
	flying   bool          // its start has no answer yet, and counts for the bound on these
	until    time.Duration // on the worker's clock: an order that comes later is refused
	known    time.Duration // on the worker's clock: the worker has had it, or its stop, since
	credit   time.Duration // how long it surely lived before this owner found it
	toldAt   time.Duration // when its worker last told that it is there
	stop     bool          // it is to end
	unsure   bool          // its start got no answer
	again    time.Duration // no stop is sent before
	asked    bool          // a stop is on its way
	progress int           // percent of its work done; 100: a lasting task is at work
	paced    int           // percent of its speed that it was told to work at
	load     int           // as reported
	pacing   bool          // a pace is on its way
	listed   int           // number of the last report that listed it
	tried    bool          // it is one of a suspect, and hasn't lived long enough yet
	outlived bool          // the row tells that it has lived for a while
	trial    *task         // the suspect that it is a run of, while its worker is closed to others
	lost     bool          // it ended with its worker's life, or its lease
	spared   bool          // ... or so it seemed
}

// worker is one life of a worker as this owner sees it.
type worker struct {
	info     gauge.Worker
	listed   bool          // it is on the platform's list
	known    bool          // it was, in this pool
	since    time.Duration // when it was first
	noted    bool          // the lease row names it: a successor will ask it first
	fence    gauge.Fence   // its own, see Pool.fence
	unfenced bool          // what was sent before may be carried out yet: its token is to rise
	follows  bool          // its worker had orders in an earlier life
	heard    bool          // it has answered to this owner's fencing token
	mute     bool          // a start got no answer, and nothing was heard since
	flying   int           // starts that have no answer yet
	silent   bool          // its last hold got no answer
	gone     bool          // it is surely over

	runs map[*run]bool
	used gauge.Resources
	// of these runs: lasting ones, those that fill, and those that do both
	lasting, fills, lastingFills int

	reports int                // that were taken in so far
	odd     int                // runs there of jobs that this owner doesn't know
	odds    map[oddKey]*oddRun // of these, the ones that are to end

	pictured time.Duration // worker's clock in the newest report

	clock     time.Duration // worker's clock ...
	readAt    time.Duration // ... as read at this time on ours
	leaves    time.Duration // it stays until then at least, while it drains
	expiry    time.Duration // until when this owner's grants reach, on our clock
	heardAt   time.Duration
	lookedAt  time.Duration // when it was last asked what runs there, beside the holds
	soonUntil time.Duration // until then it is known to be emptied soon
	soon      bool          // that is so now, for one round of starts

	ends       int64         // ends up to this number are taken in
	kept       int64         // ends up to this number are in the table
	unkept     []unkept      // those in between that wait for a job's row, in their order
	held       bool          // it has ends that were not taken in, or may have more than it lists
	mark       mark          // of ends, for Backlog
	emptyUntil time.Duration // it gets no starts before, as it is to be emptied for upkeep or a move
	keptUntil  time.Duration // until then only lasting tasks start here
	force      bool          // what does not end by itself there is to be ended
	rest       time.Duration // no starts before this, since it fails or is slow
	silentAt   time.Duration // since when its holds get no answer, while it is silent
	watched    bool          // what runs there has been noted, as it doesn't answer
	lost       []lostRun     // runs that ended with its lease: it may have crashed, or be cut off
	trials     map[*task]int // suspects that are tried there: their runs
	places     map[*task]int // suspects that are to be tried there: their tasks
	asideUntil time.Duration // until then it is kept free for a suspect
	misses     int           // failures in a row, of different jobs
	missed     string        // job of the last one
}

// slowClock is how slow a worker's clock may be: it shows at least this share of
// the time that passes here. Users' figure.
const slowClock = 0.98

// ClockAt is the least that the worker's clock may show now.
func (w *worker) clockAt(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.readAt)*slowClock)
}

// grant returns a deadline on the worker's clock that has surely passed after
// a span from now, and notes when that is. A worker whose clock is not yet known
// gets none.
func (w *worker) grant(now, span time.Duration) time.Duration {
	if w.clock == 0 || span <= 0 {
		return 0
	}
	w.expiry = max(w.expiry, now+span)
	return w.clockAt(now) + time.Duration(float64(span)*slowClock)
}

// read takes in a reading of the worker's clock.
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

// count adds a run to what is counted by kind, or takes it off.
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

// lastingRoom is what its lasting tasks use.
func (w *worker) lastingRoom() gauge.Resources {
	var sum gauge.Resources
	for r := range w.runs {
		if r.task.stage.spec.Lasts {
			sum = sum.Plus(r.room)
		}
	}
	return sum
}

// find returns the run of a task with a number; nil if there is none here.
func (w *worker) find(t *task, number int) *run {
	for _, r := range t.runs {
		if r.worker == w && r.number == number {
			return r
		}
	}
	return nil
}

// done tells whether nothing runs on the worker, it gets no starts, and nobody has
// to ask it for an end. One whose life is over can't be asked.
func (w *worker) done() bool {
	if !w.heard || len(w.runs) > 0 || w.odd > 0 {
		return false
	}
	return w.gone || w.settled() && (w.silent || !w.listed || w.info.Draining)
}

// waits tells whether a worker could be used but for the lease row.
func (w *worker) waits() bool {
	return !w.noted && w.listed && w.heard && !w.silent && !w.gone && !w.info.Draining
}

// takes tells whether new runs may start here.
func (w *worker) takes(now time.Duration) bool {
	return w.listed && w.noted && w.heard && !w.mute && !w.silent && !w.gone && !w.info.Draining &&
		now >= w.emptyUntil && w.odd == 0 && w.clock > 0 && now >= w.rest
}
