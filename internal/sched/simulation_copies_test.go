package sched_test

import (
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// startAfterAck is how long after the acknowledgement of an end as done a run of a speculative step's
// task may still start: its start was sent before.
const startAfterAck = time.Second

func (w *simulation) isSpeculative(task gauge.TaskID) bool {
	return w.specs[task.Job].Steps[task.Step].Speculative
}

// maxRuns is how many runs a task may have at once.
func (w *simulation) maxRuns(task gauge.TaskID) int {
	if w.isSpeculative(task) {
		return 2
	}
	return 1
}

// runReport is a worker's report of a run. Tasks with an odd index never progress, so that their runs
// are taken for stalled while others progress.
func (w *simulation) runReport(task gauge.TaskID, run int) gauge.RunReport {
	r := gauge.RunReport{Task: task, Run: run}
	if task.Index%2 == 0 && !w.specs[task.Job].Steps[task.Step].LongRunning {
		r.Progress = int(w.now/(100*time.Millisecond)) % 100
	}
	return r
}

// noteAck records that a worker forgets an end report.
func (w *simulation) noteAck(e gauge.EndReport) {
	if _, known := w.acked[e.Task]; !known && e.Ending == gauge.EndDone && w.isSpeculative(e.Task) {
		w.acked[e.Task] = w.now
	}
}

// checkNotDone fails the test if a worker is about to start a task that must not start any more, or
// that it runs already.
func (w *simulation) checkNotDone(m *simWorker, c gauge.StartCall) {
	assert.Assert(w.t, !w.done[c.Task], "%s starts again after it has ended done", c.Task)
	at, acked := w.acked[c.Task]
	assert.Assert(w.t, !acked || w.now <= at+startAfterAck, "%s starts %v after its end as done was acknowledged", c.Task, w.now-at)
	other, running := m.runs[c.Task]
	assert.Assert(w.t, !running, "run %d of %s starts on %s beside run %d", c.Run, c.Task, m.id, other)
}

// checkOrder fails the test if the owner orders a start of a task that is done by the table, and counts
// the starts beside another run. Obsolete orders aren't sent: a repeated start that was ordered before an
// end of its gang was reported may be one.
func (w *simulation) checkOrder(o sched.Order) {
	task := o.Start.Task
	if w.isSpeculative(task) && w.runCount[task] > 0 {
		w.copies++
	}
	if w.pool.IsObsolete(o, w.now) {
		return
	}
	assert.Assert(w.t, w.rows[task.Job] != nil, "a start of %s is ordered, whose job is over by the table", task)
	row, err := gauge.DecodeJobRow(w.rows[task.Job])
	assert.NilError(w.t, err)
	assert.Assert(w.t, !isDoneIn(row, task), "a start of %s is ordered, which is done by the table", task)
}

// isDoneIn reports whether a task is done by its job's row.
func isDoneIn(row *gauge.JobRow, task gauge.TaskID) bool {
	if task.Occurrence < row.CompletedOccurrences {
		return true
	}
	steps := row.Done[task.Occurrence]
	return task.Step < len(steps) && task.Index/8 < len(steps[task.Step]) && steps[task.Step][task.Index/8]&(1<<(task.Index%8)) != 0
}
