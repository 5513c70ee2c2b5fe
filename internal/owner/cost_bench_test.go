package owner_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	gauge "sapphiregauge"
	"sapphiregauge/internal/logs"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/sched"
	"sapphiregauge/internal/tenure"
)

// instantWorkers are workers on which each task ends successfully as soon as it has started.
type instantWorkers struct {
	gauge.Workers
	mu           sync.Mutex
	began        time.Time
	endsByWorker map[string]*unacknowledgedEnds
	stops        atomic.Int64 // expected to stay 0
}

// unacknowledgedEnds are the unacknowledged ended runs of one worker.
type unacknowledgedEnds struct {
	number int64
	list   []gauge.EndReport
	newEnd chan struct{}
}

func (w *instantWorkers) endsOf(id string) *unacknowledgedEnds {
	if w.endsByWorker[id] == nil {
		w.endsByWorker[id] = &unacknowledgedEnds{newEnd: make(chan struct{}, 1)}
	}
	return w.endsByWorker[id]
}

func (w *instantWorkers) clock() time.Duration { return time.Hour + time.Since(w.began) }

func (w *instantWorkers) Start(_ context.Context, to *gauge.Worker, c gauge.StartCall) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endsOf(to.ID)
	e.number++
	e.list = append(e.list, gauge.EndReport{Number: e.number, Task: c.Task, Run: c.Run, Ending: gauge.EndDone})
	select {
	case e.newEnd <- struct{}{}:
	default:
	}
	return w.clock(), nil
}

func (w *instantWorkers) Stop(context.Context, *gauge.Worker, gauge.StopCall) (time.Duration, error) {
	w.stops.Add(1)
	return w.clock(), nil
}

// Heartbeat waits until a run has ended that isn't acknowledged.
func (w *instantWorkers) Heartbeat(ctx context.Context, to *gauge.Worker, c gauge.Heartbeat) (*gauge.WorkerReport, error) {
	timer := time.NewTimer(c.Wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		e := w.endsOf(to.ID)
		for len(e.list) > 0 && e.list[0].Number <= c.LastSeenEnd {
			e.list = e.list[1:]
		}
		rep := &gauge.WorkerReport{Clock: w.clock(), Ended: append([]gauge.EndReport(nil), e.list...)}
		w.mu.Unlock()
		if len(rep.Ended) > 0 {
			return rep, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			// Read now: with a clock reading from before the wait, starts would expire.
			rep.Clock = w.clock()
			return rep, nil
		case <-e.newEnd:
		}
	}
}

// versionedStore accepts every transaction and gives each a version of its own.
type versionedStore struct {
	emptyStore
	version atomic.Int64
}

func (s *versionedStore) Commit(context.Context, gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	return gauge.TablePosition{Version: s.version.Add(1)}, nil, nil
}

const (
	costWorkers = 140
	costSlots   = 4
	costTasks   = 8    // per job
	costWaiting = 1000 // jobs that are submitted before the first has ended
)

// BenchmarkOwner measures a task from its job's acceptance to its end in the table, with 1,000 jobs
// waiting: the cost in the owner, without the cost of calls.
func BenchmarkOwner(b *testing.B) {
	for name, log := range map[string]logr.Logger{"logs=none": logr.Discard(), "logs=json": logs.New(io.Discard, false)} {
		b.Run(name, func(b *testing.B) { benchmarkTasks(b, log) })
	}
}

func benchmarkTasks(b *testing.B, log logr.Logger) {
	began := time.Now()
	now := func() time.Duration { return time.Second + time.Since(began) }
	table := &versionedStore{}
	table.version.Store(100)
	on := &instantWorkers{began: began, endsByWorker: make(map[string]*unacknowledgedEnds)}
	done := make(chan struct{}, costWaiting)
	ctx, cancel := context.WithCancel(b.Context())
	o := owner.New(ctx, owner.Config{
		Pool: "p", Store: table, Workers: on, Logs: log, Now: now, WallClock: time.Now,
		Lease:      tenure.New(tenure.Config{LeaseDuration: time.Hour, ClaimedAt: now(), Store: table, Now: now, TableClock: func() int64 { return 1 }}),
		OrderGrace: time.Second, LeaseExtension: 5 * time.Second, ObserveTableClock: func(gauge.TablePosition, time.Duration) {},
		TableClock: func() int64 { return 1 }, ObserveCall: func(string, time.Duration) {}, CountEvent: func(e string) {
			if e == sched.EventCompleted {
				done <- struct{}{}
			}
		},
	})
	var list []gauge.Worker
	for i := range costWorkers {
		room := gauge.Resources{MilliCPU: costSlots * 1000, MemoryMB: costSlots * 1000}
		list = append(list, gauge.Worker{ID: fmt.Sprintf("%012x", i), Pool: "p", Capacity: room})
	}
	var group sync.WaitGroup
	site := &gauge.Site{Queues: []gauge.Queue{{Name: "sheets", Pool: "p", Stretch: 2}}}
	group.Go(func() { o.Run(site, list) })
	adopted := 0
	adopt := func() bool {
		spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: costTasks, Needs: gauge.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}}}
		ok := o.Adopt(fmt.Sprintf("%016x", adopted), "sheets", spec, &gauge.JobRow{State: gauge.JobPending, Pool: "p"}, table.version.Add(1))
		if ok {
			adopted++
		}
		return ok
	}
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if adopt() {
			return poll.Success()
		}
		return poll.Continue("the owner takes jobs")
	})
	for adopted < costWaiting {
		assert.Assert(b, adopt())
	}
	b.ResetTimer()
	before := cpuTime(b)
	for range b.N {
		<-done
		assert.Assert(b, adopt())
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N*costTasks), "cpu-ns/task")
	b.StopTimer()
	cancel()
	group.Wait()
	assert.Equal(b, on.stops.Load(), int64(0), "a task had two runs")
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
