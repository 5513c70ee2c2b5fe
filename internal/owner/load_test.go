package owner_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
)

// Guards against a pool that passes from entry to entry without anyone running it: reading the jobs
// of a large pool takes longer than the lease duration, so that another entry claims the lease and
// reads them again. The lease must be renewed while the pool loads.
func TestLeaseIsRenewedWhilePoolLoads(t *testing.T) {
	store := newRowTable()
	store.addJob(t, "sheets", jobID(1), "p")
	store.onRange = func(ctx context.Context, table, _ string, _ []gauge.PartitionRow) error {
		if table != gauge.TableSpecs {
			return nil
		}
		select {
		case <-store.leaseWritten:
			return nil
		case <-ctx.Done():
			return noAnswer()
		}
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), nil)
	waitFor(t, "pool loaded", func() bool { return knowsJobs(o, "sheets", jobID(1)) })
}

// Guards against a pool with 1,000 jobs never being read at an entry with a slow link, where no
// answer of more than a few hundred kilobytes arrives before the call times out. The jobs must not
// be read all at once.
func TestLargeQueueIsReadInChunks(t *testing.T) {
	const jobs = 1000
	const maxAnswerBytes = 256 << 10
	store := newRowTable()
	var ids []string
	for n := range jobs {
		ids = append(ids, jobID(n))
		store.addJob(t, "sheets", jobID(n), "p")
	}
	store.onRange = func(_ context.Context, _, _ string, found []gauge.PartitionRow) error {
		size := 0
		for _, r := range found {
			size += len(r.Value)
		}
		if size > maxAnswerBytes {
			return noAnswer()
		}
		return nil
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), nil)
	waitFor(t, "all jobs read", func() bool { return knowsJobs(o, "sheets", ids...) })
}

// Guards against a large queue being read again and again without ever being complete: on a slow
// link a read of more than a hundred specs times out, and every third read gets no answer. What was
// read before a failure must be kept.
func TestChunksReadBeforeFailureAreKept(t *testing.T) {
	const jobs = 400
	store := newRowTable()
	var ids []string
	for n := range jobs {
		ids = append(ids, jobID(n))
		store.addJob(t, "sheets", jobID(n), "p")
	}
	var reads, specs atomic.Int64
	store.onRange = func(_ context.Context, table, _ string, found []gauge.PartitionRow) error {
		if table != gauge.TableSpecs {
			return nil
		}
		if reads.Add(1)%3 == 1 || len(found) > 100 {
			return noAnswer()
		}
		specs.Add(int64(len(found)))
		return nil
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), nil)
	waitFor(t, "all jobs read", func() bool { return knowsJobs(o, "sheets", ids...) })
	assert.Equal(t, specs.Load(), int64(jobs), "each spec was read once")
}

// Guards against an entry with a slow link reading rows it doesn't need: a queue has two jobs of
// this pool with five hundred of another pool in between.
func TestSpecsOfOtherPoolsAreNotRead(t *testing.T) {
	store := newRowTable()
	for n := range 502 {
		pool := "q"
		if n == 0 || n == 501 {
			pool = "p"
		}
		store.addJob(t, "sheets", jobID(n), pool)
	}
	var specs atomic.Int64
	store.onRange = func(_ context.Context, table, _ string, found []gauge.PartitionRow) error {
		if table == gauge.TableSpecs {
			specs.Add(int64(len(found)))
		}
		return nil
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), nil)
	waitFor(t, "jobs read", func() bool { return knowsJobs(o, "sheets", jobID(0), jobID(501)) })
	assert.Equal(t, specs.Load(), int64(2))
}

// reportingWorkers are workers whose heartbeats are answered when the test says so, with the given
// runs.
type reportingWorkers struct {
	gauge.Workers
	runs    map[string][]gauge.RunReport
	report  map[string]chan struct{} // a receive lets one heartbeat of the worker be answered
	applied map[string]chan struct{} // sent when the next heartbeat arrives, after the report has been applied

	mu       sync.Mutex
	reported map[string]bool
}

func newReportingWorkers(runs map[string][]gauge.RunReport, ids ...string) *reportingWorkers {
	r := &reportingWorkers{runs: runs, report: make(map[string]chan struct{}), applied: make(map[string]chan struct{}), reported: make(map[string]bool)}
	for _, id := range ids {
		r.report[id], r.applied[id] = make(chan struct{}), make(chan struct{})
	}
	return r
}

func (r *reportingWorkers) Heartbeat(ctx context.Context, w *gauge.Worker, _ gauge.Heartbeat) (*gauge.WorkerReport, error) {
	r.mu.Lock()
	again := r.reported[w.ID]
	r.reported[w.ID] = true
	r.mu.Unlock()
	if again {
		select {
		case r.applied[w.ID] <- struct{}{}:
		case <-ctx.Done():
		}
	}
	select {
	case <-r.report[w.ID]:
		return &gauge.WorkerReport{Clock: time.Hour, Running: r.runs[w.ID]}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *reportingWorkers) Start(context.Context, *gauge.Worker, gauge.StartCall) (time.Duration, error) {
	return time.Hour, nil
}

// reportOnce lets a worker's heartbeat be answered, and waits until its report has been applied.
func (r *reportingWorkers) reportOnce(ctx context.Context, id string) {
	select {
	case r.report[id] <- struct{}{}:
	case <-ctx.Done():
		return
	}
	select {
	case <-r.applied[id]:
	case <-ctx.Done():
	}
}

// Guards against two concurrent runs of one task: an owner takes over a pool and can't read one
// queue at first. While it is being read, a worker reports a run of a job in that queue, which
// isn't known yet; then the job is adopted. Workers that reported during the read must not count as
// having reported that run.
func TestTaskOfJobReadLateIsNotStartedAgain(t *testing.T) {
	store := newRowTable()
	store.addJob(t, "parts", jobID(1), "q")
	store.addJob(t, "sheets", jobID(2), "p")
	w := newReportingWorkers(map[string][]gauge.RunReport{"w1": {{Task: gauge.TaskID{Job: jobID(2)}, Run: 1}}}, "w1", "w2")
	var tries atomic.Int64
	store.onRange = func(ctx context.Context, table, part string, _ []gauge.PartitionRow) error {
		if table != gauge.TableOpen || part != "sheets" {
			return nil
		}
		switch tries.Add(1) {
		case 1:
			return noAnswer()
		case 2:
			w.reportOnce(ctx, "w1")
			w.reportOnce(ctx, "w2")
		}
		return nil
	}
	var started atomic.Bool
	log := funcr.New(func(_, line string) {
		if strings.Contains(line, `"msg"="run starts"`) {
			started.Store(true)
		}
	}, funcr.Options{})
	o := startOwner(t, store, w, log, nil, idleWorker("w1"), idleWorker("w2"))
	waitFor(t, "job read", func() bool { return knowsJobs(o, "sheets", jobID(2)) })
	lists := store.listCallCount()
	waitFor(t, "plans made", func() bool { return store.listCallCount() > lists+1 })
	assert.Assert(t, !started.Load())
}

func idleWorker(id string) gauge.Worker {
	return gauge.Worker{ID: id, Pool: "p", Capacity: gauge.Resources{MilliCPU: 1000, MemoryMB: 1000}}
}

// Guards against a pool that starts nothing under a lease that is renewed: an entry claims the pool
// and can write, but can't read any of its jobs.
func TestUnreadablePoolIsGivenUp(t *testing.T) {
	store := newRowTable()
	store.addJob(t, "sheets", jobID(1), "p")
	store.onRange = func(context.Context, string, string, []gauge.PartitionRow) error { return noAnswer() }
	var clockReads atomic.Int64
	startOwner(t, store, silentWorkers{}, logr.Discard(), func(c *owner.Config) {
		c.Now = func() time.Duration { return time.Second + time.Duration(clockReads.Add(1))*100*time.Millisecond }
	})
	waitFor(t, "lease given up", func() bool {
		return slices.ContainsFunc(store.writtenLeases(), func(r gauge.LeaseRow) bool { return r.Term == 1 && r.Holder == "" })
	})
}
