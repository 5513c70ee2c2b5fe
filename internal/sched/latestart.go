package sched

import (
	"math"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// A start without an answer may be carried out seconds later. What an incarnation of its worker has
// answered since (a stop, a report without the run, a clock beyond the start's deadline) bars the
// start only there: the next incarnation knows of no stop and no fencing token, and its clock makes
// nothing of the deadline. If the task had another run by then, it would run twice at once, or
// again after it was done, and nothing could refuse the start before this owner's first call
// reaches that incarnation.
//
// So a start without an answer is repeated with the same run number on the same worker, as a worker
// carries out a run only once however often its start arrives. If it can't be repeated there, the
// run is ended, but its start is kept as a late start: the task waits until that can't be carried
// out any more and nothing of it can run, and whatever the worker's next incarnation does with it
// counts as this run. The ends of such runs are acknowledged later, as a task may start again only if
// its worker restarts with an end that was never acknowledged.

// lateStartSpan is how long after a start failed without an answer it may still be carried out:
// workers leave orders for up to 12 s, as the users specify.
const lateStartSpan = 12 * time.Second

// recordStartOutcome records the outcome of a start. A later incarnation than the one that was
// meant may have answered, or may have if the run was over by then: that one grants a lease of its
// own, and nothing is known of the run until the worker's next report.
func (p *Pool) recordStartOutcome(r *run, err error, mayBeLater bool, now time.Duration) {
	r.attempts.pending--
	mayBeLater = mayBeLater || r.worker.lateStarts[r]
	if err == nil && mayBeLater {
		r.worker.assumeLongestLease(r.worker.earlier, now+p.longestLease())
	}
	switch kind := gauge.KindOf(err); {
	case err == nil && !mayBeLater:
		r.attempts.confirmed = true
	case err == nil:
		r.attempts.later = true
		r.attempts.fail(now)
	case kind == gauge.KindUnknown || kind == gauge.KindInternal:
		r.attempts.fail(now)
	}
	p.dropIfOver(r, now)
}

// mayStartLate reports whether a later incarnation of its worker than the present one may still
// carry out a start of the run. Only a worker that tells when it began starts again under its ID, and
// a ticket is valid for one incarnation only.
func (r *run) mayStartLate(now time.Duration) bool {
	return r.worker.info.StartedAt > 0 && !r.worker.addressReused && !r.hasTicket && r.attempts.mayArrive(now)
}

// longestLease is how long, on the local clock, the longest lease may last that a worker grants.
func (p *Pool) longestLease() time.Duration {
	return time.Duration(float64(p.conf.MaxWorkerLease) / minClockRate)
}

// mayRunUnseen reports whether an incarnation of its worker that this owner hasn't heard may have
// the run, or may have it yet, because it carried out the start late. The last moment at which it
// may do that isn't the end of it: what it starts then runs under a lease of its own. Only an answer
// to a call that was made after that moment tells sooner what runs there.
func (p *Pool) mayRunUnseen(r *run, now time.Duration) bool {
	if r.mayStartLate(now) {
		return true
	}
	return r.mayStartLate(now-p.longestLease()) && r.worker.seenAt < r.attempts.lateUntil()
}

// awaitsOutcome reports whether the outcome of a start that may be carried out by the next
// incarnation isn't known yet.
func (r *run) awaitsOutcome(now time.Duration) bool {
	return r.phase == phaseSent && r.mayStartLate(now)
}

// keepLateStart keeps the start of a run that is over on its worker if another incarnation may still
// carry it out, or may have done so.
func (p *Pool) keepLateStart(r *run, now time.Duration) {
	if !p.mayRunUnseen(r, now) || r.task.done || !r.task.job.isOpen() {
		return
	}
	r.task.lateStarts = append(r.task.lateStarts, r)
	if r.worker.lateStarts == nil {
		r.worker.lateStarts = make(map[*run]bool)
	}
	r.worker.lateStarts[r] = true
	p.index.countUse(r, 1)
	p.conf.Logs.Info("late start kept", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
		"born", r.worker.info.StartedAt, "age", now-r.orderedAt)
}

func (p *Pool) dropLateStart(r *run) {
	if !r.worker.lateStarts[r] {
		return
	}
	delete(r.worker.lateStarts, r)
	p.index.countUse(r, -1)
	r.task.lateStarts = slices.DeleteFunc(r.task.lateStarts, func(o *run) bool { return o == r })
}

// dropIfOver drops a late start of which nothing can run any more.
func (p *Pool) dropIfOver(r *run, now time.Duration) {
	if r.worker.lateStarts[r] && !p.mayRunUnseen(r, now) {
		p.dropLateStart(r)
		p.conf.Logs.Info("late start over", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
			"born", r.worker.info.StartedAt, "age", now-r.attempts.failedAt, "waited", now-r.task.waitingSince(), "unseen", now-r.worker.seenAt)
		r.task.lateOverAt, r.task.lostAt = now, now
	}
}

// expireLateStarts drops the late starts to a worker of which nothing can run any more. If only an
// answer of the worker is missing for that, it is asked.
func (p *Pool) expireLateStarts(w *worker, now time.Duration) {
	for r := range w.lateStarts {
		p.dropIfOver(r, now)
		if w.lateStarts[r] && !r.mayStartLate(now) && !w.silent && !w.dead && now-w.probedAt >= minProbeInterval {
			w.probedAt = now
			p.probe(w, now)
		}
	}
}

// hasLateStarts reports whether a run of the task that is over here may exist, or may begin, on
// another incarnation of its worker. The task doesn't start on that worker, either: if a start there
// got no answer and the worker started again, its next incarnation could carry out both.
func (p *Pool) hasLateStarts(t *task, now time.Duration) bool {
	return slices.ContainsFunc(t.lateStarts, func(r *run) bool { return p.mayRunUnseen(r, now) })
}

// passOnLateStarts makes the late starts to a worker runs that may exist on its next incarnation.
func (p *Pool) passOnLateStarts(previous, next *worker, now time.Duration) {
	for r := range previous.lateStarts {
		p.dropLateStart(r)
		if !p.mayRunUnseen(r, now) {
			r.task.lostAt = now
		} else if !r.task.done && r.task.job.isOpen() {
			r.task.attach(r)
			p.moveToNext(r, next, now)
		}
	}
}

// moveToNext makes a run one that the next incarnation of its worker may have. Its deadline means
// nothing on that one's clock.
func (p *Pool) moveToNext(r *run, next *worker, now time.Duration) {
	p.conf.Logs.Info("run passed on", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", next.info.ID,
		"born", next.info.StartedAt, "before", r.worker.info.StartedAt)
	r.attempts.passOn()
	r.worker, r.phase, r.unanswered, r.startDeadline, r.confirmedAt, r.lastReport = next, phaseUnanswered, true, math.MaxInt64, 0, 0
	r.orderedAt, r.passedOn = now, true // it hasn't begun there yet, or just so
	next.addRun(r, now)
	p.requestStop(r)
}
