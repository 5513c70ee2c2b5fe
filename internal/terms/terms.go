// Package terms decides which pools' leases this entry process should claim. It is a state machine
// without input or output over the lease rows that were read from the table.
//
// A lease has run out when its row hasn't changed for the lease duration. The time is counted from
// when this entry first saw the row, which is later than the time that the holder counts from. An
// entry that has just started would have to wait a whole lease duration for a holder that may be
// long dead; it uses the time of the last renewal by the table's clock, which the row has.
package terms

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
)

// Config is the configuration of a LeaseView.
type Config struct {
	Holder        string // name of this entry as a lease holder
	Addr          string // host:port at which this entry listens for others
	LeaseDuration time.Duration
	// Capacity is the capacity of this host in cores of normal speed; 0: DefaultCapacity.
	Capacity      float64
	ClaimSpread   time.Duration // upper bound of the delay of a claim that differs by entry and pool
	DelayPerLease time.Duration // additional delay for each pool that this entry has already
	// ProbeAfter is how long a lease's row must be unchanged before its holder is probed; 0:
	// holders aren't probed, and each lease must run out.
	ProbeAfter  time.Duration
	GracePeriod time.Duration // grace period after a table outage in which live holders can renew their leases
}

// leaseState is a lease row as last read.
type leaseState struct {
	row        gauge.LeaseRow
	version    int64
	readAt     time.Duration // when this version was first read
	renewalAge time.Duration // how old the renewal was then, by the table's clock
}

// Claim is an attempt to take a pool's lease.
type Claim struct {
	Pool              string
	Version           int64 // of the lease row as read; 0: there is no row
	Row               gauge.LeaseRow
	PreviousLeaseLeft time.Duration // how much of the lease hasn't run out; above 0 if the holder may be alive
}

// LeaseView is this entry's view of the lease table. It is not safe for concurrent use.
type LeaseView struct {
	conf             Config
	rows             map[string]leaseState
	entries          map[string]gauge.EntryRow // by name, including this one
	freeSince        map[string]time.Duration  // by pool: since when it is known to be without an owner
	unansweredClaims map[string]bool           // pools whose claim got no answer
	exited           map[string]bool           // holders whose processes have exited
	refusedAt        map[string]time.Duration  // when the addresses of holders last refused connections
	answeredAt       map[string]time.Duration  // when holders last answered during a table outage
	unansweredAt     map[string]time.Duration  // by address: when the last unanswered probe of a holder was sent
	tableRead        bool                      // the whole table was read
	graceEnd         time.Duration             // end of the grace period in which holders can renew leases that ran out
}

// clockMargin covers the drift between two entries' steady clocks over one lease duration.
const clockMargin = 100 * time.Millisecond

// tableClockMargin covers the errors with which a holder and this entry know the table's clock:
// each takes readings only from answers that took less than a tenth of a second.
const tableClockMargin = 300 * time.Millisecond

// New returns a LeaseView that has read no rows.
func New(c Config) *LeaseView {
	if c.Capacity == 0 {
		c.Capacity = DefaultCapacity
	}
	return &LeaseView{conf: c, rows: make(map[string]leaseState), entries: make(map[string]gauge.EntryRow), freeSince: make(map[string]time.Duration), unansweredClaims: make(map[string]bool), exited: make(map[string]bool), refusedAt: make(map[string]time.Duration), answeredAt: make(map[string]time.Duration), unansweredAt: make(map[string]time.Duration)}
}

// SetLease records a lease row that was read at a time. Clock is an upper bound of the table's
// clock at that time, in milliseconds; 0: not known.
func (v *LeaseView) SetLease(pool string, row gauge.LeaseRow, version int64, now time.Duration, clock int64) {
	old, known := v.rows[pool]
	if known && version <= old.version {
		return
	}
	s := leaseState{row: row, version: version, readAt: now}
	if clock > 0 && row.RenewedAt > 0 {
		s.renewalAge = time.Duration(clock-row.RenewedAt) * time.Millisecond
	}
	v.rows[pool] = s
}

// MarkClaimUnanswered records that this entry's claim of a pool got no answer. If the claim was
// executed, the row names this entry, which doesn't run the pool, and the other entries would wait
// a whole lease duration for a holder that does nothing.
func (v *LeaseView) MarkClaimUnanswered(pool string) { v.unansweredClaims[pool] = true }

// MarkAlive records that a holder has answered this entry during a table outage.
func (v *LeaseView) MarkAlive(holder string, now time.Duration) { v.answeredAt[holder] = now }

// StartGracePeriod records that the table is reachable again after an outage. Holders could not
// renew their leases meanwhile, but continued to work: if their pools were taken over at once,
// these would start nothing until their new owners have the reports of all workers.
func (v *LeaseView) StartGracePeriod(now time.Duration) { v.graceEnd = now + v.conf.GracePeriod }

// MarkExited records that a holder's process has exited, so that its leases needn't run out.
func (v *LeaseView) MarkExited(holder string) { v.exited[holder] = true }

// MarkRefused records that a holder's address refuses connections. Its process has probably exited,
// but a firewall in between may refuse them as well. If so, the holder may act as if it hadn't answered
// a probe, and the next renewal shows that it hasn't exited.
func (v *LeaseView) MarkRefused(holder string, now time.Duration) { v.refusedAt[holder] = now }

// OverdueAddrs returns the addresses of holders that should have renewed a lease by now: a holder
// renews four times within the lease duration, and two of these renewals are overdue.
func (v *LeaseView) OverdueAddrs(now time.Duration) []string {
	var addrs []string
	for _, s := range v.rows {
		if v.isOverdue(&s, now) && s.row.Addr != v.conf.Addr && !slices.Contains(addrs, s.row.Addr) {
			addrs = append(addrs, s.row.Addr)
		}
	}
	return addrs
}

func (v *LeaseView) isOverdue(s *leaseState, now time.Duration) bool {
	return v.conf.ProbeAfter > 0 && s.row.Holder != "" && now-s.readAt > v.conf.ProbeAfter && now >= v.graceEnd
}

// MayBeFree reports whether the lease of a row that was just read has no holder, or hasn't been
// renewed for so long that its holder may be dead.
func (v *LeaseView) MayBeFree(pool string, now time.Duration) bool {
	s, ok := v.rows[pool]
	limit := v.conf.ProbeAfter
	if limit == 0 {
		limit = v.conf.LeaseDuration
	}
	return ok && (s.row.Holder == "" || now-s.readAt+s.renewalAge > limit+tableClockMargin)
}

// MarkUnanswered records that the holder at an address didn't answer a probe that was sent at a
// time.
func (v *LeaseView) MarkUnanswered(addr string, asked time.Duration) { v.unansweredAt[addr] = asked }

// isDead reports whether a holder neither renews its lease nor answers. A host that lost power
// doesn't refuse connections, so that nothing else shows its failure; its pools would start nothing
// until their leases ran out, and no machine would move if it held the fleet lease. A holder that
// is taken for dead by mistake can't give orders any more to workers that its successor has called.
func (v *LeaseView) isDead(s *leaseState, now time.Duration) bool {
	probedAt, ok := v.unansweredAt[s.row.Addr]
	return ok && probedAt > s.readAt && v.isOverdue(s, now)
}

// HoldersAt returns the holders whose lease rows have an address.
func (v *LeaseView) HoldersAt(addr string) []string {
	var names []string
	for _, s := range v.rows {
		if s.row.Addr == addr && s.row.Holder != "" && !slices.Contains(names, s.row.Holder) {
			names = append(names, s.row.Holder)
		}
	}
	return names
}

// MarkTableRead records that the table has been read completely: a pool without a row has no owner.
func (v *LeaseView) MarkTableRead() { v.tableRead = true }

// Lease returns the lease row of a pool; false if no entry holds the lease.
func (v *LeaseView) Lease(pool string) (gauge.LeaseRow, bool) {
	s, ok := v.rows[pool]
	return s.row, ok && s.row.Holder != ""
}

// LeaseVersion returns the version of a pool's lease row as last read; 0: there is no row.
func (v *LeaseView) LeaseVersion(pool string) int64 { return v.rows[pool].version }

// Pools returns the pools that have a lease row.
func (v *LeaseView) Pools() []string {
	names := make([]string, 0, len(v.rows))
	for n := range v.rows {
		names = append(names, n)
	}
	return names
}

// DueClaims returns the claims to make now, of pools that this entry doesn't have. Held is the
// number of pools that it has.
func (v *LeaseView) DueClaims(pools []string, held int, now time.Duration) []Claim {
	if !v.tableRead {
		return nil
	}
	var claims []Claim
	for _, pool := range pools {
		if !v.isFree(pool, now) {
			delete(v.freeSince, pool)
			continue
		}
		since, known := v.freeSince[pool]
		if !known {
			since = now
			v.freeSince[pool] = now
		}
		if !v.isHeldByEarlierStart(pool) && now-since < v.claimDelay(pool, held+len(claims)) {
			continue
		}
		s := v.rows[pool]
		claims = append(claims, Claim{Pool: pool, Version: s.version, Row: s.row, PreviousLeaseLeft: v.remainingLease(pool, now)})
		delete(v.freeSince, pool) // if the claim fails, the next one is delayed again
		delete(v.unansweredClaims, pool)
	}
	return claims
}

func (v *LeaseView) isFree(pool string, now time.Duration) bool {
	s, ok := v.rows[pool]
	if !ok || s.row.Holder == "" || v.isHeldByEarlierStart(pool) || v.unansweredClaims[pool] && s.row.Holder == v.conf.Holder || v.exited[s.row.Holder] {
		return true
	}
	if answered, ok := v.answeredAt[s.row.Holder]; ok && now < v.graceEnd && now-answered < v.conf.LeaseDuration {
		return false
	}
	if v.mayBeDead(&s, now) {
		return true
	}
	unchanged := now - s.readAt
	return unchanged > v.conf.LeaseDuration+clockMargin || unchanged+s.renewalAge > v.conf.LeaseDuration+clockMargin+tableClockMargin
}

// mayBeDead reports whether a holder has probably died but, if it has only been cut off, may act until
// its lease has run out.
func (v *LeaseView) mayBeDead(s *leaseState, now time.Duration) bool {
	refused, ok := v.refusedAt[s.row.Holder]
	renewed := s.readAt - s.renewalAge // at the earliest
	return ok && refused >= renewed || v.isDead(s, now)
}

// remainingLease returns how much of the lease of a holder that may be alive may not have run out yet;
// 0 for other holders.
func (v *LeaseView) remainingLease(pool string, now time.Duration) time.Duration {
	s := v.rows[pool]
	if v.exited[s.row.Holder] || !v.mayBeDead(&s, now) {
		return 0
	}
	return max(0, v.conf.LeaseDuration-(now-s.readAt))
}

// isHeldByEarlierStart reports whether a pool's lease is held by an earlier start of this entry.
// That process has exited, as this one listens at its address.
func (v *LeaseView) isHeldByEarlierStart(pool string) bool {
	row := v.rows[pool].row
	return row.Holder != "" && row.Holder != v.conf.Holder && row.Addr == v.conf.Addr
}

// claimDelay returns how long this entry waits before it claims a free pool. The time differs by
// entry and pool, so that entries that see a pool free at the same time don't all write. It grows
// with the number of leases of this entry, and more so the smaller its host is, so that pools are
// distributed by the capacity of hosts.
func (v *LeaseView) claimDelay(pool string, held int) time.Duration {
	const steps = 1 << 10
	share := xxhash.Sum64String(v.conf.Holder+"/"+pool) % steps
	return time.Duration(share)*v.conf.ClaimSpread/steps + time.Duration(held)*v.conf.DelayPerLease + v.smallHostDelay(held)
}
