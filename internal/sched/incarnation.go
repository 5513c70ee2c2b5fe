package sched

import (
	"time"

	gauge "sapphiregauge"
)

// A worker is identified by its incarnation. Whatever names a worker to this package (a row of the
// platform's list, an answer, a row that a previous owner wrote) goes through this file, which
// decides which incarnation is meant, so that what is known of one is never applied to another. The
// newest known incarnation counts; anything from an earlier one is too late.

// current returns the worker of an incarnation; nil if that incarnation isn't known or isn't the
// newest.
func (p *Pool) current(incarnation gauge.Incarnation) *worker {
	w := p.workers[incarnation.Worker]
	if w == nil || w.info.Incarnation() != incarnation {
		return nil
	}
	return w
}

// listedAs returns the worker that a row of the platform's list names; nil if the row is of an
// earlier incarnation than is known, or doesn't say of which, so that it names no usable worker.
func (p *Pool) listedAs(info gauge.Worker) *worker {
	w := p.workers[info.ID]
	switch {
	case w == nil:
		return p.addIncarnation(info)
	case w.info.Incarnation().IsBefore(info.Incarnation()):
		return p.replaceIncarnation(w, info, p.lastTick)
	case info.Incarnation().IsBefore(w.info.Incarnation()):
		return nil
	default:
		return w
	}
}

// handleListedElsewhere handles a worker that is listed in another pool. An incarnation that began
// there isn't this owner's, even if it has answered a heartbeat that was meant for the previous
// one.
func (p *Pool) handleListedElsewhere(info gauge.Worker) {
	if _, expected := p.staleLeases[info.ID]; !expected && p.awaitsEarlier(info.Incarnation()) {
		p.expectStaleLease(info.Incarnation(), p.unreported[info.ID])
	}
	w := p.workers[info.ID]
	if w == nil || info.Incarnation().IsBefore(w.info.Incarnation()) || w.listedHere && info.Incarnation() == w.info.Incarnation() {
		return
	}
	p.retireWorker(w, "restarted in another pool", p.lastTick)
}

// workerThatAnswered returns the worker whose incarnation has answered a call; nil if the
// incarnation is dead or no longer the newest.
func (p *Pool) workerThatAnswered(incarnation gauge.Incarnation, startedAt int64, now time.Duration) *worker {
	w := p.workers[incarnation.Worker]
	if w == nil {
		return nil
	}
	answered := gauge.Incarnation{Worker: incarnation.Worker, StartedAt: startedAt}
	switch known := w.info.Incarnation(); {
	case known.IsBefore(answered):
		// Its capacity and state are known only from its own row in the platform's list.
		return p.replaceIncarnation(w, gauge.Worker{ID: w.info.ID, StartedAt: startedAt, Pool: w.info.Pool, Addr: w.info.Addr, Zone: w.info.Zone, Labels: w.info.Labels}, now)
	case answered.IsBefore(known):
		p.conf.Logs.Info("answer of an earlier life", "pool", p.conf.Name, "worker", incarnation.Worker, "born", startedAt, "newest", known.StartedAt)
		return nil
	case w.dead:
		return nil
	default:
		return w
	}
}

// addIncarnation adds an incarnation of a worker.
func (p *Pool) addIncarnation(info gauge.Worker) *worker {
	w := &worker{
		info: info, runs: make(map[*run]bool), leaseExpiry: p.inheritedExpiry(info.Incarnation()), knownSince: p.lastTick, drainUntil: p.conf.DrainedUntil[info.ID],
	}
	w.info.Draining = false // handled with its row in the platform's list
	p.raiseFence(w)
	if p.awaitsEarlier(info.Incarnation()) {
		p.expectStaleLease(info.Incarnation(), p.unreported[info.ID])
	}
	if stale, expected := p.staleLeases[info.ID]; expected {
		w.assumeLongestLease(stale.earlier, stale.end)
	}
	previous, awaited := p.unreported[info.ID]
	if w.staleCallsPossible = awaited && previous != info.Incarnation(); w.staleCallsPossible {
		p.replacedUnreported = append(p.replacedUnreported, previous)
		p.lostUnreported, p.unheardLostAt = true, p.lastTick
	}
	p.workers[info.ID] = w
	p.speeds.Forget(info.ID)
	p.sortedWorkers = nil
	p.newIncarnations = append(p.newIncarnations, info)
	return w
}

// replaceIncarnation records that a worker has restarted: the previous incarnation is dead, and
// what is known of it no longer applies. Only drain requests, which concern its machine, the
// fencing token and runs that it never listed (passOnUnlistedRuns) are carried over.
func (p *Pool) replaceIncarnation(previous *worker, info gauge.Worker, now time.Duration) *worker {
	w := p.addIncarnation(info)
	w.staleCallsPossible = true
	w.assumeLongestLease(previous.info.Incarnation(), now+p.longestLease())
	w.drainUntil, w.forceDrain, w.drainSoonUntil = previous.drainUntil, previous.forceDrain, previous.drainSoonUntil
	w.releasedUntil = previous.releasedUntil
	w.fence, w.fencePending = p.fence(previous), previous.fencePending
	if !previous.silent || previous.fencePending {
		p.raiseFence(w)
	}
	p.conf.Logs.Info("worker started again", "pool", p.conf.Name, "worker", info.ID, "born", info.StartedAt, "before", previous.info.StartedAt,
		"runs", len(previous.runs), "kept", previous.lastStoredEnd, "ends", previous.lastEnd)
	p.passOnUnlistedRuns(previous, w, now)
	p.markDead(previous, "restarted", now)
	p.passOnLateStarts(previous, w, now)
	return w
}

// passOnUnlistedRuns moves runs that the previous incarnation never listed to the next one, which
// may receive their orders: their deadlines mean nothing on its clock.
func (p *Pool) passOnUnlistedRuns(previous, next *worker, now time.Duration) {
	if previous.dead {
		return
	}
	for r := range previous.runs {
		if r.lastReport > 0 {
			continue
		}
		p.removeInFlight(r)
		p.endIsolation(r)
		previous.removeRun(r, now)
		previous.addLost(lostRun{task: r.task, number: r.number, minRunTime: r.minRunTime(), reported: r.reportedAt > 0, passedOn: r})
		r.lost = true
		p.moveToNext(r, next, now)
	}
}

// fence is the fencing token for calls to a worker: the version of one of this owner's writes. It
// rises with each incarnation and whenever the worker doesn't answer, because a worker that
// restarts knows of no token and would carry out calls for its previous incarnation up to seconds
// later. It never reaches the successor's token, as a successor takes the lease by a later write.
func (p *Pool) fence(w *worker) gauge.FencingToken { return max(p.conf.Fence, w.fence) }

// raiseFence gives a worker a higher token, so that earlier calls are refused once the worker has
// answered. Without a write since the last time it waits for the next one.
func (p *Pool) raiseFence(w *worker) {
	w.fencePending = p.leaseRowVersion <= p.fence(w)
	if !w.fencePending {
		w.fence = p.leaseRowVersion
	}
}

// IsOutdated reports whether a call's fencing token is an earlier one of this owner's own, or
// whether the call was for an incarnation that is dead or has never reported to this owner. The
// refusal of such a call doesn't show that this pool has another owner. An incarnation that has
// never reported may have been called by the owner of another pool, which had its previous
// incarnation.
func (p *Pool) IsOutdated(incarnation gauge.Incarnation, sent gauge.FencingToken) bool {
	w := p.current(incarnation)
	return w == nil || !w.reported || sent < p.fence(w)
}

// NewIncarnations returns the incarnations that began since the last call; each needs heartbeats.
func (p *Pool) NewIncarnations() []gauge.Worker {
	list := p.newIncarnations
	p.newIncarnations = nil
	return list
}
