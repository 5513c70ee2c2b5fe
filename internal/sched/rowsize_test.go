package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// rowLimit is the size limit of rows in these tests.
const rowLimit = 48 << 10

func withRowLimit(c *sched.Config) { c.MaxRowBytes = rowLimit }

// wideWorker has room for any job.
func wideWorker(id string) gauge.Worker {
	w := newWorker(id)
	w.Capacity = gauge.Resources{MilliCPU: 10 * gauge.MaxTasks, MemoryMB: gauge.MaxTasks}
	return w
}

// startWide starts a job of so many small tasks on a worker.
func startWide(g *harness, worker string, tasks int) []sched.Order {
	g.pool.UpdateWorkers([]gauge.Worker{wideWorker(worker)})
	g.pool.LeaseRowWritten(incarnations(worker), fence)
	g.report(worker, nil)
	g.adopt(1, false, gauge.Step{Count: tasks, Needs: gauge.Resources{MilliCPU: 1, MemoryMB: 1}, Estimate: time.Minute, Checkpoints: true})
	starts := g.planStarts()
	assert.Equal(g.t, len(starts), tasks)
	g.confirm(starts)
	return starts
}

// Guards against a queue that can't be written any more: the row of a job with many stopped tasks, each
// with a checkpoint, exceeds the size that the table takes.
func TestRowOfStoppedTasksFits(t *testing.T) {
	for _, tasks := range []int{500, gauge.MaxTasks} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			g := newHarness(t, withRowLimit)
			starts := startWide(g, "w1", tasks)
			g.advance(time.Second)
			var ends []gauge.EndReport
			for _, o := range starts {
				e := g.endReport("w1", o.Start.Task, o.Start.Run, gauge.EndStopped)
				e.Checkpoint = fmt.Sprintf("%016x", o.Start.Task.Index)
				ends = append(ends, e)
			}
			g.report("w1", nil, ends...)
			g.advance(time.Second)
			batch := g.writeAll(2 * fence)
			assert.Equal(t, len(batch.Changes), 1)
			assert.Assert(t, len(batch.Changes[0].Row) <= rowLimit, "the row has %d bytes", len(batch.Changes[0].Row))

			// This owner keeps the checkpoints that the row leaves out.
			g.report("w1", nil)
			again := g.planStarts()
			assert.Equal(t, len(again), tasks)
			for _, o := range again {
				assert.Equal(t, o.Start.Checkpoint, fmt.Sprintf("%016x", o.Start.Task.Index))
			}
		})
	}
}

// Guards against a queue that can't be written any more: the row of a job that loses many runs with one
// worker exceeds the size that the table takes.
func TestRowOfLostRunsFits(t *testing.T) {
	for _, tasks := range []int{500, gauge.MaxTasks} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			g := newHarness(t, withRowLimit)
			startWide(g, "w1", tasks)
			g.advance(100 * time.Millisecond)
			g.pool.UpdateWorkers(nil)
			g.failHeartbeat("w1")
			for range 60 {
				g.advance(time.Second)
			}
			batch := g.writeAll(2 * fence)
			assert.Equal(t, len(batch.Changes), 1)
			assert.Assert(t, len(batch.Changes[0].Row) > 10*tasks || tasks > 500, "no runs are recorded")
			assert.Assert(t, len(batch.Changes[0].Row) <= rowLimit, "the row has %d bytes", len(batch.Changes[0].Row))
		})
	}
}
