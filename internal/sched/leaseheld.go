package sched

import "time"

// An owner may act for some time after the end of its lease, and isn't told that it has a successor.
// That one extends runs on workers that don't answer this owner, and acknowledges ends that this
// owner hasn't heard. So once a run is over without an end report, however that was noticed, its task
// starts again only if this owner has certainly held its lease until after that.

// LeaseHeld records that this owner held its lease at a time: a write has succeeded that was sent
// then, and that depends on the lease.
func (p *Pool) LeaseHeld(at time.Duration) {
	p.leaseHeldAt = max(p.leaseHeldAt, at)
	p.renewalNeeded = false
}

// NeedsRenewal reports whether tasks wait until the lease has been renewed.
func (p *Pool) NeedsRenewal() bool { return p.renewalNeeded }

// renewedSince reports whether the lease has been renewed since a time, so that nobody else has acted
// until then. If it hasn't, a renewal is needed.
func (p *Pool) renewedSince(at time.Duration) bool {
	renewed := p.leaseHeldAt > at
	p.renewalNeeded = p.renewalNeeded || !renewed
	return renewed
}

// hasExpired reports whether a time has passed under this owner's lease.
func (p *Pool) hasExpired(at, now time.Duration) bool { return now > at && p.renewedSince(at) }

// awaitsRenewal reports whether the task's last run was over without an end report, and the lease
// hasn't been renewed since: a successor may have found the run going on, or ended as done.
func (p *Pool) awaitsRenewal(t *task) bool { return t.lostAt > 0 && !p.renewedSince(t.lostAt) }
