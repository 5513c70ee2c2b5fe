package sched_test

import (
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
