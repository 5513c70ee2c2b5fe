package owner_test

import (
	"context"
	"fmt"
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

// emptyStore accepts every transaction and has no rows.
type emptyStore struct{ gauge.PartitionedTable }

func (emptyStore) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (emptyStore) Commit(context.Context, gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	return gauge.TablePosition{Version: 2}, nil, nil
}

// silentWorkers answers no heartbeat.
type silentWorkers struct{ gauge.Workers }

func (silentWorkers) Heartbeat(context.Context, *gauge.Worker, gauge.Heartbeat) (*gauge.WorkerReport, error) {
	return nil, gauge.Errorf(gauge.KindUnknown, "no answer")
}

// Guards against an entry that panics, or that keeps a pool nobody runs: the owner ends and its run
// group is being waited for when the list of workers changes, which must not start work in that
// group.
func TestWorkerListAfterEndStartsNoWork(t *testing.T) {
	for range 300 {
		ctx, cancel := context.WithCancel(context.Background())
		now := func() time.Duration { return time.Second }
		o := owner.New(ctx, owner.Config{
			Pool: "p", Store: emptyStore{}, Workers: silentWorkers{}, Logs: logr.Discard(), Now: now, WallClock: time.Now,
			Lease:      tenure.New(tenure.Config{LeaseDuration: time.Hour, Store: emptyStore{}, Now: now, TableClock: func() int64 { return 1 }}),
			OrderGrace: time.Second, LeaseExtension: time.Second, ObserveTableClock: func(gauge.TablePosition, time.Duration) {},
			TableClock: func() int64 { return 1 }, ObserveCall: func(string, time.Duration) {}, CountEvent: func(string) {},
		})
		var group sync.WaitGroup
		group.Go(func() { o.Run(&gauge.Site{}, nil) })
		group.Go(func() {
			for i := range 50 {
				o.SetWorkers([]gauge.Worker{{ID: fmt.Sprint(i), Pool: "p"}}, int64(i))
			}
		})
		group.Go(cancel)
		group.Wait()
	}
}

// countingWorkers answers the first heartbeat only, and counts starts.
type countingWorkers struct {
	gauge.Workers
	mu         sync.Mutex
	heartbeats int
	starts     int
	sent       chan struct{} // signals that a start has arrived
}

func (c *countingWorkers) Heartbeat(ctx context.Context, _ *gauge.Worker, _ gauge.Heartbeat) (*gauge.WorkerReport, error) {
	c.mu.Lock()
	c.heartbeats++
	first := c.heartbeats == 1
	c.mu.Unlock()
	if !first {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &gauge.WorkerReport{Clock: time.Hour}, nil
}

func (c *countingWorkers) Start(context.Context, *gauge.Worker, gauge.StartCall) (time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.sent <- struct{}{}
	return time.Hour, nil
}

// Guards against two owners giving orders to one worker: an owner decides on a start, and its
// machine is suspended before the order is sent; the lease expires, another entry claims the pool,
// and the machine resumes. The lease must be checked when the order is sent.
func TestOrderIsNotSentAfterSuspension(t *testing.T) {
	var mu sync.Mutex
	clock := time.Second
	now := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return clock
	}
	failed := make(chan struct{}, 1)
	log := funcr.New(func(_, line string) {
		if strings.Contains(line, `"msg"="run starts"`) {
			mu.Lock()
			clock += time.Hour // suspended right after the decision
			mu.Unlock()
		}
		if strings.Contains(line, `"msg"="order failed"`) {
			failed <- struct{}{}
		}
	}, funcr.Options{})
	w := &countingWorkers{sent: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	o := owner.New(ctx, owner.Config{
		Pool: "p", Store: emptyStore{}, Workers: w, Logs: log, Now: now, WallClock: time.Now,
		Lease:      tenure.New(tenure.Config{LeaseDuration: 2 * time.Second, ClaimedAt: now(), Store: emptyStore{}, Now: now, TableClock: func() int64 { return 1 }}),
		OrderGrace: time.Second, LeaseExtension: time.Second, ObserveTableClock: func(gauge.TablePosition, time.Duration) {},
		TableClock: func() int64 { return 1 }, ObserveCall: func(string, time.Duration) {}, CountEvent: func(string) {},
	})
	var group sync.WaitGroup
	group.Go(func() {
		o.Run(&gauge.Site{}, []gauge.Worker{{ID: "w1", Pool: "p", Capacity: gauge.Resources{MilliCPU: 1000, MemoryMB: 1000}}})
	})
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 100}}}}
	row := &gauge.JobRow{State: gauge.JobPending, Pool: "p"}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if o.Adopt("00000000000000a1", "sheets", spec, row, 7) {
			return poll.Success()
		}
		return poll.Continue("the owner takes jobs")
	})
	select {
	case <-failed:
	case <-w.sent:
	}
	cancel()
	group.Wait()
	assert.Equal(t, w.starts, 0)
}
