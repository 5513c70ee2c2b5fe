package machines_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

const againHosts = 3

// againSite is a site whose workers start again under their ids.
func againSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t, 1, againHosts)
	s.ready()
	return s
}

// crashAll has all workers crash at once: one after the other they would have been lost, as far
// as anybody can know, for the tasks that start on the next one each time.
func (s *site) crashAll() {
	s.t.Helper()
	before := make(map[string]*fakes.Worker)
	for i := range againHosts {
		id := fmt.Sprintf("m-%d", i)
		before[id] = s.machines.Worker(id)
		s.machines.Crash(id)
	}
	for id, w := range before {
		s.waitFor(id+" is back", func() bool {
			next := s.machines.Worker(id)
			return next != nil && next != w
		})
	}
}

// Lasting tasks that are taken for at work on a worker that has started again, and aren't.
func TestLastingTasksRunAgainAfterTheirWorkersHaveStartedAgain(t *testing.T) {
	t.Parallel()
	s := againSite(t)
	lasting := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 6, "cpu": 500, "memMb": 10, "longRunning": true, "maxUnavailable": 1}},
	}
	assert.Assert(t, s.submit(1, lasting))
	for range 3 {
		s.waitFor("all tasks run", func() bool {
			_, running := s.journal.Tasks()
			return len(running) == 6
		})
		s.crashAll()
	}
	s.waitFor("all tasks run", func() bool {
		_, running := s.journal.Tasks()
		return len(running) == 6
	})
	s.clean()
}

// Ends of a worker's new life that are acknowledged by the numbers of the life before, and tasks
// that start again for that.
func TestEndsAreKeptAfterTheirWorkersHaveStartedAgain(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		disturb func(s *site, round int)
	}{
		{"alone", func(*site, int) {}},
		{"orders late, answers lost", func(s *site, round int) {
			s.machines.SetWorkers(faulty(uint64(round), 0.2, fakes.FaultLate, fakes.FaultLost, fakes.FaultHalf))
		}},
		{"table away", func(s *site, round int) {
			s.table.Set(faulty(uint64(round), 1, fakes.FaultRefuse))
			time.AfterFunc(time.Second, func() { s.table.Set(nil) })
		}},
		{"owners replaced", func(s *site, round int) {
			s.start(fmt.Sprintf("next-%d", round))
			s.entries[len(s.entries)-2].kill()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := againSite(t)
			var jobs []int
			for round := range 4 {
				for n := range 6 {
					job := 100*(round+1) + n
					last := s.entries[len(s.entries)-1]
					s.waitFor("accepted", func() bool { return s.submitAt(last, job) })
					jobs = append(jobs, job)
				}
				tt.disturb(s, round)
				s.crashAll()
			}
			s.machines.SetWorkers(nil)
			last := s.entries[len(s.entries)-1]
			for _, job := range jobs {
				s.waitFor(fmt.Sprintf("job %d completed", job), func() bool { return s.stateAt(last, job) == "completed" })
			}
			s.clean()
		})
	}
}
