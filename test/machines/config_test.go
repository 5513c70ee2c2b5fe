package machines_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/boot"
	"sapphiregauge/platform/fakes"
)

// staleEntry is an entry that a test can cut off from changes of the configuration, and whose clock
// it can put forward.
type staleEntry struct {
	*entry
	noConfig    atomic.Bool
	clockOffset atomic.Int64
}

// clockAdvance is far more than a change of the configuration may take to be in force.
const clockAdvance = 20 * time.Second

func (s *site) startStaleEntry(name string, on host) *staleEntry {
	e := new(staleEntry)
	proxyAddr := startProxy(s.t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if !e.noConfig.Load() || r.URL.Query().Get("table") != "op" {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	on.now = func() time.Duration { return boot.Now() + time.Duration(e.clockOffset.Load()) }
	e.entry = s.startOn(name, proxyAddr, on)
	return e
}

// cutConfig cuts the entry off from changes of the configuration, once the pending feed call has
// ended.
func (s *site) cutConfig(e *staleEntry, name string) {
	e.noConfig.Store(true)
	s.waitFor("the entry receives no configuration", func() bool {
		return s.countLogged("dependency lost", `"entry"="`+name+`"`, `"table"="op"`) > 0
	})
}

var (
	sheets = fakes.Queue{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName}   //nolint:gochecknoglobals // a constant
	charts = fakes.Queue{Name: "r-charts", Host: queueHost, Prefix: "/charts/", Pool: poolName} //nolint:gochecknoglobals // a constant
)

// Guards against an entry that answers 404 for a queue, seconds after the operator was told that
// the queue was added, while other entries serve it. An entry receives no changes of the
// configuration for some seconds, in which a queue is added, and is then asked for that queue.
//
// The entry used its configuration no matter how long ago that was last confirmed as the newest.
// On hosts that ran out of processor time, two entries had changes in force 2.7 and 4.4 s late,
// and nothing kept them from answering 404 meanwhile. Without the fix the test fails in every run.
func TestEntryWithStaleConfigDoesNotAnswerThatQueueIsMissing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	stale := s.startStaleEntry("e-1", host{})
	s.waitReady()
	assert.Equal(t, s.countLogged("configuration in force", `"entry"="e-1"`, `"behind"="0s"`), 1, "its first configuration was the newest")
	s.cutConfig(stale, "e-1")
	s.table.PutConfig(2, []fakes.Queue{sheets, charts}, spareName)
	s.waitFor("the other entry serves the new queue", func() bool {
		status, _, _ := s.call(s.entries[0], http.MethodGet, charts.Prefix, nil)
		return status == http.StatusOK
	})
	stale.clockOffset.Store(int64(clockAdvance))
	status, _, header := s.call(stale.entry, http.MethodGet, charts.Prefix, nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Assert(t, !stale.node.Ready())

	stale.noConfig.Store(false)
	s.waitFor("the entry serves the new queue", func() bool {
		status, _, _ := s.call(stale.entry, http.MethodGet, charts.Prefix, nil)
		return status == http.StatusOK && stale.node.Ready()
	})
	status, _, _ = s.call(stale.entry, http.MethodGet, "/nowhere/", nil)
	assert.Equal(t, status, http.StatusNotFound, "with a fresh configuration it knows that a queue is missing")
}

// Guards against a job that is refused with 404 by an entry that otherwise serves its queue. The
// owner of a pool receives no changes of the configuration while a queue is added; an entry that has
// the new configuration forwards a job of that queue to it. The owner's answer that there is no
// such queue was trusted, no matter which configuration it was based on. Without the fix the answer is
// 404 in each run.
func TestOwnerWithStaleConfigRefusesNoJobOfNewQueue(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	stale := s.startStaleEntry("e-0", host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-0")
	e := s.startOn("e-1", s.table.Addr(), host{capacity: smallHostCores})
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	s.cutConfig(stale, "e-0")
	s.table.PutConfig(2, []fakes.Queue{sheets, charts}, spareName)
	s.waitFor("the other entry has the new queue", func() bool {
		return s.countLogged("configuration in force", `"entry"="e-1"`, `"version"=2`) == 1
	})
	path := charts.Prefix + jobPath(2)[len(queuePath):]
	status, out, _ := s.call(e, http.MethodPost, path, twoSteps(20))
	assert.Equal(t, status, http.StatusOK, "%v", out)
	stale.noConfig.Store(false)
	s.waitFor("the job is completed", func() bool {
		_, out, _ := s.call(e, http.MethodGet, path, nil)
		return out["state"] == "completed"
	})
	s.checkNoViolations()
}

// Guards against a count of queued jobs that is reported for a dropped queue. An entry receives
// no changes of the configuration while the queue is dropped, but goes on reading the leases. A
// count was reported as long as it was fresh, whether or not the queue still existed; without the
// fix that happens in each run.
func TestCountOfDroppedQueueIsRefusedByEntryWithStaleConfig(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	s.table.PutConfig(2, []fakes.Queue{sheets, charts}, spareName)
	s.startOn("e-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-0")
	stale := s.startStaleEntry("e-1", host{capacity: smallHostCores})
	s.waitReady()
	count := func(prefix string) int {
		status, _, _ := s.call(stale.entry, http.MethodGet, prefix, nil)
		return status
	}
	s.waitFor("both counts are reported", func() bool { return count(charts.Prefix) == http.StatusOK && count(sheets.Prefix) == http.StatusOK })
	s.cutConfig(stale, "e-1")
	s.table.PutConfig(3, []fakes.Queue{sheets}, spareName)
	s.waitFor("the owner has dropped the queue", func() bool {
		return s.countLogged("configuration in force", `"entry"="e-0"`, `"version"=3`) == 1
	})
	stale.clockOffset.Store(int64(clockAdvance))
	s.waitFor("the entry has read the leases since", func() bool { return count(sheets.Prefix) == http.StatusOK })
	assert.Equal(t, count(charts.Prefix), http.StatusServiceUnavailable)
	path := charts.Prefix + jobPath(1)[len(queuePath):]
	status, _, _ := s.call(stale.entry, http.MethodPost, path, twoSteps(20))
	assert.Equal(t, status, http.StatusNotFound, "the owner knows that the queue was dropped")
}
