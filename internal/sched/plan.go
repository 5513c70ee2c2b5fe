package sched

import (
	"time"

	gauge "sapphiregauge"
)

// Plan returns the orders that follow from all that has been taken in.
func (p *Pool) Plan(now time.Duration) []Order {
	p.stops(now)
	p.stopOdds(now)
	p.evacuate(now)
	p.starts(now)
	p.pace(now)
	out := p.orders
	p.orders = nil
	return out
}

// stops orders the end of runs that are to end. A stop that got no answer is
// sent again: it has no effect twice.
func (p *Pool) stops(now time.Duration) {
	for r := range p.halts {
		if r.worker.gone || r.asked || r.phase == phaseStopping || r.phase == phaseSent {
			continue
		}
		if now < r.again {
			continue
		}
		r.again = now + r.worker.stopPause()
		p.stop(r)
	}
}

// stopAgain is the least time between two stops of one run.
const stopAgain = 200 * time.Millisecond

func (p *Pool) stop(r *run) {
	r.asked = true
	p.conf.Logs.Info("run stops", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID)
	p.orders = append(p.orders, Order{
		Kind: OrderStop, Worker: r.worker.info, run: r,
		Stop: gauge.StopCall{Fence: p.fence(r.worker), Task: r.task.id, Run: r.number},
	})
}

// evacuate moves lasting tasks away from workers that are to be emptied or that
// leave, no more of a step at once than may be away, and only to a place that is
// free: a task that is stopped without one is away for as long as none comes.
func (p *Pool) evacuate(now time.Duration) {
	var room *rooms
	for _, w := range p.byID() {
		if now >= w.emptyUntil && !w.info.Draining || w.silent || w.gone || !w.heard {
			continue
		}
		for r := range w.runs {
			if r.stop || r.phase != phaseLive {
				continue
			}
			if room == nil {
				room = p.rooms(now)
			}
			if p.mayLeave(w, r, room, now) {
				p.halt(r)
				r.again = now + stopAgain
				p.stop(r)
			}
		}
	}
}

// mayLeave tells whether a run may be stopped so that its worker gets empty.
//
// Work that ends by itself is left to end, also if it could go on from a checkpoint
// elsewhere: a stop costs it what was done since the checkpoint, the restore, and a
// second wait for room, and the machine is gained a second or two sooner at best.
// On a day with steady demand every tenth run was stopped, and of the largest jobs,
// whose slack is three seconds, two in five were late.
func (p *Pool) mayLeave(w *worker, r *run, room *rooms, now time.Duration) bool {
	st := r.task.stage.spec
	if r.tried && r.task.fewLeft() && !w.force {
		return false // the start would prove nothing
	}
	if !st.Lasts {
		return w.force || st.Checkpoints && (p.conf.Without.Has(gauge.MechanismFinish) || w.leavesBefore(r, now))
	}
	to := room.place(r.task.stage, r.task.stage.perWorker(), room.promised, anyWorker)
	if to == nil {
		p.makeRoom(r, room, now)
		return false
	}
	if !w.info.Draining && st.MaxAway > 0 && r.task.stage.away(r.task, now) >= st.MaxAway {
		p.lookAtAway(r.task.stage, now)
		return false
	}
	if room.promised == nil {
		room.promised = make(map[*worker]gauge.Resources)
	}
	room.promised[to] = room.promised[to].Plus(r.room)
	to.keptUntil = max(to.keptUntil, now+keepPlace)
	return true
}

// makeRoom keeps other work from the worker that has the most room for a lasting task that
// is to leave its own. In a pool in its turn whatever gets free is taken at once, so that a
// machine with a lasting task wasn't empty in time for its upkeep: waves missed their
// end by the length of a turn.
func (p *Pool) makeRoom(r *run, room *rooms, now time.Duration) {
	st, need := r.task.stage, r.room
	on := st.perWorker()
	var best *worker
	for _, w := range room.workers {
		switch {
		case now < w.keptUntil:
			return // one at a time
		case !w.info.Capacity.Minus(w.lastingRoom()).Holds(need) || !w.info.HasLabel(st.spec.Label):
		case st.spec.PerWorker > 0 && on[w] >= st.spec.PerWorker:
		case best == nil || w.free().MilliCPU > best.free().MilliCPU:
			best = w
		}
	}
	if best != nil {
		best.keptUntil = now + keepRoom
		p.conf.Logs.Info("room kept", "pool", p.conf.Name, "worker", best.info.ID, "job", r.task.id.Job, "task", r.task.id.String(), "free", best.free().MilliCPU)
	}
}

// keepRoom is how long a worker is kept for a lasting task: what runs there ends in about
// two seconds, and a few ends are enough.
const keepRoom = 2 * time.Second

// keepPlace is how long a place that was found is kept for a lasting task while it is
// stopped where it was: a stop takes 0.4 s at most, and its end is told within a tenth.
// Taken by other work meanwhile, the task would be away until something ends.
const keepPlace = 700 * time.Millisecond

// leavesBefore tells whether a worker that leaves is gone before a run there has ended,
// as far as estimates go.
func (w *worker) leavesBefore(r *run, now time.Duration) bool {
	if !w.info.Draining {
		return false
	}
	left := r.task.stage.spec.Estimate * time.Duration(atFull-min(r.progress, atFull)) / atFull
	return now+left > w.leaves
}

// away counts the other tasks of a lasting stage that don't surely serve.
func (st *stage) away(except *task, now time.Duration) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && !t.atWork(now) {
			n++
		}
	}
	return n
}

// lookAgain is the pause between two looks at a worker for what a task there is waited
// for: a fourth of the second that a lasting task takes to start.
const lookAgain = 250 * time.Millisecond

// lookAtAway has the workers asked on which tasks of a stage start up, while others wait
// to leave their workers until these serve. A hold is kept for up to a second without an
// end; told by that alone each task of the next ones would leave a second later, and a
// wave lasts as long as the longest chain of them.
func (p *Pool) lookAtAway(st *stage, now time.Duration) {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			w := r.worker
			if r.phase == phaseLive && !r.stop && r.progress < atFull && !w.silent && now-w.lookedAt >= lookAgain {
				w.lookedAt = now
				p.look(w)
			}
		}
	}
}

// foundFor is how long a run that an owner before this one started must have been known
// before it counts as at work. That owner may have stopped it just before: then its worker
// goes on listing it for as long as the stop takes, a second by the users' figures at the
// most. Another task stopped meanwhile would be one too many away.
const foundFor = 3 * time.Second

// atWork tells whether a lasting task surely serves its users now: its worker has told
// that it does.
func (t *task) atWork(now time.Duration) bool {
	for _, r := range t.runs {
		if r.found && now-r.sent <= foundFor {
			continue
		}
		if r.phase == phaseLive && !r.stop && !r.worker.silent && !r.worker.info.Draining && r.progress == atFull {
			return true
		}
	}
	return false
}

// starts places the tasks whose turn it is.
func (p *Pool) starts(now time.Duration) {
	if now >= p.limit {
		return // another owner may have taken over
	}
	if p.full() {
		return
	}
	p.doubts = p.doubtful(now)
	p.startSuspects(now)
	room := p.rooms(now)
	if len(room.workers) == 0 {
		return
	}
	turns := p.turns(room.most, now)
	// Room only shrinks within a plan: once the smallest task doesn't fit, none does.
	for len(turns) > 0 && room.most.Holds(p.counts.least) && !p.full() {
		t := turns.next()
		if !room.most.Holds(t.stage.spec.Room()) {
			continue
		}
		if t.stage.spec.Gang {
			p.startGang(t, room, now)
			continue
		}
		p.startEach(t, room, now)
	}
	clear(p.turned) // else it would keep jobs that have ended
}

// startEach starts as many tasks of a stage as there is room for.
func (p *Pool) startEach(t turn, room *rooms, now time.Duration) {
	on := t.stage.perWorker()
	began := false
	for _, k := range t.stage.tasks {
		if k.done || len(k.runs) > 0 || k.waitsApart(now) || p.unknownYet(k) {
			continue
		}
		if p.full() {
			break
		}
		w := room.place(t.stage, on, nil, p.bounded(t.allows(now)))
		if w == nil {
			p.ask(&t, room, now)
			break // none of the others fits either
		}
		p.start(&t, k, w, k.lastRun+1, now)
		on.add(w)
		began = true
	}
	if began {
		room.measure()
	}
}

// startGang starts all tasks of a stage or none.
func (p *Pool) startGang(t turn, room *rooms, now time.Duration) {
	number := 0
	for _, k := range t.stage.tasks {
		if len(k.runs) > 0 || k.waitsApart(now) || p.unknownYet(k) {
			return
		}
		number = max(number, k.lastRun)
	}
	taken := make(map[*worker]gauge.Resources)
	on := t.stage.perWorker()
	var places []*worker
	for range t.stage.tasks {
		w := room.place(t.stage, on, taken, t.allows(now))
		if w == nil {
			p.ask(&t, room, now)
			return
		}
		on.add(w)
		taken[w] = taken[w].Plus(t.stage.spec.Room())
		places = append(places, w)
	}
	for i, k := range t.stage.tasks {
		p.start(&t, k, places[i], number+1, now)
	}
	room.measure()
}

// atFull is the progress of a lasting task that serves its users.
const atFull = 100

// fullSpeed is the percentage that a run starts with.
const fullSpeed = 100

// start orders a run; nil if the worker can't be given a deadline.
func (p *Pool) start(of *turn, t *task, w *worker, number int, now time.Duration) *run {
	until := w.grant(now, min(p.conf.Start, p.limit-now))
	if until == 0 {
		return nil
	}
	text, _ := of.ticketFor(w, now)
	t.lastRun = number
	r := &run{
		task: t, worker: w, number: number, phase: phaseSent, room: t.stage.spec.Room(),
		sent: now, until: until, paced: fullSpeed,
	}
	t.attach(r)
	w.add(r)
	p.fly(r)
	if p.mayHaveCrashed(t) {
		p.noteRoutine(r)
	}
	if !t.job.begun {
		t.job.begun = true
		if t.job.row.State == gauge.JobPending {
			t.job.row.State = gauge.JobRunning
			t.job.touch(false)
		}
	}
	p.conf.Logs.Info("run starts", "job", t.job.id, "task", t.id.String(), "run", number, "worker", w.info.ID,
		"waited", now-t.readyAt, "free", w.free().MilliCPU)
	p.orders = append(p.orders, Order{
		Kind: OrderStart, Worker: w.info, run: r,
		Start: gauge.StartCall{
			Fence: p.fence(w), Task: t.id, Run: number, Payload: t.job.spec.Payload, Until: until, Saved: t.saved, Ticket: text,
		},
	})
	return r
}
