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

// crashHarness is a pool whose workers crash: because a task crashes them, or when the test says
// so.
type crashHarness struct {
	*harness
	lastWorker  int
	rackOfAlive map[string]string        // by id, of workers that are alive
	rackOf      map[string]string        // by id, of all workers that ever were
	runs        map[string][]sched.Order // on the workers that are alive
	badTask     gauge.TaskID             // crashes the worker that starts it
	badTasks    map[gauge.TaskID]bool    // more such tasks
	crashDelay  time.Duration            // how long after their start they crash the worker
	crashDue    map[string]time.Duration // workers that they will crash, and when
	crashed     map[string]time.Duration // workers that crashed, and when another incarnation answers
	// movedAway holds the workers of machines that have left, and until when they stay listed.
	movedAway map[string]time.Duration
	crashes   int                          // caused by bad tasks
	starts    map[gauge.TaskID]int         // by task
	lost      map[gauge.TaskID]int         // runs that were lost with a worker, by task
	done      map[gauge.TaskID]bool        // tasks that have ended done
	accepted  map[string]sched.AcceptedJob // jobs as submitted
	rows      map[string]*gauge.JobRow     // stored job rows
	version   int64
	tableDown bool // the table is unavailable
	// unrecorded is the number of successive owners that may not have recorded all crashes, as the
	// lease row says.
	unrecorded       int
	startsUnanswered bool          // starts get no answer
	restartDelay     time.Duration // how long after a crash another incarnation answers
}

const (
	crashStep = 50 * time.Millisecond
	// taskDuration is how long a task takes.
	taskDuration = 600 * time.Millisecond
	rackSize     = 3
)

func newCrashHarness(t *testing.T, workers int) *crashHarness {
	w := &crashHarness{
		harness: newHarness(t), rackOfAlive: make(map[string]string), rackOf: make(map[string]string), runs: make(map[string][]sched.Order), crashDue: make(map[string]time.Duration),
		crashed: make(map[string]time.Duration), movedAway: make(map[string]time.Duration), starts: make(map[gauge.TaskID]int), lost: make(map[gauge.TaskID]int),
		done: make(map[gauge.TaskID]bool), accepted: make(map[string]sched.AcceptedJob), rows: make(map[string]*gauge.JobRow),
		version: 1000, restartDelay: 3 * time.Second,
	}
	for i := range workers {
		w.addWorker(fmt.Sprintf("rack%d", i/rackSize))
	}
	w.reportAll()
	return w
}

// addWorker starts a worker on a rack.
func (w *crashHarness) addWorker(rack string) {
	w.lastWorker++
	id := fmt.Sprintf("w%02d", w.lastWorker)
	w.rackOfAlive[id], w.rackOf[id] = rack, rack
}

func (w *crashHarness) aliveIDs() []string {
	ids := make([]string, 0, len(w.rackOfAlive))
	for id := range w.rackOfAlive {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// workerRow is a worker's row.
func (w *crashHarness) workerRow(id string) gauge.Worker {
	k := newWorker(id)
	k.Labels = []string{"a", w.rackOf[id]}
	return k
}

// reportAll delivers the reports of all workers that are alive.
func (w *crashHarness) reportAll() {
	var list []gauge.Worker
	for _, id := range w.aliveIDs() {
		list = append(list, w.workerRow(id))
	}
	for id := range w.crashed {
		list = append(list, w.workerRow(id)) // its row has not been removed
	}
	for id, until := range w.movedAway {
		if w.now < until {
			list = append(list, w.workerRow(id))
		}
	}
	w.pool.UpdateWorkers(list)
	w.pool.LeaseRowWritten(w.pool.LeaseRowWorkers(), int64(fence))
	for _, id := range w.aliveIDs() {
		_, call, _ := w.pool.NextHeartbeat(incarnation(id), w.now)
		assert.Assert(w.t, call.Fence > 0)
		var running []gauge.RunReport
		for _, o := range w.runs[id] {
			running = append(running, gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run, Progress: 100})
		}
		w.report(id, running)
	}
}

func (w *crashHarness) submit(n int, steps ...gauge.Step) string {
	id := w.adopt(n, false, steps...)
	w.accepted[id] = sched.AcceptedJob{ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: steps}}
	return id
}

// crash loses a worker with all its runs.
func (w *crashHarness) crash(id string) {
	for _, o := range w.runs[id] {
		w.lost[o.Start.Task]++
	}
	delete(w.runs, id)
	delete(w.crashDue, id)
	w.crashed[id] = w.now + w.restartDelay
	w.addWorker(w.rackOfAlive[id])
	delete(w.rackOfAlive, id)
}

// advance lets time pass: crashes, reports, ends, starts and writes.
func (w *crashHarness) advance(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.harness.advance(crashStep)
		for _, id := range w.aliveIDs() {
			if at, ends := w.crashDue[id]; ends && w.now >= at {
				w.crashes++
				w.crash(id)
			}
			w.endTasks(id)
		}
		w.failCrashed()
		w.reportAll()
		w.execute()
		w.writeBatch()
	}
}

// isBad reports whether a task crashes its worker.
func (w *crashHarness) isBad(task gauge.TaskID) bool { return task == w.badTask || w.badTasks[task] }

// endTasks ends the tasks on a worker that have run for long enough.
func (w *crashHarness) endTasks(id string) {
	var left []sched.Order
	var ended []gauge.EndReport
	for _, o := range w.runs[id] {
		spec := w.accepted[o.Start.Task.Job].Spec.Steps[o.Start.Task.Step]
		if spec.LongRunning || w.now < o.Start.Until-time.Hour+taskDuration-time.Second || w.isBad(o.Start.Task) {
			left = append(left, o)
			continue
		}
		w.done[o.Start.Task] = true
		ended = append(ended, w.endReport(id, o.Start.Task, o.Start.Run, gauge.EndDone))
	}
	w.runs[id] = left
	if len(ended) > 0 {
		var running []gauge.RunReport
		for _, o := range left {
			running = append(running, gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run, Progress: 100})
		}
		w.report(id, running, ended...)
	}
}

// failCrashed has heartbeats to crashed workers fail, until another incarnation answers there.
func (w *crashHarness) failCrashed() {
	for id := range w.movedAway {
		w.failHeartbeat(id)
	}
	for id, back := range w.crashed {
		if w.now < back {
			w.failHeartbeat(id)
			continue
		}
		delete(w.crashed, id)
		w.pool.HeartbeatFailed(incarnation(id), gauge.Errorf(gauge.KindReplaced, "status 421"), w.now)
	}
}

// execute has the workers execute the orders of a plan.
func (w *crashHarness) execute() {
	for _, o := range w.plan() {
		switch {
		case o.Kind == sched.OrderStop:
			w.runs[o.Worker.ID] = slices.DeleteFunc(w.runs[o.Worker.ID], func(r sched.Order) bool { return r.Start.Task == o.Stop.Task })
			w.confirm([]sched.Order{o})
		case o.Kind != sched.OrderStart:
			w.confirm([]sched.Order{o})
		case w.rackOfAlive[o.Worker.ID] == "":
			w.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindOutage, "connection refused"), w.now)
		default:
			w.starts[o.Start.Task]++
			w.runs[o.Worker.ID] = append(w.runs[o.Worker.ID], o)
			if w.isBad(o.Start.Task) {
				w.crashDue[o.Worker.ID] = w.now + w.crashDelay
			}
			if w.startsUnanswered {
				w.pool.OrderAnswered(o, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), w.now)
				continue
			}
			w.confirm([]sched.Order{o})
		}
	}
}

func (w *crashHarness) writeBatch() {
	if w.tableDown {
		return
	}
	b, err := w.pool.NextBatch(100, w.now.Milliseconds(), skipNone)
	assert.NilError(w.t, err)
	w.version++
	for _, c := range b.Changes {
		row, err := gauge.DecodeJobRow(c.Row)
		assert.NilError(w.t, err)
		w.rows[c.Job] = row
	}
	w.pool.BatchWritten(b, w.version, w.now)
}

// replaceOwner has another owner take the pool over, from what the table has.
func (w *crashHarness) replaceOwner() {
	named := w.pool.LeaseRowWorkers()
	w.version++
	term := int(w.version)
	g := newHarness(w.t, func(c *sched.Config) {
		c.Term, c.PreviousWorkers, c.PreviousRunsEnd, c.Fence = term, named, w.now+6*time.Second, gauge.FencingToken(w.version)
		c.UnrecordedOwners = w.unrecorded
	})
	w.pool = g.pool
	for id, a := range w.accepted {
		row := w.rows[id]
		if row == nil {
			row = &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
		}
		if row.State.IsFinal() {
			continue
		}
		a.Row, a.Version, a.Inherited, a.Arrived = row, w.version, true, w.now
		w.pool.Adopt(a, w.now)
	}
	w.reportAll()
}

func (w *crashHarness) jobState(id string) gauge.JobState {
	state, ok := w.pool.JobState(queueName, id)
	if !ok && w.rows[id] != nil {
		return w.rows[id].State
	}
	return state
}

// occupyAll has a long-running task of another job run on each worker.
func (w *crashHarness) occupyAll() {
	s := longRunningStep(len(w.rackOfAlive))
	s.PerWorker = 1
	w.submit(50, s)
	w.advance(time.Second)
}

// moveIdleMachine has an idle machine leave the pool, and another one join. Its worker answers no
// more, and is listed until three of its heartbeats to the platform are missing.
func (w *crashHarness) moveIdleMachine(drained bool) {
	for _, id := range w.aliveIDs() {
		if len(w.runs[id]) > 0 || drained && !w.pool.DrainWorker(id, false, w.now) {
			continue
		}
		w.movedAway[id] = w.now + 4500*time.Millisecond
		delete(w.rackOfAlive, id)
		w.addWorker(fmt.Sprintf("rack%d", w.lastWorker%9))
		return
	}
}

// keepWorkers removes all but so many workers.
func (w *crashHarness) keepWorkers(count int) {
	for _, id := range w.aliveIDs()[count:] {
		delete(w.rackOfAlive, id)
	}
}

func (w *crashHarness) crashAll(which func(id string) bool) {
	for _, id := range w.aliveIDs() {
		if which(id) {
			w.crash(id)
		}
	}
}

// workerOf returns a worker that runs a task of a job, or "" if there is none.
func (w *crashHarness) workerOf(job string) string {
	for _, id := range w.aliveIDs() {
		for _, o := range w.runs[id] {
			if o.Start.Task.Job == job {
				return id
			}
		}
	}
	return ""
}
