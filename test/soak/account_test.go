package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

const (
	// keyStream and limitStream select random streams of their own, so that the schedule of
	// disturbances is the same as without accounts.
	keyStream   = 5 << 32
	limitStream = 6 << 32
	// maxKeyDelay is how long a withdrawn key may still be accepted.
	maxKeyDelay = 2500 * time.Millisecond
	// limitedIDs is what the ids of the limited account's jobs begin with: those of the first caller.
	limitedIDs = "0000"
	otherKey   = "other-key"
	taskCPU    = 300 // of each task of a random job, in thousandths of a core
	fewTasks   = 3   // the lower limit of the account
	manyTasks  = 6   // the higher one
	// otherWeight is the rate of jobs promised to the other account, a fraction of what it submits in a burst.
	otherWeight = 40
)

// accounts is what the operator has configured of the client accounts. The keys of the limited
// account are replaced by turns.
type accounts struct {
	mu      sync.Mutex
	keys    []string             // of the limited account, the newest last
	added   map[string]time.Time // when it was acknowledged that a key was added
	removed map[string]time.Time // when it was acknowledged that a key was withdrawn
	limit   int                  // tasks
}

func newAccounts() *accounts {
	return &accounts{keys: []string{"key-0"}, added: map[string]time.Time{"key-0": {}}, removed: make(map[string]time.Time), limit: manyTasks}
}

// query returns the accounts as a part of the query that stores a configuration.
func (a *accounts) query() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprintf("&limit=%d&%s", a.limit, url.Values{"key": a.keys}.Encode())
}

// keyFor returns a key for a call for a job: of the limited account, the newest one that has to be
// known everywhere by now.
func (a *accounts) keyFor(path string) string {
	if !strings.HasPrefix(path, prefix+limitedIDs) {
		return otherKey
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range slices.Backward(a.keys) {
		if at, ok := a.added[k]; ok && time.Since(at) > maxApplyDelay {
			return k
		}
	}
	return a.keys[0]
}

// fakeAccounts returns the accounts of a configuration from the query that stores it; none if it
// names no keys.
func fakeAccounts(q url.Values) []fakes.Account {
	if len(q["key"]) == 0 {
		return nil
	}
	var limit int
	_, _ = fmt.Sscan(q.Get("limit"), &limit)
	return []fakes.Account{
		{Name: "limited", Keys: q["key"], Weight: 4, MaxCPU: limit * taskCPU},
		{Name: "other", Keys: []string{otherKey}, Weight: otherWeight},
	}
}

// storeAccounts stores a configuration after a change of the accounts, and returns when that was
// acknowledged.
func (s *soak) storeAccounts(change func(a *accounts)) time.Time {
	s.accounts.mu.Lock()
	change(s.accounts)
	s.accounts.mu.Unlock()
	s.storeNextVersion()
	return time.Now()
}

// replaceKeys adds a key and then withdraws the one before, again and again.
func (s *soak) replaceKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, keyStream))
	for n := 1; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("key-%d", n)
		at := s.storeAccounts(func(a *accounts) { a.keys = append(a.keys, key) })
		s.accounts.mu.Lock()
		s.accounts.added[key] = at
		s.accounts.mu.Unlock()
		sleep(ctx, maxApplyDelay+time.Duration(500+random.IntN(500))*time.Millisecond) // callers have changed to the new key
		var old string
		at = s.storeAccounts(func(a *accounts) { old, a.keys = a.keys[0], a.keys[1:] })
		s.accounts.mu.Lock()
		s.accounts.removed[old] = at
		s.accounts.mu.Unlock()
	}
}

// tryKeys calls random entries, also disturbed ones, with withdrawn and with valid keys. An entry
// that doesn't know may refuse or not answer; how slow the machine is doesn't matter, as an entry
// counts from when it asked the table.
func (s *soak) tryKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, keyStream+1))
	for ctx.Err() == nil {
		e := s.entries[random.IntN(len(s.entries))]
		withdrawn, valid := s.pickKeys()
		if withdrawn != "" {
			status, _ := s.callers.callWithKey(e, http.MethodGet, prefix, nil, withdrawn)
			s.keyRequests++
			assert.Check(s.t, status != http.StatusOK, "seed %d: %s serves %s", s.seed, e.name, withdrawn)
		}
		status, _ := s.callers.callWithKey(e, http.MethodGet, prefix, nil, valid)
		assert.Check(s.t, status != http.StatusUnauthorized || s.isWithdrawn(valid), "seed %d: %s says that %s is unknown", s.seed, e.name, valid)
		sleep(ctx, requestInterval)
	}
}

// pickKeys returns a key that may not be accepted any more, if there is one, and one that has to be
// known everywhere.
func (s *soak) pickKeys() (withdrawn, valid string) {
	s.accounts.mu.Lock()
	for key, at := range s.accounts.removed {
		if time.Since(at) > maxKeyDelay {
			withdrawn = key
		}
	}
	s.accounts.mu.Unlock()
	return withdrawn, s.accounts.keyFor(prefix + limitedIDs)
}

// isWithdrawn reports whether a key is being withdrawn or has been: a call with it may have come
// too late.
func (s *soak) isWithdrawn(key string) bool {
	s.accounts.mu.Lock()
	defer s.accounts.mu.Unlock()
	return !slices.Contains(s.accounts.keys, key)
}

// changeLimit lowers and raises the account's limit. The platform's fakes check each start: until a
// lowered limit has to be in force everywhere, the higher one counts.
func (s *soak) changeLimit(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, limitStream))
	for ctx.Err() == nil {
		s.storeAccounts(func(a *accounts) { a.limit = fewTasks })
		sleep(ctx, maxApplyDelay+time.Duration(random.IntN(1000))*time.Millisecond)
		s.platform.request(boundQuery(fewTasks))
		sleep(ctx, time.Duration(1000+random.IntN(1000))*time.Millisecond)
		s.platform.request(boundQuery(manyTasks))
		s.storeAccounts(func(a *accounts) { a.limit = manyTasks })
		sleep(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
	}
}

// boundQuery sets how many tasks of the limited account may run: a tenth and one more than its limit.
func boundQuery(tasks int) string {
	return fmt.Sprintf("/bound?prefix=%s&tasks=%d", limitedIDs, tasks+tasks/10+1)
}
