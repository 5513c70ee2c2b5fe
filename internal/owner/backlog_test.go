package owner_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// clock is a steady clock that only moves when it is told to.
type clock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *clock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// lines keeps what is logged.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.all = append(l.all, line)
	}, funcr.Options{})
}

// with returns the lines with a message.
func (l *lines) with(msg string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var some []string
	for _, line := range l.all {
		if strings.Contains(line, `"msg"="`+msg+`"`) {
			some = append(some, line)
		}
	}
	return some
}

// ledger takes transactions, or answers none.
type ledger struct {
	store
	mu   sync.Mutex
	away bool
	jobs int // rows of jobs taken
}

func (s *ledger) taken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs
}

func (s *ledger) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *ledger) Commit(ctx context.Context, t gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return gauge.Stamp{}, nil, gauge.Fail(gauge.KindOutage, "the table is away")
	}
	for _, w := range t.Writes {
		if w.Table == gauge.TableJobs {
			s.jobs++
		}
	}
	return s.store.Commit(ctx, t)
}

func (s *ledger) Range(context.Context, string, string, string, string) ([]gauge.PartRow, gauge.Stamp, error) {
	return nil, gauge.Stamp{}, nil
}

// slow are workers whose holds wait for good after the first.
type slow struct {
	gauge.Workers
	clock  *clock
	mu     sync.Mutex
	heard  map[string]bool
	starts int
}

func (s *slow) Hold(ctx context.Context, w *gauge.Worker, _ gauge.HoldCall) (*gauge.WorkerReport, error) {
	s.mu.Lock()
	first := !s.heard[w.ID]
	s.heard[w.ID] = true
	s.mu.Unlock()
	if !first {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &gauge.WorkerReport{Clock: s.shows()}, nil
}

func (s *slow) Start(context.Context, *gauge.Worker, gauge.StartCall) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	return s.shows(), nil
}

// shows is what the workers' clocks show.
func (s *slow) shows() time.Duration { return time.Hour + s.clock.read() }

func (s *slow) known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heard)
}

func (s *slow) started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// scene runs one owner against them.
type scene struct {
	t       *testing.T
	clock   *clock
	table   *ledger
	workers *slow
	lines   *lines
	owner   *owner.Owner
}

func newScene(t *testing.T, adjust func(*owner.Config)) *scene {
	g := &scene{t: t, clock: &clock{now: time.Second}, table: &ledger{}, lines: &lines{}}
	g.workers = &slow{clock: g.clock, heard: make(map[string]bool)}
	c := owner.Config{
		Pool: "p", Store: g.table, Workers: g.workers, Logs: g.lines.logger(), Now: g.clock.read, Wall: time.Now,
		Lease: tenure.New(tenure.Config{Lasts: time.Hour, Taken: g.clock.read(), Store: g.table, Now: g.clock.read, Clock: func() int64 { return 1 }}),
		Grace: time.Second, Hold: time.Second, Stamp: func(gauge.Stamp, time.Duration) {},
		Clock: func() int64 { return 1 }, Count: func(string, time.Duration) {}, Event: func(string) {},
	}
	if adjust != nil {
		adjust(&c)
	}
	g.owner = owner.New(t.Context(), c)
	return g
}

func (g *scene) run(workers ...string) {
	var list []gauge.Worker
	for _, id := range workers {
		list = append(list, gauge.Worker{ID: id, Pool: "p", Capacity: gauge.Resources{MilliCPU: 4000, MemoryMB: 4000}})
	}
	var group sync.WaitGroup
	group.Go(func() { g.owner.Run(&gauge.Site{}, list) })
	g.t.Cleanup(func() {
		g.owner.Stop("the test is over")
		group.Wait()
	})
}

// submit has the owner take a job of one task, and waits for its start.
func (g *scene) submit(id string) {
	before := g.workers.started()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 100}}}}
	row := &gauge.JobRow{State: gauge.JobPending, Pool: "p"}
	g.wait("the owner takes jobs", func() bool { return g.owner.Adopt(id, "sheets", spec, row, 7) })
	g.wait("it has started", func() bool { return g.workers.started() > before })
}

// wait polls until something holds.
func (g *scene) wait(what string, holds func() bool) {
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(time.Minute))
}

// await lets time pass until there are so many lines with a message.
func (g *scene) await(msg string, count int) []string {
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if len(g.lines.with(msg)) >= count {
			return poll.Success()
		}
		g.clock.pass(100 * time.Millisecond)
		return poll.Continue("%d lines %q", count, msg)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(time.Minute))
	return g.lines.with(msg)
}

// Symptom: promises of a pool break for a minute, and nothing tells that its owner
// was behind.
// Sequence: the owner's writes don't get through; starts go out all the same.
// Cause: each write that fails has its line, what waits meanwhile has none.
func TestOwnerThatIsBehindTellsWhatWaits(t *testing.T) {
	g := newScene(t, nil)
	g.run("w1")
	g.submit("00000000000000a1")
	g.wait("its row is written", func() bool { return g.table.taken() > 0 })
	assert.Equal(t, len(g.lines.with("owner behind")), 0)
	g.table.set(true)
	g.submit("00000000000000a2")
	said := g.await("owner behind", 3)
	assert.Assert(t, strings.Contains(said[2], `"pool"="p"`), said[2])
	assert.Assert(t, strings.Contains(said[2], `"changes"=1`), said[2])
	g.table.set(false)
	caught := g.await("owner caught up", 1)
	assert.Assert(t, strings.Contains(caught[0], `"changes"=0`), caught[0])
}

// Symptom: a pool goes from host to host, and the lines don't tell whether the hosts
// or a few workers are slow.
// Sequence: orders to most workers take a third of a second; the owner has the pool
// taken over.
// Cause: the line has the last call's time alone.
func TestOwnerThatLagsTellsHowManyCallsWereSlow(t *testing.T) {
	g, s := newStuck(t)
	g.owner.OnStuck(time.Hour, func(time.Duration) {})
	g.run("w1", "w2", "w3", "w4", "w5", "w6")
	g.wait("all are heard", func() bool { return s.known() == 6 })
	let := s.shut()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 18, PerWorker: 3, Needs: gauge.Resources{MilliCPU: 10}}}}
	g.wait("the owner takes jobs", func() bool {
		return g.owner.Adopt("00000000000000a1", "sheets", spec, &gauge.JobRow{State: gauge.JobPending, Pool: "p"}, 7)
	})
	g.wait("all are on their way", func() bool { return s.sent(1) == 18 })
	g.clock.pass(300 * time.Millisecond)
	close(let)
	g.wait("it is told", func() bool { return len(g.lines.with("owner lags")) > 0 })
	said := g.lines.with("owner lags")
	for _, field := range []string{`"calls"=`, `"slow"=`, `"targets"=`} {
		assert.Assert(t, strings.Contains(said[0], field), "%s in %s", field, said[0])
	}
}

// Symptom: after a handover it isn't known whether the new owner could know all.
// Sequence: an owner is to leave its pool while the table doesn't take its writes.
// Cause: the line doesn't tell what was not written.
func TestOwnerThatLeavesTellsWhatWasNotWritten(t *testing.T) {
	g := newScene(t, nil)
	g.run("w1")
	g.submit("00000000000000a1")
	g.wait("its row is written", func() bool { return g.table.taken() > 0 })
	g.table.set(true)
	g.submit("00000000000000a2")
	g.owner.Stop("it lags")
	left := g.lines.with("pool left")
	assert.Equal(t, len(left), 1)
	assert.Assert(t, strings.Contains(left[0], `"unwritten"=1`), left[0])
}
