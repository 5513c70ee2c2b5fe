package owner_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// fakeTable stores rows of jobs, and answers each transaction after a delay.
type fakeTable struct {
	gauge.PartitionedTable
	mu            sync.Mutex
	delay         time.Duration // delay of each transaction
	err           error         // returned for each transaction instead of carrying it out
	version       int64
	jobs          map[string]*gauge.JobRow
	maxOperations int // number of operations of the largest transaction
	txns          int
	cutOff        int // transactions whose context ended before the answer
	jobsOutage    jobsOutage
	refusedJob    string // transactions with this job's row are refused as invalid
	refusals      int
}

// jobsOutage is that transactions with rows of jobs get no answer for some time.
type jobsOutage struct {
	takes  time.Duration // 0: they are answered
	failed int
}

// failsJobs fails a transaction with rows of jobs during such an outage.
func (b *fakeTable) failsJobs(t *gauge.PartitionTxn) error {
	b.mu.Lock()
	takes := b.jobsOutage.takes
	b.mu.Unlock()
	if takes == 0 || !slices.ContainsFunc(t.Writes, func(w gauge.RowWrite) bool { return w.Table == gauge.TableJobs }) {
		return nil
	}
	time.Sleep(takes)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobsOutage.failed++
	return gauge.Errorf(gauge.KindUnknown, "no answer")
}

func (b *fakeTable) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (b *fakeTable) Range(context.Context, string, string, string, string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return nil, gauge.TablePosition{}, b.err
}

func (b *fakeTable) Commit(ctx context.Context, t gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	if err := b.failsJobs(&t); err != nil {
		return gauge.TablePosition{}, nil, err
	}
	b.mu.Lock()
	delay := b.delay
	b.mu.Unlock()
	select {
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cutOff++
		return gauge.TablePosition{}, nil, gauge.Errorf(gauge.KindUnknown, "the context ended before the answer")
	case <-time.After(delay):
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return gauge.TablePosition{}, nil, b.err
	}
	if b.refusedJob != "" && slices.ContainsFunc(t.Writes, func(w gauge.RowWrite) bool { return w.Key == b.refusedJob }) {
		b.refusals++
		return gauge.TablePosition{}, nil, gauge.Errorf(gauge.KindInvalid, "status 400")
	}
	b.version++
	b.txns++
	b.maxOperations = max(b.maxOperations, len(t.Checks)+len(t.Writes)+len(t.Deletes))
	for _, w := range t.Writes {
		if w.Table != gauge.TableJobs {
			continue
		}
		row, err := gauge.DecodeJobRow(w.Value)
		if err != nil {
			return gauge.TablePosition{}, nil, err
		}
		b.jobs[w.Key] = row
	}
	return gauge.TablePosition{Version: b.version}, nil, nil
}

// completedJobs returns how many jobs are completed according to the table.
func (b *fakeTable) completedJobs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, row := range b.jobs {
		if row.State == gauge.JobCompleted {
			n++
		}
	}
	return n
}

// fakeWorkers runs tasks on its workers until the test ends them.
type fakeWorkers struct {
	gauge.Workers
	began time.Time

	mu           sync.Mutex
	workers      map[string]*fakeWorker
	startDelay   time.Duration // delay of each start
	starts       int
	heartbeats   int
	reportedEnds int           // ended runs in answers to heartbeats, counted each time they are reported
	runEnded     chan struct{} // closed when a run ends
	silentCount  int           // the first so many workers answer nothing
}

type fakeWorker struct {
	runs    []gauge.RunReport
	ended   []gauge.EndReport
	lastEnd int64
}

func (s *fakeWorkers) clock() time.Duration { return time.Hour + time.Since(s.began) }

func (s *fakeWorkers) worker(id string) *fakeWorker {
	if s.workers[id] == nil {
		s.workers[id] = new(fakeWorker)
	}
	return s.workers[id]
}

// isSilent reports whether a worker answers nothing.
func (s *fakeWorkers) isSilent(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int
	_, err := fmt.Sscanf(id, "w%d", &n)
	return err == nil && n < s.silentCount
}

// noAnswerAfter fails after the given time without an answer.
func noAnswerAfter(after time.Duration) error {
	time.Sleep(after)
	return gauge.Errorf(gauge.KindUnknown, "no answer")
}

func (s *fakeWorkers) Stop(_ context.Context, w *gauge.Worker, _ gauge.StopCall) (time.Duration, error) {
	if s.isSilent(w.ID) {
		return 0, noAnswerAfter(300 * time.Millisecond)
	}
	return s.clock(), nil
}

// Heartbeat answers when a run has ended that isn't acknowledged, at the latest after the call's
// wait.
func (s *fakeWorkers) Heartbeat(ctx context.Context, w *gauge.Worker, c gauge.Heartbeat) (*gauge.WorkerReport, error) {
	if s.isSilent(w.ID) {
		return nil, noAnswerAfter(800*time.Millisecond + c.Wait)
	}
	s.mu.Lock()
	s.heartbeats++
	l := s.worker(w.ID)
	for len(l.ended) > 0 && l.ended[0].Number <= c.LastSeenEnd {
		l.ended = l.ended[1:]
	}
	wait, runEnded := len(l.ended) == 0 && c.Wait > 0, s.runEnded
	s.mu.Unlock()
	if wait {
		select {
		case <-ctx.Done():
			return nil, gauge.Errorf(gauge.KindUnknown, "the context ended before the answer")
		case <-runEnded:
		case <-time.After(c.Wait):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedEnds += len(l.ended)
	return &gauge.WorkerReport{
		Clock: s.clock(), Running: append([]gauge.RunReport(nil), l.runs...), Ended: append([]gauge.EndReport(nil), l.ended...),
	}, nil
}

func (s *fakeWorkers) Start(ctx context.Context, w *gauge.Worker, c gauge.StartCall) (time.Duration, error) {
	s.mu.Lock()
	s.starts++
	delay := s.startDelay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return 0, gauge.Errorf(gauge.KindUnknown, "the context ended before the answer")
		case <-time.After(delay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.worker(w.ID)
	l.runs = append(l.runs, gauge.RunReport{Task: c.Task, Run: c.Run})
	return s.clock(), nil
}

// endRuns ends at most so many of the running tasks.
func (s *fakeWorkers) endRuns(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.workers {
		n := min(most, len(l.runs))
		for _, r := range l.runs[:n] {
			l.lastEnd++
			l.ended = append(l.ended, gauge.EndReport{Number: l.lastEnd, Task: r.Task, Run: r.Run, Ending: gauge.EndDone})
		}
		l.runs = l.runs[n:]
		most -= n
	}
	close(s.runEnded)
	s.runEnded = make(chan struct{})
}

// callCounts returns how many starts and heartbeats were sent.
func (s *fakeWorkers) callCounts() (starts, heartbeats int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts, s.heartbeats
}

// harness is a running owner in a synctest bubble.
type harness struct {
	owner        *owner.Owner
	table        *fakeTable
	workers      *fakeWorkers
	began        time.Time
	mu           sync.Mutex
	logs         []string
	lagCallbacks int // times a successor was asked for because orders lag
	// failingTimes says, for each time a successor was asked for because writes fail, how long they
	// had failed.
	failingTimes []time.Duration
	end          func()
}

const (
	workerCount = 10
	workerSlots = 40 // tasks that fit on one worker
	queueName   = "sheets"
	firstJob    = 0x100 // above the owner's fencing token
)

func newHarness(t *testing.T) *harness { return newHarnessStuckAfter(t, time.Hour) }

func newHarnessStuckAfter(t *testing.T, after time.Duration) *harness {
	now := time.Now()
	g := &harness{
		table:   &fakeTable{delay: 10 * time.Millisecond, version: 2, jobs: make(map[string]*gauge.JobRow)},
		workers: &fakeWorkers{began: now, workers: make(map[string]*fakeWorker), runEnded: make(chan struct{})}, began: now,
	}
	log := funcr.New(func(_, line string) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.logs = append(g.logs, line)
	}, funcr.Options{})
	clock := func() int64 { return g.now().Milliseconds() }
	ctx, cancel := context.WithCancel(t.Context())
	g.owner = owner.New(ctx, owner.Config{
		Pool: "p", Store: g.table, Workers: g.workers, Logs: log, Now: g.now, WallClock: time.Now, Fence: 2,
		Lease:      tenure.New(tenure.Config{LeaseDuration: 2 * time.Second, ClaimedAt: g.now(), Version: 2, Store: g.table, Now: g.now, TableClock: clock}),
		OrderGrace: 6 * time.Second, LeaseExtension: 4 * time.Second, ObserveTableClock: func(gauge.TablePosition, time.Duration) {},
		TableClock: clock, ObserveCall: func(string, time.Duration) {}, CountEvent: func(string) {},
	})
	g.owner.OnHandoverNeeded(after, func(failing time.Duration) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if failing > 0 {
			g.failingTimes = append(g.failingTimes, failing)
			return
		}
		g.lagCallbacks++
	})
	var list []gauge.Worker
	for i := range workerCount {
		list = append(list, gauge.Worker{ID: fmt.Sprint("w", i), Pool: "p", Capacity: gauge.Resources{MilliCPU: workerSlots, MemoryMB: workerSlots}})
	}
	var group sync.WaitGroup
	group.Go(func() {
		g.owner.Run(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: "p", MaxAttempts: 2, Stretch: 2}}}, list)
	})
	g.end = func() {
		cancel()
		group.Wait()
	}
	g.advance(time.Second)
	return g
}

// now is a monotonic clock that doesn't start at 0, because 0 stands for never.
func (g *harness) now() time.Duration { return time.Minute + time.Since(g.began) }

// advance lets time pass and waits until all goroutines of the bubble are blocked.
func (g *harness) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// adopt adds jobs of one task each.
func (g *harness) adopt(t *testing.T, from, count int) {
	t.Helper()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 1, MemoryMB: 1}, Estimate: time.Second}}}
	for i := range count {
		n := firstJob + from + i
		row := &gauge.JobRow{State: gauge.JobPending, Pool: "p", Accepted: g.now().Milliseconds()}
		if !g.owner.Adopt(fmt.Sprintf("%016x", n), queueName, spec, row, int64(n)) {
			t.Fatal("the owner takes no jobs")
		}
	}
}

// newBusyHarness returns an owner with the given number of running tasks, whose starts are all
// written.
func newBusyHarness(t *testing.T, tasks int) *harness {
	t.Helper()
	g := newHarness(t)
	g.adopt(t, 0, tasks)
	g.advance(5 * time.Second)
	if n, _ := g.workers.callCounts(); n != tasks {
		t.Fatalf("%d tasks started, not %d", n, tasks)
	}
	return g
}
