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

// manualClock is a monotonic clock that only advances when advance is called.
type manualClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *manualClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// logLines collects the logged lines.
type logLines struct {
	mu  sync.Mutex
	all []string
}

func (l *logLines) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.all = append(l.all, line)
	}, funcr.Options{})
}

// withMessage returns the lines with the given message.
func (l *logLines) withMessage(msg string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matching []string
	for _, line := range l.all {
		if strings.Contains(line, `"msg"="`+msg+`"`) {
			matching = append(matching, line)
		}
	}
	return matching
}

// switchableTable accepts transactions or, while it is unreachable, fails them.
type switchableTable struct {
	emptyStore
	mu          sync.Mutex
	unreachable bool
	jobs        int // job rows written
}

func (s *switchableTable) jobWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs
}

func (s *switchableTable) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *switchableTable) Commit(ctx context.Context, t gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return gauge.TablePosition{}, nil, gauge.Errorf(gauge.KindOutage, "the table is unreachable")
	}
	for _, w := range t.Writes {
		if w.Table == gauge.TableJobs {
			s.jobs++
		}
	}
	return s.emptyStore.Commit(ctx, t)
}

func (s *switchableTable) Range(context.Context, string, string, string, string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	return nil, gauge.TablePosition{}, nil
}

// blockingWorkers are workers that answer their first heartbeat and block the later ones.
type blockingWorkers struct {
	gauge.Workers
	clock    *manualClock
	mu       sync.Mutex
	reported map[string]bool
	starts   int
}

func (s *blockingWorkers) Heartbeat(ctx context.Context, w *gauge.Worker, _ gauge.Heartbeat) (*gauge.WorkerReport, error) {
	s.mu.Lock()
	first := !s.reported[w.ID]
	s.reported[w.ID] = true
	s.mu.Unlock()
	if !first {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &gauge.WorkerReport{Clock: s.workerClock()}, nil
}

func (s *blockingWorkers) Start(context.Context, *gauge.Worker, gauge.StartCall) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	return s.workerClock(), nil
}

// workerClock returns the reading of the workers' clocks.
func (s *blockingWorkers) workerClock() time.Duration { return time.Hour + s.clock.read() }

func (s *blockingWorkers) reportedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reported)
}

func (s *blockingWorkers) startCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// fixture runs one owner against these fakes.
type fixture struct {
	t       *testing.T
	clock   *manualClock
	table   *switchableTable
	workers *blockingWorkers
	lines   *logLines
	owner   *owner.Owner
}

func newFixture(t *testing.T, adjust func(*owner.Config)) *fixture {
	g := &fixture{t: t, clock: &manualClock{now: time.Second}, table: &switchableTable{}, lines: &logLines{}}
	g.workers = &blockingWorkers{clock: g.clock, reported: make(map[string]bool)}
	c := owner.Config{
		Pool: "p", Store: g.table, Workers: g.workers, Logs: g.lines.logger(), Now: g.clock.read, WallClock: time.Now,
		Lease:      tenure.New(tenure.Config{LeaseDuration: time.Hour, ClaimedAt: g.clock.read(), Store: g.table, Now: g.clock.read, TableClock: func() int64 { return 1 }}),
		OrderGrace: time.Second, LeaseExtension: time.Second, ObserveTableClock: func(gauge.TablePosition, time.Duration) {},
		TableClock: func() int64 { return 1 }, ObserveCall: func(string, time.Duration) {}, CountEvent: func(string) {},
	}
	if adjust != nil {
		adjust(&c)
	}
	g.owner = owner.New(t.Context(), c)
	return g
}

func (g *fixture) start(workers ...string) {
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

// submit adds a job of one task and waits for its start.
func (g *fixture) submit(id string) {
	before := g.workers.startCount()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 100}}}}
	row := &gauge.JobRow{State: gauge.JobPending, Pool: "p"}
	g.waitUntil("the owner takes jobs", func() bool { return g.owner.Adopt(id, "sheets", spec, row, 7) })
	g.waitUntil("the task has started", func() bool { return g.workers.startCount() > before })
}

// waitUntil polls until a condition holds.
func (g *fixture) waitUntil(what string, holds func() bool) {
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(time.Minute))
}

// advanceUntilLogged advances the clock until there are so many lines with the given message.
func (g *fixture) advanceUntilLogged(msg string, count int) []string {
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if len(g.lines.withMessage(msg)) >= count {
			return poll.Success()
		}
		g.clock.advance(100 * time.Millisecond)
		return poll.Continue("%d lines %q", count, msg)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(time.Minute))
	return g.lines.withMessage(msg)
}

// Guards against a pool that misses its service levels for a minute while no log line shows that
// its owner is behind: the owner's writes fail while starts are still sent. Each failed write is
// logged, but the backlog has to be as well.
func TestOwnerThatIsBehindLogsItsBacklog(t *testing.T) {
	g := newFixture(t, nil)
	g.start("w1")
	g.submit("00000000000000a1")
	g.waitUntil("its row is written", func() bool { return g.table.jobWrites() > 0 })
	assert.Equal(t, len(g.lines.withMessage("owner behind")), 0)
	g.table.setUnreachable(true)
	g.submit("00000000000000a2")
	lines := g.advanceUntilLogged("owner behind", 3)
	assert.Assert(t, strings.Contains(lines[2], `"pool"="p"`), lines[2])
	assert.Assert(t, strings.Contains(lines[2], `"changes"=1`), lines[2])
	g.table.setUnreachable(false)
	caught := g.advanceUntilLogged("owner caught up", 1)
	assert.Assert(t, strings.Contains(caught[0], `"changes"=0`), caught[0])
}

// Guards against log lines that don't show whether a host or a few workers are slow: orders to most
// workers take a third of a second and the owner asks for a successor. The line must give more
// than the duration of the last call.
func TestLaggingOwnerLogsSlowCalls(t *testing.T) {
	g, s := newStallingFixture(t)
	g.owner.OnHandoverNeeded(time.Hour, func(time.Duration) {})
	g.start("w1", "w2", "w3", "w4", "w5", "w6")
	g.waitUntil("all workers have reported", func() bool { return s.reportedCount() == 6 })
	release := s.stall()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 18, PerWorker: 3, Needs: gauge.Resources{MilliCPU: 10}}}}
	g.waitUntil("the owner takes jobs", func() bool {
		return g.owner.Adopt("00000000000000a1", "sheets", spec, &gauge.JobRow{State: gauge.JobPending, Pool: "p"}, 7)
	})
	g.waitUntil("all starts have been sent", func() bool { return s.startsOfRun(1) == 18 })
	g.clock.advance(300 * time.Millisecond)
	close(release)
	g.waitUntil("the lag is logged", func() bool { return len(g.lines.withMessage("owner lags")) > 0 })
	lines := g.lines.withMessage("owner lags")
	for _, field := range []string{`"calls"=`, `"slow"=`, `"targets"=`} {
		assert.Assert(t, strings.Contains(lines[0], field), "%s in %s", field, lines[0])
	}
}

// Guards against not knowing, after a handover, whether the new owner could know everything: an
// owner leaves its pool while the table doesn't accept its writes, and has to log how much wasn't
// written.
func TestLeavingOwnerLogsUnwrittenChanges(t *testing.T) {
	g := newFixture(t, nil)
	g.start("w1")
	g.submit("00000000000000a1")
	g.waitUntil("its row is written", func() bool { return g.table.jobWrites() > 0 })
	g.table.setUnreachable(true)
	g.submit("00000000000000a2")
	g.owner.Stop("the owner lags")
	left := g.lines.withMessage("pool left")
	assert.Equal(t, len(left), 1)
	assert.Assert(t, strings.Contains(left[0], `"unwritten"=1`), left[0])
}
