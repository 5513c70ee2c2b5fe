package sched

import (
	"math"
	"time"

	gauge "sapphiregauge"
)

// A worker is known by the life that it lives. Whatever names a worker to this package, a row of
// the platform's list, an answer, a row of an owner before, goes through here, where it is
// decided which life is meant: what is known of one is never taken for another's. The newest
// that was heard of counts; what comes of an earlier one is too late.

// current is the worker of a life; nil: that life isn't known, or another has begun.
func (p *Pool) current(l gauge.Life) *worker {
	w := p.workers[l.Worker]
	if w == nil || w.info.Life() != l {
		return nil
	}
	return w
}

// listedAs is the worker that a row of the platform's list names; nil: the row is of an earlier
// life than is known, or doesn't tell of which, and names no worker to use.
func (p *Pool) listedAs(info gauge.Worker) *worker {
	w := p.workers[info.ID]
	switch {
	case w == nil:
		return p.begin(info)
	case w.info.Life().Before(info.Life()):
		return p.succeed(w, info, p.ticked)
	case info.Life().Before(w.info.Life()):
		return nil
	default:
		return w
	}
}

// elsewhere takes in that another pool has a worker. A life that began there isn't this owner's
// to hold, also if it has answered a hold that was meant for the life before.
func (p *Pool) elsewhere(info gauge.Worker) {
	w := p.workers[info.ID]
	if w == nil || info.Life().Before(w.info.Life()) || w.known && info.Life() == w.info.Life() {
		return
	}
	p.over(w, "it has started again in another pool", p.ticked)
}

// answering is the worker whose life has answered to a call; nil: it is over, or another has
// begun since it answered.
func (p *Pool) answering(asked gauge.Life, born int64, now time.Duration) *worker {
	w := p.workers[asked.Worker]
	if w == nil {
		return nil
	}
	of := gauge.Life{Worker: asked.Worker, Born: born}
	switch known := w.info.Life(); {
	case known.Before(of):
		// Of what it is, and has, only its own row tells.
		return p.succeed(w, gauge.Worker{ID: w.info.ID, Born: born, Pool: w.info.Pool, Addr: w.info.Addr, Zone: w.info.Zone, Labels: w.info.Labels}, now)
	case of.Before(known):
		p.conf.Logs.Info("answer of an earlier life", "pool", p.conf.Name, "worker", asked.Worker, "born", born, "newest", known.Born)
		return nil
	case w.gone:
		return nil
	default:
		return w
	}
}

// begin takes in a life of a worker.
func (p *Pool) begin(info gauge.Worker) *worker {
	w := &worker{
		info: info, runs: make(map[*run]bool), expiry: p.inherited(info.Life()), since: p.ticked, emptyUntil: p.conf.Emptied[info.ID],
	}
	w.info.Draining = false // that is taken in with its row
	p.raise(w)
	before, awaited := p.earlier[info.ID]
	if w.follows = awaited && before != info.Life(); w.follows {
		p.replaced = append(p.replaced, before)
		p.lostBefore = true
	}
	p.workers[info.ID] = w
	p.sorted = nil
	p.unheld = append(p.unheld, info)
	return w
}

// succeed takes in that a worker has started again: the life before is over, and what is known
// of it holds no more. Only what was promised of the worker whatever life it lives goes on: it
// is to be emptied, for an order to its machine.
func (p *Pool) succeed(old *worker, info gauge.Worker, now time.Duration) *worker {
	w := p.begin(info)
	w.follows = true
	w.expiry = max(w.expiry, now+p.conf.Longest)
	w.emptyUntil, w.force, w.soonUntil = old.emptyUntil, old.force, old.soonUntil
	w.fence, w.unfenced = p.fence(old), old.unfenced
	if !old.silent || old.unfenced {
		p.raise(w)
	}
	p.conf.Logs.Info("worker started again", "pool", p.conf.Name, "worker", info.ID, "born", info.Born, "before", old.info.Born,
		"runs", len(old.runs), "kept", old.kept, "ends", old.ends)
	p.passOn(old, w)
	p.die(old, "it has started again", now)
	return w
}

// passOn has the next life settle what may have been ordered of the one before and wasn't listed
// there: the order may reach the next life, and its deadline says nothing on another clock.
func (p *Pool) passOn(old, next *worker) {
	if old.gone {
		return
	}
	for r := range old.runs {
		if r.listed > 0 {
			continue
		}
		p.land(r)
		p.endTrial(r)
		old.remove(r)
		old.leave(lostRun{task: r.task, number: r.number, lived: r.lived(), told: r.toldAt > 0, order: r})
		r.lost = true
		r.worker, r.phase, r.unsure, r.until, r.known = next, phaseUnsure, true, math.MaxInt64, 0
		next.add(r)
		p.halt(r)
	}
}

// fence is the fencing token of calls to a worker: the version of a write of this owner's. It
// rises with each life, and whenever the worker doesn't answer: one that starts again knows of
// no token, and would carry out what was meant for the life before, up to seconds later. It never
// reaches the next owner's, who takes the lease by a later write.
func (p *Pool) fence(w *worker) gauge.Fence { return max(p.conf.Fence, w.fence) }

// raise has nothing carried out any more, once the worker has answered, that was sent before. With
// no write since the last time it waits for the next one.
func (p *Pool) raise(w *worker) {
	w.unfenced = p.written <= p.fence(w)
	if !w.unfenced {
		w.fence = p.written
	}
}

// Outdated tells whether a call's fencing token is an earlier one of this owner's own, or was
// for a life that is over, or that this owner has never heard: refused by it the call tells of no
// other owner of this pool. One that was never heard may have been called by another pool's owner,
// who held its life before.
func (p *Pool) Outdated(l gauge.Life, sent gauge.Fence) bool {
	w := p.current(l)
	return w == nil || !w.heard || sent < p.fence(w)
}

// Unheld lists the lives that were begun since it was last asked: a hold is to be kept at each.
func (p *Pool) Unheld() []gauge.Worker {
	list := p.unheld
	p.unheld = nil
	return list
}
