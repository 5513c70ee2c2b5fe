package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// harness drives one pool by hand: the test decides what the workers answer.
type harness struct {
	t    *testing.T
	pool *sched.Pool
	now  time.Duration
	ends map[string]int64 // number of the last end that each worker reported
}

const (
	poolName  = "brakes"
	queueName = "sheets"
	fence     = 100
)

type option func(*sched.Config)

// withPredecessor configures an owner that takes the pool over from another one, which may have
// given orders to these workers.
func withPredecessor(earlier ...string) option {
	return func(c *sched.Config) {
		c.Term = 1
		c.PreviousWorkers = incarnations(earlier...)
		c.PreviousRunsEnd = 6 * time.Second
	}
}

func newHarness(t *testing.T, options ...option) *harness {
	c := sched.Config{
		Name: poolName, Fence: fence, LeaseExtension: 5 * time.Second, StartTimeout: time.Second, HeartbeatWait: time.Second, Logs: logr.Discard(),
	}
	for _, o := range options {
		o(&c)
	}
	g := &harness{t: t, pool: sched.New(c), ends: make(map[string]int64)}
	g.pool.Configure(&gauge.Site{Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2}}})
	return g
}

// incarnation is the only incarnation of a worker, which reports no start time.
func incarnation(id string) gauge.Incarnation { return gauge.Incarnation{Worker: id} }

func incarnations(ids ...string) []gauge.Incarnation {
	var list []gauge.Incarnation
	for _, id := range ids {
		list = append(list, incarnation(id))
	}
	return list
}

func newWorker(id string) gauge.Worker {
	return gauge.Worker{
		ID: id, Pool: poolName, Addr: "10.0.0.1:80", Labels: []string{"a", "r-" + id},
		Capacity: gauge.Resources{MilliCPU: 4000, MemoryMB: 8000},
	}
}

// listWorkers delivers the platform's list of workers, and that the lease row names them.
func (g *harness) listWorkers(ids ...string) {
	var ws []gauge.Worker
	for _, id := range ids {
		ws = append(ws, newWorker(id))
	}
	g.pool.UpdateWorkers(ws)
	g.pool.LeaseRowWritten(incarnations(ids...), fence)
}

// workerClock is what a worker's clock shows, one hour ahead of the owner's.
func (g *harness) workerClock() time.Duration { return g.now + time.Hour }

// report delivers a worker's report made now.
func (g *harness) report(id string, running []gauge.RunReport, ended ...gauge.EndReport) {
	g.reportAt(id, g.workerClock(), running, ended...)
}

// reportAt delivers a report that was made when the worker's clock showed a given time.
func (g *harness) reportAt(id string, clock time.Duration, running []gauge.RunReport, ended ...gauge.EndReport) {
	g.pool.HandleReport(incarnation(id), gauge.Heartbeat{}, &gauge.WorkerReport{Clock: clock, Running: running, Ended: ended}, g.now)
}

// failHeartbeat has a heartbeat to a worker get no answer.
func (g *harness) failHeartbeat(id string) {
	g.pool.HeartbeatFailed(incarnation(id), gauge.Errorf(gauge.KindUnknown, "no answer"), g.now)
}

// endReport is the worker's next report of an ended run.
func (g *harness) endReport(id string, task gauge.TaskID, run int, how gauge.Ending) gauge.EndReport {
	g.ends[id]++
	return gauge.EndReport{Number: g.ends[id], Task: task, Run: run, Ending: how}
}

func (g *harness) advance(d time.Duration) {
	g.now += d
	g.pool.LeaseHeld(g.now)
	g.pool.Tick(g.now, time.Unix(1000, 0).Add(g.now))
}

// plan sets how far grants may reach and returns the orders.
func (g *harness) plan() []sched.Order {
	g.pool.LeaseHeld(g.now + 1) // it was renewed after all that has happened
	g.pool.SetLease(g.now+9*time.Second, g.now+9*time.Second)
	return g.pool.Plan(g.now)
}

func (g *harness) planStarts() []sched.Order { return ofKind(g.plan(), sched.OrderStart) }

func ofKind(orders []sched.Order, kind sched.OrderKind) []sched.Order {
	var some []sched.Order
	for _, o := range orders {
		if o.Kind == kind {
			some = append(some, o)
		}
	}
	return some
}

// confirm has workers answer orders with success.
func (g *harness) confirm(orders []sched.Order) {
	for _, o := range orders {
		g.pool.OrderAnswered(o, g.workerClock(), nil, g.now)
	}
}

func newStep(count int) gauge.Step {
	return gauge.Step{Count: count, Needs: gauge.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (g *harness) adopt(n int, inherited bool, steps ...gauge.Step) string {
	id := jobID(n)
	version := int64(fence + n)
	g.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: steps}, Row: &gauge.JobRow{State: gauge.JobPending, Pool: poolName}, Version: version, Arrived: g.now, Inherited: inherited}, g.now)
	return id
}

// writeAll has the table take all changes.
func (g *harness) writeAll(version int64) sched.Batch {
	b, err := g.pool.NextBatch(100, 1, skipNone)
	assert.NilError(g.t, err)
	g.pool.BatchWritten(b, version, g.now)
	return b
}

// startsAfterWrites returns the starts of two plans, before each of which the table takes all
// changes: a task that may have crashed its worker isn't started again before that.
func (g *harness) startsAfterWrites() []sched.Order {
	var starts []sched.Order
	for range 2 {
		g.writeAll(int64(2*fence) + g.now.Milliseconds())
		starts = append(starts, g.planStarts()...)
	}
	return starts
}

func runReport(o sched.Order) gauge.RunReport {
	return gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run}
}

// skipNone is a filter for NextBatch that leaves out no queue.
func skipNone(string) bool { return false }
