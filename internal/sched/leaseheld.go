package sched

import "time"

// What runs on a worker that doesn't answer is over once its lease has expired, unless another owner
// extends the lease. A successor that reaches the worker does so, and this owner, which may act for
// some time after the end of its own lease, isn't told. So an expiry counts only if this owner has
// certainly held its lease until after it.

// LeaseHeld records that this owner held its lease at a time: a write has succeeded that was sent
// then, and that depends on the lease.
func (p *Pool) LeaseHeld(at time.Duration) {
	p.heldAt = max(p.heldAt, at)
	p.renewalAwaited = false
}

// AwaitsRenewal reports whether a renewal of the lease would show that an expiry counts. It should
// then be renewed at once, as tasks wait for that.
func (p *Pool) AwaitsRenewal() bool { return p.renewalAwaited }

// hasExpired reports whether a time has passed under this owner's lease. If it has passed, but may
// have done so under a successor's, the next renewal of the lease shows which.
func (p *Pool) hasExpired(at, now time.Duration) bool {
	if now <= at {
		return false
	}
	p.renewalAwaited = p.renewalAwaited || p.heldAt <= at
	return p.heldAt > at
}
