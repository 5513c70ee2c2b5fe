package sched

import (
	"time"

	gauge "sapphiregauge"
)

// A worker that has started again carries out calls that were meant for its earlier incarnation, as it
// knows of no fencing token. It measures their deadlines by a clock of its own, so that such a call may give
// it the longest lease that it grants. It has one lease for all its runs, which never gets shorter: what is
// started there later runs as long. So that the next owner reckons with that, too, the lease row names both
// incarnations until the lease is over.

// assumeLongestLease records that calls for an earlier incarnation may extend the lease up to a time.
func (w *worker) assumeLongestLease(earlier gauge.Incarnation, until time.Duration) {
	w.earlier, w.longLeaseUntil = earlier, max(w.longLeaseUntil, until)
	w.leaseExpiry = max(w.leaseExpiry, until)
}

// awaitReport has inherited tasks wait for the report of an incarnation to which previous owners may have
// given orders. If they name two of one worker, the later one may have a lease from calls for the other.
func (p *Pool) awaitReport(incarnation gauge.Incarnation) {
	other, named := p.unreported[incarnation.Worker]
	if named && incarnation.IsBefore(other) {
		incarnation, other = other, incarnation
	}
	p.unreported[incarnation.Worker] = incarnation
	if named && other != incarnation {
		p.expectStaleLease(incarnation, other)
	}
}

// staleLease is a lease that an incarnation of a worker may have from calls for an earlier one.
type staleLease struct {
	earlier gauge.Incarnation
	end     time.Duration
}

// expectStaleLease records that an incarnation may have a lease from calls of previous owners for an earlier
// one.
func (p *Pool) expectStaleLease(incarnation, earlier gauge.Incarnation) {
	end, known := p.conf.WorkerRunsEnd[incarnation]
	if !known {
		end = p.conf.PreviousOrdersEnd + p.longestLease()
	}
	p.staleLeases[incarnation.Worker] = staleLease{earlier: earlier, end: end}
	p.conf.Logs.Info("worker started again under a previous owner", "pool", p.conf.Name, "worker", incarnation.Worker, "born", incarnation.StartedAt,
		"before", earlier.StartedAt, "known", known)
}

// awaitsEarlier reports whether inherited tasks wait for an earlier incarnation of a worker.
func (p *Pool) awaitsEarlier(incarnation gauge.Incarnation) bool {
	previous, awaited := p.unreported[incarnation.Worker]
	return awaited && previous.IsBefore(incarnation)
}
