package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// A suspect starts in isolation if possible: on a worker where no other job has a task, and no task
// of another job starts there until its run has lasted long enough. If the worker crashes again,
// nobody else's work is lost with it, and only one task can be the cause. Otherwise it starts on a
// shared worker, which is closed to further jobs' tasks if the suspect is likely the cause.

const (
	// isolationTimeout is how long a task that has crashed two workers waits for a worker that is
	// free of other work. It must not be delayed for longer, even if no such worker is available.
	isolationTimeout = 2 * time.Second
	// lastStartsTimeout is the same time once the task has few starts left: a start beside other
	// jobs' tasks would be inconclusive.
	lastStartsTimeout = 6 * time.Second
	// reservationSpan is how long a reservation is kept until the table has the record of the
	// isolated run. A write takes about 10 ms, and 60 times as long when the table is slow.
	reservationSpan = 700 * time.Millisecond
)

// reservation holds the workers on which a suspect will start once the table has the record of it.
type reservation struct {
	workers   []*worker // one for each task of a gang
	number    int
	expiresAt time.Duration
	soleJob   bool // no other job has a task there
	closed    bool // other jobs' tasks don't start there
}

// startSuspects starts the tasks that may have crashed a worker.
func (p *Pool) startSuspects(now time.Duration) {
	if len(p.suspects) == 0 {
		return
	}
	p.loseReplaced(now)
	for _, t := range p.suspectsByWait() {
		if t.done || !t.job.isOpen() || p.jobs[t.job.id] != t.job {
			p.releaseReservation(t)
			delete(p.suspects, t)
			continue
		}
		if p.isWindowFull() {
			return
		}
		if !p.mayReserve(t, now) {
			continue
		}
		p.settleSuspectRuns(t, now)
		if !t.isSuspect || !t.job.isOpen() || slices.ContainsFunc(t.members(), p.hasNoStartsLeft) {
			continue
		}
		if t.reservation == nil {
			p.reserve(t, now)
		}
		if t.reservation != nil {
			p.startReserved(t, now)
		}
	}
}

// suspectsByWait returns the suspects, those that have waited longest first.
func (p *Pool) suspectsByWait() []*task {
	list := make([]*task, 0, len(p.suspects))
	for t := range p.suspects {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int {
		if c := cmp.Compare(a.readyAt, b.readyAt); c != 0 {
			return c
		}
		return cmp.Compare(a.id.String(), b.id.String())
	})
	return list
}

// members are the tasks that start together with a suspect.
func (t *task) members() []*task {
	if t.stage.spec.Gang {
		return t.stage.tasks
	}
	return []*task{t}
}

// mayReserve reports whether a suspect could start if it had a worker.
func (p *Pool) mayReserve(t *task, now time.Duration) bool {
	if !t.stage.occ.isReady(t.stage) || t.reservation == nil && !t.isRecorded() {
		return false
	}
	for _, m := range t.members() {
		if p.mayHaveRun(m, now) || m.waitsForAttribution(now) {
			return false
		}
	}
	return true
}

// isRecorded reports whether the table has all that is known of a suspect.
func (t *task) isRecorded() bool { return t.job.savedRevision >= t.requiredRevision }

// prefersIsolation reports whether a suspect has lost so many workers, or has so few starts left,
// that it waits for a worker of its own for some time, and starts only once the table has the
// record of it.
func (t *task) prefersIsolation() bool { return t.evidence().HasRepeatedCrashes() || t.fewLeft() }

// fewLeft reports whether few starts are left until the task's job is failed.
func (t *task) fewLeft() bool { return t.evidence().HasFewStartsLeft(t.lostRuns()) }

// maxIsolationWait is how long a suspect waits for a worker that is free of other work.
func (t *task) maxIsolationWait() time.Duration {
	switch {
	case t.fewLeft():
		return lastStartsTimeout
	case t.prefersIsolation():
		return isolationTimeout
	default:
		return 0
	}
}

// reserve finds workers for a suspect, and has the table record it. A task that has lost two
// workers waits until the table has the record: otherwise an owner that took over between the start
// and the crash wouldn't know of the run. After the first crash it starts without waiting for the
// record of this run: the crash itself is in the table already.
func (p *Pool) reserve(t *task, now time.Duration) {
	p.presumeUnrecorded(t)
	c := candidate{job: t.job, stage: t.stage, advice: p.advice(t.job)}
	res := &reservation{number: t.nextRun(), expiresAt: now + reservationSpan}
	if t.prefersIsolation() || p.maySetAside(now) {
		res.workers, res.soleJob = p.pickIsolated(t, &c, now), true
	}
	if res.workers == nil && now-t.waitingSince() < t.maxIsolationWait() {
		p.setAside(t, now)
		return
	}
	if res.workers == nil {
		res.workers, res.soleJob = p.pickShared(t, &c, now), false
	}
	if res.workers == nil {
		p.askAdvice(&c, p.isolationRound(now), now)
		return
	}
	// A worker that others use is closed to them only for a task that is likely the cause.
	res.closed = res.soleJob || t.prefersIsolation()
	t.reservation = res
	recorded := make(map[*worker]bool)
	for _, w := range res.workers {
		if res.closed {
			w.addReservation(t)
		}
		if !recorded[w] {
			recorded[w] = true
			record := w.newSuspectRun(res.number)
			record.SoleJob, record.Isolated = res.soleJob, res.soleJob
			p.recordSuspectRun(t, record)
		}
	}
}

// pickIsolated picks workers without other jobs' tasks, preferably on racks without other isolated
// runs, and only there once few starts are left.
func (p *Pool) pickIsolated(t *task, c *candidate, now time.Duration) []*worker {
	workers := p.pickWorkers(t, c, now, func(w *worker) bool { return w.hasOnlyJob(t.job) && !p.rackIsolatesOther(w, t.job) })
	if workers == nil && !t.fewLeft() {
		workers = p.pickWorkers(t, c, now, func(w *worker) bool { return w.hasOnlyJob(t.job) })
	}
	return workers
}

// pickShared picks workers that other jobs use, preferably without long-running tasks.
func (p *Pool) pickShared(t *task, c *candidate, now time.Duration) []*worker {
	workers := p.pickWorkers(t, c, now, func(w *worker) bool { return w.isolatesOnlyJob(t.job) && w.longRunning == 0 })
	if workers == nil {
		workers = p.pickWorkers(t, c, now, func(w *worker) bool { return w.isolatesOnlyJob(t.job) })
	}
	return workers
}

// nextRun is the number of the next run of a suspect and its gang.
func (t *task) nextRun() int {
	number := 0
	for _, m := range t.members() {
		number = max(number, m.lastRun)
	}
	return number + 1
}

// pickWorkers picks workers for a suspect among the suitable ones; nil if there are too few.
func (p *Pool) pickWorkers(t *task, c *candidate, now time.Duration, suitable func(w *worker) bool) []*worker {
	round := p.isolationRound(now)
	allowed := p.withinWorkerWindow(c.allowedWorkers(now))
	perWorker := t.stage.countByWorker()
	taken := make(map[*worker]gauge.Resources)
	for _, w := range round.workers {
		taken[w] = w.reservedRoom()
	}
	var picked []*worker
	for range t.members() {
		w := round.place(t.stage, perWorker, taken, func(w *worker) bool { return suitable(w) && allowed(w) })
		if w == nil {
			return nil
		}
		perWorker.add(w)
		taken[w] = taken[w].Plus(t.stage.spec.Reservation())
		picked = append(picked, w)
	}
	return picked
}

// startReserved starts a suspect on its reserved workers, once the table has the record of it.
func (p *Pool) startReserved(t *task, now time.Duration) {
	res := t.reservation
	c := candidate{job: t.job, stage: t.stage, advice: p.advice(t.job)}
	allowed := p.withinWorkerWindow(c.allowedWorkers(now))
	for _, w := range res.workers {
		if !w.takesStarts(now) || !allowed(w) || res.soleJob && !w.hasOnlyJob(t.job) {
			p.cancelReservation(t)
			return
		}
	}
	if now >= res.expiresAt || res.number != t.nextRun() || !t.reservationFits() {
		p.cancelReservation(t)
		return
	}
	if t.prefersIsolation() && !t.isRecorded() || !p.mayUse(t.job, t.stage.spec.Together()) {
		return
	}
	p.releaseReservation(t)
	for i, m := range t.members() {
		if r := p.orderStart(&c, m, res.workers[i], res.number, now); r != nil {
			r.onProbation = true
			if res.closed {
				r.closeWorker(t)
			}
		}
	}
}

// reservationFits reports whether the reserved workers still have what the suspect needs: their
// free capacity may have shrunk, and other tasks of the step may have started there.
func (t *task) reservationFits() bool {
	st := t.stage
	perWorker := st.countByWorker() // counts the reservation itself
	taken := make(map[*worker]gauge.Resources)
	for _, w := range t.reservation.workers {
		if !st.fits(w, st.spec.Reservation(), taken[w], perWorker[w]-1) {
			return false
		}
		taken[w] = taken[w].Plus(st.spec.Reservation())
	}
	return true
}

// cancelReservation drops a reservation that wasn't used, and the record of it.
func (p *Pool) cancelReservation(t *task) {
	number := t.reservation.number
	p.releaseReservation(t)
	p.dropUnconfirmed(t, number)
}

// isolationRound returns the workers on which a suspect may start.
func (p *Pool) isolationRound(now time.Duration) *placementRound {
	round := &placementRound{disabled: p.conf.Disabled}
	for _, w := range p.workersByID() {
		if w.takesStarts(now) {
			round.workers = append(round.workers, w)
		}
	}
	return round
}

// releaseReservation removes a suspect's reservation.
func (p *Pool) releaseReservation(t *task) {
	if t.reservation == nil {
		return
	}
	for _, w := range t.reservation.workers {
		delete(w.reservations, t)
	}
	t.reservation = nil
}
