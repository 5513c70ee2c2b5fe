package sched_test

import (
	"fmt"
	"slices"
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
			row, err := gauge.DecodeJobRow(batch.Changes[0].Row)
			assert.NilError(t, err)
			assert.Assert(t, len(row.SuspectRuns) >= 500, "%d lost runs are recorded", len(row.SuspectRuns))
			assert.Assert(t, len(batch.Changes[0].Row) <= rowLimit, "the row has %d bytes", len(batch.Changes[0].Row))
		})
	}
}

// Guards against a row that is too large whatever else it leaves out: it lists the done tasks of all
// occurrences after one that isn't completed.
func TestRowOfDoneOccurrencesFits(t *testing.T) {
	for _, tt := range []struct{ steps, tasks int }{{1, 1}, {1, 4}, {1, 12}, {4, 1}, {8, 1}, {16, 1}, {64, 1}, {64, 64}, {1, gauge.MaxTasks}} {
		t.Run(fmt.Sprintf("%d steps of %d", tt.steps, tt.tasks), func(t *testing.T) {
			spec := &gauge.JobSpec{Steps: slices.Repeat([]gauge.Step{{Count: tt.tasks}}, tt.steps)}
			row := &gauge.JobRow{State: gauge.JobRunning, Pool: poolName, Done: make(map[int][][]byte)}
			for k := range sched.OpenOccurrenceLimit(spec) {
				row.Done[gauge.MaxOccurrences-k] = slices.Repeat([][]byte{make([]byte, (tt.tasks+7)/8)}, tt.steps)
			}
			b, err := row.Encode()
			assert.NilError(t, err)
			t.Logf("%d bytes for %d occurrences", len(b), len(row.Done))
			assert.Assert(t, len(b) <= rowLimit)
		})
	}
}
