package sched

import (
	"time"

	gauge "sapphiregauge"
)

// Plan returns the orders that follow from all events so far.
func (p *Pool) Plan(now time.Duration) []Order {
	p.repeatStarts(now)
	p.orderStops(now)
	p.stopOrphans(now)
	p.evacuate(now)
	p.orderStarts(now)
	p.startCopies(now)
	p.adjustPaces(now)
	out := p.orders
	p.orders = nil
	return out
}

// orderStops orders stops of runs that are to end. A stop without an answer is repeated, as it is
// idempotent.
func (p *Pool) orderStops(now time.Duration) {
	for r := range p.toStop {
		if r.worker.dead || r.stopInFlight || r.phase == phaseStopping || r.phase == phaseSent {
			continue
		}
		if now < r.nextStopAt {
			continue
		}
		r.nextStopAt = now + r.worker.stopDelay()
		p.orderStop(r)
	}
}

// stopRetryDelay is the least time between two stops of one run.
const stopRetryDelay = 200 * time.Millisecond

func (p *Pool) orderStop(r *run) {
	r.stopInFlight = true
	p.conf.Logs.Info("run stops", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID)
	p.orders = append(p.orders, Order{
		Kind: OrderStop, Worker: r.worker.info, run: r,
		Stop: gauge.StopCall{Fence: p.fence(r.worker), Task: r.task.id, Run: r.number},
	})
}

// evacuate moves long-running tasks away from workers that are being drained or are leaving. No
// more of a step are moved at once than MaxUnplaced, which bounds the tasks that aren't serving,
// and only where there is room: a task that is stopped without a new place doesn't serve until one
// is found.
func (p *Pool) evacuate(now time.Duration) {
	var round *placementRound
	for _, w := range p.workersByID() {
		if now >= w.drainUntil && !w.info.Draining || w.silent || w.dead || !w.reported {
			continue
		}
		for r := range w.runs {
			if r.toStop || r.phase != phaseLive {
				continue
			}
			if round == nil {
				round = p.newRound(now)
			}
			if p.mayEvacuate(w, r, round, now) {
				p.requestStop(r)
				r.nextStopAt = now + stopRetryDelay
				p.orderStop(r)
			}
		}
	}
}

// mayEvacuate reports whether a run may be stopped to drain its worker.
//
// Work that ends by itself is left to end, even if it could continue elsewhere from a checkpoint: a
// stop costs the work since the checkpoint, the restore, and a second wait for room, and frees the
// machine a second or two sooner at best. On a day with steady demand every tenth run was stopped,
// and of the largest jobs, whose slack is three seconds, two in five were late.
func (p *Pool) mayEvacuate(w *worker, r *run, round *placementRound, now time.Duration) bool {
	spec := r.task.stage.spec
	if r.onProbation && r.task.fewLeft() && !w.forceDrain {
		return false // stopping a run on probation would use up one of the last starts without a result
	}
	if !spec.LongRunning {
		return w.forceDrain || spec.Checkpoints && (p.conf.Disabled.Has(gauge.MechanismDrainFirst) || w.leavesBefore(r, now))
	}
	if !w.info.Draining && (r.mayStartLate(now) || p.hasLateStarts(r.task, now)) {
		return false // it couldn't start on another worker yet
	}
	target := round.place(r.task.stage, r.task.stage.countByWorker(), round.promised, anyWorker)
	if target == nil {
		p.keepRoom(r, round, now)
		return false
	}
	if !w.info.Draining && spec.MaxUnplaced > 0 && r.task.stage.countNotServing(r.task, now) >= spec.MaxUnplaced {
		p.probeStarting(r.task.stage, now)
		return false
	}
	if round.promised == nil {
		round.promised = make(map[*worker]gauge.Resources)
	}
	round.promised[target] = round.promised[target].Plus(r.resources)
	target.longRunningOnlyUntil = max(target.longRunningOnlyUntil, now+keepTargetSpan)
	return true
}

// keepRoom keeps other work off the worker with the most room for a long-running task that is to
// leave its own worker. In a pool at its peak, any free room is taken at once, so that a machine
// with a long-running task wasn't empty in time for its maintenance: waves missed their end by the
// length of a peak.
func (p *Pool) keepRoom(r *run, round *placementRound, now time.Duration) {
	st, need := r.task.stage, r.resources
	perWorker := st.countByWorker()
	var best *worker
	for _, w := range round.workers {
		switch {
		case now < w.longRunningOnlyUntil:
			return // one at a time
		case !w.info.Capacity.Minus(w.longRunningUsed()).Contains(need) || !w.info.HasLabel(st.spec.Label):
		case st.spec.PerWorker > 0 && perWorker[w] >= st.spec.PerWorker:
		case best == nil || w.free().MilliCPU > best.free().MilliCPU:
			best = w
		}
	}
	if best != nil {
		best.longRunningOnlyUntil = now + keepRoomSpan
		p.conf.Logs.Info("room kept", "pool", p.conf.Name, "worker", best.info.ID, "job", r.task.id.Job, "task", r.task.id.String(), "free", best.free().MilliCPU)
	}
}

// keepRoomSpan is how long a worker is kept for a long-running task: its runs end within about two
// seconds, and a few ends are enough.
const keepRoomSpan = 2 * time.Second

// keepTargetSpan is how long the room found for a long-running task is kept while the task is
// stopped on its old worker: a stop takes 0.4 s at most, and its end is reported within 0.1 s. If
// other work took the room meanwhile, the task would not serve until some run ends.
const keepTargetSpan = 700 * time.Millisecond

// leavesBefore reports whether a leaving worker may have left before a run there ends, by the
// estimate of the run's duration.
func (w *worker) leavesBefore(r *run, now time.Duration) bool {
	if !w.info.Draining {
		return false
	}
	left := r.task.stage.spec.Estimate * time.Duration(fullProgress-min(r.progress, fullProgress)) / fullProgress
	return now+left > w.leavesAt
}

// countNotServing counts the other tasks of a long-running stage that aren't certainly serving.
func (st *stage) countNotServing(except *task, now time.Duration) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && !t.isServing(now) {
			n++
		}
	}
	return n
}

// minProbeInterval is the least time between two probes of a worker for a task that others wait
// for: a quarter of the second that a long-running task takes to start.
const minProbeInterval = 250 * time.Millisecond

// probeStarting probes the workers on which tasks of a stage are starting up, while other tasks
// can't leave their workers until these serve. A heartbeat without an end report takes up to a
// second. If progress came by heartbeats alone, each further task would leave a second later, and a
// maintenance wave lasts as long as its longest sequence of such moves.
func (p *Pool) probeStarting(st *stage, now time.Duration) {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			w := r.worker
			if r.phase == phaseLive && !r.toStop && r.progress < fullProgress && !w.silent && now-w.probedAt >= minProbeInterval {
				w.probedAt = now
				p.probe(w, now)
			}
		}
	}
}

// foundRunDelay is how long a run that a previous owner started must have been known before it
// counts as serving. That owner may have stopped it just before, and then its worker lists it until
// the stop is complete, a second at most as the users specify. If another task were stopped
// meanwhile, one too many would not be serving.
const foundRunDelay = 3 * time.Second

// isServing reports whether a long-running task certainly serves its users now: its worker has
// reported that it does.
func (t *task) isServing(now time.Duration) bool {
	for _, r := range t.runs {
		if r.inherited && now-r.orderedAt <= foundRunDelay {
			continue
		}
		if r.phase == phaseLive && !r.toStop && !r.worker.silent && !r.worker.info.Draining && r.progress == fullProgress {
			return true
		}
	}
	return false
}

// orderStarts places the waiting tasks in order of rank.
func (p *Pool) orderStarts(now time.Duration) {
	if now >= p.grantLimit {
		return // a successor may not wait for this owner's starts any more
	}
	if p.isWindowFull() {
		return
	}
	p.inheritedTasksWait = p.awaitsReports(now)
	if p.conf.Limits != nil && p.conf.Limits.HasLimits() {
		p.conf.Limits.SetUnseen(p.unseenRuns())
	}
	p.startSuspects(now)
	round := p.newRound(now)
	if len(round.workers) == 0 {
		return
	}
	p.updateRescueRoom(now)
	candidates := p.candidates(round, now)
	// Free room only shrinks within a plan: once the smallest task doesn't fit, none does.
	for candidates.hasNext() && round.longRunningRoom.contains(p.index.minNeed) && !p.isWindowFull() {
		c := candidates.next()
		if !round.hasRoom(c.stage, c.stage.spec.Reservation()) {
			continue
		}
		if c.stage.spec.Gang {
			p.startGang(c, round, now)
			continue
		}
		p.startEach(c, candidates, round, now)
	}
	candidates.clear() // otherwise it would keep ended jobs in memory
}

// mayHaveRun reports whether a run of the task may exist, or may yet begin, so that another one might
// run at the same time.
func (p *Pool) mayHaveRun(t *task, now time.Duration) bool {
	return len(t.runs) > 0 || p.mayHaveUnreportedRun(t) || p.hasLateStarts(t, now) || p.awaitsRenewal(t)
}

// startEach starts as many tasks of a stage as there is room for, until another account's candidate
// comes first.
func (p *Pool) startEach(c candidate, others *candidateQueue, round *placementRound, now time.Duration) {
	perWorker := c.stage.countByWorker()
	started := false
	for _, t := range c.stage.tasks {
		if t.done || p.mayHaveRun(t, now) || t.needsIsolation(now) {
			continue
		}
		if p.isWindowFull() || !p.mayUse(c.job, c.stage.spec.Needs) || c.rank.rescue && p.rescueRoom <= 0 {
			break
		}
		w := round.place(c.stage, perWorker, nil, p.withinWorkerWindow(c.allowedWorkers(now)))
		if w == nil {
			p.askAdvice(&c, round, now)
			break // none of the others fits either
		}
		p.orderStart(&c, t, w, t.lastRun+1, now)
		perWorker.add(w)
		started = true
		p.index.fair.update(c.job.standing, now)
		if others.precede(&c) {
			others.putBack(c)
			break
		}
	}
	if started {
		round.updateRoom()
	}
}

// startGang starts all tasks of a stage or none.
func (p *Pool) startGang(c candidate, round *placementRound, now time.Duration) {
	number := 0
	for _, t := range c.stage.tasks {
		if p.mayHaveRun(t, now) || t.needsIsolation(now) {
			return
		}
		number = max(number, t.lastRun)
	}
	if !p.mayUse(c.job, c.stage.spec.Together()) {
		return
	}
	taken := make(map[*worker]gauge.Resources)
	perWorker := c.stage.countByWorker()
	var places []*worker
	for range c.stage.tasks {
		w := round.place(c.stage, perWorker, taken, c.allowedWorkers(now))
		if w == nil {
			p.askAdvice(&c, round, now)
			return
		}
		perWorker.add(w)
		taken[w] = taken[w].Plus(c.stage.spec.Reservation())
		places = append(places, w)
	}
	for i, t := range c.stage.tasks {
		p.orderStart(&c, t, places[i], number+1, now)
	}
	p.index.fair.update(c.job.standing, now)
	round.updateRoom()
}

// fullProgress is the progress of a long-running task that serves its users, and of any run whose
// work is done.
const fullProgress = 100

// fullSpeed is the percentage of its speed that a run starts with.
const fullSpeed = 100

// orderStart orders a run; nil if the worker can't be given a deadline.
func (p *Pool) orderStart(c *candidate, t *task, w *worker, number int, now time.Duration) *run {
	until := w.grant(now, min(p.conf.StartTimeout, p.grantLimit-now))
	if until == 0 {
		return nil
	}
	ticketText, _ := c.ticketFor(w, now)
	t.lastRun = number
	r := &run{
		task: t, worker: w, number: number, phase: phaseSent, resources: t.stage.spec.Reservation(),
		orderedAt: now, startDeadline: until, pace: fullSpeed, hasTicket: ticketText != "", resumed: t.checkpoint != "",
	}
	t.attach(r)
	w.addRun(r, now)
	w.speed.addStart(r)
	if c.rank.rescue {
		p.countRescue(r)
	}
	p.addInFlight(r)
	if p.mayHaveUnrecordedCrashes(t) {
		p.recordRoutineRun(r)
	}
	if !t.job.startOrdered {
		t.job.startOrdered = true
		if t.job.row.State == gauge.JobPending {
			t.job.row.State = gauge.JobRunning
			t.job.touch(false)
		}
	}
	p.conf.Logs.Info("run starts", "job", t.job.id, "task", t.id.String(), "run", number, "worker", w.info.ID,
		"born", w.info.StartedAt, "fence", p.fence(w), "lease", p.leaseEnd-now, "waited", now-t.waitingSince(), "free", w.free().MilliCPU)
	p.sendStart(r, ticketText)
	return r
}

// sendStart sends the start of a run, with the run's deadline.
func (p *Pool) sendStart(r *run, ticketText string) {
	r.attempts.begin()
	p.orders = append(p.orders, Order{
		Kind: OrderStart, Worker: r.worker.info, run: r,
		Start: gauge.StartCall{
			Fence: p.fence(r.worker), Task: r.task.id, Run: r.number, Payload: r.task.job.spec.Payload, Until: r.startDeadline, Checkpoint: r.task.checkpoint, Ticket: ticketText,
		},
	})
}
