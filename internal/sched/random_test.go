package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// model is one life of a worker as it really is.
type model struct {
	id      string
	began   time.Duration
	up      bool
	fence   gauge.Fence
	until   time.Duration // its lease, on its clock
	runs    map[gauge.TaskID]int
	stopped map[gauge.TaskID]int
	ended   []gauge.EndReport
	number  int64
}

// world is a pool, its workers, and what is on its way between them.
type world struct {
	t       *rapid.T
	pool    *sched.Pool
	now     time.Duration
	term    int
	fence   gauge.Fence
	models  map[string]*model
	lives   int
	orders  []sched.Order // sent, not yet answered
	late    []sched.Order // answered as lost, carried out yet
	reports map[string]*gauge.WorkerReport
	rows    map[string][]byte // as the table has them
	version map[string]int64
	specs   map[string]*gauge.JobSpec
	next    int64
	ran     map[gauge.TaskID]int // runs at this moment, over all workers
	done    map[gauge.TaskID]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, models: make(map[string]*model), reports: make(map[string]*gauge.WorkerReport),
		rows: make(map[string][]byte), version: make(map[string]int64), specs: make(map[string]*gauge.JobSpec),
		ran: make(map[gauge.TaskID]int), done: make(map[gauge.TaskID]bool), next: 10,
	}
	w.own(nil)
	for range 3 {
		w.join()
	}
	return w
}

// own starts an owner from what the table has.
func (w *world) own(earlier []string) {
	w.next++
	w.fence = gauge.Fence(w.next)
	w.orders, w.reports = nil, make(map[string]*gauge.WorkerReport)
	w.pool = sched.New(sched.Config{
		Name: poolName, Fence: w.fence, Term: w.term, Hold: 5 * time.Second, Start: time.Second, Wait: time.Second,
		Logs: logr.Discard(), Earlier: earlier, Doubt: w.now + 6*time.Second,
	})
	w.term++
	w.pool.Configure(&gauge.Site{Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 3, Stretch: 2}}})
	for id, b := range w.rows {
		row, err := gauge.DecodeJobRow(b)
		assert.NilError(w.t, err)
		w.pool.Adopt(id, queueName, w.specs[id], row, w.version[id], w.now, w.now, true)
	}
	w.list()
}

func (w *world) list() {
	var ws []gauge.Worker
	var ids []string
	for _, m := range w.models {
		if m.up {
			ws = append(ws, worker(m.id))
			ids = append(ids, m.id)
		}
	}
	w.pool.Workers(ws)
	w.pool.Noted(ids)
}

func (w *world) join() {
	w.lives++
	m := &model{
		id: fmt.Sprintf("w%d", w.lives), began: w.now - time.Hour, up: true,
		runs: make(map[gauge.TaskID]int), stopped: make(map[gauge.TaskID]int),
	}
	w.models[m.id] = m
	w.list()
}

func (w *world) clock(m *model) time.Duration { return w.now - m.began }

func (w *world) some() *model {
	ids := make([]string, 0, len(w.models))
	for i := 1; i <= w.lives; i++ {
		if m := w.models[fmt.Sprintf("w%d", i)]; m != nil && m.up {
			ids = append(ids, m.id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return w.models[rapid.SampledFrom(ids).Draw(w.t, "worker")]
}

func (w *world) finish(m *model, task gauge.TaskID, how gauge.Ending) {
	m.number++
	m.ended = append(m.ended, gauge.EndReport{Number: m.number, Task: task, Run: m.runs[task], How: how})
	m.stopped[task] = max(m.stopped[task], m.runs[task])
	delete(m.runs, task)
	w.ran[task]--
	if how == gauge.EndDone {
		w.done[task] = true
	}
}

// expire ends what the lease no longer covers, everywhere.
func (w *world) expire() {
	for i := 1; i <= w.lives; i++ {
		m := w.models[fmt.Sprintf("w%d", i)]
		if m == nil || w.clock(m) <= m.until {
			continue
		}
		for task := range m.runs {
			w.finish(m, task, gauge.EndLapsed)
		}
	}
}

// carryOut has a worker do what it is told; the error is its refusal.
func (w *world) carryOut(o sched.Order) error {
	m := w.models[o.Worker.ID]
	if m == nil || !m.up {
		return gauge.Fail(gauge.KindUnknown, "gone")
	}
	fence := max(o.Start.Fence, o.Stop.Fence, o.Look.Fence)
	if fence < m.fence {
		return gauge.Fail(gauge.KindFenced, "old owner")
	}
	m.fence = fence
	switch o.Kind {
	case sched.OrderStop:
		m.stopped[o.Stop.Task] = max(m.stopped[o.Stop.Task], o.Stop.Run)
		if run, ok := m.runs[o.Stop.Task]; ok && run <= o.Stop.Run {
			w.finish(m, o.Stop.Task, gauge.EndStopped)
		}
	case sched.OrderStart:
		return w.startOn(m, o.Start)
	}
	return nil
}

func (w *world) startOn(m *model, c gauge.StartCall) error {
	switch {
	case c.Until < w.clock(m):
		return gauge.Fail(gauge.KindLate, "late")
	case c.Run <= m.stopped[c.Task]:
		return gauge.Fail(gauge.KindStale, "old")
	case m.runs[c.Task] == c.Run:
		return nil
	}
	m.until = max(m.until, c.Until)
	m.runs[c.Task] = c.Run
	w.ran[c.Task]++
	assert.Assert(w.t, w.ran[c.Task] <= 1, "%s has two runs", c.Task)
	assert.Assert(w.t, len(m.runs) <= 4, "%s has more than it holds", m.id)
	return nil
}

func (w *world) plan() {
	w.pool.Limit(w.now + 6*time.Second)
	w.orders = append(w.orders, w.pool.Plan(w.now)...)
}

// answer settles one order that is under way, one way or another.
func (w *world) answer() {
	if len(w.orders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.orders)-1).Draw(w.t, "order")
	o := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	lost := gauge.Fail(gauge.KindUnknown, "no answer")
	switch rapid.IntRange(0, 4).Draw(w.t, "fate") {
	case 0: // never arrives
		w.pool.Answered(o, 0, lost, w.now)
	case 1: // carried out, answer lost
		_ = w.carryOut(o)
		w.pool.Answered(o, 0, lost, w.now)
	case 2: // carried out later
		w.late = append(w.late, o)
		w.pool.Answered(o, 0, lost, w.now)
	default:
		err := w.carryOut(o)
		clock := time.Duration(0)
		if m := w.models[o.Worker.ID]; m != nil {
			clock = w.clock(m)
		}
		w.pool.Answered(o, clock, err, w.now)
	}
	w.plan()
}

// ask makes a worker's report; tell delivers it, which may be later.
func (w *world) ask() {
	m := w.some()
	if m == nil {
		return
	}
	_, call, ok := w.pool.Holding(m.id, w.now)
	if !ok || w.fence < m.fence {
		return
	}
	m.fence = w.fence
	m.until = max(m.until, call.Until)
	for len(m.ended) > 0 && m.ended[0].Number <= call.LastSeen {
		m.ended = m.ended[1:]
	}
	r := &gauge.WorkerReport{Clock: w.clock(m), Ended: append([]gauge.EndReport(nil), m.ended...)}
	for task, run := range m.runs {
		r.Running = append(r.Running, gauge.RunReport{Task: task, Run: run})
	}
	w.reports[m.id] = r
}

func (w *world) tell() {
	for i := 1; i <= w.lives; i++ {
		id := fmt.Sprintf("w%d", i)
		r := w.reports[id]
		if r == nil || rapid.IntRange(0, 2).Draw(w.t, "arrives") == 0 {
			continue
		}
		delete(w.reports, id)
		w.pool.Report(id, r, w.now)
	}
	w.plan()
}

// write has the table take a batch, or the answer lost, or refuse it since a
// caller has cancelled the job.
func (w *world) write() {
	b, err := w.pool.Batch(5, w.now.Milliseconds(), nobody)
	assert.NilError(w.t, err)
	for _, c := range b.Changes {
		if w.version[c.Job] != c.Version {
			row, err := gauge.DecodeJobRow(w.rows[c.Job])
			assert.NilError(w.t, err)
			w.pool.Conflicted(c.Job, row, w.version[c.Job])
			return
		}
	}
	w.next++
	for _, c := range b.Changes {
		w.rows[c.Job], w.version[c.Job] = c.Row, w.next
		if c.Final {
			delete(w.rows, c.Job)
		}
	}
	if rapid.IntRange(0, 4).Draw(w.t, "lost") > 0 || len(b.Changes) == 0 {
		w.pool.Written(b, w.next, w.now)
		return
	}
	for _, c := range b.Changes {
		if _, open := w.rows[c.Job]; !open {
			// The row of an ended job stays; the owner's next write finds it.
			w.rows[c.Job] = c.Row
		}
	}
}

func (w *world) adopt() {
	if len(w.specs) > 12 {
		return
	}
	steps := []gauge.Step{step(rapid.IntRange(1, 4).Draw(w.t, "count"))}
	steps[0].Lasts = rapid.IntRange(0, 3).Draw(w.t, "lasts") == 0
	steps[0].Gang = !steps[0].Lasts && rapid.IntRange(0, 3).Draw(w.t, "gang") == 0
	if !steps[0].Lasts {
		second := step(2)
		second.After = []int{0}
		steps = append(steps, second)
	}
	id := jobID(len(w.specs))
	w.specs[id] = &gauge.JobSpec{Steps: steps}
	row := &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
	value, err := row.Encode()
	assert.NilError(w.t, err)
	w.next++
	w.rows[id], w.version[id] = value, w.next
	w.pool.Adopt(id, queueName, w.specs[id], row, w.next, w.now, w.now, false)
	w.plan()
}

func (w *world) cancel() {
	for i := range len(w.specs) {
		id := jobID(i)
		if w.rows[id] == nil || rapid.IntRange(0, 3).Draw(w.t, "cancel") > 0 {
			continue
		}
		row, err := gauge.DecodeJobRow(w.rows[id])
		assert.NilError(w.t, err)
		if row.State.Final() {
			continue
		}
		row.State = gauge.JobCancelled
		value, err := row.Encode()
		assert.NilError(w.t, err)
		w.next++
		w.rows[id], w.version[id] = value, w.next
		if rapid.Bool().Draw(w.t, "told") {
			w.pool.Cancel(id, w.next)
		}
		w.plan()
		return
	}
}

func (w *world) endSome() {
	m := w.some()
	if m == nil {
		return
	}
	for task := range m.runs {
		w.finish(m, task, rapid.SampledFrom([]gauge.Ending{gauge.EndDone, gauge.EndDone, gauge.EndFailed, gauge.EndStopped}).Draw(w.t, "how"))
		return
	}
}

func (w *world) crash() {
	m := w.some()
	if m == nil {
		return
	}
	m.up = false
	for task := range m.runs {
		w.ran[task]--
	}
	m.runs = make(map[gauge.TaskID]int)
	if rapid.Bool().Draw(w.t, "replaced") {
		w.pool.HoldFailed(m.id, gauge.Fail(gauge.KindReplaced, "another life"), w.now)
	} else {
		w.pool.HoldFailed(m.id, gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
	}
	w.join()
}

func (w *world) pass() {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond
	w.expire()
	for _, o := range w.late {
		_ = w.carryOut(o)
	}
	w.late = nil
	w.pool.Tick(w.now, time.Unix(0, 0))
	w.plan()
}

// Whatever is lost, late, overtaken, crashed, cancelled or taken over, in any
// order: no task has two runs at once, no worker more than it holds, and nothing
// panics.
func TestAnyOrderOfEventsKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			switch rapid.IntRange(0, 15).Draw(t, "event") {
			case 0, 1:
				w.adopt()
			case 2, 3, 4:
				w.answer()
			case 5, 6:
				w.ask()
			case 7, 8:
				w.tell()
			case 9:
				w.write()
			case 10, 11:
				w.endSome()
			case 12:
				w.pass()
			case 13:
				w.cancel()
			case 14:
				switch rapid.IntRange(0, 3).Draw(t, "rare") {
				case 0:
					w.crash()
				case 1:
					w.own(w.pool.Known())
				case 2:
					w.pool.Empty(fmt.Sprintf("w%d", w.lives), true, w.now)
				case 3:
					w.pool.HoldFailed(fmt.Sprintf("w%d", w.lives), gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
				}
			case 15:
				w.answer()
				w.ask()
				w.tell()
			}
		}
	})
}
