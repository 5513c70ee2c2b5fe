package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// Guards against two runs of a task: an owner is replaced before its lease is over, as it neither renews it nor
// answers, and goes on beside a worker that nobody else reaches. Its successor ends soon, and the next owner counts
// 6 s from its own claim alone.
func TestOwnerWaitsForTheOwnerBeforeItsPredecessor(t *testing.T) {
	const (
		grace     = 6 * time.Second
		leaseLeft = 950 * time.Millisecond // of the first owner's lease at the second one's claim
		tenureOf2 = 100 * time.Millisecond
	)
	for _, handsOver := range []bool{true, false} {
		t.Run(fmt.Sprint("hands over ", handsOver), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				now := func() time.Duration { return time.Minute + time.Since(began) }
				clock := func() int64 { return now().Milliseconds() }
				store := newRowTable()
				store.addJob(t, "sheets", jobID(2), "p")
				w := workersWithOneSilent{&fakeWorkers{began: began, workers: make(map[string]*fakeWorker), runEnded: make(chan struct{})}}
				take := func(term int, previous gauge.LeaseRow, left time.Duration) *owner.Owner {
					return startOwner(t, store, w, logr.Discard(), func(c *owner.Config) {
						c.Term, c.Fence, c.PreviousWorkers, c.PreviousRow, c.PreviousLeaseLeft, c.Now, c.TableClock = term, gauge.FencingToken(term+1), previous.Workers, previous, left, now, clock
						c.OrderGrace, c.LeaseExtension = grace, 4*time.Second
						c.Lease = tenure.New(tenure.Config{
							Key: gauge.RowKey{Table: gauge.TableLeases, Partition: "p", Key: gauge.KeyOwner}, Holder: "e/1", Term: term,
							LeaseDuration: 2 * time.Second, ClaimedAt: now(), Store: store, Now: now, TableClock: clock,
						})
					}, idleWorker("working"), idleWorker("silent"))
				}
				second := take(1, gauge.LeaseRow{Holder: "e/0", Workers: []string{"silent", "working"}}, leaseLeft)
				time.Sleep(tenureOf2)
				second.Stop("the entry stops")
				row, _ := second.LeaseOffer()
				if !handsOver { // as it stood in the table when the entry was killed
					row.Holder, row.RemainingLeases = "e/1", nil
				}
				take(2, row, 0)
				time.Sleep(leaseLeft + grace - tenureOf2 - time.Millisecond)
				synctest.Wait()
				starts, _ := w.callCounts()
				assert.Equal(t, starts, 0, "the first owner's orders may reach %v beyond the second one's claim", leaseLeft+grace)
			})
		})
	}
}
