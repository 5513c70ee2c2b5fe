package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// full makes a pool whose workers are full and whose other jobs wait, which is
// when a plan costs most.
func full(b *testing.B, workers, jobs int) *sched.Pool {
	b.Helper()
	p := sched.New(sched.Config{Name: poolName, Fence: fence, Hold: 5 * time.Second, Start: time.Second, Logs: logr.Discard()})
	p.Configure(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: poolName, Stretch: 2}}})
	p.Limit(time.Hour)
	var list []gauge.Worker
	var ids []string
	for i := range workers {
		w := worker(fmt.Sprintf("w%d", i))
		list, ids = append(list, w), append(ids, w.ID)
	}
	p.Workers(list)
	p.Noted(ids)
	for _, id := range ids {
		p.Report(id, &gauge.WorkerReport{Clock: time.Hour}, 0)
	}
	for i := range workers/2 + jobs {
		spec := &gauge.JobSpec{Steps: []gauge.Step{step(8)}}
		p.Adopt(sched.Accepted{ID: jobID(i), Queue: queueName, Spec: spec, Row: &gauge.JobRow{State: gauge.JobPending}, Version: fence + 1, Arrived: 0}, 0)
	}
	p.Plan(0)
	return p
}

// BenchmarkPlan is one plan in which nothing fits: µs by workers and waiting jobs.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{10, 50, 200} {
		for _, jobs := range []int{10, 100, 300} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, jobs), func(b *testing.B) {
				p := full(b, workers, jobs)
				for b.Loop() {
					p.Plan(time.Millisecond)
				}
			})
		}
	}
}

// BenchmarkLoad is one answer to the fleet's holder.
func BenchmarkLoad(b *testing.B) {
	for _, workers := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("workers=%d/waiting=100", workers), func(b *testing.B) {
			p := full(b, workers, 100)
			for b.Loop() {
				p.Load(time.Millisecond)
			}
		})
	}
}

// BenchmarkBacklog is one look at what waits; there are four a second.
func BenchmarkBacklog(b *testing.B) {
	p := full(b, 140, 1300)
	now := time.Millisecond
	for b.Loop() {
		p.Backlog(now)
		now += time.Millisecond
	}
}
