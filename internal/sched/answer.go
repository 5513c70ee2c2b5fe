package sched

import (
	"math"
	"time"

	gauge "sapphiregauge"
)

// Answered takes in the outcome of an order.
func (p *Pool) Answered(o Order, clock time.Duration, err error, now time.Duration) {
	r := o.run
	if o.odd != nil {
		p.oddAnswered(o.odd, clock, err, now)
	}
	if r == nil {
		return
	}
	if r.worker.info.Life() != o.Worker.Life() {
		p.answeredTooLate(o, err, now)
		return
	}
	if (clock > 0 || err == nil) && r.worker.cannotShow(clock, r.sent) {
		p.answeredByAnother(o)
		return
	}
	r.worker.read(clock, now)
	switch o.Kind {
	case OrderStart:
		p.land(r)
		p.started(r, clock, err, now)
	case OrderStop:
		r.asked = false
		if err == nil {
			r.phase = phaseStopping
			r.known = max(r.known, clock)
			if r.unsure {
				p.look(r.worker)
			}
		}
	case OrderPace:
		r.pacing = false
		if err != nil {
			r.paced = unpaced
		}
	}
	if gauge.Is(err, gauge.KindReplaced) {
		p.over(r.worker, "another life answers at its address", now)
	}
	if err != nil {
		p.conf.Logs.Info("order failed", "order", o.Kind, "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
			"worker", r.worker.info.ID, "kind", gauge.KindOf(err), "error", err.Error())
	}
}

// answeredTooLate takes in the outcome of an order to a life that is over. Which life was it
// that answered isn't known: only a refusal says something of the run, as it was no start then.
func (p *Pool) answeredTooLate(o Order, err error, now time.Duration) {
	r := o.run
	kind := gauge.KindOf(err)
	switch {
	case o.Kind == OrderStop:
		r.asked = false
	case o.Kind == OrderPace:
		r.pacing = false
	case err != nil && kind != gauge.KindUnknown && kind != gauge.KindInternal && r.worker.runs[r]:
		p.spare(r)
		p.end(r, now)
	}
	p.conf.Logs.Info("order to an earlier life", "order", o.Kind, "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
		"worker", o.Worker.ID, "born", o.Worker.Born, "kind", kind)
}

// lateSpan is how long after a start that got no answer it may still be carried out, by a next life of
// its worker: for that one its deadline says nothing. Workers leave orders waiting for some 6 s.
const lateSpan = 8 * time.Second

// mayStillCome tells whether a start may be carried out yet by a life that nobody has heard of. That
// the lease of the one before has run out says nothing of it.
func (r *run) mayStillCome(now time.Duration) bool {
	return (r.phase == phaseSent || r.unsure) && r.listed == 0 && now < r.sent+lateSpan
}

// clockSlack covers what a worker's clock may have been read wrong by.
const clockSlack = time.Second

// cannotShow tells whether a clock that an order was answered with can't be this life's: it shows less
// than when the run was ordered. A later life of the worker has answered.
func (w *worker) cannotShow(clock, sent time.Duration) bool {
	return w.clock > 0 && clock < w.clockAt(sent)-clockSlack
}

// answeredByAnother takes in that a later life than is known has carried out an order. Its next
// report tells; till then nothing is known of the run.
func (p *Pool) answeredByAnother(o Order) {
	r := o.run
	r.asked, r.pacing = false, false
	if o.Kind == OrderStart {
		p.land(r)
		r.phase, r.unsure, r.until = phaseUnsure, true, math.MaxInt64
		r.worker.mute = true
	}
	p.look(r.worker)
	p.conf.Logs.Info("order answered by a later life", "order", o.Kind, "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
		"worker", o.Worker.ID, "born", o.Worker.Born)
}

// spare takes back that a run was lost with a life that is over: its order reached the next one,
// or none.
func (p *Pool) spare(r *run) {
	if !r.lost {
		return
	}
	r.lost, r.spared = false, true
	p.acquit(r.task, r.number)
}

// arrive takes in that a worker lists a run. One that was ordered of the life before goes on in
// the next, unless its stop is on its way.
func (p *Pool) arrive(r *run) {
	if !r.lost {
		return
	}
	p.spare(r)
	if !r.asked && !r.task.done && r.task.job.open() {
		r.stop = false
		delete(p.halts, r)
	}
}

// Void tells whether a start that hasn't been sent yet is of no use any more: its run is
// to end, or it would surely come too late. Its outcome is KindLate then.
func (p *Pool) Void(o Order, now time.Duration) bool {
	if o.Kind != OrderStart {
		return false
	}
	r := o.run
	return r.stop || !r.worker.runs[r] || r.worker.clockAt(now) > r.until
}

// restAfterRefusal is how long a worker that refused a start gets no other.
// Several holds fit in, so that what it has free is known again.
const restAfterRefusal = 500 * time.Millisecond

func (p *Pool) started(r *run, clock time.Duration, err error, now time.Duration) {
	if !r.worker.runs[r] {
		return // its end came first
	}
	if err == nil {
		p.alive(r, clock, now)
		return
	}
	switch gauge.KindOf(err) {
	case gauge.KindUnknown, gauge.KindInternal:
		r.phase, r.unsure = phaseUnsure, true
		r.worker.mute = true // it would be the first choice for the next start
		p.look(r.worker)
	case gauge.KindStale:
		r.task.lastRun++
		p.end(r, now)
	case gauge.KindOutage:
		r.worker.mute = true // nobody listens there, or this host can't connect
		p.end(r, now)
	case gauge.KindLate, gauge.KindReplaced, gauge.KindFenced:
		p.end(r, now)
	case gauge.KindTicket:
		delete(r.task.stage.advised.tickets, r.worker.info.Life())
		delete(r.task.stage.advised.asked, r.worker.info.Life())
		p.end(r, now)
	default:
		p.end(r, now)
		r.worker.rest = now + restAfterRefusal
	}
	if r.task.stage.spec.Gang {
		p.endGang(r.task, gauge.EndReport{Run: r.number})
	}
}

// look asks what runs on a worker: a run that was never there has no end that a
// waiting hold would tell. It acknowledges no ends, as a hold does that too.
func (p *Pool) look(w *worker) {
	p.orders = append(p.orders, Order{
		Kind: OrderLook, Worker: w.info, Look: gauge.HoldCall{Fence: p.fence(w)},
	})
}

func (p *Pool) alive(r *run, clock, now time.Duration) {
	if r.phase == phaseSent {
		r.phase = phaseLive
	}
	r.task.job.told()
	r.known, r.toldAt = max(r.known, clock), now
	r.worker.heardAt = now
}
