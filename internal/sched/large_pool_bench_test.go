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

// A large pool: so many workers with four places each, so many jobs that wait, and
// so many queues.
const (
	largeWorkers = 140
	largeJobs    = 1300
	largeQueues  = 24
	places       = 4
)

// crowd makes a pool with jobs of 8 tasks and then 5 more, and starts what there
// is room for.
func crowd(tb testing.TB, workers, jobs int, log logr.Logger) *sched.Pool {
	tb.Helper()
	p := sched.New(sched.Config{Name: poolName, Fence: fence, Hold: 5 * time.Second, Start: time.Second, Logs: log})
	site := &gauge.Site{}
	for i := range largeQueues {
		site.Queues = append(site.Queues, gauge.Queue{Name: queueOf(i), Pool: poolName, Stretch: 2, Priority: i % 3})
	}
	p.Configure(site)
	p.Limit(time.Hour)
	var list []gauge.Worker
	var ids []string
	for i := range workers {
		w := worker(fmt.Sprintf("w%d", i))
		list, ids = append(list, w), append(ids, w.ID)
	}
	p.Workers(list)
	p.Noted(livesOf(ids...), fence)
	for _, id := range ids {
		p.Report(life(id), gauge.HoldCall{}, &gauge.WorkerReport{Clock: time.Hour}, 0)
	}
	for i := range jobs + (workers*places+7)/8 {
		second := step(5)
		second.After = []int{0}
		spec := &gauge.JobSpec{Steps: []gauge.Step{step(8), second}}
		p.Adopt(sched.Accepted{ID: jobID(i), Queue: queueOf(i % largeQueues), Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1}, 0)
	}
	return p
}

func queueOf(i int) string { return fmt.Sprintf("%s-%d", queueName, i) }

// clogged is such a pool in which nothing is free.
func clogged(tb testing.TB, workers, jobs int) *sched.Pool {
	p := crowd(tb, workers, jobs, logr.Discard())
	assert.Equal(tb, len(p.Plan(0)), workers*places)
	return p
}

// BenchmarkPlanOfALargePool is one plan of a pool in which nothing is free, and one
// in which ten tasks find a place.
func BenchmarkPlanOfALargePool(b *testing.B) {
	b.Run("free=0", func(b *testing.B) {
		p := clogged(b, largeWorkers, largeJobs)
		b.ReportAllocs()
		for b.Loop() {
			p.Plan(time.Millisecond)
		}
	})
	b.Run("free=10", func(b *testing.B) {
		p := crowd(b, largeWorkers, largeJobs, logr.Discard())
		started := p.Plan(0)[:10]
		late := lateStart()
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			for _, o := range started {
				p.Answered(o, time.Hour, late, time.Millisecond)
			}
			b.StartTimer()
			started = p.Plan(time.Millisecond)
		}
		assert.Equal(b, len(started), 10)
	})
}

// BenchmarkReport is the answer to a hold of a worker on which 10 tasks run and 20
// have ended, without and with its lines of log.
func BenchmarkReport(b *testing.B) {
	for name, log := range map[string]logr.Logger{"logs=none": logr.Discard(), "logs=json": logs.New(io.Discard, false)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				p, rep := busy(b, log)
				b.StartTimer()
				p.Report(life("w0"), gauge.HoldCall{}, rep, time.Millisecond)
			}
		})
	}
}

// busy makes a pool with one worker with 30 runs, and its report of them.
func busy(b *testing.B, log logr.Logger) (*sched.Pool, *gauge.WorkerReport) {
	p := crowd(b, 0, 4, log)
	w := worker("w0")
	w.Capacity = gauge.Resources{MilliCPU: 30000, MemoryMB: 30000}
	p.Workers([]gauge.Worker{w})
	p.Noted(livesOf(w.ID), fence)
	p.Report(life(w.ID), gauge.HoldCall{}, &gauge.WorkerReport{Clock: time.Hour}, 0)
	rep := &gauge.WorkerReport{Clock: time.Hour + time.Second}
	for i, o := range p.Plan(0) {
		p.Answered(o, time.Hour, nil, 0)
		if i < 10 {
			rep.Running = append(rep.Running, gauge.RunReport{Task: o.Start.Task, Run: 1, Progress: 10, Load: 1000})
			continue
		}
		rep.Ended = append(rep.Ended, gauge.EndReport{Number: int64(i), Task: o.Start.Task, Run: 1, How: gauge.EndDone})
	}
	assert.Equal(b, len(rep.Ended), 20)
	return p, rep
}

// BenchmarkPlansStarts is what ten starts cost with their lines of log.
func BenchmarkPlansStarts(b *testing.B) {
	for name, log := range map[string]logr.Logger{"logs=none": logr.Discard(), "logs=json": logs.New(io.Discard, false)} {
		b.Run(name, func(b *testing.B) {
			p := crowd(b, 3, 2, log)
			late := lateStart()
			started := p.Plan(0)[:10]
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				for _, o := range started {
					p.Answered(o, time.Hour, late, time.Millisecond)
				}
				b.StartTimer()
				started = p.Plan(time.Millisecond)
			}
		})
	}
}

// BenchmarkOfEachWrite is what is asked for each write, and for some at each event.
func BenchmarkOfEachWrite(b *testing.B) {
	p := clogged(b, largeWorkers, largeJobs)
	for name, ask := range map[string]func(){
		"urgent": func() { p.Urgent() },
		"depths": func() { p.Depths() },
		"name":   func() { p.Name() },
		"batch":  func() { _, _ = p.Batch(24, 1, nobody) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ask()
			}
		})
	}
}

// BenchmarkLoadOfALargePool is one answer to the fleet's holder.
func BenchmarkLoadOfALargePool(b *testing.B) {
	p := clogged(b, largeWorkers, largeJobs)
	b.ReportAllocs()
	for b.Loop() {
		p.Load(time.Millisecond)
	}
}

// BenchmarkTick is one look at the time, with a minute's ended jobs remembered.
func BenchmarkTick(b *testing.B) {
	const ended = 17000
	p := clogged(b, largeWorkers, largeJobs)
	for i := range ended {
		id := jobID(1<<20 + i)
		row := &gauge.JobRow{State: gauge.JobCancelled}
		p.Adopt(sched.Accepted{ID: id, Queue: queueOf(0), Spec: &gauge.JobSpec{Steps: []gauge.Step{step(1)}}, Row: row, Version: fence + 1}, 0)
	}
	for done := 0; done < ended; {
		batch, err := p.Batch(ended, 1, nobody)
		assert.NilError(b, err)
		p.Written(batch, fence+2, 0)
		done += len(batch.Changes)
		assert.Assert(b, len(batch.Changes) > 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Tick(time.Millisecond, time.Unix(1000, 0))
	}
}

// lateStart is the refusal after which a run is surely not there.
func lateStart() error { return gauge.Fail(gauge.KindLate, "late") }
