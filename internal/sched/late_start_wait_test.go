package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// restart has w1 start again as an incarnation that has room, answers stops and lists nothing.
func (g *lateHarness) restart(startedAt int64, rows ...gauge.Worker) {
	g.failHeartbeatOf(incarnationAt("w1", startedAt-1))
	g.listRows(300+startedAt, append(rows, workerRow("w1", startedAt))...)
	g.hear(startedAt)
	for _, o := range ofKind(g.plan(), sched.OrderStop) {
		g.pool.OrderAnswered(o, g.now+time.Second, nil, g.now)
	}
	g.hear(startedAt)
}

// hear has an incarnation of w1 answer a heartbeat and list nothing.
func (g *lateHarness) hear(startedAt int64) {
	if startedAt == 1 {
		g.reportFrom("w1", nil)
		return
	}
	g.answerHeartbeat(incarnationAt("w1", startedAt), startedAt, g.now+2*time.Second, nil)
}

// waitHearing lets a tenth of a second pass, in which all workers answer and the late start's task isn't
// started.
func (g *lateHarness) waitHearing(startedAt int64) {
	g.t.Helper()
	g.assertOneRun(g.startAgain())
	g.advance(100 * time.Millisecond)
	g.clock += 100 * time.Millisecond
	g.hear(startedAt)
	g.reportFrom("w2", nil)
	g.reportFrom("w3", nil)
}

// repeatStart has the late start's connection break, and returns the same start as it is sent and
// answered once more.
func (g *lateHarness) repeatStart() sched.Order {
	g.t.Helper()
	g.listRows(210, workerRow("w1", 1), fullRow("w2", 1), fullRow("w3", 1))
	g.breakStart()
	g.reportFrom("w1", nil)
	again := g.startAgain()
	assert.Equal(g.t, len(again), 1, "the start is to be repeated")
	g.pool.OrderAnswered(again[0], g.clock, nil, g.now)
	return again[0]
}

// Guards against two runs: a start is barred in one incarnation of its worker after the other, and a
// second one is ordered there, which a later incarnation could carry out beside it; and against a
// task that waits for longer as its worker starts again and again.
func TestTaskWaitsForItsLateStartWhereverItsWorkerStartsAgain(t *testing.T) {
	others := map[string][]gauge.Worker{
		"no room elsewhere": {fullRow("w2", 1), fullRow("w3", 1)},
		"room elsewhere":    {workerRow("w2", 1), workerRow("w3", 1)},
	}
	steps := map[string]gauge.Step{"task": newStep(1), "gang of one": gangStep(1), "gang": gangStep(2), "long-running task": longRunningStep(1)}
	for step, spec := range steps {
		for room, rows := range others {
			for _, last := range []int64{2, 3, 5} {
				t.Run(fmt.Sprintf("%s, %s, %d incarnations", step, room, last), func(t *testing.T) {
					g := newLateHarness(t, spec)
					g.breakStart()
					if spec.Gang {
						g.pool.OrderAnswered(g.other, 0, gauge.Errorf(gauge.KindUnknown, "EOF"), g.now)
					}
					incarnation := int64(1)
					for g.now < queueSpan {
						if incarnation < last && g.now >= time.Duration(incarnation)*time.Second {
							incarnation++
							g.restart(incarnation, rows...)
						}
						g.waitHearing(incarnation)
					}
					g.assertStartsWithin(200 * time.Millisecond)
				})
			}
		}
	}
}

// Guards against two runs: a start was repeated, and its task was at work when the worker started
// again; a copy of the start may be carried out by the incarnation after the next.
func TestTaskThatWasLostWaitsForACopyOfItsStart(t *testing.T) {
	for _, step := range []gauge.Step{newStep(1), longRunningStep(1)} {
		g := newLateHarness(t, step)
		again := g.repeatStart()
		for range 30 {
			g.advance(100 * time.Millisecond)
			g.clock += 100 * time.Millisecond
			g.reportFrom("w1", []gauge.RunReport{runReport(again)})
		}
		g.restart(2, workerRow("w2", 1), workerRow("w3", 1))
		for g.now < queueSpan {
			g.waitHearing(2)
		}
		g.assertStartsWithin(200 * time.Millisecond)
	}
}

// Guards against a job that is lost: the third incarnation carries the start out, its run counts as
// that of the task, and its end completes the job.
func TestRunOfALateStartOnAThirdIncarnationCompletesItsJob(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.restart(2, workerRow("w2", 1), workerRow("w3", 1))
	g.waitForCause()
	g.assertOneRun(g.startAgain())
	g.failHeartbeatOf(incarnationAt("w1", 2))
	g.answerHeartbeat(incarnationAt("w1", 2), 3, time.Second, []gauge.RunReport{runReport(g.late)})
	g.listRows(400, workerRow("w1", 3), workerRow("w2", 1), workerRow("w3", 1))
	g.waitForCause()
	g.answerHeartbeat(incarnationAt("w1", 3), 3, 3*time.Second, []gauge.RunReport{runReport(g.late)})
	g.assertOneRun(g.startAgain())
	end := gauge.EndReport{Number: 1, Task: g.late.Start.Task, Run: g.late.Start.Run, Ending: gauge.EndDone}
	g.answerHeartbeat(incarnationAt("w1", 3), 3, 4*time.Second, nil, end)
	g.writeAll(900)
	state, _ := g.pool.JobState(queueName, jobID(1))
	assert.Equal(t, state, gauge.JobCompleted)
}

// Guards against other jobs that wait with a task that waits for its late start, and against a pool
// that grows for it.
func TestTaskThatWaitsForItsLateStartKeepsNothingFromOthers(t *testing.T) {
	g := newLateHarness(t, newStep(1))
	g.breakStart()
	g.restart(2, workerRow("w2", 1), workerRow("w3", 1))
	g.waitForCause()
	g.hear(2)
	g.reportFrom("w3", nil)
	g.assertOneRun(g.startAgain())
	id := g.adopt(2, false, newStep(12))
	assert.Equal(t, len(g.planStarts()), 12, "no worker is kept for the task that waits")
	assert.Assert(t, g.pool.Load(g.now).LongestWait < time.Second, "%s has just come", id)
}
