package sched_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
	"sapphiregauge/internal/sched"
)

const account = "garages"

// newAccountSite returns a configuration with one account.
func newAccountSite(a gauge.ClientAccount) *gauge.Site {
	a.Name = account
	s := &gauge.Site{
		Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2}},
		Accounts: []gauge.ClientAccount{a, {Name: "schools", Weight: 1}},
	}
	s.Index()
	return s
}

// newParts returns a pool's parts of an account's limit, of which this pool has all.
func newParts(site *gauge.Site, milliCPU int, previous gauge.LimitRow) *limit.Parts {
	parts := limit.New(limit.Config{Pool: poolName, Fence: fence, First: len(previous.Parts) == 0, Logs: logr.Discard()})
	parts.Configure(site)
	parts.SetRows(map[string]gauge.LimitRow{account: previous}, nil)
	parts.Allows(account, gauge.Resources{MilliCPU: milliCPU}, limit.Use{}) // so that it grows at once
	writes := parts.Update(nil, time.Second)
	parts.Written(writes, 1)
	return parts
}

// newLimitHarness returns a pool with two workers whose part of an account's limit is all of it.
func newLimitHarness(t *testing.T, milliCPU int) *harness {
	t.Helper()
	site := newAccountSite(gauge.ClientAccount{Limit: gauge.Resources{MilliCPU: milliCPU}})
	g := newHarness(t, func(c *sched.Config) { c.Limits = newParts(site, milliCPU, gauge.LimitRow{}) })
	g.pool.Configure(site)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	return g
}

// Guards against a successor that starts beyond an account's limit what its predecessor may have running on workers that
// haven't reported: as much as they hold, or all of the predecessor's part if that isn't known.
func TestSuccessorCountsWhatUnreportedWorkersMayRun(t *testing.T) {
	const bound = 8000
	site := newAccountSite(gauge.ClientAccount{Limit: gauge.Resources{MilliCPU: bound}})
	previous := gauge.LimitRow{Parts: map[string]gauge.LimitPart{poolName: {Amount: gauge.Resources{MilliCPU: 7000}, Fence: fence - 1}}}
	for _, tt := range []struct {
		name   string
		listed []string
		report []string
		want   int // starts of 1000 each
	}{
		{"all have reported", []string{"w1", "w2", "w3"}, []string{"w1", "w2", "w3"}, 8},
		{"one that holds 4000 hasn't", []string{"w1", "w2", "w3"}, []string{"w1", "w2"}, 4},
		{"nobody knows what one holds", []string{"w1", "w2"}, []string{"w1", "w2"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t, withPredecessor("w1", "w2", "w3"), func(c *sched.Config) { c.Limits = newParts(site, bound, previous) })
			g.pool.Configure(site)
			g.listWorkers(tt.listed...)
			for _, id := range tt.report {
				g.report(id, nil)
			}
			g.adoptFor(1, account, newStep(12))
			assert.Equal(t, len(g.planStarts()), tt.want)
		})
	}
}

// adoptFor adopts a job of an account.
func (g *harness) adoptFor(n int, account string, steps ...gauge.Step) string {
	id := jobID(n)
	g.pool.Adopt(sched.AcceptedJob{
		ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: steps, Account: account},
		Row: &gauge.JobRow{State: gauge.JobPending, Pool: poolName, Account: account}, Version: int64(fence + n), Arrived: g.now,
	}, g.now)
	return id
}

// Guards against more running for an account than its limit: what is unanswered or is being stopped counts until it is
// certainly over.
func TestLimitOfAnAccountCountsAllThatMayRun(t *testing.T) {
	g := newLimitHarness(t, 3000)
	g.adoptFor(1, account, newStep(5))
	starts := g.planStarts()
	assert.Equal(t, len(starts), 3)
	g.pool.OrderAnswered(starts[0], 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
	g.confirm(starts[1:])
	g.advance(10 * time.Millisecond)
	assert.Equal(t, len(g.planStarts()), 0, "one may be running without an answer")
	g.pool.Cancel(jobID(1), fence+100)
	g.adoptFor(2, account, newStep(1))
	assert.Equal(t, len(g.planStarts()), 0, "all are being stopped")
	g.report("w1", nil, g.endReport("w1", starts[1].Start.Task, starts[1].Start.Run, gauge.EndStopped))
	g.report("w2", nil, g.endReport("w2", starts[1].Start.Task, starts[1].Start.Run, gauge.EndStopped))
	assert.Equal(t, len(g.planStarts()), 1)
}

// Guards against an account at its limit that holds up other accounts and public queues.
func TestLimitOfAnAccountHoldsUpNoOthers(t *testing.T) {
	g := newLimitHarness(t, 1000)
	g.adoptFor(1, account, newStep(4))
	g.adoptFor(2, "schools", newStep(1))
	g.adoptFor(3, "", newStep(1))
	started := make(map[string]int)
	for _, o := range g.planStarts() {
		started[o.Start.Task.Job]++
	}
	assert.DeepEqual(t, started, map[string]int{jobID(1): 1, jobID(2): 1, jobID(3): 1})
}

// Guards against a gang of which some tasks start and the others exceed their account's limit.
func TestGangBeyondTheLimitOfItsAccountDoesNotStart(t *testing.T) {
	g := newLimitHarness(t, 2000)
	gang := newStep(3)
	gang.Gang = true
	g.adoptFor(1, account, gang)
	assert.Equal(t, len(g.planStarts()), 0)
	gang.Count = 2
	g.adoptFor(2, account, gang)
	assert.Equal(t, len(g.planStarts()), 2)
}

// Guards against a burst of one account that delays what others submit within their shares. The pattern: a full pool, one
// account at many times its rate, another at its usual.
func TestJobsWithinTheShareOfTheirAccountStartFirst(t *testing.T) {
	for _, tt := range []struct {
		name     string
		disabled gauge.Disabled
		want     []string // jobs in the order of their starts
	}{
		{"within their shares first", nil, []string{jobID(1), jobID(9), jobID(2), jobID(3)}},
		{"switched off", gauge.Disabled{gauge.MechanismShares}, []string{jobID(1), jobID(2), jobID(3), jobID(9)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t, func(c *sched.Config) { c.Disabled = tt.disabled })
			g.pool.Configure(newAccountSite(gauge.ClientAccount{Weight: 1}))
			for n := 1; n <= 3; n++ {
				g.adoptFor(n, account, newStep(1))
			}
			g.adoptFor(9, "schools", newStep(1))
			g.listWorkers("w1")
			g.report("w1", nil)
			var order []string
			for _, o := range g.planStarts() {
				order = append(order, o.Start.Task.Job)
			}
			assert.DeepEqual(t, order, tt.want)
		})
	}
}

// Guards against machines that are taken from other pools for what an account submits beyond its share.
func TestDemandBeyondAShareCountsAsLate(t *testing.T) {
	g := newHarness(t)
	g.pool.Configure(newAccountSite(gauge.ClientAccount{Weight: 1}))
	for n := 1; n <= 3; n++ {
		g.adoptFor(n, account, newStep(1))
	}
	load := g.pool.Load(g.now)
	assert.Equal(t, load.Timely.WaitingCores, 1.0)
	assert.Equal(t, load.Late.WaitingCores, 2.0)
}
