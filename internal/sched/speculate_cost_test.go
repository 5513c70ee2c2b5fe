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

// newPoolWithWideStep returns a pool that runs a speculative step, half of whose tasks have ended.
func newPoolWithWideStep(tb testing.TB, tasks int) *sched.Pool {
	tb.Helper()
	p := sched.New(sched.Config{Name: poolName, Fence: fence, LeaseExtension: 5 * time.Second, StartTimeout: time.Second, Logs: logr.Discard()})
	p.Configure(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}})
	p.SetLease(time.Hour, time.Hour)
	var list []gauge.Worker
	var ids []string
	for i := range tasks / tasksPerWorker {
		w := newWorker(fmt.Sprintf("w%d", i))
		list, ids = append(list, w), append(ids, w.ID)
	}
	p.UpdateWorkers(list)
	p.LeaseRowWritten(incarnations(ids...), fence)
	for _, id := range ids {
		p.HandleReport(incarnation(id), gauge.Heartbeat{}, &gauge.WorkerReport{Clock: time.Hour}, 0)
	}
	spec := &gauge.JobSpec{Steps: []gauge.Step{speculativeStep(tasks)}}
	p.Adopt(sched.AcceptedJob{ID: jobID(1), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	reports := make(map[string]*gauge.WorkerReport)
	for i, o := range p.Plan(0) {
		p.OrderAnswered(o, time.Hour, nil, 0)
		rep := reports[o.Worker.ID]
		if rep == nil {
			rep = &gauge.WorkerReport{Clock: time.Hour + time.Second}
			reports[o.Worker.ID] = rep
		}
		if i%2 == 0 {
			rep.Ended = append(rep.Ended, gauge.EndReport{Number: int64(len(rep.Ended) + 1), Task: o.Start.Task, Run: o.Start.Run, Ending: gauge.EndDone})
			continue
		}
		rep.Running = append(rep.Running, gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run, Progress: 50})
	}
	for _, id := range ids {
		p.HandleReport(incarnation(id), gauge.Heartbeat{}, reports[id], time.Second)
	}
	return p
}

// Guards against a search for stragglers that sorts a step's run times again for each of its runs.
// Load pattern: a wide step of which half has ended.
func TestSearchForStragglersSortsNothingPerRun(t *testing.T) {
	cost := func(p *sched.Pool) float64 {
		now := time.Second
		return testing.AllocsPerRun(5, func() {
			now += 100 * time.Millisecond
			p.Plan(now)
		})
	}
	few, many := cost(newPoolWithWideStep(t, 40)), cost(newPoolWithWideStep(t, 800))
	assert.Assert(t, many < few+200, "%.0f allocations with 20 runs, %.0f with 400", few, many)
}

// BenchmarkPlanWideStep measures a plan that searches for stragglers, in a wide step of which half has
// ended.
func BenchmarkPlanWideStep(b *testing.B) {
	p := newPoolWithWideStep(b, 4096)
	now := time.Second
	for b.Loop() {
		now += 100 * time.Millisecond
		p.Plan(now)
	}
}
