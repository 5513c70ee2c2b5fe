package sched_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// As the entries set them.
const (
	ownerLease    = 2 * time.Second
	renewInterval = 400 * time.Millisecond
	orderGrace    = 6 * time.Second
	workerLease   = 4500 * time.Millisecond
	clockDrift    = 200 * time.Millisecond
)

// successionStep is the time between two heartbeats, ticks and plans of each owner.
const successionStep = 50 * time.Millisecond

// succession is a pool whose owners follow one another, perhaps unnoticed by the one before, with true
// workers: these keep the highest fencing token and their lease.
type succession struct {
	t         *testing.T
	now       time.Duration
	workers   map[string]*simWorker
	owners    []*poolOwner
	version   int64               // of the table
	named     []gauge.Incarnation // in the stored lease row
	renewedAt time.Duration       // the stored lease row
	// leasesUntil is until when the leases of earlier owners may last, as the lease row tells.
	leasesUntil time.Duration
	rows        map[string][]byte // open jobs
	specs       map[string]*gauge.JobSpec
	starts      map[gauge.TaskID]int  // carried out so far
	acked       map[gauge.TaskID]bool // whose end as done was acknowledged
}

// poolOwner is one of the owners, as its entry runs it.
type poolOwner struct {
	*succession
	pool        *sched.Pool
	fence       gauge.FencingToken
	reached     map[string]bool // workers that it reaches
	reachesRows bool            // it reaches the table
	renewedAt   time.Duration   // when it sent the last renewal of its lease that has succeeded
	asked       map[string]gauge.Incarnation
	losesStarts bool
	lost        []sched.Order // starts that were lost on their way
	ended       bool
}

func newSuccession(t *testing.T, ids ...string) *succession {
	s := &succession{
		t: t, workers: make(map[string]*simWorker), rows: make(map[string][]byte), specs: make(map[string]*gauge.JobSpec),
		starts: make(map[gauge.TaskID]int), acked: make(map[gauge.TaskID]bool),
	}
	for _, id := range ids {
		s.startWorker(id, 1)
	}
	return s
}

// startWorker starts an incarnation of a worker.
func (s *succession) startWorker(id string, startedAt int64) *simWorker {
	m := &simWorker{id: id, startedAt: startedAt, clockZeroAt: s.now - time.Hour/time.Duration(startedAt), alive: true, runs: make(map[gauge.TaskID]int), stopped: make(map[gauge.TaskID]int)}
	s.workers[id] = m
	return m
}

func (s *succession) clock(m *simWorker) time.Duration { return s.now - m.clockZeroAt }

func (s *succession) workerIDs() []string { return slices.Sorted(maps.Keys(s.workers)) }

// takeOver has the next owner take the lease and read all jobs but one.
func (s *succession) takeOver(unread string, reached ...string) *poolOwner {
	s.version++
	o := &poolOwner{succession: s, fence: gauge.FencingToken(s.version), reached: make(map[string]bool), reachesRows: true, renewedAt: s.now, asked: make(map[string]gauge.Incarnation)}
	for _, id := range reached {
		o.reached[id] = true
	}
	s.leasesUntil = max(s.leasesUntil, s.renewedAt+ownerLease)
	left := max(0, s.leasesUntil-s.now)
	o.pool = sched.New(sched.Config{
		Name: poolName, Fence: o.fence, Term: len(s.owners), LeaseExtension: workerLease, StartTimeout: time.Second, HeartbeatWait: time.Second, MaxWorkerLease: maxLease,
		PreviousWorkers: s.named, PreviousRunsEnd: s.now + left + orderGrace + clockDrift, PreviousOrdersEnd: s.now + left, PreviousLeaseEnd: s.now + left, Logs: logr.Discard(),
	})
	o.pool.Configure(&gauge.Site{Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2}}})
	o.pool.SetJobsMissing(unread != "")
	for id := range s.rows {
		if id != unread {
			o.inherit(id)
		}
	}
	o.list(s.workerIDs()...)
	s.owners = append(s.owners, o)
	return o
}

// inherit has the owner adopt a job that was accepted before.
func (o *poolOwner) inherit(id string) {
	row, err := gauge.DecodeJobRow(o.rows[id])
	assert.NilError(o.t, err)
	o.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: o.specs[id], Row: row, Version: o.version, Arrived: o.now, Inherited: true}, o.now)
}

// adopt has the owner adopt a job that was accepted just now.
func (o *poolOwner) adopt(id string) {
	row, err := gauge.DecodeJobRow(o.rows[id])
	assert.NilError(o.t, err)
	o.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: o.specs[id], Row: row, Version: o.version, Arrived: o.now}, o.now)
}

// submit has the owner accept a job of one step.
func (o *poolOwner) submit(n int, step gauge.Step) gauge.TaskID {
	id, row := jobID(n), &gauge.JobRow{State: gauge.JobPending, Pool: poolName}
	value, err := row.Encode()
	assert.NilError(o.t, err)
	o.version++
	o.rows[id], o.specs[id] = value, &gauge.JobSpec{Steps: []gauge.Step{step}}
	o.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: o.specs[id], Row: row, Version: o.version, Arrived: o.now}, o.now)
	return gauge.TaskID{Job: id}
}

// list delivers the platform's list of workers to the owner.
func (o *poolOwner) list(ids ...string) {
	var rows []gauge.Worker
	for _, id := range ids {
		rows = append(rows, workerRow(id, o.workers[id].startedAt))
	}
	o.pool.UpdateWorkers(rows)
	o.startHeartbeats()
}

func (o *poolOwner) startHeartbeats() {
	for _, info := range o.pool.NewIncarnations() {
		o.asked[info.ID] = info.Incarnation()
	}
}

// run lets time pass.
func (s *succession) run(until time.Duration) {
	for s.now < until {
		s.now += successionStep
		for _, id := range s.workerIDs() {
			if m := s.workers[id]; s.clock(m) > m.leaseEnd {
				clear(m.runs)
			}
		}
		for _, o := range s.owners {
			o.act()
		}
	}
}

// runUntilRenewed lets time pass until the owner has just renewed its lease.
func (o *poolOwner) runUntilRenewed() {
	for o.renewedAt < o.now {
		o.run(o.now + successionStep)
	}
}

// act has the owner do what it does in a step.
func (o *poolOwner) act() {
	if !o.ended && o.reachesRows && (o.now >= o.renewedAt+renewInterval || o.pool.HasUrgent() || o.pool.NeedsRenewal()) {
		o.write()
	}
	for _, id := range o.workerIDs() {
		if o.mayAct() {
			o.heartbeat(o.workers[id])
		}
	}
	if !o.mayAct() {
		return
	}
	o.pool.Tick(o.now, time.Unix(1000, 0).Add(o.now))
	end := o.renewedAt + ownerLease
	o.pool.SetLease(end, end+orderGrace)
	for _, order := range o.pool.Plan(o.now) {
		o.send(order)
	}
}

func (o *poolOwner) mayAct() bool { return !o.ended && o.now < o.renewedAt+ownerLease+orderGrace }

// write writes the changes of jobs and renews the lease; it is refused if there is another owner.
func (o *poolOwner) write() {
	if o.owners[len(o.owners)-1] != o {
		o.ended = true
		return
	}
	batch, err := o.pool.NextBatch(100, o.now.Milliseconds(), skipNone)
	assert.NilError(o.t, err)
	for _, c := range batch.Changes {
		o.rows[c.Job] = c.Row
		if c.Final {
			delete(o.rows, c.Job)
		}
	}
	o.version++
	o.named = o.pool.LeaseRowWorkers()
	o.renewedAt, o.succession.renewedAt = o.now, o.now
	o.pool.BatchWritten(batch, o.version, o.now)
	o.pool.LeaseRowWritten(o.named, o.version)
	o.pool.LeaseHeld(o.now)
}

// heartbeat sends a heartbeat to a worker, which answers at once or not at all.
func (o *poolOwner) heartbeat(m *simWorker) {
	asked, ok := o.asked[m.id]
	if !ok {
		return
	}
	_, call, ok := o.pool.NextHeartbeat(asked, o.now)
	if !ok {
		return
	}
	if !o.reached[m.id] {
		o.pool.HeartbeatFailed(asked, gauge.Errorf(gauge.KindUnknown, "no answer"), o.now)
		return
	}
	if err := m.accept(call.Fence); err != nil {
		o.ended = !o.pool.IsOutdated(asked, call.Fence)
		return
	}
	m.leaseEnd = max(m.leaseEnd, min(call.Until, o.clock(m)+maxLease))
	for len(m.ends) > 0 && m.ends[0].Number <= call.LastSeenEnd {
		o.acked[m.ends[0].Task] = o.acked[m.ends[0].Task] || m.ends[0].Ending == gauge.EndDone
		m.ends = m.ends[1:]
	}
	report := &gauge.WorkerReport{StartedAt: m.startedAt, Clock: o.clock(m), Ended: slices.Clone(m.ends)}
	for task, run := range m.runs {
		report.Running = append(report.Running, gauge.RunReport{Task: task, Run: run})
	}
	o.pool.HandleReport(asked, call, report, o.now)
	o.startHeartbeats()
}

// accept is how a worker treats the fencing token of a call.
func (m *simWorker) accept(fence gauge.FencingToken) error {
	if fence < m.fence {
		return gauge.Errorf(gauge.KindFenced, "lower fencing token")
	}
	m.fence = fence
	return nil
}

// send sends an order to its worker.
func (o *poolOwner) send(order sched.Order) {
	m := o.workers[order.Worker.ID]
	isLost := o.losesStarts && order.Kind == sched.OrderStart
	if isLost {
		o.lost = append(o.lost, order)
	}
	if isLost || !o.reached[m.id] {
		o.pool.OrderAnswered(order, 0, gauge.Errorf(gauge.KindUnknown, "no answer"), o.now)
		return
	}
	err := m.accept(order.Fence())
	if gauge.IsKind(err, gauge.KindFenced) && !o.pool.IsOutdated(order.Worker.Incarnation(), order.Fence()) {
		o.ended = true
		return
	}
	switch {
	case err != nil:
	case order.Kind == sched.OrderStart:
		err = o.carryOut(m, order.Start)
	case order.Kind == sched.OrderStop:
		m.stopped[order.Stop.Task] = max(m.stopped[order.Stop.Task], order.Stop.Run)
		if run, ok := m.runs[order.Stop.Task]; ok && run <= order.Stop.Run {
			m.end(order.Stop.Task, gauge.EndStopped)
		}
	}
	o.pool.OrderAnswered(order, o.clock(m), err, o.now)
}

// carryOut has a worker carry out a start, which must neither give its task a second run nor come after its
// end as done was acknowledged.
func (s *succession) carryOut(m *simWorker, c gauge.StartCall) error {
	switch {
	case m.runs[c.Task] == c.Run:
		return nil
	case c.Until < s.clock(m):
		return gauge.Errorf(gauge.KindPastDeadline, "deadline has passed")
	case c.Run <= m.stopped[c.Task]:
		return gauge.Errorf(gauge.KindStale, "run was stopped")
	}
	for _, other := range s.workers {
		run, running := other.runs[c.Task]
		assert.Assert(s.t, !running, "two runs of %s: run %d starts on %s at %v while run %d is on %s", c.Task, c.Run, m.id, s.now, run, other.id)
	}
	assert.Assert(s.t, !s.acked[c.Task], "%s starts on %s at %v after its end as done was acknowledged", c.Task, m.id, s.now)
	m.leaseEnd = max(m.leaseEnd, min(c.Until, s.clock(m)+maxLease))
	s.begin(m, c)
	return nil
}

func (s *succession) begin(m *simWorker, c gauge.StartCall) {
	m.runs[c.Task] = c.Run
	s.starts[c.Task]++
}

// end ends a worker's run of a task.
func (m *simWorker) end(task gauge.TaskID, how gauge.Ending) {
	m.lastEnd++
	m.ends = append(m.ends, gauge.EndReport{Number: m.lastEnd, Task: task, Run: m.runs[task], Ending: how})
	m.stopped[task] = max(m.stopped[task], m.runs[task])
	delete(m.runs, task)
}
