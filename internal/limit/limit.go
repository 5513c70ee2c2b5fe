// Package limit keeps one pool's parts of the client accounts' limits. What an account may have
// running counts over all pools, and each pool has an owner of its own. So each limit is divided:
// a row of the table holds the part of each pool, and an owner starts nothing beyond its pool's
// part. An owner changes its part by a write on the condition that the row is as it read it. A part
// grows only into what no other pool has, and counts as larger only once the table has it, as
// smaller from the moment when the write is sent. So the parts, and with them what runs, never add
// up to more than the limit, whoever is cut off, stands still or is replaced. The version of a new
// configuration is written into the row before anything starts by it: from then on no pool's part
// grows by a higher limit of the one before.
//
// Parts is a state machine without I/O. It is not safe for concurrent use.
package limit

import (
	"maps"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up Parts.
type Config struct {
	Pool  string
	Fence gauge.FencingToken // of the pool's owner
	// First says that the pool had no owner before, so that nothing of it runs.
	First bool
	Logs  logr.Logger
}

// Use is what an account uses of its part.
type Use struct {
	Started   gauge.Resources // what may run that this owner has started
	Inherited gauge.Resources // what runs that previous owners have started, as far as workers have reported it
	Waiting   gauge.Resources // what tasks need that could start
}

// Unseen bounds what may run that previous owners have started and no worker has reported yet.
type Unseen struct {
	Capacity gauge.Resources // of the workers where it may run
	Known    bool            // false: the capacity of some isn't known
}

// Write is the next row of an account.
type Write struct {
	Account string
	Version int64 // that the row must have; 0: it must not exist
	Row     gauge.LimitRow
}

// Parts holds a pool's parts of the limits.
type Parts struct {
	conf     Config
	accounts map[string]*account      // those with a limit
	pools    int                      // number of pools that share the limits
	existing map[string]bool          // pools of the configuration
	goneAt   map[string]time.Duration // by pool that isn't there any more: when that was first seen
	read     bool                     // the rows have been read, and no write since is without an answer
	short    bool                     // other pools had all of what is wanted here
	replaced bool                     // a newer owner has written a part
	unseen   Unseen                   // what previous owners may have running beyond what is reported
	complete bool                     // nothing: all of it is known
	wanting  bool                     // a start was held back since the last update
	now      time.Duration            // of the last update
}

// account is the state of one account's limit.
type account struct {
	limit         gauge.Resources // by this owner's configuration ...
	configVersion int64           // ... of this version
	row           gauge.LimitRow
	version       int64 // of the row
	// usable is the least that the table may have as this pool's part.
	usable gauge.Resources
	// settled says that this owner has written the part, so that no previous owner can.
	settled   bool
	uncertain bool             // a write of this owner without an answer may still take effect
	inherited gauge.Resources  // part that previous owners had
	sent      *gauge.Resources // part in the write that is under way ...
	unsent    gauge.Resources  // ... and what was usable before it
	lowSince  time.Duration    // since when much less than the part is wanted; 0: it isn't
	usedAt    time.Duration    // when the account last had anything here
	heldBack  int              // starts that were held back since the last update ...
	needed    gauge.Resources  // ... and the part that the largest of them needed
	held      bool             // some were before
}

const (
	// headroomPercent is what a part grows to, in percent of what is wanted, so that it needn't grow
	// with every start.
	headroomPercent = 125
	// stepPercent is by how much of what an account uses its part grows at a time for what waits: a
	// pool that is full can't use more, and a successor has to count all of the part at first.
	stepPercent = 50
	// lowPercent is the share of a part below which it is given back ...
	lowPercent = 75
	// lowSpan ... once that has lasted for this long: another pool may be waiting for it.
	lowSpan = time.Second
	// idleSpan is how long a pool keeps its even part of an account that has nothing there.
	idleSpan = 30 * time.Second
	// reservedShare is the share of a limit that is divided evenly between the pools whatever they
	// want, so that a pool can start at once what comes after a pause. The rest goes where it is
	// wanted.
	reservedShare = 2
	// goneSpan is how long the part of a pool that the configuration lacks still counts, for what runs
	// there to end.
	goneSpan = 5 * time.Minute
	percent  = 100
)

// New returns Parts that allow nothing for an account with a limit before its row is written.
func New(c Config) *Parts {
	return &Parts{conf: c, accounts: make(map[string]*account), goneAt: make(map[string]time.Duration), complete: c.First}
}

// Configure applies the limits of a configuration.
func (p *Parts) Configure(s *gauge.Site) {
	p.pools = max(1, countSharing(s))
	p.existing = make(map[string]bool, len(s.Pools))
	for i := range s.Pools {
		p.existing[s.Pools[i].Name] = true
	}
	next := make(map[string]*account, len(s.Accounts))
	for i := range s.Accounts {
		a := &s.Accounts[i]
		if a.Limit == (gauge.Resources{}) {
			continue
		}
		st := p.accounts[a.Name]
		if st == nil {
			st = new(account)
			p.read = false // its row may exist
		}
		st.limit, st.configVersion = a.Limit, s.Version
		next[a.Name] = st
	}
	p.accounts = next
}

// countSharing counts the pools that run jobs of accounts.
func countSharing(s *gauge.Site) int {
	pools := make(map[string]bool)
	for i := range s.Queues {
		if !s.Queues[i].Public {
			pools[s.Queues[i].Pool] = true
		}
	}
	return len(pools)
}

// HasLimits reports whether any account has a limit.
func (p *Parts) HasLimits() bool { return len(p.accounts) > 0 }

// SetUnseen records what previous owners may have running that isn't known. Once that is nothing,
// all later runs are this owner's.
func (p *Parts) SetUnseen(u Unseen) {
	p.unseen = u
	p.complete = p.complete || u == Unseen{Known: true}
}

// NeedsRead reports whether the rows have to be read: they never were, a write got no answer, or
// other pools may have given back what is wanted here.
func (p *Parts) NeedsRead() bool { return !p.replaced && len(p.accounts) > 0 && (!p.read || p.short) }

// Wants reports whether a start was held back since the last update.
func (p *Parts) Wants() bool { return p.wanting }

// SetRows applies rows as they were read. An account without a row has none.
func (p *Parts) SetRows(rows map[string]gauge.LimitRow, versions map[string]int64) {
	p.read, p.short = true, false
	for name, a := range p.accounts {
		p.apply(a, rows[name], versions[name])
	}
}

// apply applies a row that was read, or returned with a refused write.
func (p *Parts) apply(a *account, row gauge.LimitRow, version int64) {
	a.sent = nil
	part, ok := row.Parts[p.conf.Pool]
	switch {
	case ok && part.Fence > p.conf.Fence:
		p.replaced = true
	case ok && part.Fence == p.conf.Fence && version > a.version:
		// The row has changed since any write without an answer was sent on condition of an earlier
		// version: it can't take effect any more, or just has.
		a.usable, a.settled, a.uncertain = part.Amount, true, false
	case ok && part.Fence == p.conf.Fence:
	default:
		a.usable, a.settled, a.inherited = gauge.Resources{}, false, part.Amount
	}
	a.row, a.version = row, version
}

// isDivided reports whether no pool's part can grow any more by an older configuration.
func (a *account) isDivided() bool { return a.row.Version >= a.configVersion }

// effectiveLimit returns the limit of the newest configuration that this owner knows of.
func (a *account) effectiveLimit() gauge.Resources {
	if a.row.Version > a.configVersion {
		return a.row.Limit
	}
	return a.limit
}

// Allows reports whether a task of an account may start in addition to what the account uses.
func (p *Parts) Allows(name string, need gauge.Resources, use Use) bool {
	a := p.accounts[name]
	if a == nil {
		return true
	}
	if !p.replaced && a.settled && a.isDivided() && fits(a.effectiveLimit(), p.used(a, use).Plus(need), p.bound(a)) {
		return true
	}
	a.heldBack++
	a.needed = larger(a.needed, p.used(a, use).Plus(need))
	p.wanting = true
	return false
}

// used returns what may run for an account in this pool. As long as runs of previous owners may be
// unknown, as much counts as could run where they are, up to the part that those owners had.
func (p *Parts) used(a *account, use Use) gauge.Resources {
	inherited := use.Inherited
	if !p.complete {
		inherited = larger(inherited, a.inherited)
		if p.unseen.Known {
			inherited = smaller(inherited, use.Inherited.Plus(p.unseen.Capacity))
		}
	}
	return use.Started.Plus(inherited)
}

// others returns what the parts of the other pools add up to.
func (p *Parts) others(a *account) gauge.Resources {
	var sum gauge.Resources
	for name, part := range a.row.Parts {
		if name != p.conf.Pool && !p.isGone(name) {
			sum = sum.Plus(part.Amount)
		}
	}
	return sum
}

// isGone reports whether a pool isn't there any more, and hasn't been for goneSpan.
func (p *Parts) isGone(pool string) bool {
	at, gone := p.goneAt[pool]
	return gone && p.now >= at+goneSpan
}

// noteGone records which pools with parts the configuration lacks.
func (p *Parts) noteGone(now time.Duration) {
	p.now = now
	for _, a := range p.accounts {
		for name := range a.row.Parts {
			if _, noted := p.goneAt[name]; !p.existing[name] && !noted {
				p.goneAt[name] = now
			}
		}
	}
	maps.DeleteFunc(p.goneAt, func(name string, _ time.Duration) bool { return p.existing[name] })
}

// bound returns up to what the account may use this pool. If its limit was lowered below what the
// parts add up to, that is less than the part.
func (p *Parts) bound(a *account) gauge.Resources {
	return smaller(a.usable, a.effectiveLimit().Minus(p.others(a)))
}
