package sched

import (
	"math"
	"time"

	gauge "sapphiregauge"
)

// OrderAnswered handles the outcome of an order.
func (p *Pool) OrderAnswered(o Order, clock time.Duration, err error, now time.Duration) {
	r := o.run
	if o.orphan != nil {
		p.orphanAnswered(o.orphan, clock, err, now)
	}
	if r == nil {
		return
	}
	isCurrent := r.worker.info.Incarnation() == o.Worker.Incarnation()
	byLater := isCurrent && (clock > 0 || err == nil) && r.worker.clockRegressed(clock, r.orderedAt)
	if o.Kind == OrderStart {
		p.recordStartOutcome(r, err, !isCurrent || byLater, now)
	}
	if !isCurrent {
		p.answeredAfterRestart(o, err, now)
		return
	}
	if byLater {
		p.answeredByLaterIncarnation(o, now)
		return
	}
	r.worker.readClock(clock, now)
	switch o.Kind {
	case OrderStart:
		p.removeInFlight(r)
		p.startAnswered(r, clock, err, now)
	case OrderStop:
		r.stopInFlight = false
		if err == nil {
			r.phase = phaseStopping
			r.confirmedAt = max(r.confirmedAt, clock)
			if r.unanswered {
				p.conf.Logs.Info("stop answered", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
					"worker", r.worker.info.ID, "born", r.worker.info.StartedAt)
				p.probe(r.worker, now)
			}
		}
	case OrderPace:
		r.paceInFlight = false
		if err != nil {
			r.pace = paceUnknown
		}
	}
	if gauge.IsKind(err, gauge.KindReplaced) {
		p.retireAddress(r.worker, now)
	}
	if err != nil {
		p.conf.Logs.Info("order failed", "order", o.Kind, "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
			"worker", r.worker.info.ID, "kind", gauge.KindOf(err), "error", err.Error())
	}
}

// answeredAfterRestart handles the outcome of an order whose run has been passed on to the worker's
// next incarnation since. Which incarnation has answered isn't known. Only a refusal says something
// about the run, as nothing was started then.
func (p *Pool) answeredAfterRestart(o Order, err error, now time.Duration) {
	r := o.run
	kind := gauge.KindOf(err)
	switch {
	case o.Kind == OrderStop:
		r.stopInFlight = false
	case o.Kind == OrderPace:
		r.paceInFlight = false
	case err != nil && !r.attempts.mayExist(now) && r.worker.runs[r]:
		p.revokeLoss(r)
		p.endRun(r, now)
	}
	p.conf.Logs.Info("order to an earlier life", "order", o.Kind, "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
		"worker", o.Worker.ID, "born", o.Worker.StartedAt, "kind", kind)
}

// clockSlack covers the error in reading a worker's clock.
const clockSlack = time.Second

// clockRegressed reports whether the clock in an answer to an order can't be this incarnation's: it
// shows less than when the run was ordered, so that a later incarnation has answered.
func (w *worker) clockRegressed(clock, orderedAt time.Duration) bool {
	return w.clock > 0 && clock < w.minClockAt(orderedAt)-clockSlack
}

// answeredByLaterIncarnation handles an order that a later incarnation than the known one has
// carried out. Nothing is known of the run until its next report.
func (p *Pool) answeredByLaterIncarnation(o Order, now time.Duration) {
	r := o.run
	r.stopInFlight, r.paceInFlight = false, false
	if o.Kind == OrderStart {
		p.removeInFlight(r)
		r.phase, r.unanswered, r.startDeadline = phaseUnanswered, true, math.MaxInt64
		r.worker.startUnanswered = true
	}
	p.probe(r.worker, now)
	p.conf.Logs.Info("order answered by a later incarnation", "order", o.Kind, "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
		"worker", o.Worker.ID, "born", o.Worker.StartedAt)
}

// revokeLoss corrects the record of a run that was taken for lost with a dead incarnation: its
// order reached the next incarnation, or none.
func (p *Pool) revokeLoss(r *run) {
	if !r.lost {
		return
	}
	r.lost, r.lossRevoked = false, true
	p.dropUnconfirmed(r.task, r.number)
}

// confirmListed handles a run that a worker lists. If it was ordered from the previous incarnation,
// it goes on in this one unless its stop is in flight.
func (p *Pool) confirmListed(r *run) {
	if !r.passedOn {
		return
	}
	r.passedOn = false
	if !r.attempts.repeated {
		p.revokeLoss(r) // otherwise another of its starts may have crashed the previous incarnation
	}
	if !r.stopInFlight && len(r.task.runs) == 1 && !r.task.done && r.task.job.isOpen() {
		r.toStop = false
		delete(p.toStop, r)
	}
}

// IsObsolete reports whether a start that hasn't been sent yet is pointless: its run is to end, or
// it would certainly arrive too late. The caller then reports its outcome as KindPastDeadline.
func (p *Pool) IsObsolete(o Order, now time.Duration) bool {
	if o.Kind != OrderStart {
		return false
	}
	r := o.run
	return r.toStop || !r.worker.runs[r] || r.worker.minClockAt(now) > r.startDeadline
}

// refusalBackoff is how long a worker that refused a start gets no other. That is time for several
// heartbeats, after which its free capacity is known again.
const refusalBackoff = 500 * time.Millisecond

func (p *Pool) startAnswered(r *run, clock time.Duration, err error, now time.Duration) {
	if !r.worker.runs[r] {
		return // its end came first
	}
	if err == nil {
		p.confirmStarted(r, clock, now)
		return
	}
	if gauge.IsKind(err, gauge.KindBadTicket) {
		delete(r.task.stage.advice.tickets, r.worker.info.Incarnation())
		delete(r.task.stage.advice.queriedAt, r.worker.info.Incarnation())
	}
	kind := gauge.KindOf(err)
	switch {
	case kind == gauge.KindUnknown, kind == gauge.KindInternal:
		p.startUnanswered(r, now)
	case r.attempts.listed || r.attempts.confirmed: // another of its starts was carried out
		r.phase = phaseLive
		return
	case r.attempts.sent > 1 && r.mayStartLate(now): // another of its starts may be carried out
		r.worker.backoffUntil = max(r.worker.backoffUntil, now+refusalBackoff)
		p.startUnanswered(r, now)
	case kind == gauge.KindStale:
		r.task.lastRun++
		p.endRun(r, now)
	case kind == gauge.KindOutage:
		r.worker.startUnanswered = true // nothing listens there, or this host can't connect
		p.endRun(r, now)
	case kind == gauge.KindPastDeadline, kind == gauge.KindReplaced, kind == gauge.KindFenced, kind == gauge.KindBadTicket:
		p.endRun(r, now)
	default:
		p.endRun(r, now)
		r.worker.backoffUntil = now + refusalBackoff
	}
	if r.task.stage.spec.Gang && !p.mayRepeat(r, now) {
		p.stopGang(r.task, gauge.EndReport{Run: r.number})
	}
}

// startUnanswered handles a start of which it isn't known whether it was carried out.
func (p *Pool) startUnanswered(r *run, now time.Duration) {
	r.phase, r.unanswered = phaseUnanswered, true
	r.worker.startUnanswered = true // otherwise it would be the first choice for the next start
	p.probe(r.worker, now)
}

// probe asks a worker at once for its runs: a run that never began there reports no end, so that an
// open heartbeat would be answered only after its wait. It acknowledges no end reports, as
// heartbeats do that.
func (p *Pool) probe(w *worker, now time.Duration) {
	p.orders = append(p.orders, Order{
		Kind: OrderProbe, Worker: w.info, Probe: gauge.Heartbeat{Fence: p.fence(w), SentAt: now},
	})
}

func (p *Pool) confirmStarted(r *run, clock, now time.Duration) {
	if r.phase == phaseSent {
		r.phase = phaseLive
	}
	r.task.job.markStarted()
	r.confirmedAt, r.reportedAt = max(r.confirmedAt, clock), now
	r.worker.answeredAt = now
}
