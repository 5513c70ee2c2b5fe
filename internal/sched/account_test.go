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

// newLimitHarness returns a pool whose part of an account's limit is all of it.
func newLimitHarness(t *testing.T, milliCPU int, options ...option) (*harness, *limit.Parts) {
	t.Helper()
	site := newAccountSite(gauge.ClientAccount{Limit: gauge.Resources{MilliCPU: milliCPU}})
	parts := limit.New(limit.Config{Pool: poolName, Fence: fence, First: true, Logs: logr.Discard()})
	parts.Configure(site)
	parts.SetRows(nil, nil)
	parts.Allows(account, gauge.Resources{MilliCPU: milliCPU}, limit.Use{}) // so that it grows at once
	writes := parts.Update(nil, time.Second)
	parts.Written(writes, 1)
	g := newHarness(t, append(options, func(c *sched.Config) { c.Limits = parts })...)
	g.pool.Configure(site)
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	return g, parts
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
	g, _ := newLimitHarness(t, 3000)
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
	g, _ := newLimitHarness(t, 1000)
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
	g, _ := newLimitHarness(t, 2000)
	gang := newStep(3)
	gang.Gang = true
	g.adoptFor(1, account, gang)
	assert.Equal(t, len(g.planStarts()), 0)
	gang.Count = 2
	g.adoptFor(2, account, gang)
	assert.Equal(t, len(g.planStarts()), 2)
}
