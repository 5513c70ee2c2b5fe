package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// BenchmarkPlanLargePoolOfAccounts measures one plan in which ten tasks find room, in a pool that
// some accounts share, by their number.
func BenchmarkPlanLargePoolOfAccounts(b *testing.B) {
	for _, accounts := range []int{1, 24, 200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			benchmarkPlanOfTen(b, newLargePoolOfAccounts(b, accounts, accounts))
		})
	}
}

func benchmarkPlanOfTen(b *testing.B, p *sched.Pool) {
	b.Helper()
	started := p.Plan(0)[:10]
	late := newLateStartError()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		for _, o := range started {
			p.OrderAnswered(o, time.Hour, late, time.Millisecond)
		}
		b.StartTimer()
		started = p.Plan(time.Millisecond)
	}
	assert.Equal(b, len(started), 10)
}

// BenchmarkPlanOfAccountsAboveTheirShares measures such a plan in which each start is followed by one
// of another account: both are above their shares, as a third one has work that fits nowhere.
func BenchmarkPlanOfAccountsAboveTheirShares(b *testing.B) {
	p := newLargePoolOfAccounts(b, 3, 2)
	nowhere := newStep(1)
	nowhere.Label = "nowhere"
	spec := &gauge.JobSpec{Steps: []gauge.Step{nowhere}, Account: "account-2"}
	p.Adopt(sched.AcceptedJob{ID: jobID(1), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	benchmarkPlanOfTen(b, p)
}

// newLargePoolOfAccounts returns a pool like newLargePool that some accounts share, and whose jobs
// belong to the first of them.
func newLargePoolOfAccounts(tb testing.TB, accounts, first int) *sched.Pool {
	tb.Helper()
	p := newLargePool(tb, largeWorkers, 0, logr.Discard())
	site := &gauge.Site{KeysRequired: true, Contended: true, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}}
	for i := range accounts {
		site.Accounts = append(site.Accounts, gauge.ClientAccount{Name: fmt.Sprintf("account-%d", i), Weight: ampleWeight})
	}
	site.Index()
	p.Configure(site)
	for i := range largeJobs {
		second := newStep(5)
		second.After = []int{0}
		spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(8), second}, Account: site.Accounts[i%first].Name}
		id := jobID(1<<20 + i)
		p.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	}
	return p
}
