package sched

import (
	"time"

	gauge "sapphiregauge"
)

// HandleReport handles the answer to a heartbeat to an incarnation of a worker; false if the
// incarnation no longer counts.
func (p *Pool) HandleReport(incarnation gauge.Incarnation, call gauge.Heartbeat, rep *gauge.WorkerReport, now time.Duration) bool {
	w := p.workerThatAnswered(incarnation, rep.StartedAt, now)
	if w == nil {
		return false
	}
	id := w.info.ID
	if w.staleCallsPossible && !w.fencePending && call.Fence >= w.fence {
		// From now on no call that was meant for the previous incarnation is carried out. Until now
		// one may have extended the lease.
		w.staleCallsPossible = false
		w.assumeLongestLease(w.earlier, now+p.longestLease())
	}
	if !w.fencePending && call.Fence >= w.fence {
		w.backUnproved = false
	}
	if w.silent {
		p.clearAtRisk(w)
		p.conf.Logs.Info("worker back", "pool", p.conf.Name, "worker", id, "born", rep.StartedAt, "runs", len(w.runs),
			"running", len(rep.Running), "clock", rep.Clock, "before", w.clock, "kept", w.lastStoredEnd)
	}
	if w.silent || !w.reported {
		p.reportMisjudgedLoss(w)
	}
	if !w.reported {
		p.conf.Logs.Info("first report of worker", "pool", p.conf.Name, "worker", id, "born", rep.StartedAt, "running", len(rep.Running), "ended", len(rep.Ended))
	}
	w.silent, w.startUnanswered, w.reported, w.answeredAt = false, false, true, now
	w.seenAt = max(w.seenAt, call.SentAt)
	// The report's clock is compared only with those of earlier reports: answers to orders overtake
	// reports all the time at a busy worker, and what they say is recorded with each run.
	newest := rep.Clock >= w.reportClock
	w.readClock(rep.Clock, now)
	endsPending := len(rep.Ended) >= maxEndsListed // there may be more
	for _, e := range rep.Ended {
		if e.Number > w.lastEnd {
			if p.jobsMissing && !p.Knows(e.Task.Job) {
				endsPending = true
				break
			}
			p.handleEnd(w, e, now)
			w.recordEnd(e.Number, p.jobs[e.Task.Job])
		}
	}
	if !newest {
		p.conf.Logs.Info("report overtaken", "pool", p.conf.Name, "worker", id, "born", rep.StartedAt, "clock", rep.Clock, "newest", w.reportClock,
			"running", len(rep.Running))
	}
	if newest {
		// An older report may list runs that have ended since.
		w.reportClock, w.endsPending = rep.Clock, endsPending
		p.compareRuns(w, rep, endsPending, now)
		p.checkSpeed(w, now)
	}
	if newest && !endsPending {
		p.settleReported(w)
		p.markReported(id) // it has reported everything about previous owners' runs
	}
	return true
}

// maxEndsListed is how many end reports a worker lists at most, as the users specify.
const maxEndsListed = 500

// compareRuns compares the runs that a worker lists with those that it should have. If endsPending,
// there are end reports that haven't been received. A run that isn't listed may have one of these:
// if it were taken for lost, its task would start again although it is done.
func (p *Pool) compareRuns(w *worker, rep *gauge.WorkerReport, endsPending bool, now time.Duration) {
	w.reportCount++
	w.orphanCount = 0
	for _, rr := range rep.Running {
		r := p.listedRun(w, rr, rep.Clock, now)
		if r == nil {
			w.orphanCount++
			p.addOrphan(w, rr)
			continue
		}
		r.lastReport, r.reportedAt, r.attempts.listed = w.reportCount, now, true
		p.confirmListed(r)
		r.task.job.markStarted()
		p.countProgress(r, rr.Progress, now)
		if rr.Progress != r.progress {
			r.progressedAt = now
		}
		r.load, r.progress = rr.Load, rr.Progress
		if r.phase != phaseStopping {
			r.phase = phaseLive
		}
		r.confirmedAt = max(r.confirmedAt, rep.Clock)
		if rr.Checkpoint != "" {
			r.task.takeCheckpoint(r, rr.Checkpoint)
		}
		p.checkProbation(r)
	}
	p.pruneOrphans(w, rep.Running)
	for r := range w.runs {
		listed := r.lastReport == w.reportCount
		if !listed && r.phase == phaseUnanswered {
			p.repeatOrStop(r, now)
		}
		if !listed && !endsPending && !r.awaitsOutcome(now) && !p.toRepeat[r] && r.isOverBy(rep.Clock) {
			if r.phase == phaseLive && !r.attempts.listed {
				// The next incarnation may have answered the start, by a clock like this one's.
				r.attempts.fail(now)
			}
			if r.phase == phaseLive {
				p.conf.CountEvent(EventVanished)
				p.conf.Logs.Info("run vanished", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", w.info.ID, "lease", p.leaseEnd-now)
			}
			r.task.lostAt = now
			p.endRun(r, now)
		}
	}
}

// isOverBy reports whether a run that the worker doesn't list is certainly over, as of a reading of
// the worker's clock.
func (r *run) isOverBy(clock time.Duration) bool {
	switch r.phase {
	case phaseLive, phaseStopping:
		return clock > r.confirmedAt
	default:
		// The order may still arrive, but is refused after its own deadline.
		return clock > r.startDeadline
	}
}

// listedRun returns the run that a worker lists, or adds one that a previous owner started. It is
// nil if the run belongs to no known job.
func (p *Pool) listedRun(w *worker, rr gauge.RunReport, clock, now time.Duration) *run {
	j := p.jobs[rr.Task.Job]
	if j == nil {
		return nil
	}
	t := j.task(rr.Task, now)
	if t == nil {
		return nil
	}
	t.lastRun = max(t.lastRun, rr.Run)
	if r := w.findRun(t, rr.Run); r != nil {
		return r
	}
	r := &run{
		task: t, worker: w, number: rr.Run, phase: phaseLive, resources: t.stage.spec.Reservation(),
		orderedAt: now, inherited: true, confirmedAt: clock, progress: rr.Progress, pace: fullSpeed,
	}
	p.conf.Logs.Info("run found", "job", j.id, "task", rr.Task.String(), "run", rr.Run, "worker", w.info.ID, "others", len(t.runs))
	surplus := t.done || len(t.runs) >= t.maxRuns() || !j.isOpen()
	t.attach(r)
	w.addRun(r, now)
	p.inheritProbation(r)
	if surplus {
		p.conf.CountEvent(EventSurplus)
		p.requestStop(r)
	}
	j.startOrdered = true
	return r
}

// handleEnd handles the end report of a run.
func (p *Pool) handleEnd(w *worker, e gauge.EndReport, now time.Duration) {
	j := p.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.task(e.Task, now)
	if t == nil {
		return
	}
	if e.Task.Occurrence >= j.nextOccurrence {
		p.conf.Logs.Info("run ended before its occurrence was created", "job", j.id, "task", e.Task.String(), "run", e.Run, "end", e.Ending, "next", j.nextOccurrence)
	}
	j.markStarted()
	t.lastRun = max(t.lastRun, e.Run)
	r := w.findRun(t, e.Run)
	var took time.Duration
	if e.Ending == gauge.EndDone {
		p.settleCopies(t, r, now)
	}
	if r != nil {
		took = now - r.orderedAt
		if e.Ending == gauge.EndDone {
			t.stage.recordRunTime(r, took)
			p.observeRunTime(r, took)
		}
		p.observeEnd(r, e.Ending, took, now)
		r.attempts.listed = true
		p.revokeLoss(r)
		p.endRun(r, now)
	}
	w.holdEnd(t, r, e, now)
	p.conf.CountEvent("run " + string(e.Ending))
	p.conf.Logs.Info("run ended", "job", j.id, "task", e.Task.String(), "run", e.Run, "worker", w.info.ID,
		"end", e.Ending, "number", e.Number, "known", r != nil, "took", took)
	if e.Checkpoint != "" && t.stage.spec.Checkpoints && !t.done && t.takeCheckpoint(r, e.Checkpoint) {
		j.saveCheckpoint(t, e.Checkpoint)
	}
	if r != nil && r.onProbation && t == t.leadTask() && (e.Ending == gauge.EndStopped || e.Ending == gauge.EndGangIncomplete) && t.fewLeft() {
		p.countUnprovenStart(t, e.Run, true, false)
		p.failIfCause(t)
	}
	p.recordOutcome(w, j.id, e.Ending, now)
	switch {
	case t.stage.spec.LongRunning || t.done:
	case e.Ending == gauge.EndDone:
		p.handleDone(j, t, now)
	case e.Ending == gauge.EndFailed:
		p.handleFailure(j, t, e.Run)
	}
	if t.stage.spec.Gang {
		p.stopGang(t, e)
	}
}

// saveCheckpoint keeps the checkpoint of a task that isn't running.
func (j *job) saveCheckpoint(t *task, saved string) {
	if j.row.Checkpoints == nil {
		j.row.Checkpoints = make(map[string]string)
	}
	j.row.Checkpoints[t.key()] = saved
	j.touch(false)
}

func (p *Pool) handleDone(j *job, t *task, now time.Duration) {
	if t.stage.spec.Gang {
		// One end report stands for all members.
		for _, m := range t.stage.tasks {
			if !m.done {
				j.finish(m, now)
			}
		}
	} else {
		j.finish(t, now)
	}
	for _, r := range t.runs {
		p.requestStop(r)
	}
	if j.row.State == gauge.JobCompleted {
		p.conf.CountEvent(EventCompleted)
		p.policy(j)
		took := now - j.arrived
		p.conf.Logs.Info("job completed", "job", j.id, "pool", p.conf.Name, "took", took, "objective", j.objective, "late", took > j.objective)
	}
}

func (p *Pool) handleFailure(j *job, t *task, run int) {
	if j.row.Failures == nil {
		j.row.Failures = make(map[string][]int)
	}
	for _, n := range j.row.Failures[t.key()] {
		if n == run {
			return
		}
	}
	j.row.Failures[t.key()] = append(j.row.Failures[t.key()], run)
	j.touch(false)
	if t.failureCount() >= p.maxAttempts(j) {
		p.conf.CountEvent(EventFailed)
		p.conf.Logs.Info("job failed", "job", j.id, "task", t.id.String(), "failures", t.failureCount(), "bound", p.maxAttempts(j))
		j.fail()
		p.requestJobStop(j)
	}
}

// stopGang stops the runs of a gang of which a member has ended, as the others can't work without
// it, and takes over the checkpoint for all members.
func (p *Pool) stopGang(t *task, e gauge.EndReport) {
	for _, m := range t.stage.tasks {
		for _, r := range m.runs {
			if r.number == e.Run {
				p.requestStop(r)
			}
		}
	}
	if e.Checkpoint == "" {
		return
	}
	for _, m := range t.stage.tasks {
		m.checkpoint = e.Checkpoint
	}
}
