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
	names := w.pool.Name()
	w.named = names
	if rapid.IntRange(0, 4).Draw(w.t, "lost") > 0 || len(b.Changes) == 0 {
		w.pool.Written(b, w.next, w.now)
		w.pool.Noted(names)
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
		for range rapid.IntRange(1, 160).Draw(t, "events") {
			switch rapid.IntRange(0, 16).Draw(t, "event") {
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
					w.own(w.named)
				case 2:
					w.pool.Empty(fmt.Sprintf("w%d", w.lives), true, w.now)
				case 3:
					w.pool.HoldFailed(fmt.Sprintf("w%d", w.lives), gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
				}
			case 15:
				w.answer()
				w.ask()
				w.tell()
			case 16:
				w.readLate()
			}
		}
	})
}
