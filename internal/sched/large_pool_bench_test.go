package sched_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/logs"
	"sapphiregauge/internal/sched"
)

// The size of a large pool: its workers, the tasks that each has room for, its waiting jobs and its
// queues.
const (
	largeWorkers   = 140
	largeJobs      = 1300
	largeQueues    = 24
	tasksPerWorker = 4
)

// newLargePool returns a pool with jobs of 8 tasks followed by 5 more. The number of jobs is that
// which waits once the workers are full.
func newLargePool(tb testing.TB, workers, jobs int, log logr.Logger) *sched.Pool {
	tb.Helper()
	p := sched.New(sched.Config{Name: poolName, Fence: fence, LeaseExtension: 5 * time.Second, StartTimeout: time.Second, Logs: log})
	site := &gauge.Site{}
	for i := range largeQueues {
		site.Queues = append(site.Queues, gauge.Queue{Name: queueNameOf(i), Pool: poolName, Stretch: 2, Priority: i % 3})
	}
	p.Configure(site)
	p.SetLease(time.Hour, time.Hour)
	var list []gauge.Worker
	var ids []string
	for i := range workers {
		w := newWorker(fmt.Sprintf("w%d", i))
		list, ids = append(list, w), append(ids, w.ID)
	}
	p.UpdateWorkers(list)
	p.LeaseRowWritten(incarnations(ids...), fence)
	for _, id := range ids {
		p.HandleReport(incarnation(id), gauge.Heartbeat{}, &gauge.WorkerReport{Clock: time.Hour}, 0)
	}
	for i := range jobs + (workers*tasksPerWorker+7)/8 {
		second := newStep(5)
		second.After = []int{0}
		spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(8), second}}
		p.Adopt(sched.AcceptedJob{ID: jobID(i), Queue: queueNameOf(i % largeQueues), Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	}
	return p
}

func queueNameOf(i int) string { return fmt.Sprintf("%s-%d", queueName, i) }

// newFullLargePool returns such a pool in which no worker has room.
func newFullLargePool(tb testing.TB, workers, jobs int) *sched.Pool {
	p := newLargePool(tb, workers, jobs, logr.Discard())
	assert.Equal(tb, len(p.Plan(0)), workers*tasksPerWorker)
	return p
}

// BenchmarkPlanLargePool measures one plan of a pool in which no worker has room, and one in which
// ten tasks find room.
func BenchmarkPlanLargePool(b *testing.B) {
	b.Run("free=0", func(b *testing.B) {
		p := newFullLargePool(b, largeWorkers, largeJobs)
		b.ReportAllocs()
		for b.Loop() {
			p.Plan(time.Millisecond)
		}
	})
	b.Run("free=10", func(b *testing.B) {
		p := newLargePool(b, largeWorkers, largeJobs, logr.Discard())
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
	})
}

// BenchmarkReport measures processing the report of a worker on which 10 tasks run and 20 have
// ended, without and with log lines.
func BenchmarkReport(b *testing.B) {
	for name, log := range map[string]logr.Logger{"logs=none": logr.Discard(), "logs=json": logs.New(io.Discard, false)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				p, rep := newPoolWithBusyWorker(b, log)
				b.StartTimer()
				p.HandleReport(incarnation("w0"), gauge.Heartbeat{}, rep, time.Millisecond)
			}
		})
	}
}

// newPoolWithBusyWorker returns a pool with one worker that was given 30 runs, and its report of
// them.
func newPoolWithBusyWorker(b *testing.B, log logr.Logger) (*sched.Pool, *gauge.WorkerReport) {
	p := newLargePool(b, 0, 4, log)
	w := newWorker("w0")
	w.Capacity = gauge.Resources{MilliCPU: 30000, MemoryMB: 30000}
	p.UpdateWorkers([]gauge.Worker{w})
	p.LeaseRowWritten(incarnations(w.ID), fence)
	p.HandleReport(incarnation(w.ID), gauge.Heartbeat{}, &gauge.WorkerReport{Clock: time.Hour}, 0)
	rep := &gauge.WorkerReport{Clock: time.Hour + time.Second}
	for i, o := range p.Plan(0) {
		p.OrderAnswered(o, time.Hour, nil, 0)
		if i < 10 {
			rep.Running = append(rep.Running, gauge.RunReport{Task: o.Start.Task, Run: 1, Progress: 10, Load: 1000})
			continue
		}
		rep.Ended = append(rep.Ended, gauge.EndReport{Number: int64(i), Task: o.Start.Task, Run: 1, Ending: gauge.EndDone})
	}
	assert.Equal(b, len(rep.Ended), 20)
	return p, rep
}

// BenchmarkPlanStarts measures a plan with ten starts, without and with log lines.
func BenchmarkPlanStarts(b *testing.B) {
	for name, log := range map[string]logr.Logger{"logs=none": logr.Discard(), "logs=json": logs.New(io.Discard, false)} {
		b.Run(name, func(b *testing.B) {
			p := newLargePool(b, 3, 2, log)
			late := newLateStartError()
			started := p.Plan(0)[:10]
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				for _, o := range started {
					p.OrderAnswered(o, time.Hour, late, time.Millisecond)
				}
				b.StartTimer()
				started = p.Plan(time.Millisecond)
			}
		})
	}
}

// BenchmarkWriteQueries measures what an owner reads for each write, some of it at each event.
func BenchmarkWriteQueries(b *testing.B) {
	p := newFullLargePool(b, largeWorkers, largeJobs)
	for name, ask := range map[string]func(){
		"urgent": func() { p.HasUrgent() },
		"depths": func() { p.QueueDepths() },
		"name":   func() { p.LeaseRowWorkers() },
		"batch":  func() { _, _ = p.NextBatch(24, 1, skipNone) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ask()
			}
		})
	}
}

// BenchmarkLoadLargePool measures one answer to the fleet lease holder.
func BenchmarkLoadLargePool(b *testing.B) {
	p := newFullLargePool(b, largeWorkers, largeJobs)
	b.ReportAllocs()
	for b.Loop() {
		p.Load(time.Millisecond)
	}
}

// BenchmarkTick measures one tick, with the jobs remembered that ended within a minute.
func BenchmarkTick(b *testing.B) {
	const ended = 17000
	p := newFullLargePool(b, largeWorkers, largeJobs)
	for i := range ended {
		id := jobID(1<<20 + i)
		row := &gauge.JobRow{State: gauge.JobCancelled}
		p.Adopt(sched.AcceptedJob{ID: id, Queue: queueNameOf(0), Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}, Row: row, Version: fence + 1}, 0)
	}
	for done := 0; done < ended; {
		batch, err := p.NextBatch(ended, 1, skipNone)
		assert.NilError(b, err)
		p.BatchWritten(batch, fence+2, 0)
		done += len(batch.Changes)
		assert.Assert(b, len(batch.Changes) > 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Tick(time.Millisecond, time.Unix(1000, 0))
	}
}

// newLateStartError is the refusal that shows that a run doesn't exist.
func newLateStartError() error { return gauge.Errorf(gauge.KindPastDeadline, "deadline has passed") }
