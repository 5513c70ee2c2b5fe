package machines_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWrites is a way to the table on which transactions wait until they are let go.
func slowWrites(t *testing.T, to string) (addr string, hold func(), letGo func()) {
	t.Helper()
	var mu sync.Mutex
	var held chan struct{}
	addr = proxied(t, to, func(_ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		wait := held
		mu.Unlock()
		if wait != nil && strings.HasSuffix(r.URL.Path, "/rows-tx") {
			<-wait
		}
		return false
	})
	letGo = func() {
		mu.Lock()
		defer mu.Unlock()
		if held != nil {
			close(held)
			held = nil
		}
	}
	t.Cleanup(letGo)
	hold = func() {
		mu.Lock()
		defer mu.Unlock()
		held = make(chan struct{})
	}
	return addr, hold, letGo
}

// Symptom: callers get no clear answer while a pool is handed over and the table is slow.
// Sequence: the owner offers its pool; the claim of the next one takes some tenths of a
// second, in which jobs are handed in at a third entry.
// Cause: the holder before named the next one as the owner, and that one, by the table,
// the holder before.
func TestHandInsWaitForTheOwnerThatIsTakingThePool(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 2)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("strong-0")
	way, hold, letGo := slowWrites(t, s.table.Addr())
	next := s.startOn("strong-1", way, host{capacity: strongHost})
	caller := s.startOn("weak-0", s.table.Addr(), host{capacity: weakHost})
	s.ready()
	s.waitFor("both are known, and leases can be taken", func() bool {
		return s.logged("entry known", `"entry"="strong-0"`, next.peer) == 1 && s.takes(next) && s.takes(caller)
	})
	hold()
	go first.node.Release(t.Context(), 0)
	s.waitFor("the pool is offered", func() bool { return s.logged("lease offered", `"pool"="`+poolName+`"`, next.peer) == 1 })
	answers := make(chan int)
	go func() {
		status, _, _ := s.call(caller, http.MethodPost, jobPath(1), twoSteps(20))
		answers <- status
	}()
	s.waitFor("the caller's entry knows where the pool goes", func() bool {
		return s.logged("owner moved", `"entry"="weak-0"`) > 0
	})
	time.AfterFunc(150*time.Millisecond, letGo) // as long as a slow transaction takes
	assert.Equal(t, <-answers, http.StatusOK)
	assert.Equal(t, s.logged("owner moved", `"entry"="weak-0"`), 1, "it isn't sent back")
	s.entries = s.entries[1:]
	s.completed([]int{1})
	s.clean()
}
