package triage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/triage"
)

const ms = time.Millisecond

// lateFactor is the multiple of the objective after which a job's result is worth nothing.
const lateFactor = 3

// newJob returns a job some time after its arrival.
func newJob(objective, age, chain time.Duration, begun bool) triage.Job {
	return triage.Job{Left: objective - age, LeftLate: lateFactor*objective - age, Chain: chain, Objective: objective, Begun: begun}
}

func TestClassFollowsFromBothDeadlines(t *testing.T) {
	for _, tt := range []struct {
		name   string
		job    triage.Job
		spread float64
		want   triage.Class
	}{
		{"just arrived", newJob(1300*ms, 0, 600*ms, false), 0, triage.Timely},
		{"just enough time", newJob(1300*ms, 700*ms, 600*ms, false), 0, triage.Timely},
		{"a millisecond too late", newJob(1300*ms, 701*ms, 600*ms, false), 0, triage.Late},
		{"half of its chain's time left", newJob(1300*ms, 1000*ms, 600*ms, false), 0, triage.Late},
		{"objective has passed", newJob(1300*ms, 2000*ms, 600*ms, false), 0, triage.Late},
		{"last useful start", newJob(1300*ms, 3300*ms, 600*ms, false), 0, triage.Late},
		{"too late for that", newJob(1300*ms, 3301*ms, 600*ms, false), 0, triage.Hopeless},
		{"last useful moment has passed", newJob(1300*ms, 4000*ms, 0, true), 0, triage.Hopeless},
		{"longer than its objective", newJob(1300*ms, 0, 1400*ms, false), 0, triage.Late},
		{"longer than is useful", newJob(1300*ms, 0, 4000*ms, false), 0, triage.Hopeless},

		{"no margin for runs that differ", newJob(1300*ms, 690*ms, 600*ms, false), 0.2, triage.Late},
		{"margin for runs that differ", newJob(1300*ms, 560*ms, 600*ms, false), 0.2, triage.Timely},
		{"no margin is needed once begun", newJob(1300*ms, 690*ms, 600*ms, true), 0.2, triage.Timely},
		{"estimates off by 90 %, just arrived", newJob(1300*ms, 0, 600*ms, false), 0.8, triage.Timely},
		{"estimates off by 90 %, soon after", newJob(1300*ms, 300*ms, 600*ms, false), 0.8, triage.Timely},
		{"estimates off by 90 %, tight objective", newJob(700*ms, 0, 600*ms, false), 0.8, triage.Timely},
		{"most steps are done", newJob(1300*ms, 1200*ms, 100*ms, true), 0.2, triage.Timely},
		{"most steps are done, past its objective", newJob(1300*ms, 3700*ms, 200*ms, true), 0.2, triage.Late},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, triage.Judge(tt.job, triage.Load{Spread: tt.spread}), tt.want)
		})
	}
}

// Guards against a full pool that starts each job when it can no longer meet its objective. Load
// pattern: one and a half times the capacity of a pool that runs one job at a time, all alike.
func TestFullPoolStartsJobsThatMeetTheirObjective(t *testing.T) {
	const (
		jobs      = 300
		chain     = 600 * ms
		objective = 1300 * ms
	)
	inTime, now := 0, time.Duration(0)
	for waiting, arrived := []time.Duration{}, 0; arrived < jobs; now += chain {
		for ; time.Duration(arrived)*chain*2/3 <= now; arrived++ {
			waiting = append(waiting, time.Duration(arrived)*chain*2/3)
		}
		at := first(waiting, func(a time.Duration) bool {
			return triage.Judge(newJob(objective, now-a, chain, false), triage.Load{}) == triage.Timely
		})
		if now+chain <= waiting[at]+objective {
			inTime++
		}
		waiting = append(waiting[:at], waiting[at+1:]...)
	}
	assert.Assert(t, inTime >= jobs*6/10, "%d of %d are in time, there is capacity for %d", inTime, jobs, jobs*2/3)
}

// first returns the position of the first job that is timely, or 0.
func first(arrivals []time.Duration, isTimely func(time.Duration) bool) int {
	for i, a := range arrivals {
		if isTimely(a) {
			return i
		}
	}
	return 0
}

func TestClassesStartInOrder(t *testing.T) {
	for i, c := range []triage.Class{triage.Timely, triage.Late, triage.Hopeless} {
		assert.Equal(t, c.Rank(), i)
	}
}
