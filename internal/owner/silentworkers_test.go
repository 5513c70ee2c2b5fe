package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// workersWithOneSilent has a worker that never answers.
type workersWithOneSilent struct{ *fakeWorkers }

func (d workersWithOneSilent) Heartbeat(ctx context.Context, w *gauge.Worker, c gauge.Heartbeat) (*gauge.WorkerReport, error) {
	if w.ID != "silent" {
		return d.fakeWorkers.Heartbeat(ctx, w, c)
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return nil, gauge.Errorf(gauge.KindUnknown, "no answer")
}

// Guards against long-running tasks that don't run for sixteen seconds while there is room for
// them: a rack fails and entries are stopped in turn, so that the pool is handed over every three
// seconds. Each owner waits until whatever may have been granted to the silent workers has expired,
// six seconds after it claimed the pool. The time at which that ends has to be handed over with the
// pool, because nobody has granted anything to those workers since the first of these owners
// claimed it.
func TestSilentWorkersAreWaitedForOnceAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Minute + time.Since(began) }
		clock := func() int64 { return now().Milliseconds() }
		store := newRowTable()
		store.addJob(t, "sheets", jobID(2), "p")
		w := workersWithOneSilent{&fakeWorkers{began: began, workers: make(map[string]*fakeWorker), runEnded: make(chan struct{})}}
		take := func(term int, previous gauge.LeaseRow) *owner.Owner {
			return startOwner(t, store, w, logr.Discard(), func(c *owner.Config) {
				c.Term, c.Fence, c.PreviousWorkers, c.PreviousRow, c.Now, c.TableClock = term, gauge.FencingToken(term+1), previous.Workers, previous, now, clock
				c.OrderGrace, c.LeaseExtension = 6*time.Second, 4*time.Second
				c.Lease = tenure.New(tenure.Config{
					Key: gauge.RowKey{Table: gauge.TableLeases, Partition: "p", Key: gauge.KeyOwner}, Holder: "e/1", Term: term,
					LeaseDuration: 2 * time.Second, ClaimedAt: now(), Store: store, Now: now, TableClock: clock,
				})
			}, idleWorker("working"), idleWorker("silent"))
		}
		previous := gauge.LeaseRow{Workers: []string{"silent"}} // of the previous owner
		for term := range 3 {
			o := take(term+1, previous)
			time.Sleep(3 * time.Second)
			synctest.Wait()
			if starts, _ := w.callCounts(); term < 2 {
				assert.Equal(t, starts, 0, "the task may still run on the silent worker")
			} else {
				assert.Equal(t, starts, 1, "nine seconds after anything may have been granted")
			}
			o.Stop("the entry stops")
			previous, _ = o.LeaseOffer()
		}
	})
}
