package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fair"
	"sapphiregauge/internal/triage"
)

// fairness orders the client accounts of an overloaded pool by what they use of it. Runs are counted
// also while the order isn't in force, so that a new configuration finds them.
type fairness struct {
	inForce bool // by the configuration
	// overloadedSince is since when jobs within their accounts' weights have waited that can't meet
	// their objectives any more; 0: none does.
	overloadedSince time.Duration
	overloaded      bool // accounts are ordered

	shares    *fair.Shares
	standings map[string]*standing // by account
	waiting   []*standing          // accounts with waiting tasks, as of the last ranking
	names     []string             // of these accounts
}

// standing is the position of a client account in the order of starts.
type standing struct {
	account string
	level   fair.Level
	waiting int  // number of waiting tasks
	beyond  bool // it was above its fair share at the last ranking
	// loggedBeyond is what was logged last; nextLogAt is when the next change may be logged.
	loggedBeyond bool
	nextLogAt    time.Duration
	candidates   candidateGroup
}

const (
	// useHalfLife is the half-life of past use: most tasks take a few seconds, and a longer one
	// would hold a burst against an account long after it has ended.
	useHalfLife = 5 * time.Second
	// overloadDelay is how long jobs must have been late until accounts are ordered. Hosts that are
	// requested at the start of a peak have come by then; until then each job may still be in time
	// if those with the earliest objectives start first, and an account of a small weight would be
	// above its share with its first job.
	overloadDelay = 2 * time.Second
	// minShareLogInterval is the least time between two log lines about one account's share.
	minShareLogInterval = time.Second
)

func newFairness() fairness {
	return fairness{shares: fair.New(fair.Config{HalfLife: useHalfLife}), standings: make(map[string]*standing)}
}

// countRun counts n runs like r, 1 or -1, as work of its account.
func (f *fairness) countRun(r *run, n int, now time.Duration) {
	account := r.task.job.spec.Account
	if n > 0 {
		f.shares.Add(account, r.resources, now)
		return
	}
	f.shares.Remove(account, r.resources, now)
}

// configureFairness applies the weights of a configuration.
func (p *Pool) configureFairness(s *gauge.Site) {
	f := &p.index.fair
	f.inForce = s.SharesCapacity() && !p.conf.Disabled.Has(gauge.MechanismFair)
	weights := make(map[string]float64, len(s.Accounts))
	for i := range s.Accounts {
		weights[s.Accounts[i].Name] = s.Accounts[i].Weight
	}
	f.shares.SetWeights(weights)
}

// updateOverload notes whether the pool is overloaded.
func (p *Pool) updateOverload(now time.Duration) {
	f := &p.index.fair
	switch {
	case !f.inForce && !p.triages || !p.hasLateJobsWaiting(now):
		f.overloadedSince = 0
	case f.overloadedSince == 0:
		f.overloadedSince = now
	}
	f.overloaded = f.inForce && f.overloadedSince > 0 && now-f.overloadedSince >= overloadDelay
}

// hasLateJobsWaiting reports whether jobs within their accounts' weights wait that can't meet their
// objectives but are still worth something. Others may wait for what never comes.
func (p *Pool) hasLateJobsWaiting(now time.Duration) bool {
	for _, st := range p.index.waiting {
		j := st.job
		if st.idle == 0 || !j.isOpen() || j.beyondShare || st.spec.LongRunning {
			continue
		}
		if r := p.rank(j, st.occ, st, now); r.lateness == triage.Late.Rank() || r.rescue {
			return true
		}
	}
	return false
}

// reset forgets which accounts have waiting tasks.
func (f *fairness) reset() {
	for _, s := range f.waiting {
		s.waiting = 0
	}
	f.waiting, f.names = f.waiting[:0], f.names[:0]
}

// addWaiting counts the waiting tasks of a stage and returns the group of its account; nil if
// accounts aren't ordered.
func (f *fairness) addWaiting(st *stage) *candidateGroup {
	if !f.overloaded {
		return nil
	}
	s := st.job.standing
	if s == nil {
		s = f.standing(st.job.spec.Account)
		st.job.standing = s
	}
	if s.waiting == 0 {
		f.waiting, f.names = append(f.waiting, s), append(f.names, s.account)
	}
	s.waiting += st.idle
	return &s.candidates
}

func (f *fairness) standing(account string) *standing {
	s := f.standings[account]
	if s == nil {
		s = &standing{account: account}
		f.standings[account] = s
	}
	return s
}

// update computes the level of an account; s may be nil while accounts aren't ordered.
func (f *fairness) update(s *standing, now time.Duration) {
	if !f.inForce || s == nil {
		return
	}
	s.level, s.candidates.overuse = f.shares.Level(s.account, now), 0
	if s.level.Beyond {
		s.candidates.overuse = s.level.Value
	}
}

// rankAccounts computes the levels of the accounts with waiting tasks.
func (p *Pool) rankAccounts(now time.Duration) {
	f := &p.index.fair
	if !f.overloaded {
		return
	}
	f.shares.SetCapacity(p.capacity())
	f.shares.SetWaiting(f.names)
	for _, s := range f.waiting {
		f.update(s, now)
		if s.level.Beyond && !s.beyond {
			p.conf.CountEvent(EventBeyondPart)
		}
		s.beyond = s.level.Beyond
		p.logShare(s, now)
	}
}

// logShare logs that an account has crossed its fair share since the last line about it.
func (p *Pool) logShare(s *standing, now time.Duration) {
	if s.level.Beyond == s.loggedBeyond || now < s.nextLogAt {
		return
	}
	s.loggedBeyond, s.nextLogAt = s.level.Beyond, now+minShareLogInterval
	p.conf.Logs.Info("account share", "pool", p.conf.Name, "account", s.account, "share", s.level.Share, "part", s.level.Part,
		"level", s.level.Value, "waiting", s.waiting)
}

// capacity returns the capacity of the pool's workers.
func (p *Pool) capacity() gauge.Resources {
	var sum gauge.Resources
	for _, w := range p.workersByID() {
		if w.listed && !w.dead {
			sum = sum.Plus(w.info.Capacity)
		}
	}
	return sum
}
