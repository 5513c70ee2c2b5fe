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

// tally counts one entry's calls to the table, by table and kind.
type tally struct {
	mu    sync.Mutex
	calls map[string]int
}

// newTally starts a way to the table that counts.
func newTally(t *testing.T, to string) (addr string, counts *tally) {
	counts = &tally{calls: make(map[string]int)}
	addr = proxied(t, to, func(_ http.ResponseWriter, r *http.Request) bool {
		counts.count(r.URL.Query().Get("table"), strings.TrimPrefix(r.URL.Path, "/sapphiregauge/"))
		return false
	})
	return addr, counts
}

func (c *tally) count(table, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[table+" "+kind]++
}

// of counts the calls of some kinds for a table.
func (c *tally) of(table string, kinds ...string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, kind := range kinds {
		n += c.calls[table+" "+kind]
	}
	return n
}

// addPeers writes the rows of entries that are not there.
func (s *site) addPeers(most int) {
	table := platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), Read: patience, Commit: patience, Clock: time.Now})
	defer table.Close()
	var txn gauge.PartTxn
	for n := range most {
		value, err := (&gauge.EntryRow{Addr: fmt.Sprintf("127.0.0.2:%d", n+1), Capacity: weakHost}).Encode()
		assert.NilError(s.t, err)
		txn.Writes = append(txn.Writes, gauge.RowWrite{
			RowKey: gauge.RowKey{Table: gauge.TableEntries, Key: fmt.Sprintf("peer-%02d", n)}, Value: value,
		})
	}
	_, _, err := table.Commit(s.t.Context(), txn)
	assert.NilError(s.t, err)
}

// Symptom: after all of some hundred entries were killed nothing is served for eight
// seconds; counts are wrong and workers that leave are told of late.
// Sequence: each entry reads the rows of all others, with a call for each; together more
// than the table takes. What it turns away is read again from the start.
// Cause: each entry's row had a part of the table of its own.
func TestEntryThatStartsReadsTheOthersWithAFewCalls(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.addPeers(60)
	way, calls := newTally(t, s.table.Addr())
	s.startOn("weak-0", way, host{capacity: weakHost})
	s.ready()
	s.waitFor("all are known", func() bool { return s.logged("entry known", `"entry"="weak-0"`, `"peer"="peer-`) == 60 })
	reads := calls.of(gauge.TableEntries, "rows-get", "rows-parts") + calls.of(gauge.TableLeases, "rows-get", "rows-parts")
	assert.Assert(t, reads <= 20, "%d reads", reads)
}

// Symptom: hundreds of entries without a pool take a large part of what the table and
// their links can carry.
// Sequence: nothing; each follows the list of workers, of which each rewrites its row
// every second or two.
// Cause: the list was followed in case a pool would be taken.
func TestEntryWithoutAPoolReadsNothingOfTheWorkers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("strong-0")
	way, calls := newTally(t, s.table.Addr())
	s.startOn("weak-0", way, host{capacity: weakHost})
	s.ready()
	s.waitFor("it has looked at the leases some times", func() bool { return calls.of(gauge.TableLeases, "rows-feed") >= 3 })
	workers := platform.Words{}.WorkerTable()
	assert.Equal(t, calls.of(workers, "rows-get", "rows-feed"), 0)

	// It still serves a pool that it takes over.
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	first.kill()
	<-first.done
	first.mesh.Close()
	s.entries = s.entries[1:]
	s.held("weak-0")
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.completed([]int{2})
	assert.Assert(t, calls.of(workers, "rows-get") > 0)
	s.clean()
}

// Symptom: a task runs twice at once after its pool's owner was killed.
// Sequence: the owner starts a task and is killed; another entry takes the pool.
// Cause: what the owner wrote for its successor isn't read.
func TestEntryThatTakesAPoolOverKnowsWhichWorkersMayHaveOrders(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1)
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(60_000)))
	s.waitFor("a task has started", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.0", 1)) == 1 })
	owner := 0
	if s.holderOf(poolName) == "e-1" {
		owner = 1
	}
	killed := s.entries[owner]
	killed.kill()
	<-killed.done
	killed.mesh.Close()
	before := fmt.Sprintf(`"before"="e-%d/1"`, owner)
	s.waitFor("it was taken over", func() bool {
		return s.logged("lease taken", `"pool"="`+poolName+`"`, before) == 1
	})
	assert.Equal(t, s.logged("lease taken", `"pool"="`+poolName+`"`, before, `"workers"=1 `), 1)
	s.clean()
}
