package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against a queue of whose run times nothing is learned because its runs report checkpoints:
// only a run that starts from one takes less time than the whole task.
func TestRunTimesOfRunsThatReportCheckpointsAreLearned(t *testing.T) {
	g := newTriageHarness(t)
	step := estimated(1, time.Second)
	step.Checkpoints = true
	for n := 1; n <= 30; n++ {
		g.adopt(n, false, step)
		starts := g.planStarts()
		assert.Equal(t, len(starts), 1, "job %d", n)
		o := starts[0]
		g.confirm([]sched.Order{o})
		g.advance(time.Second)
		running := runReport(o)
		running.Progress, running.Checkpoint = 50, "half"
		g.report("w1", []gauge.RunReport{running})
		g.advance(time.Second)
		g.report("w1", nil, g.endReport("w1", o.Start.Task, o.Start.Run, gauge.EndDone))
		g.writeAll(int64(2*fence) + g.now.Milliseconds())
	}
	j := g.pool.SubmittedJob(&gauge.Queue{Name: queueName, Pool: poolName, Stretch: 2}, jobID(100), &gauge.JobSpec{Steps: []gauge.Step{step}}, 0, g.now)
	assert.Assert(t, j.Chain > 1900*time.Millisecond, "expected %s for runs of 2 s", j.Chain)
}

// Guards against slow workers that aren't found because their runs report checkpoints. Load: beyond
// the pool's room.
func TestRunsThatReportCheckpointsAreEvidence(t *testing.T) {
	spec := speedStep()
	spec.Checkpoints = true
	s := newSpeedPool(t, speedWorkers, spec, constantLoad(200))
	s.setSpeed(2, 0.3)
	s.play(30 * time.Second)
	assert.Assert(t, s.events[sched.EventWorkerSlow] > 0)
}
