package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// newSuccessor returns an owner that has claimed a pool with one worker, with the given lease row
// of the previous owner.
func newSuccessor(t *testing.T, store *rowTable, w *fakeWorkers, term int, previous gauge.LeaseRow) *owner.Owner {
	t.Helper()
	now := func() time.Duration { return time.Minute + time.Since(w.began) }
	clock := func() int64 { return now().Milliseconds() }
	o := startOwner(t, store, w, logr.Discard(), func(c *owner.Config) {
		c.Term, c.Fence, c.PreviousWorkers, c.PreviousRow, c.Now, c.TableClock = term, gauge.FencingToken(term+1), previous.Workers, previous, now, clock
		c.OrderGrace, c.LeaseExtension = 6*time.Second, 4*time.Second
		c.Lease = tenure.New(tenure.Config{
			Key: gauge.RowKey{Table: gauge.TableLeases, Partition: "p", Key: gauge.KeyOwner}, Holder: "e/1", Term: term,
			LeaseDuration: 2 * time.Second, ClaimedAt: now(), Store: store, Now: now, TableClock: clock,
		})
	}, idleWorker("w1"))
	time.Sleep(500 * time.Millisecond)
	synctest.Wait()
	return o
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{began: time.Now(), workers: make(map[string]*fakeWorker), runEnded: make(chan struct{})}
}

// Guards against tasks that are lost with their machine, because the next owner of a pool doesn't
// know that the previous one has reported the worker as drained.
func TestSuccessorKeepsWorkerDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w := newRowTable(), newFakeWorkers()
		first := newSuccessor(t, store, w, 1, gauge.LeaseRow{})
		assert.DeepEqual(t, first.DrainWorkers([]string{"w1"}, false), []string{"w1"})
		first.Stop("the entry stops")
		previous, _ := first.LeaseOffer()
		all, handover := previous.Split()
		all.Join(&handover)

		store.addJob(t, "sheets", jobID(2), "p")
		newSuccessor(t, store, w, 2, all)
		starts, _ := w.callCounts()
		assert.Equal(t, starts, 0, "its machine may be about to be removed")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		starts, _ = w.callCounts()
		assert.Equal(t, starts, 1, "the machine was not removed")
	})
}

// Guards against missed crashes: two owners in a row couldn't record all crashes, and the lease row
// informs the third of only one of them.
func TestOwnerHandsOnCountOfUnrecordedCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSuccessor(t, newRowTable(), newFakeWorkers(), 1, gauge.LeaseRow{UnrecordedOwners: 1})
		row, _ := o.LeaseOffer()
		assert.Equal(t, row.UnrecordedOwners, 1)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		row, _ = o.LeaseOffer()
		assert.Equal(t, row.UnrecordedOwners, 0, "crashes from before have become known by now")
	})
}

// Guards against missed crashes: an owner finds another incarnation of a worker, and is killed
// before anything crashes under it and before it hands the pool over.
func TestOwnerWritesThatCrashesMayBeUnrecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRowTable()
		newSuccessor(t, store, newFakeWorkers(), 1, gauge.LeaseRow{Workers: []string{"w1", "gone@1"}})
		time.Sleep(8 * time.Second) // until nothing can run there any more
		synctest.Wait()
		assert.Equal(t, store.lastHandover().UnrecordedOwners, 1)
	})
}
