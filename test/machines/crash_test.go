package machines_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// crashJob returns a job of which one task crashes each worker that starts it.
func crashJob(work fakes.Work, step map[string]any) map[string]any {
	work.Crashes, work.CPU = true, 500
	one := map[string]any{"count": 3, "cpu": 500, "memMb": 100, "estimateMs": 300}
	for name, value := range step {
		one[name] = value
	}
	return map[string]any{"spec": work.Payload(), "steps": []any{one}}
}

// stateAt returns the state of a job according to one entry.
func (s *site) stateAt(e *entry, n int) string {
	_, out, _ := s.call(e, http.MethodGet, jobPath(n), nil)
	state, _ := out["state"].(string)
	return state
}

// countCrashes counts the workers that were crashed by the first step of a job.
func (s *site) countCrashes(n int) int {
	total := 0
	for i := range 3 {
		total += s.journal.CrashesCausedBy(fmt.Sprintf("%016x.0.0.%d", n, i))
	}
	return total
}

// Guards against a task that endlessly crashes the workers of a pool one after the other, and other
// clients' tasks with them. The task ends its worker some milliseconds after the start; the
// owner notices that another incarnation answers at the worker's address and starts the task on
// the next worker.
//
// Nobody reports the end of a run that ends with its worker's incarnation, and only reported ends
// were counted, by the owner and in the table. The same tasks were lost each time,
// milliseconds after their starts, on hosts that had nothing else in common; counting these
// losses stops them.
func TestTaskThatCrashesItsWorkersIsFailed(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		job     map[string]any
		disturb func(s *site)
	}{
		{"at once", crashJob(fakes.Work{RunMillis: 300, CrashIndex: 1}, nil), nil},
		{"while it works", crashJob(fakes.Work{RunMillis: 800, CrashIndex: 1, CrashAfterMillis: 400}, nil), nil},
		{"a long-running task", crashJob(fakes.Work{}, map[string]any{"longRunning": true, "maxUnavailable": 1}), nil},
		{"a gang", crashJob(fakes.Work{RunMillis: 300, CrashIndex: 2}, map[string]any{"gang": true}), nil},
		{"a step with speculative copies", crashJob(fakes.Work{RunMillis: 300}, map[string]any{"speculative": true}), nil},
		{"workers' answers lost", crashJob(fakes.Work{RunMillis: 300, CrashIndex: 1}, nil), func(s *site) {
			s.machines.SetWorkerFault(randomFaults(1, 0.3, fakes.FaultResponseLost, fakes.FaultResponseCut))
		}},
		{"table outage", crashJob(fakes.Work{RunMillis: 300, CrashIndex: 1}, nil), func(s *site) {
			s.waitFor("the first crash", func() bool { return s.countCrashes(1) > 0 })
			s.table.SetFault(randomFaults(1, 1, fakes.FaultRefused))
			time.Sleep(2 * time.Second) // the length of the outage
			s.table.SetFault(nil)
		}},
		{"owners replaced", crashJob(fakes.Work{RunMillis: 300, CrashIndex: 1}, nil), func(s *site) {
			for n := range 2 {
				s.waitFor("a crash", func() bool { return s.countCrashes(1) > n })
				s.start(fmt.Sprintf("next-%d", n))
				s.entries[len(s.entries)-2].kill()
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 5)
			s.waitReady()
			assert.Assert(t, s.submit(1, tt.job))
			if tt.disturb != nil {
				tt.disturb(s)
			}
			last := s.entries[len(s.entries)-1]
			s.waitFor("the job has failed", func() bool { return s.stateAt(last, 1) == "failed" || len(s.journal.Violations()) > 0 })
			s.machines.SetWorkerFault(nil)
			s.checkNoViolations()
			assert.Equal(t, s.stateAt(last, 1), "failed")
			s.waitFor("other work runs", func() bool { return s.stateAt(last, 2) == "completed" || !s.submitAt(last, 2) })
		})
	}
}

// submitAt submits a job at an entry, once, and reports whether it was accepted.
func (s *site) submitAt(e *entry, n int) bool {
	status, _, _ := s.call(e, http.MethodPost, jobPath(n), twoSteps(20))
	return status == http.StatusOK
}

// A healthy job must not be failed: the workers that run it crash repeatedly, for reasons that have
// nothing to do with it, and each time others that run none of its tasks crash with them. Crashes count only against
// tasks that may have caused them.
func TestJobOnWorkersThatCrashTogetherIsNotFailed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 6)
	s.waitReady()
	longRunning := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 2, "cpu": 500, "memMb": 10, "longRunning": true, "maxUnavailable": 1, "antiAffinity": 1}},
	}
	assert.Assert(t, s.submit(1, longRunning))
	task := func(i int) string { return fmt.Sprintf("%016x.0.0.%d", 1, i) }
	for round := 1; round <= 5; round++ {
		s.waitFor("both tasks run", func() bool {
			_, running := s.journal.StartsAndRunning()
			return running[task(0)] == 1 && running[task(1)] == 1
		})
		for i := range 6 {
			s.machines.CrashWorker(fmt.Sprintf("m-%d", i))
		}
		s.waitFor("both are restarted", func() bool {
			return s.journal.StartCount(task(0)) > round && s.journal.StartCount(task(1)) > round
		})
	}
	assert.Equal(t, s.jobState(1), "running")
	s.checkNoViolations()
}

// A worker must not be given more than its capacity, which shrinks while tasks run there and others
// are started. The owner must use the capacity that the worker reported last.
func TestRoomThatShrinksIsNotExceeded(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2)
	s.waitReady()
	var jobs []int
	for n := range 6 {
		assert.Assert(t, s.submit(n, twoSteps(400)))
		jobs = append(jobs, n)
	}
	s.waitFor("work has begun", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.0", 0)) > 0 })
	s.machines.EachWorker(func(w *fakes.Worker) { w.Resize(1000) })
	until := time.Now().Add(6 * time.Second) // longer than the grace period for capacity that has shrunk
	for n := 6; time.Now().Before(until); n++ {
		assert.Assert(t, s.submit(n, twoSteps(100)))
		jobs = append(jobs, n)
		time.Sleep(150 * time.Millisecond) // interval between submissions
	}
	s.machines.EachWorker(func(w *fakes.Worker) { w.Resize(0) })
	time.Sleep(5 * time.Second) // no capacity at all, for longer than that grace period
	assert.Assert(t, s.submit(1000, twoSteps(100)))
	s.machines.EachWorker(func(w *fakes.Worker) { w.Resize(4000) })
	s.waitCompleted(append(jobs, 1000))
	s.checkNoViolations()
}

// A long-running task must not end because the next owner doesn't renew the lease of its worker,
// whose capacity has shrunk to zero.
func TestWorkerWithoutRoomKeepsItsTask(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2)
	s.waitReady()
	longRunning := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 10, "longRunning": true}},
	}
	assert.Assert(t, s.submit(1, longRunning))
	task := fmt.Sprintf("%016x.0.0.0", 1)
	s.waitFor("the task runs", func() bool { return s.journal.StartCount(task) == 1 })
	s.machines.EachWorker(func(w *fakes.Worker) { w.Resize(0) })
	s.waitFor("the worker's lease is long enough for a takeover", func() bool {
		long := true
		s.machines.EachWorker(func(w *fakes.Worker) { long = long && w.LeaseLeft() > 4*time.Second })
		return long
	})
	s.start("next")
	s.entries[0].kill()
	s.waitFor("the next owner has found the run", func() bool { return s.countLogged(`"msg"="run found"`, `"entry"="next"`) == 1 })
	assert.Equal(t, s.journal.StartCount(task), 1)
	s.checkNoViolations()
}
