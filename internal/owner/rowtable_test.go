package owner_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// rowTable is a table whose reads a test can intercept.
type rowTable struct {
	gauge.PartitionedTable
	// onRange is called before each range read is answered, with the rows that it would return; an
	// error fails the read. If nil, all reads are answered.
	onRange func(ctx context.Context, table, part string, found []gauge.PartitionRow) error

	leaseWritten chan struct{} // closed after the first write of a lease row

	mu        sync.Mutex
	stored    map[gauge.RowKey]gauge.PartitionRow
	leases    []gauge.LeaseRow             // written by the owner
	handover  map[string]gauge.HandoverRow // rows of the handover by key, as last written
	listCalls int                          // calls of Partitions
}

func newRowTable() *rowTable {
	return &rowTable{leaseWritten: make(chan struct{}), stored: make(map[gauge.RowKey]gauge.PartitionRow)}
}

func (r *rowTable) put(table, part, key string, value []byte, version int64) {
	k := gauge.RowKey{Table: table, Partition: part, Key: key}
	r.stored[k] = gauge.PartitionRow{RowKey: k, Value: value, Version: version}
}

// addJob adds a job that was accepted before the owner started.
func (r *rowTable) addJob(t *testing.T, queue, id, pool string) {
	t.Helper()
	row, err := (&gauge.JobRow{State: gauge.JobPending, Pool: pool, Accepted: 1}).Encode()
	assert.NilError(t, err)
	spec, err := gauge.EncodeJobSpec(&gauge.JobSpec{
		Payload: strings.Repeat("x", payloadBytes),
		Steps:   []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 100}}},
	})
	assert.NilError(t, err)
	r.put(gauge.TableJobs, queue, id, row, 1)
	r.put(gauge.TableSpecs, queue, id, spec, 1)
	r.put(gauge.TableOpen, queue, id, gauge.OpenJobMark{Pool: pool}.Encode(), 1)
}

// payloadBytes is the size of a typical job's payload.
const payloadBytes = 2400

func (r *rowTable) Partitions(_ context.Context, table string) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listCalls++
	var parts []string
	for k := range r.stored {
		if k.Table == table && !slices.Contains(parts, k.Partition) {
			parts = append(parts, k.Partition)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

func (r *rowTable) listCallCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listCalls
}

func (r *rowTable) Range(ctx context.Context, table, part, from, to string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	r.mu.Lock()
	var found []gauge.PartitionRow
	for k, row := range r.stored {
		if k.Table == table && k.Partition == part && k.Key >= from && (to == "" || k.Key < to) {
			found = append(found, row)
		}
	}
	r.mu.Unlock()
	slices.SortFunc(found, func(a, b gauge.PartitionRow) int { return cmp.Compare(a.Key, b.Key) })
	if r.onRange != nil {
		if err := r.onRange(ctx, table, part, found); err != nil {
			return nil, gauge.TablePosition{}, err
		}
	}
	return found, gauge.TablePosition{Version: 2}, nil
}

func (r *rowTable) Commit(_ context.Context, txn gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range txn.Writes {
		if w.Table == gauge.TableHandovers {
			handover, err := gauge.DecodeHandoverRow(w.Value)
			if err != nil {
				return gauge.TablePosition{}, nil, err
			}
			if r.handover == nil {
				r.handover = make(map[string]gauge.HandoverRow)
			}
			r.handover[w.Key] = *handover
		}
		if w.Table != gauge.TableLeases {
			continue
		}
		lease, err := gauge.DecodeLeaseRow(w.Value)
		if err != nil {
			return gauge.TablePosition{}, nil, err
		}
		if r.leases = append(r.leases, *lease); len(r.leases) == 1 {
			close(r.leaseWritten)
		}
	}
	return gauge.TablePosition{Version: 2}, nil, nil
}

func (r *rowTable) writtenLeases() []gauge.LeaseRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.leases)
}

func (r *rowTable) lastHandover() gauge.HandoverRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	handover := r.handover[gauge.KeyOwner]
	for _, i := range handover.Parts {
		part := r.handover[gauge.HandoverPartKey(gauge.KeyOwner, i)]
		handover.Merge(&part)
	}
	slices.Sort(handover.Workers)
	handover.Parts = nil
	return handover
}

func noAnswer() error { return gauge.Errorf(gauge.KindOutage, "no answer to a read") }

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// frozenClock is a clock that doesn't advance, so that no lease expires however long a test waits.
func frozenClock() time.Duration { return time.Second }

// startOwner starts an owner of pool "p" that runs until the test ends.
func startOwner(t *testing.T, store gauge.PartitionedTable, w gauge.Workers, log logr.Logger, change func(c *owner.Config), list ...gauge.Worker) *owner.Owner {
	t.Helper()
	o, run := newOwner(t, store, w, log, change)
	run(&gauge.Site{}, list...)
	return o
}

// newOwner returns an owner of pool "p", and a function that runs it until the test ends.
func newOwner(t *testing.T, store gauge.PartitionedTable, w gauge.Workers, log logr.Logger, change func(c *owner.Config)) (*owner.Owner, func(*gauge.Site, ...gauge.Worker)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := owner.Config{
		Pool: "p", Term: 1, Store: store, Workers: w, Logs: log, Now: frozenClock, WallClock: time.Now,
		Lease: tenure.New(tenure.Config{
			Key: gauge.RowKey{Table: gauge.TableLeases, Partition: "p", Key: gauge.KeyOwner}, Holder: "e/1",
			Term: 1, LeaseDuration: time.Hour, Store: store, Now: frozenClock, TableClock: func() int64 { return 5000 },
		}),
		OrderGrace: time.Second, LeaseExtension: time.Second, ObserveTableClock: func(gauge.TablePosition, time.Duration) {},
		TableClock: func() int64 { return 5000 }, ObserveCall: func(string, time.Duration) {}, CountEvent: func(string) {},
	}
	if change != nil {
		change(&c)
	}
	o := owner.New(ctx, c)
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	return o, func(site *gauge.Site, list ...gauge.Worker) { group.Go(func() { o.Run(site, list) }) }
}

// waitFor polls until a condition holds. Its timeout decides nothing but when a broken test fails.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(5*time.Millisecond))
}

// knowsJobs reports whether the owner knows the states of all the given jobs.
func knowsJobs(o *owner.Owner, queue string, jobs ...string) bool {
	for _, id := range jobs {
		if _, ok := o.JobStatus(queue, id); !ok {
			return false
		}
	}
	return true
}

// waitTimeout bounds each wait of a test.
const waitTimeout = 10 * time.Second
