package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/hedge"
	"sapphiregauge/internal/proof"
)

// A task of a speculative step may have two runs at once: its own, and a copy on another worker if
// the first lags behind. The first end as done counts, and the other run is stopped. Elsewhere in
// this package two runs of such a task mean:
//   - Each run counts in its worker's room, the step's bound per worker and its account's use. The
//     pool's demand counts the task once, as no machine is requested for a copy.
//   - As long as one run may exist, the task doesn't wait and isn't started again. If one run fails
//     or is lost, the other one is the task's run.
//   - A start is repeated only if its task has no other run. So a copy's start without an answer is
//     stopped unless its worker lists the run, and its late start is kept like any other.
//   - Crashes are recorded by run number: each run is a start of its own. A suspect gets no copy.
//   - Acknowledgements of ends wait for late starts of either run.

// EventCopyStarted, EventCopyWon and EventCopyLost count copies: each that started is either the
// first run of its task to end as done, or not needed or without a result.
const (
	EventCopyStarted = "copy started"
	EventCopyWon     = "copy won"
	EventCopyLost    = "copy lost"
)

const (
	// copyCheckInterval is the least time between two searches for stragglers, each of which goes
	// over all runs.
	copyCheckInterval = 100 * time.Millisecond
	// inheritedCopyDelay is how long a run that a previous owner started must have been known before
	// it gets a copy.
	inheritedCopyDelay = time.Second
)

// isSpeculative reports whether a task of the stage may have two runs at once.
func (st *stage) isSpeculative() bool {
	return st.spec.Speculative && !st.spec.Gang && !st.spec.LongRunning
}

// maxRuns is how many runs of the task may exist at once.
func (t *task) maxRuns() int {
	if t.stage.isSpeculative() {
		return 2
	}
	return 1
}

// straggler is a run that gets a copy if there is room.
type straggler struct {
	run    *run
	reason hedge.Reason
	state  hedge.Run
	step   hedge.Step
}

// startCopies starts copies of stragglers. It follows the starts of a plan: what those left can't be
// taken by any waiting task now.
func (p *Pool) startCopies(now time.Duration) {
	if p.conf.Disabled.Has(gauge.MechanismCopies) || now >= p.leaseEnd || p.isWindowFull() || now < p.copiesCheckedAt+copyCheckInterval {
		return
	}
	p.copiesCheckedAt = now
	s := p.surveyRuns()
	stragglers := p.stragglers(s, now)
	if len(stragglers) == 0 {
		return
	}
	round := p.newRound(now)
	for i := range stragglers {
		if p.isWindowFull() || !hedge.MayCopy(s.tasks, s.copies) {
			return
		}
		if p.startCopy(&stragglers[i], round, now) {
			s.copies++
		}
	}
}

// runSurvey is what all runs of a pool show together.
type runSurvey struct {
	tasks      int                      // tasks with a run
	copies     int                      // of these, tasks with two
	progressed map[string]time.Duration // by queue: when one of its runs last progressed
	single     []*run                   // the only runs of their tasks, of speculative steps
}

func (p *Pool) surveyRuns() runSurvey {
	s := runSurvey{progressed: make(map[string]time.Duration)}
	for _, w := range p.workersByID() {
		for r := range w.runs {
			t := r.task
			if r.hasProgressed() {
				s.progressed[t.job.queue] = max(s.progressed[t.job.queue], r.progressedAt)
			}
			if t.runs[0] != r {
				continue // counted with the other run
			}
			s.tasks++
			switch {
			case len(t.runs) > 1:
				s.copies++
			case t.stage.isSpeculative():
				s.single = append(s.single, r)
			}
		}
	}
	return s
}

// hasProgressed reports whether the run has progressed since its worker first listed it, or between its
// start and that.
func (r *run) hasProgressed() bool {
	return r.progressedAt > r.listedAt || r.progress > 0 && !r.inherited
}

// stragglers returns the runs that lag behind and may have a copy, those that are furthest beyond
// their expected time first.
func (p *Pool) stragglers(s runSurvey, now time.Duration) []straggler {
	var found []straggler
	for _, r := range s.single {
		if !p.mayHaveCopy(r, now) {
			continue
		}
		step := r.task.stage.hedgeStep()
		state := r.hedgeState(s.progressed[r.task.job.queue], now)
		reason := state.Judge(step)
		if reason == hedge.ReasonNone || reason == hedge.ReasonSilent && r.minRunTime() < proof.StartPhase {
			continue // a worker that is silent so soon after the start may have been crashed by it
		}
		found = append(found, straggler{run: r, reason: reason, state: state, step: step})
	}
	slices.SortFunc(found, func(a, b straggler) int {
		if c := cmp.Compare(b.overrun(now), a.overrun(now)); c != 0 {
			return c
		}
		return cmp.Compare(a.run.task.id.String(), b.run.task.id.String())
	})
	return found
}

// overrun is how often the expected time of its run has passed.
func (s *straggler) overrun(now time.Duration) float64 {
	return float64(now-s.run.orderedAt) / float64(max(s.step.Expected(), time.Millisecond))
}

// mayHaveCopy reports whether the only run of a task may get a copy, however late it is.
func (p *Pool) mayHaveCopy(r *run, now time.Duration) bool {
	t := r.task
	switch {
	case t.done || !t.job.isOpen() || t.copied:
		return false
	case r.phase != phaseLive || r.toStop || !r.attempts.listed || r.passedOn || r.mayStartLate(now) || len(t.lateStarts) > 0:
		return false
	case r.inherited && now < r.orderedAt+inheritedCopyDelay || p.mayHaveUnreportedRun(t):
		return false // the previous owner may have started a copy
	case t.failureCount() > 0:
		return false
	}
	return !t.isSuspect && !r.onProbation && t.pendingLosses == 0 && t.unclearRuns == 0 && t.suspectRuns().CrashCount() == 0
}

// hedgeStep returns what is known of the stage's runs.
func (st *stage) hedgeStep() hedge.Step {
	median, ended := st.medianRunTime(nil)
	return hedge.Step{Tasks: len(st.tasks), Ended: ended, Median: median, Estimate: st.spec.Estimate}
}

// hedgeState returns what is known of a run. ProgressedAt is when one of its queue last progressed.
func (r *run) hedgeState(progressedAt, now time.Duration) hedge.Run {
	steadySince := max(r.progressedAt, r.orderedAt)
	s := hedge.Run{
		Elapsed: max(0, r.reportedAt-r.orderedAt), Unheard: now - r.reportedAt, Progress: r.progress,
		Steady: max(0, r.reportedAt-steadySince), Behind: max(progressedAt, r.task.stage.lastDoneAt) - steadySince,
	}
	if r.worker.silent {
		s.Silent = now - r.worker.silentSince
	}
	return s
}

// startCopy starts a copy of a straggler, and reports whether there was a place for it.
func (p *Pool) startCopy(s *straggler, round *placementRound, now time.Duration) bool {
	t := s.run.task
	c := candidate{job: t.job, stage: t.stage, advice: p.advice(t.job)}
	w := p.placeCopy(&c, s.run, round, now)
	if w == nil || !p.mayUse(t.job, t.stage.spec.Needs) {
		return false
	}
	r := p.orderStart(&c, t, w, t.lastRun+1, now)
	if r == nil {
		return false
	}
	r.isCopy = true
	p.conf.CountEvent(EventCopyStarted)
	p.conf.Logs.Info("copy starts", "job", t.id.Job, "task", t.id.String(), "run", r.number, "worker", w.info.ID,
		"beside", s.run.worker.info.ID, "reason", s.reason, "elapsed", now-s.run.orderedAt, "expected", s.step.Expected())
	return true
}

// placeCopy picks a worker for a copy, on another rack if one has room. It asks for no advice: tickets
// that the step's other tasks have obtained will do. A worker with late starts is left out, as its
// next incarnation could carry them out beside the copy.
func (p *Pool) placeCopy(c *candidate, r *run, round *placementRound, now time.Duration) *worker {
	allowed := p.withinWorkerWindow(c.allowedWorkers(now))
	perWorker := c.stage.countByWorker()
	elsewhere := func(w *worker) bool { return w != r.worker && len(w.lateStarts) == 0 && allowed(w) }
	otherRack := func(w *worker) bool { return w.info.Rack() != r.worker.info.Rack() && elsewhere(w) }
	if w := round.place(c.stage, perWorker, nil, otherRack); w != nil {
		return w
	}
	return round.place(c.stage, perWorker, nil, elsewhere)
}
