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

// rows is a table whose reads are answered as a test says.
type rows struct {
	gauge.Parted
	// onRange is asked before each read of a range is answered, with the rows that
	// it would return; nil: all are answered.
	onRange func(ctx context.Context, table, part string, found []gauge.PartRow) error

	wrote chan struct{} // closed when a lease was written

	mu     sync.Mutex
	kept   map[gauge.RowKey]gauge.PartRow
	leases []gauge.LeaseRow // written by the owner
	grants gauge.GrantRow   // as it was written last
	lists  int              // of the parts of a table
}

func newRows() *rows {
	return &rows{wrote: make(chan struct{}), kept: make(map[gauge.RowKey]gauge.PartRow)}
}

func (r *rows) put(table, part, key string, value []byte, version int64) {
	k := gauge.RowKey{Table: table, Part: part, Key: key}
	r.kept[k] = gauge.PartRow{RowKey: k, Value: value, Version: version}
}

// job puts a job that was accepted before the owner came.
func (r *rows) job(t *testing.T, queue, id, pool string) {
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
	r.put(gauge.TableOpen, queue, id, gauge.Mark{Pool: pool}.Encode(), 1)
}

// payloadBytes is the size of a usual job's payload at the users' site.
const payloadBytes = 2400

func (r *rows) Parts(_ context.Context, table string) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	var parts []string
	for k := range r.kept {
		if k.Table == table && !slices.Contains(parts, k.Part) {
			parts = append(parts, k.Part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

func (r *rows) listed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

func (r *rows) Range(ctx context.Context, table, part, from, to string) ([]gauge.PartRow, gauge.Stamp, error) {
	r.mu.Lock()
	var found []gauge.PartRow
	for k, row := range r.kept {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			found = append(found, row)
		}
	}
	r.mu.Unlock()
	slices.SortFunc(found, func(a, b gauge.PartRow) int { return cmp.Compare(a.Key, b.Key) })
	if r.onRange != nil {
		if err := r.onRange(ctx, table, part, found); err != nil {
			return nil, gauge.Stamp{}, err
		}
	}
	return found, gauge.Stamp{Version: 2}, nil
}

func (r *rows) Commit(_ context.Context, txn gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range txn.Writes {
		if w.Table == gauge.TableGrants {
			grants, err := gauge.DecodeGrantRow(w.Value)
			if err != nil {
				return gauge.Stamp{}, nil, err
			}
			r.grants = *grants
		}
		if w.Table != gauge.TableLeases {
			continue
		}
		lease, err := gauge.DecodeLeaseRow(w.Value)
		if err != nil {
			return gauge.Stamp{}, nil, err
		}
		if r.leases = append(r.leases, *lease); len(r.leases) == 1 {
			close(r.wrote)
		}
	}
	return gauge.Stamp{Version: 2}, nil, nil
}

func (r *rows) written() []gauge.LeaseRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.leases)
}

func (r *rows) granted() gauge.GrantRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.grants
}

func away() error { return gauge.Fail(gauge.KindOutage, "no answer to a read") }

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// still is a clock that stands still: no lease runs out, whatever a test waits for.
func still() time.Duration { return time.Second }

// run starts an owner of pool "p", until the test ends.
func run(t *testing.T, store gauge.Parted, w gauge.Workers, log logr.Logger, change func(c *owner.Config), list ...gauge.Worker) *owner.Owner {
	t.Helper()
	o, begin := built(t, store, w, log, change)
	begin(&gauge.Site{}, list...)
	return o
}

// built makes an owner of pool "p", and a function that has it run until the test ends.
func built(t *testing.T, store gauge.Parted, w gauge.Workers, log logr.Logger, change func(c *owner.Config)) (*owner.Owner, func(*gauge.Site, ...gauge.Worker)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := owner.Config{
		Pool: "p", Term: 1, Store: store, Workers: w, Logs: log, Now: still, Wall: time.Now,
		Lease: tenure.New(tenure.Config{
			Key: gauge.RowKey{Table: gauge.TableLeases, Part: "p", Key: gauge.KeyOwner}, Holder: "e/1",
			Term: 1, Lasts: time.Hour, Store: store, Now: still, Clock: func() int64 { return 5000 },
		}),
		Grace: time.Second, Hold: time.Second, Stamp: func(gauge.Stamp, time.Duration) {},
		Clock: func() int64 { return 5000 }, Count: func(string, time.Duration) {}, Event: func(string) {},
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

// until waits for something; nothing is decided by how long it takes.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
}

// knows tells whether the owner can tell how far all of some jobs are.
func knows(o *owner.Owner, queue string, jobs ...string) bool {
	for _, id := range jobs {
		if _, ok := o.State(queue, id); !ok {
			return false
		}
	}
	return true
}

// patience bounds each wait of a test; nothing is decided by it.
const patience = 10 * time.Second
