package machines_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a job that runs although its client was told that it never does. The pool's
// owner is killed, and an entry that is cut off doesn't learn of the new owner. It sends a
// submission to the table, which stores it, and the answer is lost; the entry has no owner to
// notify. The client's retry reaches the new owner, which can't reach the table either and must
// not refuse. An unsettled submission was reported to the owner alone, which the entry could not
// know.
func TestOwnerNotNotifiedOfUnsettledSubmissionRefusesNoRetry(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	previousOwner := s.startOn("e-2", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-2")
	var tableDown, cutOff atomic.Bool
	successor := s.startOn("e-0", startProxy(t, s.table.Addr(), func(w http.ResponseWriter, _ *http.Request) bool {
		if tableDown.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return tableDown.Load()
	}), host{capacity: largeHostCores})
	direct := newProxy(s.table.Addr())
	isolated := s.startOn("e-1", startProxy(t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if !cutOff.Load() {
			return false
		}
		if strings.HasSuffix(r.URL.Path, "rows-tx") {
			direct.ServeHTTP(httptest.NewRecorder(), r) // carried out
		}
		closeConnection(w)
		return true
	}), host{capacity: smallHostCores})
	s.waitReady()
	s.waitFor("the entries know each other", func() bool {
		return s.countLogged("entry known", `"entry"="e-1"`, `"peer"="e-0"`) == 1
	})
	cutOff.Store(true)
	previousOwner.kill()
	<-previousOwner.done
	previousOwner.mesh.Close()
	s.waitFor("the next entry owns the pool", func() bool { return strings.HasPrefix(s.leaseHolder(poolName), "e-0") })

	status, _, _ := s.call(isolated, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout)
	stored := func() bool { return len(s.table.Value("jobs", queueName, jobPath(1)[len(queuePath):])) > 0 }
	s.waitFor("the job is stored", stored)
	tableDown.Store(true)
	status, out, _ := s.call(successor, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout, "%v", out)
}

// closeConnection closes the connection of a request without an answer.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}
