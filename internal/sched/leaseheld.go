package sched

import "time"

// An owner may act for some time after the end of its lease, and isn't told that it has a successor.
// That one extends runs on workers that don't answer this owner, and acknowledges ends that this
// owner hasn't heard. So once a run is over without an end report, however that was noticed, its task
// starts again only if this owner has certainly held its lease until after that.

// LeaseHeld records that this owner held its lease at a time: a write has succeeded that was sent
// then, and that depends on the lease.
func (p *Pool) LeaseHeld(at time.Duration) {
	p.heldAt = max(p.heldAt, at)
	p.renewalAwaited = false
}

// AwaitsRenewal reports whether tasks wait until the lease has been renewed.
func (p *Pool) AwaitsRenewal() bool { return p.renewalAwaited }

// hasHeldSince reports whether this owner has held its lease until after a time, so that nobody else
// has acted by then. If that isn't known, the next renewal shows it.
func (p *Pool) hasHeldSince(at time.Duration) bool {
	p.renewalAwaited = p.renewalAwaited || p.heldAt <= at
	return p.heldAt > at
}

// hasExpired reports whether a time has passed under this owner's lease.
func (p *Pool) hasExpired(at, now time.Duration) bool { return now > at && p.hasHeldSince(at) }

// mayBeSucceeded reports whether a successor may know more of the task's last run: it goes on, or has
// ended as done.
func (p *Pool) mayBeSucceeded(t *task) bool { return t.lostAt > 0 && !p.hasHeldSince(t.lostAt) }
