package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// answer settles one order that is under way, one way or another.
func (w *world) answer() {
	if len(w.orders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.orders)-1).Draw(w.t, "order")
	o := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	if w.pool.Void(o, w.now) && rapid.IntRange(0, 3).Draw(w.t, "suspended after the look") > 0 {
		w.pool.Answered(o, 0, gauge.Fail(gauge.KindLate, "not sent"), w.now)
		w.plan()
		return
	}
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
	if m := w.some(); m != nil {
		w.hold(m)
	}
}

func (w *world) hold(m *model) {
	asked := w.held[m.id]
	_, call, ok := w.pool.Holding(asked, w.now)
	if !ok {
		return
	}
	if call.Fence < m.fence {
		assert.Assert(w.t, w.pool.Outdated(asked, call.Fence), "taken for another owner's token: its own")
		return
	}
	if !w.calming && rapid.IntRange(0, 5).Draw(w.t, "late hold") == 0 {
		w.lateFor = append(w.lateFor, lateHold{m.id, w.rests[m.id], call})
		return
	}
	w.takeHold(m, w.acknowledging(m, w.rests[m.id], call))
	w.rests[m.id] = m.born
	r := &gauge.WorkerReport{Born: m.born, Clock: w.clock(m), Ended: append([]gauge.EndReport(nil), m.ended...)}
	for task, run := range m.runs {
		r.Running = append(r.Running, gauge.RunReport{Task: task, Run: run})
	}
	w.reports[m.id] = told{asked, call, r}
}

// acknowledging is a hold as a life gets it: ends are acknowledged only on a connection on which
// the same life has answered.
func (w *world) acknowledging(m *model, born int64, call gauge.HoldCall) gauge.HoldCall {
	if born != m.born {
		call.LastSeen = 0
	}
	return call
}

// takeHold has a worker do what a hold says.
func (w *world) takeHold(m *model, call gauge.HoldCall) {
	if call.Fence < m.fence {
		return
	}
	m.fence = call.Fence
	m.until = max(m.until, min(call.Until, w.clock(m)+longest))
	for len(m.ended) > 0 && m.ended[0].Number <= call.LastSeen {
		m.ended = m.ended[1:]
	}
}

func (w *world) tell() {
	for i := 1; i <= w.lives; i++ {
		id := fmt.Sprintf("w%d", i)
		r, some := w.reports[id]
		if !some || rapid.IntRange(0, 2).Draw(w.t, "arrives") == 0 {
			continue
		}
		delete(w.reports, id)
		w.pool.Report(r.asked, r.call, r.rep, w.now)
		w.hear()
	}
	w.plan()
}

// store has the table take a batch; false: a row has changed meanwhile.
func (w *world) store(b sched.Batch) bool {
	for _, c := range b.Changes {
		if w.version[c.Job] != c.Version {
			w.conflict(c.Job)
			return false
		}
	}
	w.next++
	for _, c := range b.Changes {
		w.rows[c.Job], w.version[c.Job] = c.Row, w.next
		if c.Final {
			delete(w.rows, c.Job)
		}
	}
	return true
}

// write has the table take a batch, or the answer lost, or refuse it since a
// caller has cancelled the job.
func (w *world) write() {
	b, err := w.pool.Batch(5, w.now.Milliseconds(), nobody)
	assert.NilError(w.t, err)
	if !w.store(b) {
		return
	}
	names := w.pool.Name()
	w.named = names
	if rapid.IntRange(0, 4).Draw(w.t, "lost") > 0 || len(b.Changes) == 0 {
		w.pool.Written(b, w.next, w.now)
		w.pool.Noted(names, w.next)
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
	steps[0].PerWorker = rapid.IntRange(0, 2).Draw(w.t, "most on a worker")
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
	w.pool.Adopt(sched.Accepted{ID: id, Queue: queueName, Spec: w.specs[id], Row: row, Version: w.next, Arrived: w.now}, w.now)
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
		w.cancelled[id] = true
		if rapid.Bool().Draw(w.t, "told") {
			w.pool.Cancel(id, w.next)
		}
		w.plan()
		return
	}
}

func (w *world) endSome() {
	if m := w.some(); m != nil {
		w.endOn(m)
	}
}

func (w *world) endOn(m *model) {
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
	w.unnoted(m) // nobody may have heard of its ends
	if rapid.Bool().Draw(w.t, "starts again under its id") {
		w.again(m)
		return
	}
	w.gone(m)
}

// again has a worker start again under its id. The owner, whose hold has broken, asks whether it
// is there before anything reaches it that was sent late; the answer may come late, or be lost.
func (w *world) again(m *model) {
	next := &model{
		id: m.id, born: m.born + 1, before: m.born, up: true, began: w.now - time.Duration(rapid.IntRange(0, 7200).Draw(w.t, "clock"))*time.Second,
		runs: make(map[gauge.TaskID]int), stopped: make(map[gauge.TaskID]int), room: space{tasks: fullSpace},
	}
	w.pool.HoldFailed(w.held[m.id], gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
	w.models[m.id] = next
	old, pending := w.reports[m.id]
	if _, call, ok := w.pool.Holding(w.held[m.id], w.now); ok {
		w.takeHold(next, w.acknowledging(next, w.rests[m.id], call))
		w.rests[m.id] = next.born
		w.reports[m.id] = told{w.held[m.id], call, &gauge.WorkerReport{Born: next.born, Clock: w.clock(next)}}
	}
	if pending && rapid.Bool().Draw(w.t, "answer of the life before") {
		w.reports[m.id] = old
	}
}

// resize has a worker's room shrink or grow, which its row tells at once.
func (w *world) resize() {
	if m := w.some(); m != nil {
		m.room = space{tasks: rapid.IntRange(0, fullSpace).Draw(w.t, "room"), before: m.room.bound(w.now), counts: w.now + shrinkSpan}
		w.list()
		w.plan()
	}
}

// gone tells the owner, one way or another, that a worker's life is over.
func (w *world) gone(m *model) {
	if rapid.Bool().Draw(w.t, "replaced") {
		w.pool.HoldFailed(m.life(), gauge.Fail(gauge.KindReplaced, "another life"), w.now)
	} else {
		w.pool.HoldFailed(m.life(), gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
	}
	w.join()
}

// takeAway moves a machine, or has its upkeep begin, once the owner calls it empty.
// The owner may be replaced soon after.
func (w *world) takeAway() {
	m := w.some()
	if m == nil || m.fence == 0 {
		return
	}
	w.endOn(m)
	w.hold(m)
	w.tell()
	if !w.pool.Empty(m.id, rapid.Bool().Draw(w.t, "force"), w.now) {
		return
	}
	assert.Equal(w.t, len(m.runs), 0, "%s isn't empty", m.id)
	m.up = false
	w.gone(m)
	if rapid.Bool().Draw(w.t, "successor") {
		w.own(w.named)
	}
}

func (w *world) pass() {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond
	w.expire()
	for _, o := range w.late {
		_ = w.carryOut(o)
	}
	w.late = nil
	for _, h := range w.lateFor {
		if m := w.models[h.id]; m.up {
			w.takeHold(m, w.acknowledging(m, h.born, h.call))
		}
	}
	w.lateFor = nil
	w.pool.Tick(w.now, time.Unix(0, 0))
	w.plan()
}

// Whatever is lost, late, overtaken, crashed, cancelled or taken over, in any
// order: no task has two runs at once, or starts after one has ended done (but for
// ends that died with a worker that crashed), no worker has more than it holds, none
// is called empty that isn't, nothing panics, and after a while without faults no task
// of a cancelled job runs.
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
			case 10:
				w.takeAway()
			case 11:
				w.endSome()
			case 12:
				w.pass()
			case 13:
				w.cancel()
			case 14:
				switch rapid.IntRange(0, 9).Draw(t, "rare") {
				case 0:
					w.crash()
				case 1:
					w.own(w.named)
				case 6, 7:
					w.give()
				case 2:
					w.pool.Empty(fmt.Sprintf("w%d", w.lives), true, w.now)
				case 4, 5:
					w.unhide()
				case 8, 9:
					w.resize()
				case 3:
					w.pool.HoldFailed(w.held[fmt.Sprintf("w%d", w.lives)], gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
				}
			case 15:
				w.answer()
				w.ask()
				w.tell()
			}
		}
		w.calm()
		w.nothingUnasked()
	})
}
