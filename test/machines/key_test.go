package machines_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/mesh"
	"sapphiregauge/platform/fakes"
)

const (
	garageKey  = "garage-key-1"
	garageKey2 = "garage-key-2"
	schoolKey  = "school-key-1"
)

var (
	garages = fakes.Account{Name: "garages", Keys: []string{garageKey, garageKey2}, Weight: 5}                   //nolint:gochecknoglobals // a constant
	schools = fakes.Account{Name: "schools", Keys: []string{schoolKey}, Weight: 5}                               //nolint:gochecknoglobals // a constant
	notices = fakes.Queue{Name: "r-notices", Host: queueHost, Prefix: "/notices/", Pool: poolName, Public: true} //nolint:gochecknoglobals // a constant
	posters = fakes.Queue{Name: "r-posters", Host: queueHost, Prefix: "/notices/posters/", Pool: poolName}       //nolint:gochecknoglobals // a constant
)

// newKeySite returns a site whose calls need keys, without entries.
func newKeySite(t *testing.T) *site {
	t.Helper()
	s := newSite(t, 0, 1)
	s.keysRequired = true
	s.putAccounts(1, garages, schools)
	return s
}

func (s *site) putAccounts(version int64, accounts ...fakes.Account) {
	s.table.PutAccountConfig(version, []fakes.Queue{sheets, notices, posters}, accounts, spareName)
}

// withoutKey returns an account that has lost a key.
func withoutKey(a fakes.Account, key string) fakes.Account {
	var keys []string
	for _, k := range a.Keys {
		if k != key {
			keys = append(keys, k)
		}
	}
	a.Keys = keys
	return a
}

func (s *site) postWithKey(e *entry, n int, key string) int {
	status, _, _ := s.callWithKey(e, http.MethodPost, jobPath(n), twoSteps(20), key)
	return status
}

// Guards against a job of a caller without a valid key that runs, and one of a caller with a valid key that is refused.
func TestCallsNeedAKeyUnlessTheirQueueIsPublic(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	e := s.start("e-0")
	s.waitReady()
	for _, tt := range []struct {
		name, method, path, key string
		want                    int
	}{
		{"a key", http.MethodPost, jobPath(1), garageKey, http.StatusOK},
		{"the account's other key", http.MethodGet, jobPath(1), garageKey2, http.StatusOK},
		{"a repetition", http.MethodPost, jobPath(1), garageKey2, http.StatusOK},
		{"another account's key, state", http.MethodGet, jobPath(1), schoolKey, http.StatusForbidden},
		{"another account's key, repetition", http.MethodPost, jobPath(1), schoolKey, http.StatusForbidden},
		{"another account's key, cancellation", http.MethodDelete, jobPath(1), schoolKey, http.StatusForbidden},
		{"no key", http.MethodPost, jobPath(2), "", http.StatusUnauthorized},
		{"an unknown key", http.MethodPost, jobPath(2), "guessed", http.StatusUnauthorized},
		{"an unknown key, state", http.MethodGet, jobPath(1), "guessed", http.StatusUnauthorized},
		{"an unknown key, count", http.MethodGet, queuePath, "guessed", http.StatusUnauthorized},
		{"a queue that is missing comes before a key that is", http.MethodGet, "/nowhere/", "", http.StatusNotFound},
		{"a public queue", http.MethodPost, notices.Prefix + "00000000000000b1", "", http.StatusOK},
		{"a public queue, with an unknown key", http.MethodGet, notices.Prefix + "00000000000000b1", "guessed", http.StatusOK},
		{"a queue below a public one", http.MethodPost, posters.Prefix + "00000000000000b2", "", http.StatusUnauthorized},
		{"the cancellation by its account", http.MethodDelete, jobPath(1), garageKey, http.StatusOK},
	} {
		var body any
		if tt.method == http.MethodPost {
			body = twoSteps(20)
		}
		status, out, _ := s.callWithKey(e, tt.method, tt.path, body, tt.key)
		assert.Check(t, status == tt.want, "%s: %d %v, want %d", tt.name, status, out, tt.want)
	}
	assert.Equal(t, len(s.table.Value("jobs", queueName, jobPath(2)[len(queuePath):])), 0)
	s.waitFor("a count is told", func() bool {
		status, _, _ := s.callWithKey(e, http.MethodGet, queuePath, nil, schoolKey)
		return status == http.StatusOK
	})
	for _, key := range []string{garageKey, garageKey2, schoolKey, "guessed"} {
		assert.Equal(t, s.countLogged(key), 0, "keys are not logged")
	}
}

// Guards against a withdrawn key that an entry still accepts, since it receives no changes of the configuration.
func TestWithdrawnKeyIsNotAcceptedByAnEntryThatCannotKnow(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	fresh := s.start("e-0")
	stale := s.startStaleEntry("e-1", host{})
	s.waitReady()
	assert.Equal(t, s.postWithKey(stale.entry, 1, garageKey), http.StatusOK)
	s.cutConfig(stale, "e-1")
	s.putAccounts(2, withoutKey(garages, garageKey), schools)
	s.waitFor("the key is unknown elsewhere", func() bool {
		status, _, _ := s.callWithKey(fresh, http.MethodGet, jobPath(1), nil, garageKey)
		return status == http.StatusUnauthorized
	})
	stale.clockOffset.Store(int64(maxKeyDelay))
	for _, key := range []string{garageKey, garageKey2, "guessed"} {
		status, _, header := s.callWithKey(stale.entry, http.MethodPost, jobPath(2), twoSteps(20), key)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(s.table.Value("jobs", queueName, jobPath(2)[len(queuePath):])), 0, "a refused job is not stored")
	status, _, _ := s.call(stale.entry, http.MethodGet, notices.Prefix+"00000000000000b1", nil)
	assert.Equal(t, status, http.StatusGone, "a public queue needs no proof")

	stale.noConfig.Store(false)
	s.waitFor("the entry knows that the key is withdrawn", func() bool { return s.postWithKey(stale.entry, 2, garageKey) == http.StatusUnauthorized })
	assert.Equal(t, s.postWithKey(stale.entry, 2, garageKey2), http.StatusOK, "the account's other key is valid")
}

// Guards against a key that an entry refuses as unknown, though it was added while the entry received no changes.
func TestAddedKeyIsNotCalledUnknownByAnEntryThatCannotKnow(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	stale := s.startStaleEntry("e-0", host{})
	s.waitReady()
	s.cutConfig(stale, "e-0")
	added := garages
	added.Keys = append([]string{"garage-key-3"}, garages.Keys...)
	s.putAccounts(2, added, schools)
	stale.clockOffset.Store(int64(clockAdvance))
	assert.Equal(t, s.postWithKey(stale.entry, 1, "garage-key-3"), http.StatusServiceUnavailable)
	stale.noConfig.Store(false)
	s.waitFor("the key is accepted", func() bool { return s.postWithKey(stale.entry, 1, "garage-key-3") == http.StatusOK })
}

// Guards against withdrawn keys that stay valid because the configuration that withdraws them can't be used.
func TestKeysAreNotAcceptedWhileTheNewestConfigurationIsUnusable(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	e := s.start("e-0")
	s.waitReady()
	assert.Equal(t, s.postWithKey(e, 1, garageKey), http.StatusOK)
	twice := schools
	twice.Keys = garages.Keys
	s.putAccounts(2, garages, twice)
	s.waitFor("keys are not accepted", func() bool { return s.postWithKey(e, 1, garageKey) == http.StatusServiceUnavailable })
	assert.Assert(t, s.countLogged("operator row not read", "accounts[1].keys") > 0)
	status, _, _ := s.call(e, http.MethodGet, notices.Prefix+"00000000000000b1", nil)
	assert.Equal(t, status, http.StatusGone, "the last good configuration stays in force")
	s.putAccounts(3, garages, schools)
	s.waitFor("keys are accepted", func() bool { return s.postWithKey(e, 1, garageKey) == http.StatusOK })
}

// Guards against a job that is refused for want of a proof of its key, though this entry was told of an earlier try that may be stored.
func TestUnprovedKeyRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	stale := s.startStaleEntry("e-0", host{})
	s.waitReady()
	s.cutConfig(stale, "e-0")
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	answer := make(map[string]any)
	call := map[string]any{"i": jobPath(1)[len(queuePath):], "p": poolName}
	assert.NilError(t, caller.Call(t.Context(), stale.peerAddr, "job.doubt", call, &answer))
	stale.clockOffset.Store(int64(maxKeyDelay))
	assert.Equal(t, s.postWithKey(stale.entry, 1, garageKey), http.StatusGatewayTimeout)
	assert.Equal(t, s.postWithKey(stale.entry, 2, garageKey), http.StatusServiceUnavailable)
}
