package sched_test

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// longest is the longest lease that workers grant.
const longest = 10 * time.Second

// model is one life of a worker as it really is.
type model struct {
	id      string
	born    int64
	before  int64 // when the life before began; 0: there is none
	began   time.Duration
	up      bool
	fence   gauge.Fence
	until   time.Duration // its lease, on its clock
	runs    map[gauge.TaskID]int
	stopped map[gauge.TaskID]int
	ended   []gauge.EndReport
	number  int64
	room    space
}

// space is how many tasks a worker holds.
type space struct {
	tasks  int
	before int           // before it shrank ...
	counts time.Duration // ... which the owner need not know before
}

const (
	// fullSpace is what a worker holds that hasn't shrunk.
	fullSpace = 4
	// shrinkSpan is what an owner has to hear of room that has shrunk.
	shrinkSpan = 4500 * time.Millisecond
)

func (s space) bound(now time.Duration) int {
	if now < s.counts {
		return max(s.tasks, s.before)
	}
	return s.tasks
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
	lateFor []lateHold    // the same
	reports map[string]told
	held    map[string]gauge.Life // lives that the owner keeps holds at
	rests   map[string]int64      // by worker: which life has answered on the connection that rests
	named   []gauge.Life          // workers in the lease row, as the table has it
	calming bool                  // nothing is stale any more
	rows    map[string][]byte     // as the table has them
	version map[string]int64
	specs   map[string]*gauge.JobSpec
	next    int64
	ran     map[gauge.TaskID]int // runs at this moment, over all workers
	// done are tasks that must never start again. Those of gangs aren't among them,
	// whose members end one by one here.
	done map[gauge.TaskID]bool

	cancelled map[string]bool // as the table has it
	hidden    map[string]bool // jobs that the owner could not read yet
	rehears   bool            // it has begun to read them

	over map[gauge.Life]time.Duration // when silent workers are over, by the owner that gives the pool away
}

// lateHold is a hold that got no answer and is carried out yet.
type lateHold struct {
	id   string
	born int64 // which life the connection goes to
	call gauge.HoldCall
}

// told is an answer to a hold.
type told struct {
	asked gauge.Life
	call  gauge.HoldCall
	rep   *gauge.WorkerReport
}

func (m *model) life() gauge.Life { return gauge.Life{Worker: m.id, Born: m.born} }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, models: make(map[string]*model), reports: make(map[string]told), held: make(map[string]gauge.Life), rests: make(map[string]int64),
		rows: make(map[string][]byte), version: make(map[string]int64), specs: make(map[string]*gauge.JobSpec),
		ran: make(map[gauge.TaskID]int), done: make(map[gauge.TaskID]bool), next: 10,
		cancelled: make(map[string]bool),
	}
	w.own(nil)
	for range 3 {
		w.join()
	}
	return w
}

// give has an owner give the pool away, and tell what it knows of silent workers.
func (w *world) give() {
	w.over = make(map[gauge.Life]time.Duration)
	for l, left := range w.pool.Left(w.now) {
		w.over[l] = w.now + left
	}
	w.own(w.pool.Name())
}

// own starts an owner from what the table has.
func (w *world) own(earlier []gauge.Life) {
	w.next++
	w.fence = gauge.Fence(w.next)
	w.orders, w.reports = nil, make(map[string]told)
	clear(w.held)
	clear(w.rests)
	w.pool = sched.New(sched.Config{
		Name: poolName, Fence: w.fence, Term: w.term, Hold: 5 * time.Second, Start: time.Second, Wait: time.Second,
		Logs: logr.Discard(), Earlier: earlier, Doubt: w.now + 6*time.Second,
		Over: w.over, Longest: longest,
		Window: w.term % 2 * 3, Lane: w.term % 2 * 2, // every other owner bounds its starts
	})
	w.term++
	w.over = nil
	w.pool.Configure(&gauge.Site{Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 3, Stretch: 2}}})
	w.hide()
	for id := range w.rows {
		if !w.hidden[id] {
			w.inherit(id)
		}
	}
	w.list()
}

func (w *world) list() {
	var ws []gauge.Worker
	for _, m := range w.models {
		if m.up {
			ws = append(ws, w.entry(m))
		}
	}
	w.pool.Workers(ws)
	w.hear()
	w.renew()
}

// entry is a worker's row, now and then that of its life before.
func (w *world) entry(m *model) gauge.Worker {
	row := worker(m.id)
	row.Born = m.born
	row.Capacity.MilliCPU = m.room.tasks * step(1).Needs.MilliCPU
	if !w.calming && m.before > 0 && rapid.IntRange(0, 3).Draw(w.t, "stale row") == 0 {
		row.Born = m.before
	}
	return row
}

// hear has the owner keep holds at the lives that it has heard of.
func (w *world) hear() {
	for _, info := range w.pool.Unheld() {
		w.held[info.ID] = info.Life()
	}
}

// renew writes the lease row.
func (w *world) renew() {
	w.next++
	w.named = w.pool.Name()
	w.pool.Noted(w.named, w.next)
}

func (w *world) join() {
	w.lives++
	m := &model{
		id: fmt.Sprintf("w%d", w.lives), born: 1, began: w.now - time.Hour, up: true, room: space{tasks: fullSpace},
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
	if st := &w.specs[task.Job].Steps[task.Step]; how == gauge.EndDone && !st.Lasts && !st.Gang {
		w.done[task] = true
	}
}

// expire ends what the lease no longer covers, everywhere. Ends that were not taken note of before never
// count as such, also if they are told later: by the users' rules their tasks may start again.
func (w *world) expire() {
	for i := 1; i <= w.lives; i++ {
		m := w.models[fmt.Sprintf("w%d", i)]
		if m == nil || w.clock(m) <= m.until {
			continue
		}
		for task := range m.runs {
			w.finish(m, task, gauge.EndLapsed)
		}
		w.unnoted(m)
	}
}

// unnoted has the ends that a worker still lists count for nothing.
func (w *world) unnoted(m *model) {
	for _, e := range m.ended {
		delete(w.done, e.Task)
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
		assert.Assert(w.t, fence < w.fence || w.pool.Outdated(o.Worker.Life(), fence), "taken for another owner's token: its own")
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
	assert.Assert(w.t, !w.done[c.Task], "%s starts again after it was done", c.Task)
	w.boundHolds(m, c.Task)
	m.until = max(m.until, min(c.Until, w.clock(m)+longest))
	m.runs[c.Task] = c.Run
	w.ran[c.Task]++
	assert.Assert(w.t, w.ran[c.Task] <= 1, "%s has two runs", c.Task)
	assert.Assert(w.t, len(m.runs) <= m.room.bound(w.now), "%s has more than it holds", m.id)
	return nil
}

// boundHolds checks that no more tasks of a step are on one worker than may be.
func (w *world) boundHolds(m *model, task gauge.TaskID) {
	most := w.specs[task.Job].Steps[task.Step].PerWorker
	if most == 0 {
		return
	}
	there := 1
	for other := range m.runs {
		if other.Job == task.Job && other.Step == task.Step && other != task {
			there++
		}
	}
	assert.Assert(w.t, there <= most, "%d tasks of %s's step on %s, where %d may be", there, task, m.id, most)
}

func (w *world) plan() {
	w.pool.Limit(w.now + 6*time.Second)
	w.orders = append(w.orders, w.pool.Plan(w.now)...)
}
