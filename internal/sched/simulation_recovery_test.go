package sched_test

import (
	"fmt"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

const (
	// calmStep and calmSteps: with nothing lost for cancel_ms and stopTimeoutMs of
	// the users, no run of a cancelled job may be left.
	calmStep  = 100 * time.Millisecond
	calmSteps = 34
	// calmScan: each so many steps the cancels in the table are found by a scan.
	calmScan = 15
)

// hide has a new owner miss some of the jobs that the table has, as part of it
// doesn't answer.
func (w *world) hide() {
	w.hidden, w.rehears = make(map[string]bool), false
	if rapid.IntRange(0, 2).Draw(w.t, "part missing") > 0 {
		return
	}
	for i := range len(w.specs) {
		if id := jobID(i); w.rows[id] != nil && i%2 == 0 {
			w.hidden[id] = true
		}
	}
	w.pool.Partial(len(w.hidden) > 0)
}

// unhide has the owner begin to read what it missed, and, the next time, take it in.
func (w *world) unhide() {
	if len(w.hidden) == 0 {
		return
	}
	if !w.rehears {
		w.rehears = true
		w.pool.Rehear()
		return
	}
	for i := range len(w.specs) {
		if id := jobID(i); w.hidden[id] {
			w.inherit(id)
		}
	}
	w.hidden = make(map[string]bool)
	w.pool.Partial(false)
	w.plan()
}

// inherit has the owner take in a job that was there before it.
func (w *world) inherit(id string) {
	if w.rows[id] == nil {
		return
	}
	row, err := gauge.DecodeJobRow(w.rows[id])
	assert.NilError(w.t, err)
	w.pool.Adopt(sched.Accepted{ID: id, Queue: queueName, Spec: w.specs[id], Row: row, Version: w.version[id], Arrived: w.now, Inherited: true}, w.now)
}

// calm lets time pass with nothing lost, late or refused.
func (w *world) calm() {
	w.pass()
	w.calming = true
	w.unhide()
	w.unhide()
	for i := range calmSteps {
		w.now += calmStep
		w.expire()
		w.pool.Tick(w.now, time.Unix(0, 0))
		if i%calmScan == 0 {
			w.scan()
		}
		w.list()
		w.holdAll()
		w.plan()
		for len(w.orders) > 0 {
			w.carryOutAll()
		}
		w.save()
	}
}

// scan tells the owner of the cancels that the table has.
func (w *world) scan() {
	for i := range len(w.specs) {
		if id := jobID(i); w.cancelled[id] && w.rows[id] != nil {
			w.pool.Cancel(id, 0)
		}
	}
}

func (w *world) holdAll() {
	for i := 1; i <= w.lives; i++ {
		m := w.models[fmt.Sprintf("w%d", i)]
		switch {
		case m == nil:
		case !m.up:
			w.pool.HoldFailed(m.life(), gauge.Fail(gauge.KindUnknown, "no answer"), w.now)
		default:
			w.hold(m)
			if r, some := w.reports[m.id]; some {
				delete(w.reports, m.id)
				w.pool.Report(r.asked, r.call, r.rep, w.now)
				w.hear()
			}
		}
	}
}

func (w *world) carryOutAll() {
	orders := w.orders
	w.orders = nil
	for _, o := range orders {
		err := w.carryOut(o)
		clock := time.Duration(0)
		if m := w.models[o.Worker.ID]; m != nil {
			clock = w.clock(m)
		}
		w.pool.Answered(o, clock, err, w.now)
	}
	w.plan()
}

// save has the table take whatever it takes.
func (w *world) save() {
	b, err := w.pool.Batch(100, w.now.Milliseconds(), nobody)
	assert.NilError(w.t, err)
	if !w.store(b) {
		return
	}
	w.pool.Written(b, w.next, w.now)
	w.renew()
}

func (w *world) conflict(id string) {
	row, err := gauge.DecodeJobRow(w.rows[id])
	assert.NilError(w.t, err)
	w.pool.Conflicted(id, row, w.version[id])
}

// nothingUnasked fails the test if a cancelled job's task runs on a worker that
// is up.
func (w *world) nothingUnasked() {
	for i := 1; i <= w.lives; i++ {
		m := w.models[fmt.Sprintf("w%d", i)]
		if m == nil || !m.up {
			continue
		}
		for task := range m.runs {
			assert.Assert(w.t, !w.cancelled[task.Job], "%s runs at %s though its job was cancelled", task, m.id)
		}
	}
}
