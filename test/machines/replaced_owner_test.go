package machines_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// split is a site with the owner of a pool and another entry, and three workers of which the third is near
// the owner and the others are near the other entry.
type split struct {
	*site
	ownerTable                *tableLink
	ownerPeers, nextPeers     *tableLink
	ownerWorkers, nextWorkers *workerLink
	near, far                 []string // workers
}

func newSplit(t *testing.T) *split {
	t.Helper()
	s := &split{site: newSite(t, 0, 3), ownerWorkers: new(workerLink), nextWorkers: new(workerLink)}
	s.machines.SetFault(func(string) fakes.Fault { return fakes.FaultRefused }) // so that no machine is moved
	s.far, s.near = []string{s.machines.Worker("m-0").ID, s.machines.Worker("m-1").ID}, []string{s.machines.Worker("m-2").ID}
	s.ownerTable = newTableLink(t, s.table.Addr())
	s.ownerPeers = s.startLinked("owner", s.ownerTable.listen.Addr().String(), 1.5*largeHostCores, s.ownerWorkers) // else it would move a lease
	s.waitReady()
	s.waitLeasesHeldBy("owner")
	s.nextPeers = s.startLinked("next", s.table.Addr(), largeHostCores, s.nextWorkers)
	s.waitReady()
	s.waitFor("the entries know each other", func() bool {
		return s.countLogged("entry known", `"entry"="owner"`, `"peer"="next"`) == 1 && s.countLogged("entry known", `"entry"="next"`, `"peer"="owner"`) == 1
	})
	s.waitFor("the owner has heard all workers", func() bool { return s.countLogged("first report of worker", `"entry"="owner"`) == 3 })
	return s
}

// startLinked starts an entry that others reach by a link, which it returns.
func (s *split) startLinked(name, tableAddr string, capacity float64, workers *workerLink) *tableLink {
	s.t.Helper()
	peers := s.listen()
	link := newTableLink(s.t, peers.Addr().String())
	s.startOn(name, tableAddr, host{capacity: capacity, peers: peers, peerAddr: link.listen.Addr().String(), workers: workers})
	return link
}

// startTask submits a job of one task, which starts on a far worker as that one comes first.
func (s *split) startTask(job, millis int) string {
	s.t.Helper()
	task := fmt.Sprintf("%016x.0.0.0", job)
	assert.Assert(s.t, s.submit(job, map[string]any{
		"spec":  fakes.Work{CPU: 500, RunMillis: millis}.Payload(),
		"steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 1000}},
	}))
	s.waitFor("the task runs", func() bool { return s.ownerWorkers.hasStarted(task) })
	assert.Equal(s.t, s.runsOf(task)[0].Worker, s.far[0])
	return task
}

// runsOf returns the runs of a task in the order of their starts.
func (s *split) runsOf(task string) []fakes.RunHistory {
	runs := slices.DeleteFunc(s.journal.Runs(), func(r fakes.RunHistory) bool { return r.Task != task })
	slices.SortFunc(runs, func(a, b fakes.RunHistory) int { return a.Started.Compare(b.Started) })
	return runs
}

// cutOwner cuts the owner off from the table, the other entry and the far workers, and that entry from the
// near one.
func (s *split) cutOwner() {
	s.ownerWorkers.cut(s.far...)
	s.nextWorkers.cut(s.near...)
	s.ownerTable.Cut(true)
	s.ownerPeers.Cut(true)
	s.nextPeers.Cut(true)
}

// unheardFor is how long a heartbeat has waited for its answer when a task is started: it is given up after
// 1.8 s, and only then is the worker taken for silent.
const unheardFor = 1300 * time.Millisecond

// ownerActs is how long an owner acts after the last renewal of its lease.
const ownerActs = 8 * time.Second

// waitOwnerOver waits until the owner can't act any more that was cut off at a time.
func (s *split) waitOwnerOver(cutAt time.Time) {
	s.t.Helper()
	s.waitFor("the next entry has the pool", func() bool { return s.leaseHolder(poolName) == "next" })
	s.waitFor("the owner's orders are over", func() bool { return len(s.journal.Violations()) > 0 || time.Since(cutAt) > ownerActs })
}

// logRuns logs when the runs of a task started.
func (s *split) logRuns(task string, cutAt time.Time) {
	runs := s.runsOf(task)
	for _, r := range runs {
		s.t.Logf("run %d of %s on %s %v after the first, %v after the cut", r.Number, task, r.Worker, r.Started.Sub(runs[0].Started), r.Started.Sub(cutAt))
	}
}

// Guards against two runs: an owner that is cut off starts a task again that its successor has found running.
func TestOwnerCutOffStartsNoTaskThatItsSuccessorHasFound(t *testing.T) {
	t.Parallel()
	for name, unheard := range map[string]time.Duration{
		"workers answer until then":              0,
		"only orders were answered for a second": unheardFor,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSplit(t)
			if unheard > 0 {
				s.ownerWorkers.cut(s.far[1])
				s.waitFor("a worker is silent", func() bool { return s.countLogged("worker silent", `"entry"="owner"`, s.far[1]) == 1 })
				s.ownerWorkers.loseAnswers(s.far[0])
				s.waitFor("a heartbeat has waited", func() bool { return s.ownerWorkers.sinceGrant(s.far[0]) >= unheard })
			}
			task := s.startTask(1, 60_000)
			cutAt := time.Now()
			s.cutOwner()
			s.waitOwnerOver(cutAt)
			s.logRuns(task, cutAt)
			assert.Equal(t, s.countLogged("run found", `"entry"="next"`, task), 1)
			s.checkNoViolations()
		})
	}
}

// Guards against a start after the end as done was acknowledged: the run has ended under the successor.
func TestOwnerCutOffStartsNoTaskThatHasEndedUnderItsSuccessor(t *testing.T) {
	t.Parallel()
	s := newSplit(t)
	task := s.startTask(1, 3_000)
	cutAt := time.Now()
	s.cutOwner()
	s.waitOwnerOver(cutAt)
	s.logRuns(task, cutAt)
	s.checkNoViolations()
}

// Guards against a task that never starts again: its owner keeps its lease while workers don't answer it any more.
func TestOwnerWithLeaseStartsTasksOfSilentWorkersAgain(t *testing.T) {
	t.Parallel()
	s := newSplit(t)
	task := s.startTask(1, 60_000)
	cutAt := time.Now()
	s.ownerWorkers.cut(s.far...)
	s.waitFor("the task starts again", func() bool { return s.journal.StartCount(task) == 2 })
	s.logRuns(task, cutAt)
	assert.Equal(t, s.runsOf(task)[1].Worker, s.near[0])
	assert.Assert(t, s.leaseHolder(poolName) == "owner")
	s.checkNoViolations()
}
