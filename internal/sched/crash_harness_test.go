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

// ward is a pool whose workers crash: for a task that ends them, or at the test's word.
type ward struct {
	*rig
	next    int
	racks   map[string]string         // of workers that are up, by their ids
	rackOf  map[string]string         // of all that ever were
	runs    map[string][]sched.Order  // on these
	bad     gauge.TaskID              // ends the worker that starts it
	worse   map[gauge.TaskID]bool     // more of the kind
	lives   time.Duration             // that much later
	due     map[string]time.Duration  // workers that it ends, and when
	dead    map[string]time.Duration  // workers that crashed, and when another life answers
	moved   map[string]time.Duration  // workers of machines that have left, and until when they are listed
	crashes int                       // because of the bad task
	starts  map[gauge.TaskID]int      // of each task
	lost    map[gauge.TaskID]int      // runs that went with a worker
	took    map[gauge.TaskID]bool     // tasks that are done
	row     map[string]sched.Accepted // jobs as handed in
	rows    map[string]*gauge.JobRow  // as the table has them
	version int64
	away    bool // the table
	unnoted int  // owners in a row that may not have written all crashes, as the lease's row tells
	dumb    bool // starts get no answer
	brings  time.Duration
}

const (
	wardStep = 50 * time.Millisecond
	// wardWork is how long a task takes.
	wardWork = 600 * time.Millisecond
	rackSize = 3
)

func newWard(t *testing.T, workers int) *ward {
	w := &ward{
		rig: newRig(t), racks: make(map[string]string), rackOf: make(map[string]string), runs: make(map[string][]sched.Order), due: make(map[string]time.Duration),
		dead: make(map[string]time.Duration), moved: make(map[string]time.Duration), starts: make(map[gauge.TaskID]int), lost: make(map[gauge.TaskID]int),
		took: make(map[gauge.TaskID]bool), row: make(map[string]sched.Accepted), rows: make(map[string]*gauge.JobRow),
		version: 1000, brings: 3 * time.Second,
	}
	for i := range workers {
		w.join(fmt.Sprintf("rack%d", i/rackSize))
	}
	w.tell()
	return w
}

// join starts a worker on a rack.
func (w *ward) join(rack string) {
	w.next++
	id := fmt.Sprintf("w%02d", w.next)
	w.racks[id], w.rackOf[id] = rack, rack
}

func (w *ward) ids() []string {
	ids := make([]string, 0, len(w.racks))
	for id := range w.racks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// entry is a worker's row.
func (w *ward) entry(id string) gauge.Worker {
	k := worker(id)
	k.Labels = []string{"a", w.rackOf[id]}
	return k
}

// tell has the owner hear of all workers that are up.
func (w *ward) tell() {
	var list []gauge.Worker
	for _, id := range w.ids() {
		list = append(list, w.entry(id))
	}
	for id := range w.dead {
		list = append(list, w.entry(id)) // nobody has taken its row back
	}
	for id, until := range w.moved {
		if w.now < until {
			list = append(list, w.entry(id))
		}
	}
	w.pool.Workers(list)
	w.pool.Noted(w.pool.Name(), int64(fence))
	for _, id := range w.ids() {
		_, call, _ := w.pool.Holding(life(id), w.now)
		assert.Assert(w.t, call.Fence > 0)
		var running []gauge.RunReport
		for _, o := range w.runs[id] {
			running = append(running, gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run, Progress: 100})
		}
		w.hear(id, running)
	}
}

func (w *ward) hand(n int, steps ...gauge.Step) string {
	id := w.adopt(n, false, steps...)
	w.row[id] = sched.Accepted{ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: steps}}
	return id
}

// crash ends a worker with all that runs there.
func (w *ward) crash(id string) {
	for _, o := range w.runs[id] {
		w.lost[o.Start.Task]++
	}
	delete(w.runs, id)
	delete(w.due, id)
	w.dead[id] = w.now + w.brings
	w.join(w.racks[id])
	delete(w.racks, id)
}

// pass lets time go by: holds, ends, starts, writes.
func (w *ward) pass(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.rig.pass(wardStep)
		for _, id := range w.ids() {
			if at, ends := w.due[id]; ends && w.now >= at {
				w.crashes++
				w.crash(id)
			}
			w.work(id)
		}
		w.answerDead()
		w.tell()
		w.start()
		w.write()
	}
}

// ends tells whether a task ends its worker.
func (w *ward) ends(task gauge.TaskID) bool { return task == w.bad || w.worse[task] }

// work ends the tasks on a worker that have run for long enough.
func (w *ward) work(id string) {
	var left []sched.Order
	var ended []gauge.EndReport
	for _, o := range w.runs[id] {
		spec := w.row[o.Start.Task.Job].Spec.Steps[o.Start.Task.Step]
		if spec.Lasts || w.now < o.Start.Until-time.Hour+wardWork-time.Second || w.ends(o.Start.Task) {
			left = append(left, o)
			continue
		}
		w.took[o.Start.Task] = true
		ended = append(ended, w.end(id, o.Start.Task, o.Start.Run, gauge.EndDone))
	}
	w.runs[id] = left
	if len(ended) > 0 {
		var running []gauge.RunReport
		for _, o := range left {
			running = append(running, gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run, Progress: 100})
		}
		w.hear(id, running, ended...)
	}
}

// answerDead has holds at workers that crashed fail, until another life answers there.
func (w *ward) answerDead() {
	for id := range w.moved {
		w.silent(id)
	}
	for id, back := range w.dead {
		if w.now < back {
			w.silent(id)
			continue
		}
		delete(w.dead, id)
		w.pool.HoldFailed(life(id), gauge.Fail(gauge.KindReplaced, "status 421"), w.now)
	}
}

func (w *ward) start() {
	for _, o := range w.plan() {
		switch {
		case o.Kind == sched.OrderStop:
			w.runs[o.Worker.ID] = slices.DeleteFunc(w.runs[o.Worker.ID], func(r sched.Order) bool { return r.Start.Task == o.Stop.Task })
			w.ok([]sched.Order{o})
		case o.Kind != sched.OrderStart:
			w.ok([]sched.Order{o})
		case w.racks[o.Worker.ID] == "":
			w.pool.Answered(o, 0, gauge.Fail(gauge.KindOutage, "nobody there"), w.now)
		default:
			w.starts[o.Start.Task]++
			w.runs[o.Worker.ID] = append(w.runs[o.Worker.ID], o)
			if w.ends(o.Start.Task) {
				w.due[o.Worker.ID] = w.now + w.lives
			}
			if w.dumb {
				w.pool.Answered(o, 0, gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
				continue
			}
			w.ok([]sched.Order{o})
		}
	}
}

func (w *ward) write() {
	if w.away {
		return
	}
	b, err := w.pool.Batch(100, w.now.Milliseconds(), nobody)
	assert.NilError(w.t, err)
	w.version++
	for _, c := range b.Changes {
		row, err := gauge.DecodeJobRow(c.Row)
		assert.NilError(w.t, err)
		w.rows[c.Job] = row
	}
	w.pool.Written(b, w.version, w.now)
}

// takeOver has another owner take the pool, with what the table has.
func (w *ward) takeOver() {
	named := w.pool.Name()
	w.version++
	term := int(w.version)
	g := newRig(w.t, func(c *sched.Config) {
		c.Term, c.Earlier, c.Doubt, c.Fence = term, named, w.now+6*time.Second, gauge.Fence(w.version)
		c.Unnoted = w.unnoted
	})
	w.pool = g.pool
	for id, a := range w.row {
		row := w.rows[id]
		if row == nil {
			row = &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
		}
		if row.State.Final() {
			continue
		}
		a.Row, a.Version, a.Inherited, a.Arrived = row, w.version, true, w.now
		w.pool.Adopt(a, w.now)
	}
	w.tell()
}

func (w *ward) state(id string) gauge.JobState {
	state, ok := w.pool.State(queueName, id)
	if !ok && w.rows[id] != nil {
		return w.rows[id].State
	}
	return state
}

// company has another job's task run on each worker, for good.
func (w *ward) company() {
	s := lasting(len(w.racks))
	s.PerWorker = 1
	w.hand(50, s)
	w.pass(time.Second)
}

// moveOne has an idle machine leave the pool, and another one come. Its worker says nothing more,
// and is listed until three of its heartbeats are missing.
func (w *ward) moveOne(asked bool) {
	for _, id := range w.ids() {
		if len(w.runs[id]) > 0 || asked && !w.pool.Empty(id, false, w.now) {
			continue
		}
		w.moved[id] = w.now + 4500*time.Millisecond
		delete(w.racks, id)
		w.join(fmt.Sprintf("rack%d", w.next%9))
		return
	}
}

// keep has only so many workers.
func (w *ward) keep(count int) {
	for _, id := range w.ids()[count:] {
		delete(w.racks, id)
	}
}

func (w *ward) crashAll(which func(id string) bool) {
	for _, id := range w.ids() {
		if which(id) {
			w.crash(id)
		}
	}
}

// where is a worker that has a task of a job, empty if there is none.
func (w *ward) where(job string) string {
	for _, id := range w.ids() {
		for _, o := range w.runs[id] {
			if o.Start.Task.Job == job {
				return id
			}
		}
	}
	return ""
}
