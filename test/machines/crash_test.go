package machines_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// crashing is a job of which one task ends each worker that starts it.
func crashing(work fakes.Work, step map[string]any) map[string]any {
	work.Crashes, work.CPU = true, 500
	one := map[string]any{"count": 3, "cpu": 500, "memMb": 100, "estimateMs": 300}
	for name, value := range step {
		one[name] = value
	}
	return map[string]any{"spec": work.Payload(), "steps": []any{one}}
}

// stateAt is a job's state as an entry tells it.
func (s *site) stateAt(e *entry, n int) string {
	_, out, _ := s.call(e, http.MethodGet, jobPath(n), nil)
	state, _ := out["state"].(string)
	return state
}

// crashes counts the workers that crashed because of a job's first step.
func (s *site) crashes(n int) int {
	total := 0
	for i := range 3 {
		total += s.journal.Crashes(fmt.Sprintf("%016x.0.0.%d", n, i))
	}
	return total
}

// Symptom: workers of a pool crash one after the other, without an end, and the work of other
// callers with them.
// Sequence: a task ends the worker that starts it, some milliseconds later; the owner learns
// that another life answers at the worker's address, and starts the task on the next one.
// Cause: a run that ends with its worker's life is no end that anybody tells, and only ends were
// counted, in the owner and in the table. The same tasks were lost each time, milliseconds after
// their starts, on hosts that had nothing else in common; counted, they stop.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		job     map[string]any
		disturb func(s *site)
	}{
		{"at once", crashing(fakes.Work{Millis: 300, Index: 1}, nil), nil},
		{"while it works", crashing(fakes.Work{Millis: 800, Index: 1, After: 400}, nil), nil},
		{"a task that lasts", crashing(fakes.Work{}, map[string]any{"longRunning": true, "maxUnavailable": 1}), nil},
		{"a gang", crashing(fakes.Work{Millis: 300, Index: 2}, map[string]any{"gang": true}), nil},
		{"a step with copies", crashing(fakes.Work{Millis: 300}, map[string]any{"speculative": true}), nil},
		{"workers' answers lost", crashing(fakes.Work{Millis: 300, Index: 1}, nil), func(s *site) {
			s.machines.SetWorkers(faulty(1, 0.3, fakes.FaultLost, fakes.FaultHalf))
		}},
		{"table away", crashing(fakes.Work{Millis: 300, Index: 1}, nil), func(s *site) {
			s.waitFor("the first crash", func() bool { return s.crashes(1) > 0 })
			s.table.Set(faulty(1, 1, fakes.FaultRefuse))
			time.Sleep(2 * time.Second) // how long it is away
			s.table.Set(nil)
		}},
		{"owners replaced", crashing(fakes.Work{Millis: 300, Index: 1}, nil), func(s *site) {
			for n := range 2 {
				s.waitFor("a crash", func() bool { return s.crashes(1) > n })
				s.start(fmt.Sprintf("next-%d", n))
				s.entries[len(s.entries)-2].kill()
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 5)
			s.ready()
			assert.Assert(t, s.submit(1, tt.job))
			if tt.disturb != nil {
				tt.disturb(s)
			}
			last := s.entries[len(s.entries)-1]
			s.waitFor("given up", func() bool { return s.stateAt(last, 1) == "failed" || len(s.journal.Faults()) > 0 })
			s.machines.SetWorkers(nil)
			s.clean()
			assert.Equal(t, s.stateAt(last, 1), "failed")
			s.waitFor("other work runs", func() bool { return s.stateAt(last, 2) == "completed" || !s.submitAt(last, 2) })
		})
	}
}

// submitAt hands a job in at an entry, once.
func (s *site) submitAt(e *entry, n int) bool {
	status, _, _ := s.call(e, http.MethodPost, jobPath(n), twoSteps(20))
	return status == http.StatusOK
}

// Symptom: a caller is told that its job failed although nothing is wrong with it.
// Sequence: the workers that run it crash, again and again, for causes of their own; each time
// others crash with them that run nothing of it.
// Cause: none now. It holds while crashes count only against tasks that may have caused them.
func TestJobOnWorkersThatCrashTogetherIsNotGivenUp(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 6)
	s.ready()
	lasting := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 2, "cpu": 500, "memMb": 10, "longRunning": true, "maxUnavailable": 1, "antiAffinity": 1}},
	}
	assert.Assert(t, s.submit(1, lasting))
	task := func(i int) string { return fmt.Sprintf("%016x.0.0.%d", 1, i) }
	for round := 1; round <= 5; round++ {
		s.waitFor("both tasks run", func() bool {
			_, running := s.journal.Tasks()
			return running[task(0)] == 1 && running[task(1)] == 1
		})
		for i := range 6 {
			s.machines.Crash(fmt.Sprintf("m-%d", i))
		}
		s.waitFor("both are started again", func() bool {
			return s.journal.Starts(task(0)) > round && s.journal.Starts(task(1)) > round
		})
	}
	assert.Equal(t, s.state(1), "running")
	s.clean()
}

// Symptom: a worker is given more than it holds.
// Sequence: its room shrinks while tasks run there; starts go on by what it had.
// Cause: none now. It holds while room is what the worker said last.
func TestRoomThatShrinksIsNotExceeded(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2)
	s.ready()
	var jobs []int
	for n := range 6 {
		assert.Assert(t, s.submit(n, twoSteps(400)))
		jobs = append(jobs, n)
	}
	s.waitFor("work has begun", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.0", 0)) > 0 })
	s.machines.Each(func(w *fakes.Worker) { w.Resize(1000) })
	until := time.Now().Add(6 * time.Second) // until the rule on shrunk room counts, and some more
	for n := 6; time.Now().Before(until); n++ {
		assert.Assert(t, s.submit(n, twoSteps(100)))
		jobs = append(jobs, n)
		time.Sleep(150 * time.Millisecond) // callers' pace
	}
	s.machines.Each(func(w *fakes.Worker) { w.Resize(0) })
	time.Sleep(5 * time.Second) // no room at all, for longer than the rule allows for
	assert.Assert(t, s.submit(1000, twoSteps(100)))
	s.machines.Each(func(w *fakes.Worker) { w.Resize(4000) })
	s.completed(append(jobs, 1000))
	s.clean()
}

// A lasting task that is ended as the next owner doesn't hold its worker, whose room has shrunk to nothing.
func TestWorkerWhoseRoomIsGoneKeepsItsTask(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2)
	s.ready()
	lasting := map[string]any{
		"spec":  fakes.Work{CPU: 500}.Payload(),
		"steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 10, "longRunning": true}},
	}
	assert.Assert(t, s.submit(1, lasting))
	task := fmt.Sprintf("%016x.0.0.0", 1)
	s.waitFor("it runs", func() bool { return s.journal.Starts(task) == 1 })
	s.machines.Each(func(w *fakes.Worker) { w.Resize(0) })
	s.waitFor("its lease is extended beyond a takeover", func() bool {
		long := true
		s.machines.Each(func(w *fakes.Worker) { long = long && w.Granted() > 4*time.Second })
		return long
	})
	s.start("next")
	s.entries[0].kill()
	s.waitFor("the next owner has found it", func() bool { return s.logged(`"msg"="run found"`, `"entry"="next"`) == 1 })
	assert.Equal(t, s.journal.Starts(task), 1)
	s.clean()
}
