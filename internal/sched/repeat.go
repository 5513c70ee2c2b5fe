package sched

import (
	"time"

	gauge "sapphiregauge"
)

// A start without an answer is repeated with the same run number on the same incarnation of its
// worker: that is the only place where it can't add a second run, see latestart.go.

// maxStarts is how often a start is sent to a worker that doesn't answer it.
const maxStarts = 4

// repeatOrStop handles a start without an answer whose run its worker doesn't list.
func (p *Pool) repeatOrStop(r *run, now time.Duration) {
	if p.mayRepeat(r, now) {
		p.toRepeat[r] = true
		p.repeatIfPossible(r, now)
		return
	}
	p.giveUpStart(r)
}

// giveUpStart has a start without an answer stopped. Once the stop is answered this incarnation
// doesn't carry out the start any more, which is known sooner than that its deadline has passed.
func (p *Pool) giveUpStart(r *run) {
	p.requestStop(r)
	if r.task.stage.spec.Gang {
		p.stopGang(r.task, gauge.EndReport{Run: r.number})
	}
}

// mayRepeat reports whether a start may be repeated on its worker, now or later.
func (p *Pool) mayRepeat(r *run, now time.Duration) bool {
	w, t := r.worker, r.task
	if !r.mayStartLate(now) || r.attempts.sent >= maxStarts || r.attempts.later || r.passedOn || r.toStop || t.done || !t.job.isOpen() || len(t.runs) > 1 {
		return false
	}
	return w.runs[r] && !w.dead && !w.info.Draining && now >= w.drainUntil
}

// repeatStarts repeats the starts that had to wait until their workers take starts.
func (p *Pool) repeatStarts(now time.Duration) {
	for r := range p.toRepeat {
		p.repeatIfPossible(r, now)
	}
}

// repeatIfPossible repeats a start if its worker takes starts now, and gives it up if it can't be
// repeated any more.
func (p *Pool) repeatIfPossible(r *run, now time.Duration) {
	w := r.worker
	switch {
	case r.phase != phaseUnanswered || !w.runs[r]:
		delete(p.toRepeat, r)
	case !p.mayRepeat(r, now):
		delete(p.toRepeat, r)
		p.giveUpStart(r)
	case now < p.grantLimit && !p.isWindowFull() && p.withinWorkerWindow(anyWorker)(w) && w.takesStarts(now) && w.info.Capacity.Contains(w.used):
		delete(p.toRepeat, r)
		p.repeatStart(r, now)
	}
}

// repeatStart sends a run's start once more.
func (p *Pool) repeatStart(r *run, now time.Duration) {
	c := candidate{job: r.task.job, stage: r.task.stage, advice: p.advice(r.task.job)}
	ticketText, ok := c.ticketFor(r.worker, now)
	until := r.worker.grant(now, min(p.conf.StartTimeout, p.grantLimit-now))
	if !ok || until == 0 {
		p.giveUpStart(r)
		return
	}
	r.phase, r.orderedAt, r.startDeadline = phaseSent, now, until
	p.addInFlight(r)
	p.conf.Logs.Info("start repeated", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
		"born", r.worker.info.StartedAt, "sent", r.attempts.sent)
	p.sendStart(r, ticketText)
}
