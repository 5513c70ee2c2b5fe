// Package fair tells how far client accounts are above their fair share of a pool, by weighted
// dominant resource fairness: what counts of an account is the resource of which it uses the largest
// part of the pool, so that accounts with different kinds of work can be compared.
package fair

import (
	"math"
	"slices"
	"strings"
	"time"

	gauge "sapphiregauge"
)

// Config sets up Shares.
type Config struct {
	HalfLife time.Duration // after this time, past use counts half
}

// Level is an account's use of the pool, compared with its fair share.
type Level struct {
	Beyond bool // Share is above Part
	// Value is the account's recent use plus its present use, relative to its fair share. An account
	// that has always used just its fair share is at 2.
	Value float64
	Share float64 // dominant share: the largest part of a resource of the pool that its runs use
	Part  float64 // fair share: its weight divided by the weights of all accounts with work
}

// Shares holds what accounts use of one pool. Accounts without a name or a weight count as well, with
// a weight of 1. It is not safe for concurrent use.
type Shares struct {
	halfLife time.Duration
	capacity gauge.Resources
	weights  map[string]float64
	accounts map[string]*account
	sorted   []*account    // by name: the sum of their weights mustn't depend on the order of a map
	total    float64       // sum of the weights of the accounts with work
	stale    bool          // total is to be computed again
	round    int           // number of calls of SetWaiting
	newest   time.Duration // latest time that was passed
}

// account is what is known of one account.
type account struct {
	name         string
	weight       float64
	running      gauge.Resources
	runs         int
	waitingRound int           // last round in which it had waiting work
	past         float64       // mean dominant share until settledAt, in which past use counts less
	settledAt    time.Duration // until then its use is contained in past
}

const (
	defaultWeight = 1
	// tolerance is the part of a fair share by which an account may be above it: weights needn't be
	// exact in binary.
	tolerance = 1e-9
	// forgottenHalfLives is the number of half-lives after which the use of an account without work
	// makes no difference any more.
	forgottenHalfLives = 20
)

// New returns Shares without accounts.
func New(c Config) *Shares {
	return &Shares{halfLife: c.HalfLife, accounts: make(map[string]*account)}
}

// SetCapacity sets the capacity of the pool.
func (s *Shares) SetCapacity(capacity gauge.Resources) { s.capacity = capacity }

// SetWeights sets the weights of the accounts that have one.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.weights, s.stale = weights, true
	for _, a := range s.sorted {
		a.weight = s.weight(a.name)
	}
}

// SetWaiting sets the accounts that have work that waits. It forgets accounts that have had no work
// for long.
func (s *Shares) SetWaiting(names []string) {
	s.round++
	s.stale = true
	for _, name := range names {
		s.account(name).waitingRound = s.round
	}
	s.sorted = slices.DeleteFunc(s.sorted, func(a *account) bool {
		if a.hasWork(s.round) || s.newest-a.settledAt < forgottenHalfLives*s.halfLife {
			return false
		}
		delete(s.accounts, a.name)
		return true
	})
}

// Add adds a run of an account and what it takes of the pool.
func (s *Shares) Add(name string, need gauge.Resources, now time.Duration) {
	a := s.account(name)
	s.settle(a, now)
	s.stale = s.stale || !a.hasWork(s.round)
	a.running = a.running.Plus(need)
	a.runs++
}

// Remove removes a run that Add has added.
func (s *Shares) Remove(name string, need gauge.Resources, now time.Duration) {
	a := s.account(name)
	s.settle(a, now)
	a.running = a.running.Minus(need)
	a.runs--
	s.stale = s.stale || !a.hasWork(s.round)
}

// Running returns what the runs of an account take of the pool.
func (s *Shares) Running(name string) gauge.Resources {
	if a := s.accounts[name]; a != nil {
		return a.running
	}
	return gauge.Resources{}
}

// Level returns the level of an account. It rises with each run that is added.
func (s *Shares) Level(name string, now time.Duration) Level {
	total := s.totalWeight()
	a := s.accounts[name]
	if a == nil {
		weight := s.weight(name)
		return Level{Part: weight / (total + weight)}
	}
	if !a.hasWork(s.round) {
		total += a.weight
	}
	s.settle(a, now)
	share := s.dominantShare(a)
	return Level{
		Beyond: share*total > a.weight*(1+tolerance),
		Value:  (a.past + share) * total / a.weight,
		Share:  share,
		Part:   a.weight / total,
	}
}

// account returns an account, which is created if needed.
func (s *Shares) account(name string) *account {
	if a := s.accounts[name]; a != nil {
		return a
	}
	a := &account{name: name, weight: s.weight(name), settledAt: s.newest}
	s.accounts[name] = a
	i, _ := slices.BinarySearchFunc(s.sorted, name, func(a *account, name string) int { return strings.Compare(a.name, name) })
	s.sorted = slices.Insert(s.sorted, i, a)
	return a
}

// settle updates an account's past use to the present.
func (s *Shares) settle(a *account, now time.Duration) {
	s.newest = max(s.newest, now)
	if now <= a.settledAt {
		return
	}
	kept := math.Exp2(-float64(now-a.settledAt) / float64(s.halfLife))
	a.past = a.past*kept + s.dominantShare(a)*(1-kept)
	a.settledAt = now
}

// dominantShare returns the largest part of a resource that an account's runs use. A resource that
// the pool hasn't got doesn't count.
func (s *Shares) dominantShare(a *account) float64 {
	return max(
		part(a.running.MilliCPU, s.capacity.MilliCPU),
		part(a.running.MemoryMB, s.capacity.MemoryMB),
		part(a.running.Accels, s.capacity.Accels),
	)
}

// part returns the used part of a capacity, 0 if there is none.
func part(used, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// totalWeight returns the sum of the weights of the accounts with work.
func (s *Shares) totalWeight() float64 {
	if !s.stale {
		return s.total
	}
	s.total, s.stale = 0, false
	for _, a := range s.sorted {
		if a.hasWork(s.round) {
			s.total += a.weight
		}
	}
	return s.total
}

// weight returns the weight of an account, of which SetWeights needn't know.
func (s *Shares) weight(name string) float64 {
	if weight := s.weights[name]; weight > 0 {
		return weight
	}
	return defaultWeight
}

// hasWork reports whether an account has runs, or had waiting work in a round.
func (a *account) hasWork(round int) bool { return a.runs > 0 || a.waitingRound == round }
