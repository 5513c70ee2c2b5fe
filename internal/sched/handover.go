package sched

import (
	"time"

	gauge "sapphiregauge"
)

// What one owner of a pool must know of the orders of those before it.

// inheritedExpiry is when all grants of previous owners to a worker have certainly expired. A
// worker has a single lease for all its runs, which never gets shorter, so their grants also cover
// what this owner starts.
func (p *Pool) inheritedExpiry(incarnation gauge.Incarnation) time.Duration {
	if p.conf.Term == 0 {
		return 0
	}
	return p.previousRunsEnd(incarnation)
}

// previousRunsEnd is when everything that previous owners ordered on a worker has certainly ended.
func (p *Pool) previousRunsEnd(incarnation gauge.Incarnation) time.Duration {
	if end, ok := p.conf.WorkerRunsEnd[incarnation]; ok {
		return end
	}
	return p.conf.PreviousRunsEnd
}

// RemainingLeases returns how much longer anything may run on each worker that doesn't answer.
func (p *Pool) RemainingLeases(now time.Duration) map[gauge.Incarnation]time.Duration {
	left := make(map[gauge.Incarnation]time.Duration)
	for id, incarnation := range p.unreported {
		if w := p.current(incarnation); w != nil && w.reported && !w.silent {
			continue // it answers, but not with all that previous owners ordered: its lease goes on
		}
		left[incarnation] = max(0, p.previousRunsEnd(incarnation)-now, p.staleLeases[id].end-now)
	}
	for _, w := range p.workers {
		if incarnation := w.info.Incarnation(); (w.silent || p.awaitsEarlier(incarnation)) && !w.dead {
			left[incarnation] = max(0, w.leaseExpiry-now, left[incarnation])
		}
	}
	return left
}

// LeaseRowWorkers returns the workers for the lease row: those to which this owner, or a previous
// one whose runs aren't all known yet, may have given orders. A successor asks all of them before
// it restarts anything that it inherits. LeaseRowWorkers also excludes from starts the workers that
// it leaves out, until LeaseRowWritten names them again.
//
// Of a worker that has started again, and whose lease may be the longest for that reason, both
// incarnations are named; see expectStaleLease.
//
// Workers that run nothing, take no starts and have all their end reports in the table are left
// out. Machines change pools several times a minute. If workers of machines that have left stayed
// in the row until their leases expire, a successor would wait seconds for them, with the whole
// pool's work.
func (p *Pool) LeaseRowWorkers() []gauge.Incarnation {
	incarnations := make([]gauge.Incarnation, 0, len(p.workers))
	awaited := p.awaitedWorkers()
	for _, w := range p.workersByID() {
		startedAgain := !w.dead && p.lastTick < w.longLeaseUntil
		if w.mayBeOmitted() && !awaited[w.info.ID] && !startedAgain {
			w.inLeaseRow = false
			continue
		}
		incarnations = append(incarnations, w.info.Incarnation())
		if startedAgain && w.earlier.Worker != "" {
			incarnations = append(incarnations, w.earlier)
		}
	}
	for id := range awaited {
		if p.workers[id] == nil {
			incarnations = append(incarnations, p.awaitedIncarnation(id))
		}
	}
	return incarnations
}

// awaitedIncarnation returns the incarnation of an awaited worker that this owner has no state of;
// without a start time if previous owners didn't name it.
func (p *Pool) awaitedIncarnation(id string) gauge.Incarnation {
	if incarnation, ok := p.unreported[id]; ok {
		return incarnation
	}
	return gauge.Incarnation{Worker: id}
}

// LeaseRowWritten records that the lease row in the table names these incarnations, as of a version
// of the row.
func (p *Pool) LeaseRowWritten(incarnations []gauge.Incarnation, version int64) {
	p.leaseRowVersion = max(p.leaseRowVersion, gauge.FencingToken(version))
	for _, w := range p.workers {
		if w.fencePending {
			p.raiseFence(w)
		}
	}
	for _, incarnation := range incarnations {
		w := p.current(incarnation)
		if w != nil {
			w.inLeaseRow = true
		}
	}
}
