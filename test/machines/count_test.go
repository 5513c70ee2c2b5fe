package machines_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
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
