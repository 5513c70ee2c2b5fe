package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/speed"
)

// workerSpeed is how starts treat a worker because of its speed, as of its last check. It is kept
// with the worker because each plan reads it of all workers.
type workerSpeed struct {
	kind         speed.Kind    // "": not checked yet
	changedAt    time.Duration // when kind last changed
	checkedAt    time.Duration
	stalledAt    time.Duration // when its last back-off began; 0: never
	stalledUntil time.Duration // it gets no starts before
	trialRun     *run          // its run on trial
	progressedAt time.Duration // when any of its runs last progressed or was done
}

// scoreSlow makes a slow worker the last choice: it outweighs scoreRack, as a task on a slow worker
// takes at least as long as on a rack without its data, and scoreSpread of many tasks.
const scoreSlow = 1e6

// minSpeedCheckInterval is the least time between two checks of a worker. A worker whose runs are
// short reports at each end, far more often than its state can change.
const minSpeedCheckInterval = 200 * time.Millisecond

// checkSpeed looks for stragglers and runs without progress on a worker that has just reported, and
// updates how starts treat it.
func (p *Pool) checkSpeed(w *worker, now time.Duration) {
	if p.conf.Disabled.Has(gauge.MechanismSlow) || now < w.speed.checkedAt+minSpeedCheckInterval {
		return
	}
	w.speed.checkedAt = now
	stall := speed.Stall{At: now}
	for r := range w.runs {
		if r.phase != phaseLive || !r.showsSpeed() || !w.speed.isNews(r) {
			continue
		}
		p.observeStraggler(r, now)
		if p.hasStalled(r) {
			stall.Runs++
			stall.Quiet = max(stall.Quiet, now-r.progressedAt)
		}
	}
	stall.Quiet = min(stall.Quiet, now-w.speed.progressedAt)
	if p.isTrialUndecided(w) {
		p.speeds.ExtendTrial(w.info.ID, now)
	}
	if p.speeds.Stalled(w.info.ID, stall) {
		w.speed.stalledAt = now
	}
	p.updateSpeed(w, now)
}

// isTrialUndecided reports whether a worker's run on trial hasn't progressed yet.
func (p *Pool) isTrialUndecided(w *worker) bool {
	r := w.speed.trialRun
	return r != nil && r.progressedAt <= r.listedAt
}

// isNews reports whether a run says something about its worker that its last stall didn't: it
// started or progressed since.
func (s *workerSpeed) isNews(r *run) bool {
	return s.stalledAt == 0 || r.orderedAt > s.stalledAt || r.progressedAt > max(s.stalledAt, r.listedAt)
}

// updateSpeed takes over the state of a worker and reports changes.
func (p *Pool) updateSpeed(w *worker, now time.Duration) {
	s := p.speeds.State(w.info.ID, now)
	before, newBackoff := w.speed.kind, s.Kind == speed.Stalled && s.Until != w.speed.stalledUntil
	if before == "" {
		before = speed.Normal
	}
	if s.Kind == before && !newBackoff {
		return
	}
	took := now - w.speed.changedAt
	w.speed.kind, w.speed.changedAt = s.Kind, now
	switch {
	case newBackoff:
		w.speed.stalledUntil = s.Until
		p.reportSpeed(w, EventWorkerStalled, s, s.Until-now)
	case s.Kind == speed.Slow:
		p.reportSpeed(w, EventWorkerSlow, s, 0)
	case s.Kind == speed.Normal:
		w.speed.trialRun = nil
		p.reportSpeed(w, EventWorkerRecovered, s, took)
	}
}

// reportSpeed counts and logs a change of a worker's state. Span is the length of its back-off or
// how long it was in the previous state.
func (p *Pool) reportSpeed(w *worker, event string, s speed.State, span time.Duration) {
	p.conf.CountEvent(event)
	p.conf.Logs.Info(event, "pool", p.conf.Name, "worker", w.info.ID, "ratio", s.Ratio, "runs", s.Runs, "for", span)
}

// onTrial reports whether the worker takes one run at a time once its back-off is over.
func (s *workerSpeed) onTrial() bool { return s.kind == speed.Stalled || s.kind == speed.Trial }

// hasTrialRun reports whether the worker takes no further run because one is on trial there.
func (s *workerSpeed) hasTrialRun() bool { return s.trialRun != nil && s.onTrial() }

// admits reports whether a task of a stage may start on the worker, beside what a plan has reserved
// there. A worker on trial takes one run that ends by itself: a long-running task would never
// decide the trial, a gang would wait for a member that doesn't progress, and a best-effort task may
// be slowed down to nothing.
func (s *workerSpeed) admits(st *stage, taken gauge.Resources) bool {
	if !s.onTrial() {
		return true
	}
	endsByItself := !st.spec.LongRunning && !st.spec.Gang && !st.spec.BestEffort
	return endsByItself && s.trialRun == nil && taken == (gauge.Resources{})
}

// addStart records a start on the worker.
func (s *workerSpeed) addStart(r *run) {
	if s.onTrial() && s.trialRun == nil {
		s.trialRun = r
	}
}

// removeRun records that a run is over.
func (s *workerSpeed) removeRun(r *run) {
	if s.trialRun == r {
		s.trialRun = nil
	}
}
