package machines_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform"
)

// Guards against owners of pools that each read the rows of all workers of the site, which take up
// the link of a small host at some thousand workers. The owner must learn of a new worker by the
// entry that reads them for all, and by itself when that entry has died.
func TestOwnerIsToldOfItsWorkers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 2)
	holder := s.startOn("e-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-0")
	proxyAddr, calls := newCallCounter(t, s.table.Addr())
	s.startOn("e-1", proxyAddr, host{capacity: largeHostCores})
	s.waitFor("the pool has moved", func() bool { return s.leaseHolder(poolName) == "e-1" })
	workers := platform.TableCodec{}.WorkerTable()
	reads := func() int { return calls.total(workers, "rows-get", "rows-feed") }
	addWorker := func(id string) {
		t.Helper()
		before := s.countLogged("worker listed", `"entry"="e-1"`)
		s.machines.Add(id, poolName)
		s.waitFor("the new worker is known", func() bool { return s.countLogged("worker listed", `"entry"="e-1"`) > before })
	}

	s.waitFor("the workers are known", func() bool { return s.countLogged("worker listed", `"entry"="e-1"`) == 2 })
	addWorker("m-8")
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	assert.Equal(t, reads(), 0, "calls for the list of workers")

	holder.kill()
	<-holder.done
	holder.mesh.Close()
	s.entries = s.entries[1:]
	addWorker("m-9")
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.waitCompleted([]int{2})
	assert.Assert(t, reads() > 0)
	s.checkNoViolations()
}

// Guards against a load that grows with the entries: wherever a lease was free, each entry that
// claimed it read the list of workers, though only one of them could get it.
func TestClaimOfALeaseReadsNoWorkers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 2)
	holder := s.startOn("e-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-0")
	// Its transactions are refused, so that all its claims fail.
	var claims atomic.Int32
	workers := platform.TableCodec{}.WorkerTable()
	var reads atomic.Int32
	addr := startProxy(t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Query().Get("table") == workers {
			reads.Add(1)
		}
		if !strings.HasSuffix(r.URL.Path, "/rows-tx") {
			return false
		}
		claims.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	s.startOn("e-1", addr, host{capacity: largeHostCores})
	s.waitReady()
	holder.kill()
	<-holder.done
	holder.mesh.Close()
	s.entries = s.entries[1:]
	s.waitFor("claims have failed", func() bool { return s.countLogged("lease not taken", `"entry"="e-1"`) >= 3 })
	assert.Assert(t, claims.Load() > 0)
	assert.Equal(t, reads.Load(), int32(0), "reads of the list of workers")
}
