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
	// faultFreeStep times faultFreeSteps covers the users' cancel_ms and stopTimeoutMs: if no
	// message is lost for that long, no run of a cancelled job may be left.
	faultFreeStep  = 100 * time.Millisecond
	faultFreeSteps = 34
	// stepsPerScan is the number of steps between scans that find the cancellations in the table.
	stepsPerScan = 15
)

// hideJobs has a new owner miss some of the jobs that the table has, as if a partition of it didn't
// answer.
func (w *simulation) hideJobs() {
	w.unread, w.rereading = make(map[string]bool), false
	if rapid.IntRange(0, 2).Draw(w.t, "part missing") > 0 {
		return
	}
	for i := range len(w.specs) {
		if id := jobID(i); w.rows[id] != nil && i%2 == 0 {
			w.unread[id] = true
		}
	}
	w.pool.SetJobsMissing(len(w.unread) > 0)
}

// readHiddenJobs has the owner begin to read the jobs that it missed, and with the next call adopt
// them.
func (w *simulation) readHiddenJobs() {
	if len(w.unread) == 0 {
		return
	}
	if !w.rereading {
		w.rereading = true
		w.pool.RequireFreshReports()
		return
	}
	for i := range len(w.specs) {
		if id := jobID(i); w.unread[id] {
			w.inheritJob(id)
		}
	}
	w.unread = make(map[string]bool)
	w.pool.SetJobsMissing(false)
	w.plan()
}

// inheritJob has the owner adopt a job that was accepted before it took over.
func (w *simulation) inheritJob(id string) {
	if w.rows[id] == nil {
		return
	}
	row, err := gauge.DecodeJobRow(w.rows[id])
	assert.NilError(w.t, err)
	w.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: w.specs[id], Row: row, Version: w.versions[id], Arrived: w.now, Inherited: true}, w.now)
}

// runWithoutFaults lets time pass with nothing lost, late or refused.
func (w *simulation) runWithoutFaults() {
	w.advance()
	w.endCuts()
	w.faultFree = true
	w.readHiddenJobs()
	w.readHiddenJobs()
	for i := range faultFreeSteps {
		w.now += faultFreeStep
		w.expireLeases()
		w.pool.Tick(w.now, w.wallClock())
		if i%stepsPerScan == 0 {
			w.scanCancels()
		}
		w.listWorkers()
		w.heartbeatAll()
		w.plan()
		for len(w.orders) > 0 {
			w.executeAll()
		}
		w.writeAll()
	}
}

// scanCancels reports the cancellations in the table to the owner.
func (w *simulation) scanCancels() {
	for i := range len(w.specs) {
		if id := jobID(i); w.cancelled[id] && w.rows[id] != nil {
			w.pool.Cancel(id, 0)
		}
	}
}

func (w *simulation) heartbeatAll() {
	for i := 1; i <= w.joined; i++ {
		m := w.workers[fmt.Sprintf("w%d", i)]
		switch {
		case m == nil:
		case !m.alive:
			w.pool.HeartbeatFailed(m.incarnation(), gauge.Errorf(gauge.KindUnknown, "no answer"), w.now)
		default:
			w.heartbeatAndReport(m)
		}
	}
}

// heartbeatAndReport has a worker answer a heartbeat, and the owner handle the report at once.
func (w *simulation) heartbeatAndReport(m *simWorker) {
	w.heartbeat(m)
	if r, some := w.reports[m.id]; some {
		delete(w.reports, m.id)
		w.pool.HandleReport(r.asked, r.call, r.rep, w.now)
		w.startHeartbeats()
	}
}

func (w *simulation) executeAll() {
	orders := w.orders
	w.orders = nil
	for _, o := range orders {
		err := w.executeOrder(o)
		clock := time.Duration(0)
		if m := w.workers[o.Worker.ID]; m != nil {
			clock = w.workerClock(m)
		}
		w.pool.OrderAnswered(o, clock, err, w.now)
	}
	w.plan()
}

// writeAll has the table take as many changes as it takes at once.
func (w *simulation) writeAll() {
	b, err := w.pool.NextBatch(100, w.now.Milliseconds(), skipNone)
	assert.NilError(w.t, err)
	if !w.storeBatch(b) {
		return
	}
	w.pool.BatchWritten(b, w.lastVersion, w.now)
	w.renewLease()
}

func (w *simulation) reportConflict(id string) {
	row, err := gauge.DecodeJobRow(w.rows[id])
	assert.NilError(w.t, err)
	w.pool.RowConflicted(id, row, w.versions[id])
}

// checkCancelledStopped fails the test if a cancelled job's task runs on a worker that is alive.
func (w *simulation) checkCancelledStopped() {
	for i := 1; i <= w.joined; i++ {
		m := w.workers[fmt.Sprintf("w%d", i)]
		if m == nil || !m.alive {
			continue
		}
		for task := range m.runs {
			assert.Assert(w.t, !w.cancelled[task.Job], "%s runs at %s though its job was cancelled", task, m.id)
		}
	}
}
