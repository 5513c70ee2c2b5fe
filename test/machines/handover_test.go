package machines_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWrites starts a proxy to the table on which transactions wait while it is blocked.
func slowWrites(t *testing.T, to string) (addr string, block func(), unblock func()) {
	t.Helper()
	var mu sync.Mutex
	var blocked chan struct{}
	addr = startProxy(t, to, func(_ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		wait := blocked
		mu.Unlock()
		if wait != nil && strings.HasSuffix(r.URL.Path, "/rows-tx") {
			<-wait
		}
		return false
	})
	unblock = func() {
		mu.Lock()
		defer mu.Unlock()
		if blocked != nil {
			close(blocked)
			blocked = nil
		}
	}
	t.Cleanup(unblock)
	block = func() {
		mu.Lock()
		defer mu.Unlock()
		blocked = make(chan struct{})
	}
	return addr, block, unblock
}

// Guards against clients that get no clear answer while a pool is handed over and the table is
// slow: the owner offers its pool, and the claim of its successor takes some tenths of a second,
// in which jobs are submitted at a third entry. The previous owner answered that its
// successor is the owner, and the successor, according to the table, that the previous owner is.
func TestSubmissionsWaitForOwnerTakingThePool(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 2)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("strong-0")
	slowAddr, block, unblock := slowWrites(t, s.table.Addr())
	next := s.startOn("strong-1", slowAddr, host{capacity: largeHostCores})
	receiver := s.startOn("weak-0", s.table.Addr(), host{capacity: smallHostCores})
	s.waitReady()
	s.waitFor("both entries are known, and leases can be taken", func() bool {
		return s.countLogged("entry known", `"entry"="strong-0"`, next.peerAddr) == 1 && s.acceptsLeases(next) && s.acceptsLeases(receiver)
	})
	block()
	go first.node.Release(t.Context(), 0)
	s.waitFor("the pool is offered", func() bool { return s.countLogged("lease offered", `"pool"="`+poolName+`"`, next.peerAddr) == 1 })
	answers := make(chan int)
	go func() {
		status, _, _ := s.call(receiver, http.MethodPost, jobPath(1), twoSteps(20))
		answers <- status
	}()
	s.waitFor("the entry that received the job knows the successor", func() bool {
		return s.countLogged("owner moved", `"entry"="weak-0"`) > 0
	})
	time.AfterFunc(150*time.Millisecond, unblock) // as long as a slow transaction takes
	assert.Equal(t, <-answers, http.StatusOK)
	assert.Equal(t, s.countLogged("owner moved", `"entry"="weak-0"`), 1, "the request isn't sent back")
	s.entries = s.entries[1:]
	s.waitCompleted([]int{1})
	s.checkNoViolations()
}
