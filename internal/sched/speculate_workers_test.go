package sched_test

import (
	"cmp"
	"slices"
	"strconv"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// work has the runs progress, and end when they are done.
func (g *copyHarness) work() {
	for id, runs := range g.runs {
		for k := range runs {
			if g.stalled[k] {
				continue
			}
			runs[k] += cmp.Or(g.speed[k], defaultSpeed)
			if runs[k] < 100 || g.specs[k.task.Job].Steps[k.task.Step].LongRunning {
				continue
			}
			if g.failing[k] {
				g.end(id, k, gauge.EndFailed)
			} else {
				g.end(id, k, gauge.EndDone)
			}
		}
	}
}

func (g *copyHarness) end(id string, k startKey, how gauge.Ending) {
	e := g.endReport(id, k.task, k.run, how)
	if g.checkpoints {
		e.Checkpoint = strconv.Itoa(g.runs[id][k])
	}
	delete(g.runs[id], k)
	g.ends[id] = append(g.ends[id], e)
}

func (g *copyHarness) reportAll() {
	for _, id := range g.ids {
		asked := gauge.Incarnation{Worker: id, StartedAt: g.startedAt}
		if g.silent[id] {
			g.failHeartbeatOf(asked)
			continue
		}
		_, call, ok := g.pool.NextHeartbeat(asked, g.now)
		if !ok {
			continue
		}
		for len(g.ends[id]) > 0 && g.ends[id][0].Number <= call.LastSeenEnd {
			g.acked[g.ends[id][0].Task] = g.acked[g.ends[id][0].Task] || g.ends[id][0].Ending == gauge.EndDone
			g.ends[id] = g.ends[id][1:]
		}
		rep := &gauge.WorkerReport{StartedAt: g.startedAt, Clock: g.workerClock(), Ended: slices.Clone(g.ends[id])}
		for k, progress := range g.runs[id] {
			r := gauge.RunReport{Task: k.task, Run: k.run, Progress: min(progress, 100)}
			if g.checkpoints {
				r.Checkpoint = strconv.Itoa(progress)
			}
			rep.Running = append(rep.Running, r)
		}
		g.pool.HandleReport(asked, call, rep, g.now)
	}
}

// execute has the workers carry out the orders of a plan.
func (g *copyHarness) execute() {
	for _, o := range g.plan() {
		id := o.Worker.ID
		switch {
		case o.Kind == sched.OrderStart:
			g.start(o)
		case g.silent[id]:
			g.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
		case o.Kind == sched.OrderStop:
			if k := (startKey{o.Stop.Task, o.Stop.Run}); g.isRunning(id, k) {
				g.end(id, k, gauge.EndStopped)
			}
			g.confirm([]sched.Order{o})
		}
	}
}

func (g *copyHarness) isRunning(id string, k startKey) bool {
	_, running := g.runs[id][k]
	return running
}

func (g *copyHarness) start(o sched.Order) {
	task := o.Start.Task
	assert.Assert(g.t, !g.acked[task], "%s starts after its end as done was acknowledged", task)
	assert.Assert(g.t, !g.rows[task.Job].State.IsFinal(), "%s starts after its job is over", task)
	g.starts[task] = append(g.starts[task], o)
	lost, carriedOut := false, true
	if g.lose != nil {
		lost, carriedOut = g.lose(o)
	}
	if carriedOut {
		g.runs[o.Worker.ID][startKey{task, o.Start.Run}] = 0
		assert.Assert(g.t, len(g.running(task)) <= 2, "%s has more than two runs", task)
	}
	if lost {
		g.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
		return
	}
	g.confirm([]sched.Order{o})
}
