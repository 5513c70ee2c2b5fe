package machines_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: a job runs whose caller was told that it never does.
// Sequence: an entry has just started and hasn't seen the leases; it sends a hand-in to the
// table itself, gets no answer, and knows no owner to tell of that. The caller's next try
// comes to the owner, for which the table is away as well: it refuses. The first try was
// stored.
// Cause: the entry served callers before it knew who owns their pools.
func TestEntryThatHasNotSeenTheLeasesTakesNoHandIns(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.ready()
	blind := proxied(t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Query().Get("table") != "leases" {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	e := s.startVia("e-1", blind)
	s.waitFor("it has the configuration", func() bool { return e.node.Site() != nil })
	assert.Assert(t, !e.node.Ready())
	status, _, header := s.call(e, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(s.table.Value("jobs", queueName, jobPath(1)[len(queuePath):])), 0, "nothing was sent")
}
