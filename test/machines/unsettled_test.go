package machines_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: a job runs whose caller was told that it never does.
// Sequence: the pool's owner is killed; an entry that is cut off doesn't hear who owns the pool
// now. It sends a hand-in to the table, which stores it, and the answer is lost; it has nobody to
// tell. The caller's next try comes to the new owner, for which the table is away as well.
// Cause: a doubt was told to the owner alone, which the entry that had it could not know.
func TestOwnerThatWasNotToldOfADoubtRefusesNoRepeat(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	before := s.startOn("e-2", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("e-2")
	var away, cutOff atomic.Bool
	next := s.startOn("e-0", proxied(t, s.table.Addr(), func(w http.ResponseWriter, _ *http.Request) bool {
		if away.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return away.Load()
	}), host{capacity: strongHost})
	direct := newProxy(s.table.Addr())
	blind := s.startOn("e-1", proxied(t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if !cutOff.Load() {
			return false
		}
		if strings.HasSuffix(r.URL.Path, "rows-tx") {
			direct.ServeHTTP(httptest.NewRecorder(), r) // carried out
		}
		hangUp(w)
		return true
	}), host{capacity: weakHost})
	s.ready()
	s.waitFor("the entries know each other", func() bool {
		return s.logged("entry known", `"entry"="e-1"`, `"peer"="e-0"`) == 1
	})
	cutOff.Store(true)
	before.kill()
	<-before.done
	before.mesh.Close()
	s.waitFor("the next entry owns the pool", func() bool { return strings.HasPrefix(s.holderOf(poolName), "e-0") })

	status, _, _ := s.call(blind, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout)
	stored := func() bool { return len(s.table.Value("jobs", queueName, jobPath(1)[len(queuePath):])) > 0 }
	s.waitFor("it is stored", stored)
	away.Store(true)
	status, out, _ := s.call(next, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout, "%v", out)
}

// hangUp breaks a call's connection.
func hangUp(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}
