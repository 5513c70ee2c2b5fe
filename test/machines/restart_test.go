package machines_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

const restartHosts = 3

// newRestartSite starts a site whose workers start again under the same ids after a crash.
func newRestartSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t, 1, restartHosts)
	s.waitReady()
	return s
}

// crashAllWorkers crashes all workers at once and waits until they are back. If they crashed one
// after the other, each loss would be attributed to the tasks that had just been started on
// the next worker.
func (s *site) crashAllWorkers() {
	s.t.Helper()
	before := make(map[string]*fakes.Worker)
	for i := range restartHosts {
		id := fmt.Sprintf("m-%d", i)
		before[id] = s.machines.Worker(id)
		s.machines.CrashWorker(id)
	}
	for id, w := range before {
		s.waitFor(id+" is back", func() bool {
			next := s.machines.Worker(id)
			return next != nil && next != w
		})
	}
}

// Long-running tasks must not be believed to run on a worker that has restarted and no longer
// runs them.
func TestLongRunningTasksRestartAfterWorkerRestarts(t *testing.T) {
	t.Parallel()
	s := newRestartSite(t)
	longRunning := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 6, "cpu": 500, "memMb": 10, "longRunning": true, "maxUnavailable": 1}},
	}
	assert.Assert(t, s.submit(1, longRunning))
	for range 3 {
		s.waitFor("all tasks run", func() bool {
			_, running := s.journal.StartsAndRunning()
			return len(running) == 6
		})
		s.crashAllWorkers()
	}
	s.waitFor("all tasks run", func() bool {
		_, running := s.journal.StartsAndRunning()
		return len(running) == 6
	})
	s.checkNoViolations()
}

// The ends that a restarted worker reports must not be acknowledged by the sequence numbers of
// its previous incarnation: their tasks would be started again.
func TestEndsAreKeptAcrossWorkerRestarts(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		disturb func(s *site, round int)
	}{
		{"no other disturbance", func(*site, int) {}},
		{"orders delayed, answers lost", func(s *site, round int) {
			s.machines.SetWorkerFault(randomFaults(uint64(round), 0.2, fakes.FaultRequestDelayed, fakes.FaultResponseLost, fakes.FaultResponseCut))
		}},
		{"table outage", func(s *site, round int) {
			s.table.SetFault(randomFaults(uint64(round), 1, fakes.FaultRefused))
			time.AfterFunc(time.Second, func() { s.table.SetFault(nil) })
		}},
		{"owners replaced", func(s *site, round int) {
			s.start(fmt.Sprintf("next-%d", round))
			s.entries[len(s.entries)-2].kill()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newRestartSite(t)
			var jobs []int
			for round := range 4 {
				for n := range 6 {
					job := 100*(round+1) + n
					last := s.entries[len(s.entries)-1]
					s.waitFor("accepted", func() bool { return s.submitAt(last, job) })
					jobs = append(jobs, job)
				}
				tt.disturb(s, round)
				s.crashAllWorkers()
			}
			s.machines.SetWorkerFault(nil)
			last := s.entries[len(s.entries)-1]
			for _, job := range jobs {
				s.waitFor(fmt.Sprintf("job %d completed", job), func() bool { return s.stateAt(last, job) == "completed" })
			}
			s.checkNoViolations()
		})
	}
}
