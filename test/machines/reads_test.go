package machines_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/platform"
)

// callCounter counts one entry's calls to the table, by table and kind of call.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
}

// newCallCounter starts a proxy to the table that counts the calls.
func newCallCounter(t *testing.T, to string) (addr string, counts *callCounter) {
	counts = &callCounter{calls: make(map[string]int)}
	addr = startProxy(t, to, func(_ http.ResponseWriter, r *http.Request) bool {
		counts.count(r.URL.Query().Get("table"), strings.TrimPrefix(r.URL.Path, "/sapphiregauge/"))
		return false
	})
	return addr, counts
}

func (c *callCounter) count(table, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[table+" "+kind]++
}

// total returns the number of calls of some kinds for a table.
func (c *callCounter) total(table string, kinds ...string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, kind := range kinds {
		n += c.calls[table+" "+kind]
	}
	return n
}

// addPeers writes the rows of entries that don't run.
func (s *site) addPeers(count int) {
	table := platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), ReadTimeout: waitTimeout, CommitTimeout: waitTimeout, Clock: time.Now})
	defer table.Close()
	var txn gauge.PartitionTxn
	for n := range count {
		value, err := (&gauge.EntryRow{Addr: fmt.Sprintf("127.0.0.2:%d", n+1), Capacity: smallHostCores}).Encode()
		assert.NilError(s.t, err)
		txn.Writes = append(txn.Writes, gauge.RowWrite{
			RowKey: gauge.RowKey{Table: gauge.TableEntries, Partition: gauge.PartitionEntries, Key: fmt.Sprintf("peer-%02d", n)}, Value: value,
		})
	}
	_, _, err := table.Commit(s.t.Context(), txn)
	assert.NilError(s.t, err)
}

// Guards against a slow start of many entries: after all of some hundred entries were killed
// nothing was served for eight seconds, counts were wrong, and workers that leave were reported
// late. Each entry read the rows of all others with a call for each, as each row had a partition
// of the table of its own. Together that was more than the table can serve, and what it refused was
// read again from the start.
func TestStartingEntryReadsOtherEntriesInFewCalls(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.addPeers(60)
	proxyAddr, calls := newCallCounter(t, s.table.Addr())
	s.startOn("weak-0", proxyAddr, host{capacity: smallHostCores})
	s.waitReady()
	s.waitFor("all are known", func() bool { return s.countLogged("entries known", `"entry"="weak-0"`, `"changed"=6`) == 1 })
	reads := calls.total(gauge.TableEntries, "rows-get", "rows-parts") + calls.total(gauge.TableLeases, "rows-get", "rows-parts")
	assert.Assert(t, reads <= 20, "%d reads", reads)
}

// Guards against hundreds of entries without a pool that take a large part of the capacity of the
// table and of their network links. Each followed the list of workers, of which each rewrites its
// row every second or two, in case it would take over a pool.
func TestEntryWithoutPoolDoesNotReadWorkers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("strong-0")
	proxyAddr, calls := newCallCounter(t, s.table.Addr())
	s.startOn("weak-0", proxyAddr, host{capacity: smallHostCores})
	s.waitReady()
	s.waitFor("the entry has followed the leases for some calls", func() bool { return calls.total(gauge.TableLeases, "rows-feed") >= 3 })
	workers := platform.TableCodec{}.WorkerTable()
	assert.Equal(t, calls.total(workers, "rows-get", "rows-feed"), 0)

	// The entry still serves a pool that it takes over.
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	first.kill()
	<-first.done
	first.mesh.Close()
	s.entries = s.entries[1:]
	s.waitLeasesHeldBy("weak-0")
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.waitCompleted([]int{2})
	assert.Assert(t, calls.total(workers, "rows-get") > 0)
	s.checkNoViolations()
}

// Guards against a task that runs twice at once after the owner of its pool was killed: the owner
// starts the task and is killed, and the successor must read what the owner wrote for it.
func TestSuccessorKnowsWhichWorkersMayHaveOrders(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1)
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(60_000)))
	s.waitFor("a task has started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.0", 1)) == 1 })
	owner := 0
	if s.leaseHolder(poolName) == "e-1" {
		owner = 1
	}
	killed := s.entries[owner]
	killed.kill()
	<-killed.done
	killed.mesh.Close()
	before := fmt.Sprintf(`"before"="e-%d/1"`, owner)
	s.waitFor("the pool was taken over", func() bool {
		return s.countLogged("lease taken", `"pool"="`+poolName+`"`, before) == 1
	})
	assert.Equal(t, s.countLogged("lease taken", `"pool"="`+poolName+`"`, before, `"workers"=1 `), 1)
	s.checkNoViolations()
}
