package machines_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a job that runs although its client was told that it never does. An entry that
// has just started and hasn't read the leases sends a submission to the table itself, gets no
// answer, and knows no owner to notify. The client's retry reaches the owner, which can't reach
// the table either and refuses. The first attempt was stored. The entry served clients before it
// knew the owners of their pools.
func TestEntryThatHasNotReadLeasesRefusesSubmissions(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.waitReady()
	proxyAddr := startProxy(t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if table := r.URL.Query().Get("table"); table != gauge.TableLeases && table != gauge.TableHolders {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	e := s.startAt("e-1", proxyAddr)
	s.waitFor("the entry has the configuration", func() bool { return e.node.Site() != nil })
	assert.Assert(t, !e.node.Ready())
	status, _, header := s.call(e, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(s.table.Value("jobs", queueName, jobPath(1)[len(queuePath):])), 0, "nothing was sent")
}
