package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
)

// Guards against reporting 0 waiting jobs where 1,354 wait: an owner takes over a pool and can't
// read one of its two queues yet, whose count must not be written as 0.
func TestCountOfUnreadQueueIsNotReported(t *testing.T) {
	store := newRowTable()
	store.addJob(t, "parts", jobID(1), "p")
	store.addJob(t, "sheets", jobID(2), "p")
	store.onRange = func(_ context.Context, table, part string, _ []gauge.PartitionRow) error {
		if table == gauge.TableOpen && part == "sheets" {
			return noAnswer()
		}
		return nil
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), nil)
	waitFor(t, "pool loaded", func() bool { return knowsJobs(o, "parts", jobID(1)) })
	before := len(store.writtenLeases())
	waitFor(t, "written twice", func() bool { return len(store.writtenLeases()) > before+1 })
	leases := store.writtenLeases()
	last := leases[len(leases)-1]
	waiting, known := last.Depth("parts")
	assert.Assert(t, known)
	assert.Equal(t, waiting, 1)
	_, known = last.Depth("sheets")
	assert.Assert(t, !known, "%v", last)
	_, known = o.QueueDepth("sheets")
	assert.Assert(t, !known)
	waiting, known = o.QueueDepth("parts")
	assert.Assert(t, known)
	assert.Equal(t, waiting, 1)
}

// Guards against reporting 0 waiting jobs where hundreds wait: an owner takes over a pool and
// renews the lease before it has read the jobs. The counts of the previous owner must stay until
// then.
func TestPreviousOwnersCountIsReportedUntilPoolIsRead(t *testing.T) {
	store := newRowTable()
	store.addJob(t, "sheets", jobID(1), "p")
	store.onRange = func(ctx context.Context, _, _ string, _ []gauge.PartitionRow) error {
		<-ctx.Done()
		return noAnswer()
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), func(c *owner.Config) {
		c.PreviousRow = gauge.LeaseRow{Depths: map[string]int{"sheets": 7}, UnreadQueues: []string{"parts"}, Counted: 4000}
	})
	waitFor(t, "lease renewed", func() bool { return len(store.writtenLeases()) > 0 })
	lease := store.writtenLeases()[0]
	waiting, known := lease.Depth("sheets")
	assert.Assert(t, known)
	assert.Equal(t, waiting, 7)
	_, known = lease.Depth("parts")
	assert.Assert(t, !known)
	assert.Equal(t, lease.Counted, int64(4000), "the time of the count is kept")
	_, known = o.QueueDepth("sheets")
	assert.Assert(t, !known, "this owner hasn't counted")
}

// Guards against reporting 0 waiting jobs where 12 have waited for five seconds: an entry that
// can't reach the owner stores jobs itself, its notifications are lost, and the table refuses the
// owner's scans for such jobs. A count must not be reported long after the last successful scan.
func TestCountIsNotReportedLongAfterLastSuccessfulScan(t *testing.T) {
	store := newRowTable()
	store.addJob(t, "sheets", jobID(1), "p")
	var now atomic.Int64
	now.Store(int64(time.Second))
	var scansFail atomic.Bool
	store.onRange = func(_ context.Context, table, _ string, _ []gauge.PartitionRow) error {
		if table == gauge.TableOpen && scansFail.Load() {
			return noAnswer()
		}
		return nil
	}
	o := startOwner(t, store, silentWorkers{}, logr.Discard(), func(c *owner.Config) {
		c.Now = func() time.Duration { return time.Duration(now.Load()) }
	})
	reported := func() bool {
		_, known := o.QueueDepth("sheets")
		return known
	}
	leaseHasCount := func() bool {
		before := len(store.writtenLeases())
		waitFor(t, "written", func() bool { return len(store.writtenLeases()) > before+1 })
		leases := store.writtenLeases()
		_, known := leases[len(leases)-1].Depth("sheets")
		return known
	}
	waitFor(t, "count reported", reported)
	o.Configure(&gauge.Site{Queues: []gauge.Queue{{Name: "sheets", Pool: "p"}}})
	assert.Assert(t, leaseHasCount())
	scansFail.Store(true)
	now.Add(int64(2900 * time.Millisecond))
	assert.Assert(t, reported(), "the last successful scan is recent")
	now.Add(int64(200 * time.Millisecond))
	assert.Assert(t, !reported())
	assert.Assert(t, !leaseHasCount(), "nor does the lease row have it")
	scansFail.Store(false)
	waitFor(t, "count reported after the next scan", reported)
}
