package sched

import "time"

// What runs on a worker that doesn't answer is over once its lease has expired, unless another owner
// extends the lease. A successor that reaches the worker does so, and this owner, which may act for
// some time after the end of its own lease, isn't told; nor that a run has ended there, if it finds
// the worker started again. So what is over without an end report counts as over only if this owner
// has certainly held its lease until after that.

// LeaseHeld records that this owner held its lease at a time: a write has succeeded that was sent
// then, and that depends on the lease.
func (p *Pool) LeaseHeld(at time.Duration) {
	p.heldAt = max(p.heldAt, at)
	p.renewalAwaited = false
}

// AwaitsRenewal reports whether a renewal of the lease would show that an expiry counts. It should
// then be renewed at once, as tasks wait for that.
func (p *Pool) AwaitsRenewal() bool { return p.renewalAwaited }

// hasHeldSince reports whether this owner has held its lease until after a time, so that nobody else
// has acted by then. If that isn't known, the next renewal shows it.
func (p *Pool) hasHeldSince(at time.Duration) bool {
	p.renewalAwaited = p.renewalAwaited || p.heldAt <= at
	return p.heldAt > at
}

// hasExpired reports whether a time has passed under this owner's lease.
func (p *Pool) hasExpired(at, now time.Duration) bool { return now > at && p.hasHeldSince(at) }

// mayHaveEnded reports whether a run of the task that was lost with its worker may have ended as
// done before, and a successor may have heard it.
func (p *Pool) mayHaveEnded(t *task) bool { return t.lostAt > 0 && !p.hasHeldSince(t.lostAt) }
