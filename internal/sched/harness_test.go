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

// rig drives one pool by hand: what workers answer is the test's to say.
type rig struct {
	t    *testing.T
	pool *sched.Pool
	now  time.Duration
	ends map[string]int64
}

const (
	poolName  = "brakes"
	queueName = "sheets"
	fence     = 100
)

type option func(*sched.Config)

func after(earlier ...string) option {
	return func(c *sched.Config) {
		c.Term = 1
		c.Earlier = livesOf(earlier...)
		c.Doubt = 6 * time.Second
	}
}

func newRig(t *testing.T, options ...option) *rig {
	c := sched.Config{
		Name: poolName, Fence: fence, Hold: 5 * time.Second, Start: time.Second, Wait: time.Second, Logs: logr.Discard(),
	}
	for _, o := range options {
		o(&c)
	}
	g := &rig{t: t, pool: sched.New(c), ends: make(map[string]int64)}
	g.pool.Configure(&gauge.Site{Version: 1, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2}}})
	return g
}

// life is the only one of a worker.
func life(id string) gauge.Life { return gauge.Life{Worker: id} }

func livesOf(ids ...string) []gauge.Life {
	var lives []gauge.Life
	for _, id := range ids {
		lives = append(lives, life(id))
	}
	return lives
}

func worker(id string) gauge.Worker {
	return gauge.Worker{
		ID: id, Pool: poolName, Addr: "10.0.0.1:80", Labels: []string{"a", "r-" + id},
		Capacity: gauge.Resources{MilliCPU: 4000, MemoryMB: 8000},
	}
}

// list tells of workers, and that the lease row names them.
func (g *rig) list(ids ...string) {
	var ws []gauge.Worker
	for _, id := range ids {
		ws = append(ws, worker(id))
	}
	g.pool.Workers(ws)
	g.pool.Noted(livesOf(ids...), fence)
}

// clock is what a worker's clock shows: an hour more than ours.
func (g *rig) clock() time.Duration { return g.now + time.Hour }

func (g *rig) hear(id string, running []gauge.RunReport, ended ...gauge.EndReport) {
	g.hearAt(id, g.clock(), running, ended...)
}

func (g *rig) hearAt(id string, clock time.Duration, running []gauge.RunReport, ended ...gauge.EndReport) {
	g.pool.Report(life(id), gauge.HoldCall{}, &gauge.WorkerReport{Clock: clock, Running: running, Ended: ended}, g.now)
}

func (g *rig) silent(id string) {
	g.pool.HoldFailed(life(id), gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
}

func (g *rig) end(id string, task gauge.TaskID, run int, how gauge.Ending) gauge.EndReport {
	g.ends[id]++
	return gauge.EndReport{Number: g.ends[id], Task: task, Run: run, How: how}
}

func (g *rig) pass(d time.Duration) {
	g.now += d
	g.pool.Tick(g.now, time.Unix(1000, 0).Add(g.now))
}

// plan returns the orders, after telling how far grants may reach.
func (g *rig) plan() []sched.Order {
	g.pool.Limit(g.now + 9*time.Second)
	return g.pool.Plan(g.now)
}

func (g *rig) starts() []sched.Order { return only(g.plan(), sched.OrderStart) }

func only(orders []sched.Order, kind sched.OrderKind) []sched.Order {
	var some []sched.Order
	for _, o := range orders {
		if o.Kind == kind {
			some = append(some, o)
		}
	}
	return some
}

func (g *rig) ok(orders []sched.Order) {
	for _, o := range orders {
		g.pool.Answered(o, g.clock(), nil, g.now)
	}
}

func step(count int) gauge.Step {
	return gauge.Step{Count: count, Needs: gauge.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (g *rig) adopt(n int, inherited bool, steps ...gauge.Step) string {
	id := jobID(n)
	version := int64(fence + n)
	g.pool.Adopt(sched.Accepted{ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: steps}, Row: &gauge.JobRow{State: gauge.JobPending, Pool: poolName}, Version: version, Arrived: g.now, Inherited: inherited}, g.now)
	return id
}

// save has the table take all changes.
func (g *rig) save(version int64) sched.Batch {
	b, err := g.pool.Batch(100, 1, nobody)
	assert.NilError(g.t, err)
	g.pool.Written(b, version, g.now)
	return b
}

// restarts are the starts where the table takes all changes at once: a task that may have ended
// its worker waits for that.
func (g *rig) restarts() []sched.Order {
	var starts []sched.Order
	for range 2 {
		g.save(int64(2*fence) + g.now.Milliseconds())
		starts = append(starts, g.starts()...)
	}
	return starts
}

func running(o sched.Order) gauge.RunReport {
	return gauge.RunReport{Task: o.Start.Task, Run: o.Start.Run}
}

// nobody is avoided.
func nobody(string) bool { return false }
