package soak_test

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"gotest.tools/v3/assert"
)

// checkOutcomes compares what callers were told with what became of their jobs.
func (s *soak) checkOutcomes() {
	s.waitFor("the newest configuration is in force at all entries", func() bool {
		return s.allEntries(func(e *entry) bool {
			return s.stored.version == 1 || s.status(e, fmt.Sprintf("/v%d/", s.stored.version)) == http.StatusOK
		})
	})
	counts := make(map[outcome]int)
	for id, o := range s.callers.outcomes {
		counts[o]++
		switch o {
		case accepted:
			s.waitForJob(id, func(state string) bool { return state == "completed" || s.failedByCrashes(id) })
		case cancelled:
			s.waitForJob(id, func(state string) bool { return state == "cancelled" || state == "completed" })
		case uncertain:
			s.waitForJob(id, func(state string) bool { return state == "cancelled" || state == "completed" || s.failedByCrashes(id) })
			s.t.Logf("seed %d: job %s ended as %q, its cancel without a clear answer: %q", s.seed, id, s.jobState(id), s.callers.answers[id])
		case refused:
			s.waitForJob(id, func(state string) bool {
				_, err := strconv.Atoi(state)
				assert.Check(s.t, err == nil, "seed %d: %s was refused and is %q: %q", s.seed, id, state, s.callers.answers[id])
				return state == "410"
			})
		case unknown:
		}
	}
	for _, id := range s.crashJobs.list() {
		s.waitForJob(id, func(state string) bool { return state == "failed" })
	}
	s.t.Logf("seed %d: jobs that crashed their workers: %d", s.seed, len(s.crashJobs.list()))
	s.t.Logf("seed %d: %v, configurations: %d, requests for their queues: %d, with withdrawn keys: %d", s.seed, counts, s.stored.version, s.queueRequests, s.keyRequests)
	s.logNewPaths()
	s.waitFor("the long-running tasks run, and nothing else", func() bool {
		running := s.platform.verdict().Running
		for id, o := range s.callers.outcomes {
			if o == unknown && s.jobState(id) != "completed" && s.jobState(id) != "410" && !s.failedByCrashes(id) {
				return false
			}
		}
		expected := make(map[string]int)
		for _, id := range s.longRunning {
			if !s.failedByCrashes(id) {
				expected[id+".0.0.0"], expected[id+".0.0.1"] = 1, 1
			}
		}
		return maps.Equal(running, expected)
	})
	v := s.platform.verdict()
	assert.Check(s.t, len(v.Faults) == 0, "seed %d: %v", s.seed, v.Faults)
	s.logFaults(v.Faults)
	for task := range v.Starts {
		id, _, _ := strings.Cut(task, ".")
		assert.Check(s.t, s.callers.outcomes[id] != refused, "seed %d: %s was refused, and %s ran: %q", s.seed, id, task, s.callers.answers[id])
	}
}

// failedByCrashes reports whether a job has failed that may have: at least two workers crashed
// under one of its tasks. Whether the task is the cause can't be known for sure.
func (s *soak) failedByCrashes(id string) bool {
	if !s.crashes && !s.cuts || s.jobState(id) != "failed" {
		return false
	}
	for task, workers := range s.platform.verdict().CrashedWorkers {
		if strings.HasPrefix(task, id+".") && workers >= minCrashesToFail {
			s.t.Logf("seed %d: job failed, as %d workers crashed under its task %s", s.seed, workers, task)
			return true
		}
	}
	return false
}
