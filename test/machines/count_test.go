package machines_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// cutOffBeforeJobsCame is a site whose second entry is cut off from the table, and
// after that twenty jobs come that no worker is there for.
func cutOffBeforeJobsCame(t *testing.T) (s *site, cutOff *entry) {
	t.Helper()
	s = newSite(t, 1, 0)
	s.ready()
	s.waitFor("the first entry owns both leases", func() bool { return s.logged("lease taken", `"e-0"`) == 2 })
	way := newPath(t, s.table.Addr())
	cutOff = s.startVia("e-1", way.listen.Addr().String())
	s.ready()
	s.waitFor("the second entry knows the owner", func() bool {
		status, _, _ := s.call(cutOff, http.MethodGet, queuePath, nil)
		return status == http.StatusOK
	})
	way.Cut(true)
	for n := range waitingJobs {
		status, out, _ := s.call(s.entries[0], http.MethodPost, jobPath(n), twoSteps(20))
		assert.Equal(t, status, http.StatusOK, "%v", out)
	}
	return s, cutOff
}

const waitingJobs = 20

// Symptom: 0 jobs are said to wait where hundreds do.
// Sequence: an entry doesn't hear from the table any more; jobs come at the others,
// and wait; the entry is asked how many.
// Cause: the count that was seen last is told, however old it is.
func TestCountThatIsOldIsAskedOfTheOwner(t *testing.T) {
	t.Parallel()
	s, cutOff := cutOffBeforeJobsCame(t)
	s.waitFor("the count is told", func() bool {
		status, out, _ := s.call(cutOff, http.MethodGet, queuePath, nil)
		return status == http.StatusOK && out["queueDepth"] == float64(waitingJobs)
	})
}

// Symptom: 0 jobs are said to wait where hundreds do.
// Sequence: an entry doesn't hear from the table any more, and the pool's owner ends.
// Cause: a count that nobody can know is told all the same.
func TestCountThatNobodyKnowsIsRefused(t *testing.T) {
	t.Parallel()
	s, cutOff := cutOffBeforeJobsCame(t)
	first := s.entries[0]
	first.kill()
	<-first.done
	first.mesh.Close()
	s.waitFor("the count is refused", func() bool {
		status, _, header := s.call(cutOff, http.MethodGet, queuePath, nil)
		return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	})
}

// refusing is a way to the table on which the marks of one queue can't be read, until
// it is healed.
func refusing(t *testing.T, to, queue string) (addr string, heal func()) {
	t.Helper()
	var healed atomic.Bool
	addr = proxied(t, to, func(w http.ResponseWriter, r *http.Request) bool {
		q := r.URL.Query()
		if healed.Load() || q.Get("table") != "open" || q.Get("part") != queue {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	return addr, func() { healed.Store(true) }
}

// Symptom: 0 jobs are said to wait where 1,354 do.
// Sequence: a pool's owner ends; the next one reads one queue of it, but not the other.
// Cause: the count of a queue that was not read is told as 0.
func TestCountOfAQueueThatTheNewOwnerCannotReadIsRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 0)
	s.table.Configure(2, []fakes.Queue{
		{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName},
		{Name: "r-parts", Host: queueHost, Prefix: "/parts/", Pool: poolName},
	}, spareName)
	s.ready()
	s.waitFor("the first entry owns both leases", func() bool { return s.logged("lease taken", `"e-0"`) == 2 })
	way, heal := refusing(t, s.table.Addr(), queueName)
	next := s.startVia("e-1", way)
	s.ready()
	for n := range waitingJobs {
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
	told := func() bool {
		status, depth := count()
		return status == http.StatusOK && depth == float64(waitingJobs)
	}
	s.waitFor("the count is known to the next owner", told)
	first := s.entries[0]
	first.kill()
	<-first.done
	first.mesh.Close()
	s.waitFor("the count is refused, and never wrong", func() bool {
		status, depth := count()
		assert.Assert(t, status == http.StatusServiceUnavailable || depth == float64(waitingJobs), "%d %v", status, depth)
		return status == http.StatusServiceUnavailable
	})
	heal()
	s.waitFor("the count is told again", told)
}
