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

// behind is an entry that a test can have hear nothing of the configuration any more, and
// whose clock it can put forward.
type behind struct {
	*entry
	deaf  atomic.Bool
	ahead atomic.Int64
}

// longAfter is by far more than a change of the configuration may take to be in force.
const longAfter = 20 * time.Second

func (s *site) startBehind(name string, on host) *behind {
	b := new(behind)
	way := proxied(s.t, s.table.Addr(), func(w http.ResponseWriter, r *http.Request) bool {
		if !b.deaf.Load() || r.URL.Query().Get("table") != "op" {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	on.now = func() time.Duration { return boot.Now() + time.Duration(b.ahead.Load()) }
	b.entry = s.startOn(name, way, on)
	return b
}

// deafen has the entry hear nothing of the configuration, once the feed that waits is over.
func (s *site) deafen(b *behind, name string) {
	b.deaf.Store(true)
	s.waitFor("it hears nothing of the configuration", func() bool {
		return s.logged("dependency lost", `"entry"="`+name+`"`, `"table"="op"`) > 0
	})
}

var (
	sheets = fakes.Queue{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName}   //nolint:gochecknoglobals // a constant
	charts = fakes.Queue{Name: "r-charts", Host: queueHost, Prefix: "/charts/", Pool: poolName} //nolint:gochecknoglobals // a constant
)

// Symptom: a caller is told that a queue doesn't exist, seconds after the operator was told
// that it was added; others are served.
// Sequence: an entry hears nothing of the configuration for some seconds, in which a queue is
// added; it is asked for that queue.
// Cause: an entry answered by its configuration however long ago it had last heard that this
// is the newest. On code of which hosts ran out of processor time two entries had changes in
// force 2.7 and 4.4 s late, and nothing kept them from saying 404 meanwhile; here the code
// before does so in each run.
func TestEntryThatCannotKnowDoesNotSayThatAQueueIsMissing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	late := s.startBehind("e-1", host{})
	s.ready()
	assert.Equal(t, s.logged("configuration in force", `"entry"="e-1"`, `"behind"="0s"`), 1, "it was behind nothing")
	s.deafen(late, "e-1")
	s.table.Configure(2, []fakes.Queue{sheets, charts}, spareName)
	s.waitFor("the other entry serves the new queue", func() bool {
		status, _, _ := s.call(s.entries[0], http.MethodGet, charts.Prefix, nil)
		return status == http.StatusOK
	})
	late.ahead.Store(int64(longAfter))
	status, _, header := s.call(late.entry, http.MethodGet, charts.Prefix, nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Assert(t, !late.node.Ready())

	late.deaf.Store(false)
	s.waitFor("it serves the new queue", func() bool {
		status, _, _ := s.call(late.entry, http.MethodGet, charts.Prefix, nil)
		return status == http.StatusOK && late.node.Ready()
	})
	status, _, _ = s.call(late.entry, http.MethodGet, "/nowhere/", nil)
	assert.Equal(t, status, http.StatusNotFound, "it knows again what there is")
}

// Symptom: a job is refused with 404 by an entry that serves its queue otherwise.
// Sequence: the owner of a pool hears nothing of the configuration while a queue is added; an
// entry that has the new configuration passes a job of that queue on to it.
// Cause: the owner's word that there is no such queue was taken for the newest, whichever
// configuration it had it by. The code before answers 404 in each run.
func TestOwnerWithAnOlderConfigurationRefusesNoJobOfANewQueue(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	late := s.startBehind("e-0", host{capacity: strongHost})
	s.ready()
	s.held("e-0")
	e := s.startOn("e-1", s.table.Addr(), host{capacity: weakHost})
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	s.deafen(late, "e-0")
	s.table.Configure(2, []fakes.Queue{sheets, charts}, spareName)
	s.waitFor("the other entry has the new queue", func() bool {
		return s.logged("configuration in force", `"entry"="e-1"`, `"version"=2`) == 1
	})
	path := charts.Prefix + jobPath(2)[len(queuePath):]
	status, out, _ := s.call(e, http.MethodPost, path, twoSteps(20))
	assert.Equal(t, status, http.StatusOK, "%v", out)
	late.deaf.Store(false)
	s.waitFor("the job is completed", func() bool {
		_, out, _ := s.call(e, http.MethodGet, path, nil)
		return out["state"] == "completed"
	})
	s.clean()
}

// Symptom: how many jobs wait is told of a queue that the operator has dropped.
// Sequence: an entry hears nothing of the configuration, in which a queue is dropped, and
// reads the leases as ever; it is asked for the count of that queue.
// Cause: a count was as good as it is new, whether or not the queue is there any more. The
// code before tells it in each run.
func TestCountOfADroppedQueueIsNotToldByAnEntryThatCannotKnow(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	s.table.Configure(2, []fakes.Queue{sheets, charts}, spareName)
	s.startOn("e-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("e-0")
	late := s.startBehind("e-1", host{capacity: weakHost})
	s.ready()
	count := func(prefix string) int {
		status, _, _ := s.call(late.entry, http.MethodGet, prefix, nil)
		return status
	}
	s.waitFor("both counts are told", func() bool { return count(charts.Prefix) == http.StatusOK && count(sheets.Prefix) == http.StatusOK })
	s.deafen(late, "e-1")
	s.table.Configure(3, []fakes.Queue{sheets}, spareName)
	s.waitFor("the owner has dropped the queue", func() bool {
		return s.logged("configuration in force", `"entry"="e-0"`, `"version"=3`) == 1
	})
	late.ahead.Store(int64(longAfter))
	s.waitFor("it has read the leases since", func() bool { return count(sheets.Prefix) == http.StatusOK })
	assert.Equal(t, count(charts.Prefix), http.StatusServiceUnavailable)
	path := charts.Prefix + jobPath(1)[len(queuePath):]
	status, _, _ := s.call(late.entry, http.MethodPost, path, twoSteps(20))
	assert.Equal(t, status, http.StatusNotFound, "the owner knows that the queue is gone")
}
