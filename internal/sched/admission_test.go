package sched_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/admit"
	"sapphiregauge/internal/sched"
)

func isNear(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// After any sequence of events, the summary of the accepted work is what a walk over all tasks finds.
func TestAcceptedWorkMatchesAWalkOverAllTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		events := []func(){
			w.adoptRandom, w.adoptRandom, w.adoptRecurring, w.resolveOrder, w.resolveOrder, w.resolveOrder, w.sendHeartbeat, w.sendHeartbeat, w.deliverReports, w.deliverReports,
			w.writeBatch, w.endRandom, w.endRandom, w.advance, w.advance, w.cancelRandom, w.crashWorker,
			func() { w.pool.Tick(w.now, time.Unix(0, 0).Add(w.now)) },
			func() { w.startOwner(w.leaseWorkers) },
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			rapid.SampledFrom(events).Draw(t, "event")()
			work := w.pool.AcceptedWork(w.now)
			want, longRunning := w.pool.RecountWork(w.now)
			assert.Equal(t, len(work.Groups()), len(want), "groups %v, want %v", work.Groups(), want)
			for g, coreSeconds := range want {
				assert.Assert(t, isNear(work.CoreSeconds(g), coreSeconds), "%v: %f, want %f", g, work.CoreSeconds(g), coreSeconds)
			}
			assert.Assert(t, isNear(work.LongRunningCores, longRunning), "%f, want %f", work.LongRunningCores, longRunning)
		}
	})
}

// newShareHarness returns a pool with one worker and an account that may submit two jobs a second.
func newShareHarness(t *testing.T, options ...option) *harness {
	t.Helper()
	g := newHarness(t, options...)
	site := newAccountSite(gauge.ClientAccount{Weight: 2})
	site.KeysRequired, site.Contended = true, true
	site.Queues = append(site.Queues, gauge.Queue{Name: "urgent", Pool: poolName, Stretch: 2}, gauge.Queue{Name: "bulk", Pool: poolName, Stretch: 2, Priority: 3})
	site.Index()
	g.pool.Configure(site)
	g.listWorkers("w1")
	g.report("w1", nil)
	return g
}

func TestAcceptedWorkByWhatStartsFirst(t *testing.T) {
	g := newShareHarness(t)
	g.now = 5 * time.Second
	for n := 1; n <= 3; n++ {
		g.adoptFor(n, account, newStep(4))
	}
	second := newStep(2)
	second.After = []int{0}
	g.adopt(4, false, newStep(1), second)
	lasting := newStep(3)
	lasting.LongRunning = true
	g.adopt(5, false, lasting)
	w := g.pool.AcceptedWork(g.now)
	assert.Equal(t, w.CoreSeconds(admit.Group{}), 2*4+3.0)
	assert.Equal(t, w.CoreSeconds(admit.Group{Beyond: true}), 4.0)
	assert.Equal(t, w.LongRunningCores, 3.0)
	// The objective is 2 s after the arrival, or 4 s for the job of two steps, which is timely until
	// 1.8 s: each step takes a second and some overhead.
	g.now += 1700 * time.Millisecond
	w = g.pool.AcceptedWork(g.now)
	assert.Equal(t, w.CoreSeconds(admit.Group{}), 3.0)
	assert.Equal(t, w.CoreSeconds(admit.Group{Late: true}), 8.0)
	assert.Equal(t, w.CoreSeconds(admit.Group{Late: true, Beyond: true}), 4.0)
}

// A run that takes longer than expected goes on for a while, and never counts for more than a new
// one.
func TestRunningTasksCountWithWhatIsLeft(t *testing.T) {
	g := newShareHarness(t)
	g.adopt(1, false, newStep(4))
	assert.Equal(t, len(g.planStarts()), 4)
	for _, tt := range []struct {
		after time.Duration
		left  float64
	}{{0, 4}, {400 * time.Millisecond, 2.4}, {1200 * time.Millisecond, 1.2}, {time.Minute, 4}} {
		w := g.pool.AcceptedWork(tt.after)
		sum := 0.0
		for _, group := range w.Groups() {
			sum += w.CoreSeconds(group)
		}
		assert.Assert(t, isNear(sum, tt.left), "after %s: %f", tt.after, sum)
	}
}

func TestFiguresOfASubmittedJob(t *testing.T) {
	g := newShareHarness(t)
	second := newStep(5)
	second.After, second.Estimate = []int{0}, 3*time.Second
	spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(2), second, newStep(1)}, Account: account}
	q := &gauge.Queue{Name: "bulk", Stretch: 2, Target: time.Second, Priority: 3}
	j := g.pool.SubmittedJob(q, "a", spec, 0, g.now)
	assert.DeepEqual(t, j, admit.Job{
		ID: "a", Account: account, Priority: 3, Work: 2 + 15 + 1, Cores: 5, Chain: 4 * time.Second, Objective: 9 * time.Second,
	})
}

// Guards against a burst that counts as within its account's weight because none of its jobs has been
// adopted yet.
func TestSubmittedJobBeyondTheWeight(t *testing.T) {
	for _, tt := range []struct {
		name               string
		account            string
		adopted, unadopted int
		disabled           gauge.Disabled
		beyond             bool
	}{
		{name: "first job", account: account},
		{name: "last within", account: account, adopted: 1},
		{name: "beyond", account: account, adopted: 2, beyond: true},
		{name: "beyond by jobs that aren't adopted", account: account, unadopted: 2, beyond: true},
		{name: "beyond by both", account: account, adopted: 1, unadopted: 1, beyond: true},
		{name: "another account", account: "schools", adopted: 2},
		{name: "no account", adopted: 2, unadopted: 5},
		{name: "switched off", account: account, adopted: 2, disabled: gauge.Disabled{gauge.MechanismShares}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newShareHarness(t, func(c *sched.Config) { c.Disabled = tt.disabled })
			for n := range tt.adopted {
				g.adoptFor(n+1, account, newStep(1))
			}
			spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}, Account: tt.account}
			q := &gauge.Queue{Name: queueName, Stretch: 2}
			assert.Equal(t, g.pool.SubmittedJob(q, "a", spec, tt.unadopted, g.now).Beyond, tt.beyond)
		})
	}
}

func TestScheduledAndLongRunningJobsAreAlwaysAdmitted(t *testing.T) {
	lasting := newStep(1)
	lasting.LongRunning = true
	assert.Assert(t, sched.IsAlwaysAdmitted(&gauge.JobSpec{Steps: []gauge.Step{newStep(1), lasting}}))
	assert.Assert(t, sched.IsAlwaysAdmitted(&gauge.JobSpec{Steps: []gauge.Step{newStep(1)}, Repeats: 1}))
	assert.Assert(t, !sched.IsAlwaysAdmitted(&gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}))
}

// BenchmarkAcceptedWork measures the summary of a pool with thousands of jobs.
func BenchmarkAcceptedWork(b *testing.B) {
	pool := sched.New(sched.Config{Name: poolName, Fence: fence})
	pool.Configure(&gauge.Site{Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}})
	spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(8), newStep(8), newStep(4)}}
	for n := range 5000 {
		row := &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
		pool.Adopt(sched.AcceptedJob{ID: jobID(n), Queue: queueName, Spec: spec, Row: row, Version: int64(fence + n + 1)}, 0)
	}
	for b.Loop() {
		pool.AcceptedWork(time.Second)
	}
}
