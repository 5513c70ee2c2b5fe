package machines_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// newSiteWithCutOffEntry starts a site whose second entry is cut off from the table, after which
// jobs are submitted that no worker can run.
func newSiteWithCutOffEntry(t *testing.T) (s *site, cutOff *entry) {
	t.Helper()
	s = newSite(t, 1, 0)
	s.waitReady()
	s.waitFor("the first entry owns both leases", func() bool { return s.countLogged("lease taken", `"e-0"`) == 2 })
	link := newTableLink(t, s.table.Addr())
	cutOff = s.startAt("e-1", link.listen.Addr().String())
	s.waitReady()
	s.waitFor("the second entry knows the owner", func() bool {
		status, _, _ := s.call(cutOff, http.MethodGet, queuePath, nil)
		return status == http.StatusOK
	})
	link.Cut(true)
	for n := range queuedJobs {
		status, out, _ := s.call(s.entries[0], http.MethodPost, jobPath(n), twoSteps(20))
		assert.Equal(t, status, http.StatusOK, "%v", out)
	}
	return s, cutOff
}

const queuedJobs = 20

// Guards against a stale count of queued jobs: 0 jobs were reported where hundreds waited. An
// entry no longer receives changes from the table while jobs are submitted at the others; it
// reported the last count that it had read, no matter how old.
func TestCountThatIsStaleIsFetchedFromOwner(t *testing.T) {
	t.Parallel()
	s, cutOff := newSiteWithCutOffEntry(t)
	s.waitFor("the count is reported", func() bool {
		status, out, _ := s.call(cutOff, http.MethodGet, queuePath, nil)
		return status == http.StatusOK && out["queueDepth"] == float64(queuedJobs)
	})
}

// Guards against a count of queued jobs that can't be known but is reported nevertheless: 0 jobs
// were reported where hundreds waited. An entry no longer receives changes from the table, and
// the owner of the pool has ended.
func TestCountThatIsUnknownIsRefused(t *testing.T) {
	t.Parallel()
	s, cutOff := newSiteWithCutOffEntry(t)
	first := s.entries[0]
	first.kill()
	<-first.done
	first.mesh.Close()
	s.waitFor("the count is refused", func() bool {
		status, _, header := s.call(cutOff, http.MethodGet, queuePath, nil)
		return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	})
}

// proxyRefusingQueue starts a proxy to the table on which the open jobs of one queue can't be
// read until heal is called.
func proxyRefusingQueue(t *testing.T, to, queue string) (addr string, heal func()) {
	t.Helper()
	var healed atomic.Bool
	addr = startProxy(t, to, func(w http.ResponseWriter, r *http.Request) bool {
		q := r.URL.Query()
		if healed.Load() || q.Get("table") != "open" || q.Get("part") != queue {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	return addr, func() { healed.Store(true) }
}

// Guards against a count of 0 for a queue that was not read: 0 jobs were reported where 1,354
// waited. The owner of a pool ends, and its successor can read one queue of the pool but not the
// other.
func TestCountOfUnreadableQueueIsRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 0)
	s.table.PutConfig(2, []fakes.Queue{
		{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName},
		{Name: "r-parts", Host: queueHost, Prefix: "/parts/", Pool: poolName},
	}, spareName)
	s.waitReady()
	s.waitFor("the first entry owns both leases", func() bool { return s.countLogged("lease taken", `"e-0"`) == 2 })
	proxyAddr, heal := proxyRefusingQueue(t, s.table.Addr(), queueName)
	next := s.startAt("e-1", proxyAddr)
	s.waitReady()
	for n := range queuedJobs {
		assert.Assert(t, s.submit(n, twoSteps(20)))
	}
	s.waitFor("the other queue has a job", func() bool {
		status, _, _ := s.call(s.entries[0], http.MethodPost, "/parts/00000000000000ff", twoSteps(20))
		return status == http.StatusOK
	})
	count := func() (int, any) {
		status, out, _ := s.call(next, http.MethodGet, queuePath, nil)
		return status, out["queueDepth"]
	}
	reported := func() bool {
		status, depth := count()
		return status == http.StatusOK && depth == float64(queuedJobs)
	}
	s.waitFor("the next owner knows the count", reported)
	first := s.entries[0]
	first.kill()
	<-first.done
	first.mesh.Close()
	s.waitFor("the count is refused, and never wrong", func() bool {
		status, depth := count()
		assert.Assert(t, status == http.StatusServiceUnavailable || depth == float64(queuedJobs), "%d %v", status, depth)
		return status == http.StatusServiceUnavailable
	})
	heal()
	s.waitFor("the count is reported again", reported)
}
