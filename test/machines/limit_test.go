package machines_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

const (
	gearsPool = "gears"
	// taskCPU is what each task of twoSteps uses, in thousandths of a core.
	taskCPU = 500
)

var gears = fakes.Queue{Name: "r-gears", Host: queueHost, Prefix: "/gears/", Pool: gearsPool} //nolint:gochecknoglobals // a constant

// newLimitSite returns a site with two pools and an account that may run some tasks at once, without entries.
func newLimitSite(t *testing.T, tasks int) *site {
	t.Helper()
	s := newSite(t, 0, 3)
	s.keysRequired = true
	for i := range 3 {
		s.machines.Add(fmt.Sprintf("g-%d", i), gearsPool)
	}
	s.putLimit(1, tasks)
	return s
}

func (s *site) putLimit(version int64, tasks int) {
	limited := garages
	limited.MaxCPU = tasks * taskCPU
	s.table.PutAccountConfig(version, []fakes.Queue{sheets, gears}, []fakes.Account{limited, schools}, spareName)
}

// garageJob returns the path of a job of the account with the limit; all its tasks have the prefix 0.
func garageJob(queue fakes.Queue, n int) string { return queue.Prefix + fmt.Sprintf("%016x", n) }

// submitAll submits jobs to both pools by turns, and returns their paths.
func (s *site) submitAll(jobs int) []string {
	s.t.Helper()
	var paths []string
	for n := range jobs {
		path := garageJob([]fakes.Queue{sheets, gears}[n%2], n)
		s.waitFor("the job is accepted", func() bool {
			status, _, _ := s.callWithKey(s.entries[n%len(s.entries)], http.MethodPost, path, twoSteps(100), garageKey)
			return status == http.StatusOK
		})
		paths = append(paths, path)
	}
	return paths
}

func (s *site) waitAllCompleted(paths []string) {
	s.t.Helper()
	for n, path := range paths {
		s.waitFor(path+" completed", func() bool {
			_, out, _ := s.callWithKey(s.entries[n%len(s.entries)], http.MethodGet, path, nil, garageKey)
			return out["state"] == "completed"
		})
	}
}

// Guards against more running for an account than its limit, when two pools have work for it, and against work that waits for
// ever since the other pool has the room.
func TestPoolsShareTheLimitOfAnAccount(t *testing.T) {
	t.Parallel()
	const most = 4
	s := newLimitSite(t, most)
	s.journal.LimitRunning("0", most)
	s.start("e-0")
	s.start("e-1")
	s.waitReady()
	s.waitAllCompleted(s.submitAll(16))
	s.checkNoViolations()
	assert.Assert(t, s.countLogged("account held back", `"held"=true`) > 0, "the limit was reached")
}

// Guards against a successor that starts beyond an account's limit what its predecessor has running already.
func TestKilledOwnersKeepTheLimitOfAnAccount(t *testing.T) {
	t.Parallel()
	const most = 4
	s := newLimitSite(t, most)
	s.journal.LimitRunning("0", most)
	s.start("e-0")
	s.start("e-1")
	s.waitReady()
	var paths []string
	for round := range 2 {
		paths = append(paths, s.submitAll(8)...)
		old := s.entries[0]
		old.kill()
		<-old.done
		old.mesh.Close()
		s.entries = s.entries[1:]
		s.start(fmt.Sprintf("n-%d", round))
		s.waitReady()
	}
	s.waitAllCompleted(paths)
	s.checkNoViolations()
}

// Guards against starts beyond a limit that was lowered while more was running.
func TestLoweredLimitOfAnAccountIsKept(t *testing.T) {
	t.Parallel()
	s := newLimitSite(t, 8)
	s.start("e-0")
	s.waitReady()
	paths := s.submitAll(12)
	s.putLimit(2, 2)
	s.waitFor("the lowered limit is in force in both pools", func() bool {
		_, running := s.journal.StartsAndRunning()
		return s.countLogged("configuration in force", `"version"=2`) == 1 && len(running) <= 2
	})
	s.journal.LimitRunning("0", 2)
	s.putLimit(3, 6)
	s.journal.LimitRunning("0", 6)
	s.waitAllCompleted(paths)
	s.checkNoViolations()
}

// Guards against a task that waits for ever since it needs more than its account may use: its caller is told at once.
func TestTaskWiderThanItsAccountsLimitIsRefused(t *testing.T) {
	t.Parallel()
	s := newLimitSite(t, 1)
	s.start("e-0")
	s.waitReady()
	wide := twoSteps(20)
	wide["steps"].([]any)[1].(map[string]any)["cpu"] = taskCPU + 1
	status, out, _ := s.callWithKey(s.entries[0], http.MethodPost, jobPath(1), wide, garageKey)
	assert.Equal(t, status, http.StatusUnprocessableEntity, "%v", out)
	assert.Equal(t, s.postWithKey(s.entries[0], 1, garageKey), http.StatusOK)
}
