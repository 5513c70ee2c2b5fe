package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// newFullPool returns a pool whose workers are full and whose other jobs wait, which is when a plan
// costs most.
func newFullPool(b *testing.B, workers, jobs int) *sched.Pool {
	b.Helper()
	p := sched.New(sched.Config{Name: poolName, Fence: fence, LeaseExtension: 5 * time.Second, StartTimeout: time.Second, Logs: logr.Discard()})
	p.Configure(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}})
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
	for i := range workers/2 + jobs {
		spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(8)}}
		p.Adopt(sched.AcceptedJob{ID: jobID(i), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: 0}, 0)
	}
	p.Plan(0)
	return p
}

// BenchmarkPlan measures one plan in which nothing fits, by the number of workers and waiting jobs.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{10, 50, 200} {
		for _, jobs := range []int{10, 100, 300} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, jobs), func(b *testing.B) {
				p := newFullPool(b, workers, jobs)
				for b.Loop() {
					p.Plan(time.Millisecond)
				}
			})
		}
	}
}

// BenchmarkLoad measures one answer to the fleet lease holder.
func BenchmarkLoad(b *testing.B) {
	for _, workers := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("workers=%d/waiting=100", workers), func(b *testing.B) {
			p := newFullPool(b, workers, 100)
			for b.Loop() {
				p.Load(time.Millisecond)
			}
		})
	}
}

// BenchmarkBatch measures packing one transaction's changes and recording that they were written,
// by the number of ended jobs, in total and per change.
func BenchmarkBatch(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("ended=%d", jobs), func(b *testing.B) {
			changes := 0
			for b.Loop() {
				b.StopTimer()
				p := newPoolWithEndedJobs(jobs)
				b.StartTimer()
				batch, err := p.NextBatch(batchOperations, 1, skipNone)
				if err != nil {
					b.Fatal(err)
				}
				p.BatchWritten(batch, fence+2, time.Second)
				changes += len(batch.Changes)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(changes), "ns/change")
		})
	}
}

// batchOperations is the size of the batches that an owner asks for, in operations. A job that has
// ended takes four.
const batchOperations = 98

// newPoolWithEndedJobs returns a pool with jobs that have just ended and must be written.
func newPoolWithEndedJobs(jobs int) *sched.Pool {
	p := sched.New(sched.Config{Name: poolName, Fence: fence, LeaseExtension: 5 * time.Second, StartTimeout: time.Second, Logs: logr.Discard()})
	p.Configure(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}})
	const workers = 40
	list := make([]gauge.Worker, workers)
	for i := range list {
		list[i] = newWorker(fmt.Sprintf("w%d", i))
	}
	p.UpdateWorkers(list)
	reports := make([]gauge.WorkerReport, workers)
	for i := range jobs {
		spec := &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}}
		p.Adopt(sched.AcceptedJob{ID: jobID(i), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobRunning}, Version: fence + 1, Arrived: time.Duration(i * 7919 % jobs)}, 0)
		r := &reports[i%workers]
		r.Ended = append(r.Ended, gauge.EndReport{Number: int64(len(r.Ended) + 1), Task: gauge.TaskID{Job: jobID(i)}, Run: 1, Ending: gauge.EndDone})
	}
	for i := range reports {
		reports[i].Clock = time.Hour
		p.HandleReport(incarnation(list[i].ID), gauge.Heartbeat{}, &reports[i], 0)
	}
	return p
}

// BenchmarkBacklog measures one reading of the backlog; an owner takes four a second.
func BenchmarkBacklog(b *testing.B) {
	p := newFullPool(b, 140, 1300)
	now := time.Millisecond
	for b.Loop() {
		p.Backlog(now)
		now += time.Millisecond
	}
}
