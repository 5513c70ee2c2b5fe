package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
	"sapphiregauge/internal/triage"
)

// newTriageHarness returns a pool of one worker of four cores whose site shares capacity.
func newTriageHarness(t *testing.T, options ...option) *harness {
	g := newHarness(t, options...)
	g.pool.Configure(sharedSite())
	g.listWorkers("w1")
	g.report("w1", nil)
	return g
}

func without(mechanisms ...gauge.Mechanism) option {
	return func(c *sched.Config) { c.Disabled = mechanisms }
}

// estimated is a step of some tasks with an estimate.
func estimated(count int, estimate time.Duration, after ...int) gauge.Step {
	st := newStep(count)
	st.Estimate, st.After = estimate, after
	return st
}

// firstStarted returns the job of the first start of a plan.
func (g *harness) firstStarted() string {
	starts := g.planStarts()
	assert.Assert(g.t, len(starts) > 0)
	return starts[0].Start.Task.Job
}

// Guards against cores that go to a job which ends a few percent after its objective, while another
// one could still meet its own. Load pattern: a full pool of which four cores become free at once.
func TestFullPoolStartsTimelyJobsFirst(t *testing.T) {
	for _, tt := range []struct {
		name     string
		disabled []gauge.Mechanism
		wait     time.Duration // of the first job; the second one then arrives
		want     int
	}{
		{"first job is timely", nil, 100 * time.Millisecond, 1},
		{"first job is late", nil, 1300 * time.Millisecond, 2},
		{"no triage", []gauge.Mechanism{gauge.MechanismTriage}, 1300 * time.Millisecond, 1},
		{"no classes", []gauge.Mechanism{gauge.MechanismTimely}, 1300 * time.Millisecond, 1},
		{"no classes, long past", []gauge.Mechanism{gauge.MechanismTimely}, 20 * time.Second, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTriageHarness(t, without(tt.disabled...))
			g.adopt(1, false, estimated(4, time.Second))
			g.advance(tt.wait)
			g.adopt(2, false, estimated(4, time.Second))
			assert.Equal(t, g.firstStarted(), jobID(tt.want))
		})
	}
}

// Guards against late jobs in the order of their objectives. The small job has arrived later and
// has the later objective, but its result becomes worthless earlier.
func TestLateJobsStartByTheirLastUsefulMoment(t *testing.T) {
	g := newTriageHarness(t)
	g.adopt(1, false, estimated(4, 2*time.Second)) // objective 4.3 s, useful until 12.9 s
	g.advance(2300 * time.Millisecond)
	g.adopt(2, false, estimated(4, time.Second)) // objective 4.6 s, useful until 9.2 s
	g.advance(1500 * time.Millisecond)
	assert.Equal(t, g.pool.LatenessOf(jobID(1), g.now), triage.Late.Rank())
	assert.Equal(t, g.pool.LatenessOf(jobID(2), g.now), triage.Late.Rank())
	assert.Equal(t, g.firstStarted(), jobID(2))
}

// Guards against late jobs of which hardly any is served while timely ones keep coming, and against a pool that serves late
// ones only: they get a tenth of it, and nothing once the overload has lasted.
func TestLateJobStartsFirstAtItsLastCall(t *testing.T) {
	for _, tt := range []struct {
		name    string
		lasting bool
		want    []int // jobs of the starts
	}{
		{"at a peak", false, []int{1, 2, 2, 2}},
		{"in a lasting overload", true, []int{2, 2, 2, 2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTriageHarness(t)
			if tt.lasting {
				waiting := estimated(1, 4*time.Second) // late from 4.2 s to 20.8 s
				waiting.Label = "nowhere"
				g.adopt(3, false, waiting)
				g.advance(4300 * time.Millisecond)
				g.advance(6400 * time.Millisecond)
			}
			g.adopt(4, false, estimated(4, time.Second))
			running := g.planStarts()
			g.confirm(running)
			g.adopt(1, false, estimated(2, time.Second)) // objective 2.3 s, useful until 6.9 s
			g.advance(2 * time.Second)
			g.advance(3300 * time.Millisecond)
			var ends []gauge.EndReport
			for _, o := range running {
				ends = append(ends, g.endReport("w1", o.Start.Task, 1, gauge.EndDone))
			}
			g.report("w1", nil, ends...)
			g.adopt(2, false, estimated(4, time.Second))
			var got []int
			for _, o := range g.planStarts() {
				got = append(got, map[string]int{jobID(1): 1, jobID(2): 2}[o.Start.Task.Job])
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Guards against a job that is moved back when it has nearly ended: only the steps that are left
// count.
func TestJobWithMostStepsDoneIsTimely(t *testing.T) {
	g := newTriageHarness(t)
	g.adopt(1, false, estimated(1, 3*time.Second), estimated(1, 500*time.Millisecond, 0)) // objective 7.3 s
	starts := g.planStarts()
	g.confirm(starts)
	g.advance(6500 * time.Millisecond)
	g.report("w1", nil, g.endReport("w1", starts[0].Start.Task, 1, gauge.EndDone))
	g.adopt(2, false, estimated(4, time.Second))
	assert.Equal(t, g.pool.LatenessOf(jobID(1), g.now), triage.Timely.Rank())
	assert.Equal(t, g.pool.LatenessOf(jobID(2), g.now), triage.Timely.Rank())
	assert.Equal(t, g.firstStarted(), jobID(1))
}

// Guards against a job that counts as late while its runs go on as expected.
func TestRunningJobStaysTimely(t *testing.T) {
	g := newTriageHarness(t)
	g.adopt(1, false, estimated(4, time.Second), estimated(1, 300*time.Millisecond, 0)) // objective 2.9 s
	g.confirm(g.planStarts())
	g.advance(1700 * time.Millisecond)
	assert.Equal(t, g.pool.LatenessOf(jobID(1), g.now), triage.Timely.Rank())
}

// Guards against a full pool that loses its hosts to others, as its jobs are late by learned run times: hosts are requested
// by the clients' estimates.
func TestFullPoolKeepsItsDemand(t *testing.T) {
	g := newTriageHarness(t)
	g.adopt(1, false, estimated(6, time.Second)) // objective 2.3 s
	g.confirm(g.planStarts())
	g.advance(1500 * time.Millisecond)
	assert.Equal(t, g.pool.LatenessOf(jobID(1), g.now), triage.Late.Rank())
	assert.Equal(t, g.pool.Load(g.now).Timely, gauge.Demand{RunningCores: 4, WaitingCores: 2})
	g.advance(500 * time.Millisecond)
	assert.Equal(t, g.pool.Load(g.now).Late, gauge.Demand{RunningCores: 4, WaitingCores: 2})
}

// Guards against scheduled jobs that get no hosts: their objective counts from their arrival, and
// later occurrences are past it when they become due.
func TestScheduledJobIsNeverHopeless(t *testing.T) {
	g := newTriageHarness(t)
	spec := &gauge.JobSpec{Steps: []gauge.Step{estimated(1, time.Second)}, Repeats: 3, FirstAt: time.Unix(1000, 0), Interval: time.Minute}
	g.pool.Adopt(sched.AcceptedJob{ID: jobID(1), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	g.advance(time.Minute)
	assert.Assert(t, g.pool.Load(g.now).Late.WaitingCores > 0)
	assert.Equal(t, g.firstStarted(), jobID(1))
}

// Guards against a queue whose runs all take longer than estimated and whose jobs therefore start
// too late, each time.
func TestRunTimesAreLearnedFromEnds(t *testing.T) {
	for _, tt := range []struct {
		name   string
		ending gauge.Ending
		timely bool
	}{
		{"done", gauge.EndDone, false},
		{"stopped", gauge.EndStopped, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTriageHarness(t)
			for i := range 24 {
				g.adopt(i+1, false, estimated(1, time.Second))
				starts := g.planStarts()
				g.confirm(starts)
				g.advance(2500 * time.Millisecond)
				g.report("w1", nil, g.endReport("w1", starts[0].Start.Task, starts[0].Start.Run, tt.ending))
				g.pool.Cancel(jobID(i+1), 1<<20)
			}
			g.adopt(100, false, estimated(1, time.Second)) // objective 2.3 s
			assert.Equal(t, g.pool.LatenessOf(jobID(100), g.now) == triage.Timely.Rank(), tt.timely)
		})
	}
}

// trace is what a pool orders, asks for and logs in an overload.
func trace(site *gauge.Site, disabled ...gauge.Mechanism) string {
	var b strings.Builder
	log := funcr.New(func(_, args string) { fmt.Fprintln(&b, args) }, funcr.Options{})
	l := newOverload(site, log, 4, 0.2, disabled...)
	for until := time.Second; until <= 15*time.Second; until += time.Second {
		l.run(overloadFactor, until)
		load := l.pool.Load(l.now)
		fmt.Fprintln(&b, load.Timely, load.Late, load.LongestWait)
	}
	return b.String()
}

// Guards against other orders, demand or log lines on sites whose accounts have no weights. Load
// pattern: a steady overload, in which most jobs become late.
func TestNothingChangesWithoutShares(t *testing.T) {
	unshared := sharedSite()
	unshared.KeysRequired = false
	before := trace(unshared, gauge.MechanismTriage, gauge.MechanismFair)
	assert.Assert(t, trace(unshared) == before, "without shares")
	assert.Assert(t, trace(sharedSite(), gauge.MechanismTriage, gauge.MechanismFair) == before, "without the mechanism")
	assert.Assert(t, trace(sharedSite()) != before)
	assert.Assert(t, !strings.Contains(trace(sharedSite(), gauge.MechanismTimely), `"job class"`))
}
