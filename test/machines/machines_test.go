// Package machines_test runs whole entries against fakes of the platform.
package machines_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

func TestJobsRunFromSubmissionToCompletion(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 3)
	s.waitReady()
	var jobs []int
	for n := range 12 {
		assert.Assert(t, s.submit(n, twoSteps(30)))
		assert.Assert(t, s.submit(n, twoSteps(30)), "submitted again it is the same job")
		jobs = append(jobs, n)
	}
	s.waitCompleted(jobs)
	s.checkNoViolations()
	for n := range 12 {
		assert.Equal(t, s.journal.StartCount(fmt.Sprintf("%016x.0.1.1", n)), 1)
	}
	// The count may be two seconds old.
	s.waitFor("empty queue", func() bool {
		status, out, _ := s.call(s.entries[0], http.MethodGet, queuePath, nil)
		return status == http.StatusOK && out["queueDepth"] == 0.0
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.waitReady()
	e := s.entries[0]
	bad := map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 0}}}
	for _, tt := range []struct {
		name   string
		method string
		path   string
		body   any
		want   int
		reason string
	}{
		{"unknown queue", http.MethodPost, "/nothing/" + fmt.Sprintf("%016x", 1), twoSteps(1), http.StatusNotFound, "queue"},
		{"no tasks", http.MethodPost, jobPath(1), bad, http.StatusBadRequest, "steps[0].count"},
		{"no steps", http.MethodPost, jobPath(1), map[string]any{"spec": "x"}, http.StatusBadRequest, "steps"},
		{"id too short", http.MethodPost, queuePath + "abc", twoSteps(1), http.StatusBadRequest, "id"},
		{"unknown job", http.MethodGet, jobPath(99), nil, http.StatusGone, "no job"},
		{"cancel of an unknown job", http.MethodDelete, jobPath(99), nil, http.StatusGone, "no job"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			status, out, _ := s.call(e, tt.method, tt.path, tt.body)
			assert.Equal(t, status, tt.want)
			assert.Assert(t, containsText(out["reason"], tt.reason), "%v", out)
		})
	}
}

func containsText(text any, part string) bool {
	s, _ := text.(string)
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

func TestRequestsWithoutConfigurationAreRefusedWithRetryAfter(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 0)
	s.table.Delete("op", "config")
	e := s.start("e-0")
	status, _, header := s.call(e, http.MethodPost, jobPath(1), twoSteps(1))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
}

func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 2)
	s.waitReady()
	longRunning := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 2, "cpu": 500, "memMb": 10, "longRunning": true}},
	}
	assert.Assert(t, s.submit(1, longRunning))
	s.waitFor("tasks started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 1)) == 1 })
	status, _, _ := s.call(s.entries[1], http.MethodDelete, jobPath(1), nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, s.jobState(1), "cancelled")
	s.waitFor("spec dropped", func() bool { return s.table.Value("specs", queueName, fmt.Sprintf("%016x", 1)) == nil })
	assert.Assert(t, s.submit(1, longRunning), "a late retry of the submission")
	assert.Equal(t, s.jobState(1), "cancelled")
	s.checkNoViolations()
}

// Guards against jobs that are lost, or run twice, when an owner dies, through state that only
// the dead owner had. While jobs run, each entry is killed in turn without releasing anything,
// and a new one is started in its place.
func TestKilledOwnersLoseAndDuplicateNoJobs(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 3)
	s.waitReady()
	var jobs []int
	for round := range 2 {
		for n := range 6 {
			id := 10*round + n
			assert.Assert(t, s.submit(id, twoSteps(400)))
			jobs = append(jobs, id)
		}
		old := s.entries[0]
		old.kill()
		<-old.done
		old.mesh.Close()
		s.entries = s.entries[1:]
		s.start(fmt.Sprintf("n-%d", round))
		s.waitReady()
	}
	s.waitCompleted(jobs)
	s.checkNoViolations()
}

// randomFaults returns a function that has a share of the calls misbehave, the same ones on each
// run for the same order of calls.
func randomFaults(seed uint64, share float64, kinds ...fakes.Fault) func(string) fakes.Fault {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func(string) fakes.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.Float64() >= share {
			return fakes.FaultNone
		}
		return kinds[r.IntN(len(kinds))]
	}
}

// Guards against jobs that are lost, run twice or run although they were refused, and workers
// that get more than their capacity allows. A tenth to a third of all calls to the table, or to the
// workers, is refused, breaks before or after it took effect, or is carried out late. A call
// without an answer must be assumed neither carried out nor not carried out.
func TestCallFaultsLoseAndDuplicateNoJobs(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		table   float64
		workers float64
		kinds   []fakes.Fault
	}{
		{"table refuses", 0.3, 0, []fakes.Fault{fakes.FaultRefused}},
		{"table's answers lost", 0.3, 0, []fakes.Fault{fakes.FaultResponseLost, fakes.FaultResponseCut}},
		{"table's calls lost", 0.3, 0, []fakes.Fault{fakes.FaultRequestLost}},
		{"table's calls delayed", 0.15, 0, []fakes.Fault{fakes.FaultRequestDelayed}},
		{"workers refuse", 0, 0.3, []fakes.Fault{fakes.FaultRefused}},
		{"workers' answers lost", 0, 0.3, []fakes.Fault{fakes.FaultResponseLost, fakes.FaultResponseCut}},
		{"workers' calls delayed", 0, 0.2, []fakes.Fault{fakes.FaultRequestDelayed}},
		{"all at once", 0.1, 0.1, []fakes.Fault{fakes.FaultRefused, fakes.FaultResponseLost, fakes.FaultRequestLost, fakes.FaultRequestDelayed, fakes.FaultResponseCut}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 3)
			s.waitReady()
			s.table.SetFault(randomFaults(1, tt.table, tt.kinds...))
			s.machines.EachWorker(func(w *fakes.Worker) { w.SetFault(randomFaults(2, tt.workers, tt.kinds...)) })
			var jobs, refused []int
			for n := range 10 {
				if s.submit(n, twoSteps(100)) {
					jobs = append(jobs, n)
				} else {
					refused = append(refused, n)
				}
			}
			s.waitCompleted(jobs)
			s.table.SetFault(nil)
			for _, n := range refused {
				assert.Equal(t, s.jobState(n), "410", "a refused job never runs")
				assert.Equal(t, s.journal.StartCount(fmt.Sprintf("%016x.0.0.0", n)), 0)
			}
			s.checkNoViolations()
		})
	}
}

// A maintenance wave completes while long-running tasks go on, with no more machines down than
// allowed.
func TestMaintenanceWaveCompletes(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 5)
	s.waitReady()
	longRunning := map[string]any{
		"spec": fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{
			"count": 2, "cpu": 500, "memMb": 10, "longRunning": true, "maxUnavailable": 1, "antiAffinity": 1,
		}},
	}
	assert.Assert(t, s.submit(1, longRunning))
	s.waitFor("tasks started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 1)) == 1 })
	s.table.PutWave(1, []string{"m-0", "m-1", "m-2", "m-3", "m-4"}, 20, 2)
	s.waitFor("wave completed", func() bool { return s.table.IsWaveDone(1) })
	assert.Equal(t, s.machines.StartedMaintenance(1), 5)
	s.checkNoViolations()
}

// A follower reads all rows again when the table has dropped the history that it needs.
func TestConfigurationIsFollowedAfterHistoryIsLost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.waitReady()
	s.table.CompactHistory()
	s.table.PutConfig(7, []fakes.Queue{
		{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName},
		{Name: "r-new", Host: queueHost, Prefix: "/new/", Pool: poolName},
	})
	s.waitFor("configuration 7", func() bool { return s.entries[0].node.Site().Version == 7 })
	s.table.PutConfig(6, nil)
	s.table.PutWave(5, nil, 20, 1)
	s.waitFor("the row after configuration 6 is read", func() bool { return s.table.IsWaveDone(5) })
	assert.Equal(t, s.entries[0].node.Site().Version, int64(7), "never back to an older one")
	s.table.PutConfig(8, []fakes.Queue{{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName}})
	s.waitFor("configuration 8", func() bool { return s.entries[0].node.Site().Version == 8 })
}
