package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against an owner of a large pool that uses up its processor time, so that its plans,
// heartbeats and writes come late and it loses the pool to another owner, which then has the same
// problem. With all workers full and a thousand jobs waiting, each ended run leads to a plan; none
// may list, rank and sort all waiting jobs before it checks whether there is room for any.
func TestPlanWithoutRoomCostsNothingPerWaitingJob(t *testing.T) {
	few, many := newFullLargePool(t, 20, 10), newFullLargePool(t, 20, 1000)
	cost := func(p *sched.Pool) float64 {
		return testing.AllocsPerRun(20, func() { p.Plan(time.Millisecond) })
	}
	assert.Equal(t, cost(many), cost(few), "allocations of a plan with 1000 jobs and with 10")
}

// newFragmentedPool returns a full pool on whose workers some have processors left and others
// memory, with as many waiting jobs as given.
func newFragmentedPool(tb testing.TB, jobs int) *sched.Pool {
	tb.Helper()
	const workers = 60
	p := sched.New(sched.Config{Name: poolName, Fence: fence, LeaseExtension: 5 * time.Second, StartTimeout: time.Second, Logs: logr.Discard()})
	p.Configure(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}})
	p.SetLease(time.Hour, time.Hour)
	var list []gauge.Worker
	var ids []string
	for i := range workers {
		w := newWorker(fmt.Sprintf("w%d", i))
		w.Capacity = gauge.Resources{MilliCPU: 32_000, MemoryMB: 128_000}
		list, ids = append(list, w), append(ids, w.ID)
	}
	p.UpdateWorkers(list)
	p.LeaseRowWritten(incarnations(ids...), fence)
	for _, id := range ids {
		p.HandleReport(incarnation(id), gauge.Heartbeat{}, &gauge.WorkerReport{Clock: time.Hour}, 0)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2*workers + jobs {
		step := newStep(8)
		step.Needs = gauge.Resources{MilliCPU: 1500 + random.IntN(6000), MemoryMB: 3000 + random.IntN(25_000)}
		spec := &gauge.JobSpec{Steps: []gauge.Step{step}}
		p.Adopt(sched.AcceptedJob{ID: jobID(i), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	}
	p.Plan(0)
	return p
}

// Guards against plans that try each of thousands of waiting tasks on all workers although it fits
// on none. Load pattern: a full pool with uneven amounts left on its workers.
func TestPlanRanksOnlyTasksThatFitOnAWorker(t *testing.T) {
	assert.Equal(t, newFragmentedPool(t, 2500).CountCandidates(time.Millisecond), 0)
}

// Guards against a waiting task that is passed over although a worker has room for it.
func TestFrontierContainsWhatAWorkerHasRoomFor(t *testing.T) {
	amount := rapid.Custom(func(t *rapid.T) gauge.Resources {
		return gauge.Resources{MilliCPU: rapid.IntRange(-2, 8).Draw(t, "cpu"), MemoryMB: rapid.IntRange(-2, 8).Draw(t, "memory"), Accels: rapid.IntRange(0, 2).Draw(t, "accels")}
	})
	rapid.Check(t, func(t *rapid.T) {
		free, need := rapid.SliceOfN(amount, 0, 12).Draw(t, "free"), amount.Draw(t, "need")
		need.MilliCPU, need.MemoryMB = max(0, need.MilliCPU), max(0, need.MemoryMB)
		want := slices.ContainsFunc(free, func(f gauge.Resources) bool { return f.Contains(need) })
		assert.Equal(t, sched.FrontierContains(free, need), want)
	})
}

// BenchmarkPlanFragmentedPool measures a plan of a full pool, by the number of waiting jobs.
func BenchmarkPlanFragmentedPool(b *testing.B) {
	for _, jobs := range []int{300, 2500} {
		b.Run(fmt.Sprintf("waiting=%d", jobs), func(b *testing.B) {
			p := newFragmentedPool(b, jobs)
			for b.Loop() {
				p.Plan(time.Millisecond)
			}
		})
	}
}
