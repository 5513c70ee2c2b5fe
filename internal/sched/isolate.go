package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// A suspect starts apart: on a worker where no other job has a task, and nothing of another
// job starts there until its run has lived long enough. If the worker crashes again nobody
// else's work goes with it, and only one task can be the cause.

const (
	// apartWait is how long a task that has crashed two workers waits for one that is free of
	// other work. Longer it may not stand still, though that worker isn't to be had.
	apartWait = 2 * time.Second
	// lastWait is the same once few of its starts are left: beside others each would prove nothing.
	lastWait = 6 * time.Second
	// placeSpan is how long a place is kept until the table has that the task is tried there.
	// A write takes some 10 ms, in a slow spell 60 times as long.
	placeSpan = 700 * time.Millisecond
)

// place is where a suspect will start, once the table knows of it.
type place struct {
	workers []*worker // one for each task of a gang
	number  int
	until   time.Duration
	alone   bool // no other job has a task there
	closed  bool // other jobs' tasks don't start there
}

// startSuspects starts the tasks that may have ended a worker.
func (p *Pool) startSuspects(now time.Duration) {
	if len(p.suspects) == 0 {
		return
	}
	p.loseReplaced(now)
	for _, t := range p.suspectsInTurn() {
		if t.done || !t.job.open() || p.jobs[t.job.id] != t.job {
			p.unreserve(t)
			delete(p.suspects, t)
			continue
		}
		if p.full() {
			return
		}
		if !p.mayTry(t, now) {
			continue
		}
		p.settleTrials(t, now)
		if !t.suspect || !t.job.open() {
			continue
		}
		if t.place == nil {
			p.reserve(t, now)
		}
		if t.place != nil {
			p.startApart(t, now)
		}
	}
}

// suspectsInTurn lists them, those that wait longest first.
func (p *Pool) suspectsInTurn() []*task {
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

// mayTry tells whether nothing but a place is missing for a suspect's start.
func (p *Pool) mayTry(t *task, now time.Duration) bool {
	if !t.stage.occ.ready(t.stage) || t.place == nil && !t.noted() {
		return false
	}
	for _, m := range t.members() {
		if len(m.runs) > 0 || m.waitsForJudgement(now) || p.unknownYet(m) {
			return false
		}
	}
	return true
}

// noted tells whether the table knows all that has to be known of a suspect.
func (t *task) noted() bool { return t.job.saved >= t.written }

// apartOnly tells whether a suspect has lost so many workers, or has so few starts left, that it starts
// apart only, and when the table knows.
func (t *task) apartOnly() bool { return t.known().Strong() || t.fewLeft() }

// fewLeft tells whether few starts are left until the task is given up.
func (t *task) fewLeft() bool { return t.known().FewLeft(t.awaits + t.adrift) }

// apartFor is how long a suspect waits for a worker that is free of other work.
func (t *task) apartFor() time.Duration {
	switch {
	case t.fewLeft():
		return lastWait
	case t.apartOnly():
		return apartWait
	default:
		return 0
	}
}

// reserve finds a place for a suspect, and has the table told of it. One that has lost two workers waits
// till the table knows: an owner that took over between the start and the crash would otherwise not
// know of the run. After the first crash it suffices that this is known: the next owner allows for one more.
func (p *Pool) reserve(t *task, now time.Duration) {
	p.notice(t)
	of := turn{job: t.job, stage: t.stage, advice: p.advice(t.job)}
	at := &place{number: t.nextRun(), until: now + placeSpan}
	if t.apartOnly() || p.fewAside(now) {
		at.workers, at.alone = p.placesApart(t, &of, now), true
	}
	if at.workers == nil && now-t.readyAt < t.apartFor() {
		p.setAside(t, now)
		return
	}
	if at.workers == nil {
		at.workers, at.alone = p.placesBeside(t, &of, now), false
	}
	if at.workers == nil {
		p.ask(&of, p.apart(now), now)
		return
	}
	// A worker that others use is closed to them only for a task that is likely the cause.
	at.closed = at.alone || t.apartOnly()
	t.place = at
	told := make(map[*worker]bool)
	for _, w := range at.workers {
		if at.closed {
			w.reserve(t)
		}
		if !told[w] {
			told[w] = true
			p.try(t, gauge.Trial{Run: at.number, Worker: w.info.ID, Born: w.info.Born, Alone: at.alone, Apart: at.alone})
		}
	}
}

// placesApart picks workers without other jobs' tasks, if it can on racks where nothing is tried, and
// nowhere else once few starts are left.
func (p *Pool) placesApart(t *task, of *turn, now time.Duration) []*worker {
	workers := p.places(t, of, now, func(w *worker) bool { return w.onlyOf(t.job) && !p.rackTries(w, t.job) })
	if workers == nil && !t.fewLeft() {
		workers = p.places(t, of, now, func(w *worker) bool { return w.onlyOf(t.job) })
	}
	return workers
}

// placesBeside picks workers that other jobs use, if it can without lasting tasks.
func (p *Pool) placesBeside(t *task, of *turn, now time.Duration) []*worker {
	workers := p.places(t, of, now, func(w *worker) bool { return w.triesOnly(t.job) && w.lasting == 0 })
	if workers == nil {
		workers = p.places(t, of, now, func(w *worker) bool { return w.triesOnly(t.job) })
	}
	return workers
}

// nextRun is the number of the next run of a suspect, and its gang.
func (t *task) nextRun() int {
	number := 0
	for _, m := range t.members() {
		number = max(number, m.lastRun)
	}
	return number + 1
}

// places picks workers for a suspect, of those that suit; nil: there aren't enough.
func (p *Pool) places(t *task, of *turn, now time.Duration, suits func(w *worker) bool) []*worker {
	room := p.apart(now)
	allowed := p.bounded(of.allows(now))
	on := t.stage.perWorker()
	taken := make(map[*worker]gauge.Resources)
	for _, w := range room.workers {
		taken[w] = w.reserved()
	}
	var picked []*worker
	for range t.members() {
		w := room.place(t.stage, on, taken, func(w *worker) bool { return suits(w) && allowed(w) })
		if w == nil {
			return nil
		}
		on.add(w)
		taken[w] = taken[w].Plus(t.stage.spec.Room())
		picked = append(picked, w)
	}
	return picked
}

// startApart starts a suspect at its place, once the table knows of it.
func (p *Pool) startApart(t *task, now time.Duration) {
	at := t.place
	of := turn{job: t.job, stage: t.stage, advice: p.advice(t.job)}
	allowed := p.bounded(of.allows(now))
	for _, w := range at.workers {
		if !w.takes(now) || !allowed(w) || at.alone && !w.onlyOf(t.job) {
			p.giveBack(t)
			return
		}
	}
	if now >= at.until || at.number != t.nextRun() || !t.placeFits() {
		p.giveBack(t)
		return
	}
	if t.apartOnly() && !t.noted() {
		return
	}
	p.unreserve(t)
	for i, m := range t.members() {
		if r := p.start(&of, m, at.workers[i], at.number, now); r != nil {
			r.tried = true
			if at.closed {
				r.closeWorker(t)
			}
		}
	}
}

// placeFits tells whether a suspect's place still has what it needs: room may have shrunk, and
// other tasks of the step have started there.
func (t *task) placeFits() bool {
	st := t.stage
	on := st.perWorker() // counts the place itself
	taken := make(map[*worker]gauge.Resources)
	for _, w := range t.place.workers {
		if !st.fits(w, st.spec.Room(), taken[w], on[w]-1) {
			return false
		}
		taken[w] = taken[w].Plus(st.spec.Room())
	}
	return true
}

// giveBack gives a suspect's place up before it has started there.
func (p *Pool) giveBack(t *task) {
	number := t.place.number
	p.unreserve(t)
	p.acquit(t, number)
}

// apart are the workers that a suspect may start on.
func (p *Pool) apart(now time.Duration) *rooms {
	r := &rooms{without: p.conf.Without}
	for _, w := range p.byID() {
		if w.takes(now) {
			r.workers = append(r.workers, w)
		}
	}
	return r
}

// unreserve lets a suspect's place go.
func (p *Pool) unreserve(t *task) {
	if t.place == nil {
		return
	}
	for _, w := range t.place.workers {
		delete(w.places, t)
	}
	t.place = nil
}
