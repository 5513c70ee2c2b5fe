// Package terms says which pools this entry should try to own. It is a state
// machine without input or output over the lease rows that were seen.
//
// A lease is over when its row hasn't changed for its term. The time is counted
// from when the row was first seen, which is later than its holder counts from.
// An entry that has just started would wait a term for a holder that may be long
// gone; it goes by the table's clock, with which each renewal is marked.
package terms

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
)

// Config sets up a Board.
type Config struct {
	Self string        // holder's name of this entry
	Addr string        // where this entry listens for others
	Term time.Duration // of a lease
	// Capacity is what this host can carry, in cores of plain speed; 0: not known.
	Capacity float64
	Spread   time.Duration // free pools are claimed within this, in an order that differs by entry
	Held     time.Duration // more of a wait for each pool that this entry has already
	// Suspect is how long a lease's row must be unchanged before its holder is asked
	// whether it lives; 0: nobody is asked, and each lease is waited out.
	Suspect time.Duration
	Regain  time.Duration // holders that live have so long to renew their leases when the table is back
}

// seen is a lease row as last read.
type seen struct {
	row     gauge.LeaseRow
	version int64
	at      time.Duration // when this version was first seen
	age     time.Duration // how old the renewal was then, by the table's clock
}

// Claim is an attempt to take a pool's lease.
type Claim struct {
	Pool    string
	Version int64 // of the row as it was seen; 0: there is none
	Row     gauge.LeaseRow
	Early   time.Duration // how much of the term isn't over: the holder didn't answer
}

// Board keeps the lease rows. It is not safe for concurrent use.
type Board struct {
	conf    Config
	rows    map[string]seen
	entries map[string]gauge.EntryRow // by name, this one's as well
	free    map[string]time.Duration  // since when a pool is seen to be without an owner
	unsure  map[string]bool           // pools of which a claim got no answer
	gone    map[string]bool           // holders whose processes have ended
	alive   map[string]time.Duration  // when holders last answered, while the table was away
	silent  map[string]time.Duration  // by address: when a holder was last asked, and didn't answer
	read    bool
	patient time.Duration // until then a lease that ran out is its holder's to renew
}

// clockMargin covers the difference between two entries' steady clocks over one
// term.
const clockMargin = 100 * time.Millisecond

// tableMargin covers the error with which a holder and this entry know the
// table's clock: each takes readings only from answers that took less than a
// tenth of a second.
const tableMargin = 300 * time.Millisecond

// New makes a Board that has seen nothing.
func New(c Config) *Board {
	if c.Capacity == 0 {
		c.Capacity = FullCapacity
	}
	return &Board{conf: c, rows: make(map[string]seen), entries: make(map[string]gauge.EntryRow), free: make(map[string]time.Duration), unsure: make(map[string]bool), gone: make(map[string]bool), alive: make(map[string]time.Duration), silent: make(map[string]time.Duration)}
}

// Tell takes in a lease row. Clock is the table's clock when it was read, at the
// most, in milliseconds; 0: not known.
func (b *Board) Tell(pool string, row gauge.LeaseRow, version int64, now time.Duration, clock int64) {
	old, known := b.rows[pool]
	if known && version <= old.version {
		return
	}
	s := seen{row: row, version: version, at: now}
	if clock > 0 && row.Renewed > 0 {
		s.age = time.Duration(clock-row.Renewed) * time.Millisecond
	}
	b.rows[pool] = s
}

// Unsure takes in that this entry's claim of a pool got no answer. If it was
// carried out, the row names this entry, which doesn't run the pool: the others
// would wait a term for a holder that does nothing.
func (b *Board) Unsure(pool string) { b.unsure[pool] = true }

// Alive takes in that a holder has answered this entry while the table was away.
func (b *Board) Alive(holder string, now time.Duration) { b.alive[holder] = now }

// Regained takes in that the table could not be read for some time. Holders could
// not renew their leases meanwhile, and go on with their work: taken over at once,
// their pools would stand still while others hear all the workers.
func (b *Board) Regained(now time.Duration) { b.patient = now + b.conf.Regain }

// Gone takes in that a holder's process has ended: nothing has to be waited for.
func (b *Board) Gone(holder string) { b.gone[holder] = true }

// Suspects lists the addresses of holders that should have renewed a lease by now: four
// renewals go into a term, and two of them are overdue.
func (b *Board) Suspects(now time.Duration) []string {
	var addrs []string
	for _, s := range b.rows {
		if b.overdue(&s, now) && s.row.Addr != b.conf.Addr && !slices.Contains(addrs, s.row.Addr) {
			addrs = append(addrs, s.row.Addr)
		}
	}
	return addrs
}

func (b *Board) overdue(s *seen, now time.Duration) bool {
	return b.conf.Suspect > 0 && s.row.Holder != "" && now-s.at > b.conf.Suspect && now >= b.patient
}

// Unanswered takes in that a holder that was asked at a time didn't answer.
func (b *Board) Unanswered(addr string, asked time.Duration) { b.silent[addr] = asked }

// dead tells whether a holder neither renews its lease nor answers. A host without power
// doesn't refuse connections, so that nothing else shows its end; its pools stood still
// until the term was over, and no machine moved if it had the fleet. One that is taken
// for dead by mistake can't order anything once workers have heard its successor.
func (b *Board) dead(s *seen, now time.Duration) bool {
	asked, ok := b.silent[s.row.Addr]
	return ok && asked > s.at && b.overdue(s, now)
}

// HoldersAt lists the holders whose rows name an address.
func (b *Board) HoldersAt(addr string) []string {
	var names []string
	for _, s := range b.rows {
		if s.row.Addr == addr && s.row.Holder != "" && !slices.Contains(names, s.row.Holder) {
			names = append(names, s.row.Holder)
		}
	}
	return names
}

// Read takes in that the table has been read whole: a pool without a row is free.
func (b *Board) Read() { b.read = true }

// Holder returns the lease row of a pool; false if there is none.
func (b *Board) Holder(pool string) (gauge.LeaseRow, bool) {
	s, ok := b.rows[pool]
	return s.row, ok && s.row.Holder != ""
}

// Version is that of a pool's lease row as last seen, 0 without one.
func (b *Board) Version(pool string) int64 { return b.rows[pool].version }

// Pools lists those that have a lease row.
func (b *Board) Pools() []string {
	names := make([]string, 0, len(b.rows))
	for n := range b.rows {
		names = append(names, n)
	}
	return names
}

// Due returns the claims to make now, for pools that this entry has not got.
func (b *Board) Due(pools []string, held int, now time.Duration) []Claim {
	if !b.read {
		return nil
	}
	var claims []Claim
	for _, pool := range pools {
		if !b.isFree(pool, now) {
			delete(b.free, pool)
			continue
		}
		since, known := b.free[pool]
		if !known {
			since = now
			b.free[pool] = now
		}
		if !b.wasMine(pool) && now-since < b.delay(pool, held+len(claims)) {
			continue
		}
		s := b.rows[pool]
		claims = append(claims, Claim{Pool: pool, Version: s.version, Row: s.row, Early: b.early(pool, now)})
		delete(b.free, pool) // if it fails, the next try waits again
		delete(b.unsure, pool)
	}
	return claims
}

func (b *Board) isFree(pool string, now time.Duration) bool {
	s, ok := b.rows[pool]
	if !ok || s.row.Holder == "" || b.wasMine(pool) || b.unsure[pool] && s.row.Holder == b.conf.Self || b.gone[s.row.Holder] {
		return true
	}
	if answered, ok := b.alive[s.row.Holder]; ok && now < b.patient && now-answered < b.conf.Term {
		return false
	}
	if b.dead(&s, now) {
		return true
	}
	passed := now - s.at
	return passed > b.conf.Term+clockMargin || passed+s.age > b.conf.Term+clockMargin+tableMargin
}

// early is how much of a lease's term may not be over, of a holder that may live.
func (b *Board) early(pool string, now time.Duration) time.Duration {
	s := b.rows[pool]
	if !b.dead(&s, now) {
		return 0
	}
	return max(0, b.conf.Term-(now-s.at))
}

// wasMine tells whether a pool's holder is an earlier start of this entry. That
// process is gone: this one listens at its address.
func (b *Board) wasMine(pool string) bool {
	row := b.rows[pool].row
	return row.Holder != "" && row.Holder != b.conf.Self && row.Addr == b.conf.Addr
}

// delay differs by entry and pool, so that entries that see a pool free at the
// same time don't all write, and grows with what the entry has, the more the less its
// host can carry, so that pools are spread by what hosts can do.
func (b *Board) delay(pool string, held int) time.Duration {
	const steps = 1 << 10
	share := xxhash.Sum64String(b.conf.Self+"/"+pool) % steps
	return time.Duration(share)*b.conf.Spread/steps + time.Duration(held)*b.conf.Held + b.weakness(held)
}
