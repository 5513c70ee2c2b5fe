package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// firstDue is when occurrence 0 of adoptScheduled is due, and scheduleInterval how much later each next
// one, on the clock of harness.advance.
const (
	firstDue         = time.Second
	scheduleInterval = 10 * time.Second
)

// adoptScheduled adopts a job that previous owners had, with a number of occurrences of one step.
func (g *harness) adoptScheduled(repeats int, step gauge.Step, row gauge.JobRow) string {
	id := jobID(1)
	spec := &gauge.JobSpec{Steps: []gauge.Step{step}, Repeats: repeats, FirstAt: time.Unix(1000, 0).Add(firstDue), Interval: scheduleInterval}
	row.State, row.Pool = gauge.JobPending, poolName
	g.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: spec, Row: &row, Version: fence, Arrived: g.now, Inherited: true}, g.now)
	return id
}

func (g *harness) checkJobState(id string, want gauge.JobState) {
	g.t.Helper()
	g.writeAll(2 * fence)
	status, _ := g.pool.JobStatus(queueName, id)
	assert.Equal(g.t, status.State, want)
}

// Guards against starting tasks again that were done: a new owner hears of their ends before it has
// created their occurrence.
func TestOccurrenceCompletedBeforeItIsCreatedIsNotRepeated(t *testing.T) {
	gang := newStep(2)
	gang.Gang = true
	speculative := newStep(2)
	speculative.Speculative = true
	for _, tt := range []struct {
		name   string
		step   gauge.Step
		before time.Duration // from the adoption to the ends
	}{
		{"read late, after it was due", newStep(2), 0},
		{"not due by this owner's clock", newStep(2), firstDue / 2},
		{"a gang", gang, 0},
		{"a speculative step", speculative, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness(t, withPredecessor("w1"))
			g.listWorkers("w1")
			if tt.before == 0 {
				g.advance(firstDue)
			}
			id := g.adoptScheduled(2, tt.step, gauge.JobRow{})
			if tt.before > 0 {
				g.advance(tt.before)
			}
			g.report("w1", nil,
				g.endReport("w1", gauge.TaskID{Job: id, Index: 0}, 1, gauge.EndDone),
				g.endReport("w1", gauge.TaskID{Job: id, Index: 1}, 1, gauge.EndDone))
			g.advance(firstDue)
			assert.Equal(t, len(g.startsAfterWrites()), 0, "starts of occurrence 0")

			g.advance(scheduleInterval)
			g.report("w1", nil)
			starts := g.startsAfterWrites()
			assert.Equal(t, len(starts), 2, "starts of occurrence 1")
			g.confirm(starts)
			g.advance(time.Second)
			for _, o := range starts {
				assert.Equal(t, o.Start.Task.Occurrence, 1)
				g.report("w1", nil, g.endReport("w1", o.Start.Task, o.Start.Run, gauge.EndDone))
			}
			g.checkJobState(id, gauge.JobCompleted)
		})
	}
}

// Guards against a job that never ends: a new owner completes an occurrence before it has created the
// later one that is done already.
func TestJobEndsThoughItsLastOccurrenceWasDoneFirst(t *testing.T) {
	g := newHarness(t, withPredecessor("w1"))
	g.listWorkers("w1")
	g.advance(firstDue + scheduleInterval)
	id := g.adoptScheduled(2, newStep(1), gauge.JobRow{Done: map[int][][]byte{1: {{1}}}})
	g.report("w1", nil, g.endReport("w1", gauge.TaskID{Job: id}, 1, gauge.EndDone))
	g.advance(time.Second)
	assert.Equal(t, len(g.startsAfterWrites()), 0)
	g.checkJobState(id, gauge.JobCompleted)
}

// Guards against a run too many: the numbers of a previous owner's runs are used again for occurrences
// that are created after the adoption, and two failed runs of one number count once.
func TestRunNumbersOfPreviousOwnersAreNotUsedAgainInOccurrences(t *testing.T) {
	g := newHarness(t, withPredecessor("w1", "w2"))
	g.listWorkers("w1", "w2")
	g.advance(firstDue)
	g.failHeartbeat("w1")
	id := g.adoptScheduled(1, newStep(1), gauge.JobRow{})
	g.advance(10 * time.Second)
	g.report("w2", nil)
	starts := g.startsAfterWrites()
	assert.Equal(t, len(starts), 1)
	task := starts[0].Start.Task
	g.confirm(starts)
	g.report("w2", nil, g.endReport("w2", task, starts[0].Start.Run, gauge.EndFailed))
	g.report("w1", nil, g.endReport("w1", task, 1, gauge.EndFailed))
	assert.Equal(t, len(g.startsAfterWrites()), 0, "both attempts are used up")
	g.checkJobState(id, gauge.JobFailed)
}

// Guards against an owner that runs out of memory, and each of its successors in turn: all occurrences
// of a schedule are due at once, and each takes memory for all of its tasks.
func TestOccurrencesThatAreDueAreCreatedAsTheFirstOnesEnd(t *testing.T) {
	for _, tt := range []struct{ repeats, tasks, most int }{
		{1000, 1, 2048}, {gauge.MaxOccurrences, 1, 2048}, {1000, 12, 682}, {gauge.MaxOccurrences, 12, 682}, {100, gauge.MaxTasks, 2},
	} {
		t.Run(fmt.Sprintf("%d of %d", tt.repeats, tt.tasks), func(t *testing.T) {
			g := newHarness(t)
			g.pool.UpdateWorkers([]gauge.Worker{wideWorker("w1")})
			g.pool.LeaseRowWritten(incarnations("w1"), fence)
			g.report("w1", nil)
			g.advance(time.Duration(tt.repeats+1) * scheduleInterval)
			step := gauge.Step{Count: tt.tasks, Needs: gauge.Resources{MilliCPU: 1, MemoryMB: 1}, Estimate: time.Second}
			g.adoptScheduled(tt.repeats, step, gauge.JobRow{})
			g.advance(100 * time.Millisecond)
			assert.Equal(t, g.pool.Recount(g.now).Tasks, min(tt.repeats, tt.most)*tt.tasks)
		})
	}
}

// Guards against a schedule that stops: the occurrences that weren't created as the limit was reached have
// to follow, also while the first one isn't completed, and in the order of their times.
func TestAllOccurrencesOfALateScheduleRun(t *testing.T) {
	const repeats, tasks = 20, gauge.MaxTasks / 2
	for _, slow := range []int{-1, 0, 5} { // this occurrence ends only when nothing else is left
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			g := newHarness(t)
			g.pool.UpdateWorkers([]gauge.Worker{wideWorker("w1")})
			g.pool.LeaseRowWritten(incarnations("w1"), fence)
			g.report("w1", nil)
			g.advance((repeats + 1) * scheduleInterval)
			step := gauge.Step{Count: tasks, Needs: gauge.Resources{MilliCPU: 1, MemoryMB: 1}, Estimate: time.Second}
			id := g.adoptScheduled(repeats, step, gauge.JobRow{})
			started := make(map[int]int)
			var held []gauge.EndReport
			for range 2 * repeats {
				g.advance(100 * time.Millisecond)
				starts := g.startsAfterWrites()
				g.confirm(starts)
				var ends []gauge.EndReport
				for _, o := range starts {
					started[o.Start.Task.Occurrence]++
					e := gauge.EndReport{Task: o.Start.Task, Run: o.Start.Run, Ending: gauge.EndDone}
					if o.Start.Task.Occurrence == slow {
						held = append(held, e)
						continue
					}
					ends = append(ends, e)
				}
				if len(starts) == 0 {
					ends, held = held, nil
				}
				var running []gauge.RunReport
				for _, e := range held {
					running = append(running, gauge.RunReport{Task: e.Task, Run: e.Run})
				}
				for i := range ends {
					g.ends["w1"]++
					ends[i].Number = g.ends["w1"]
				}
				g.advance(100 * time.Millisecond)
				g.report("w1", running, ends...)
			}
			for k := range repeats {
				assert.Equal(t, started[k], tasks, "starts of occurrence %d", k)
			}
			g.checkJobState(id, gauge.JobCompleted)
		})
	}
}
