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

// darkSite has a worker that never answers.
type darkSite struct{ *site }

func (d darkSite) Hold(ctx context.Context, w *gauge.Worker, c gauge.HoldCall) (*gauge.WorkerReport, error) {
	if w.ID != "dark" {
		return d.site.Hold(ctx, w, c)
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return nil, gauge.Fail(gauge.KindUnknown, "no answer")
}

// Symptom: lasting tasks stand still for sixteen seconds while there is room for them.
// Sequence: a rack goes dark; entries are stopped in turn, so that the pool is handed over
// every three seconds; each owner waits for the dark workers until what may have been
// granted to them has surely run out, six seconds from when it took the pool.
// Cause: how far that reaches isn't handed over with the pool. Nobody has granted anything
// to those workers since the first of these owners took it.
func TestSilentWorkersAreWaitedForOnceNotWithEachOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Minute + time.Since(began) }
		clock := func() int64 { return now().Milliseconds() }
		store := newRows()
		store.job(t, "sheets", jobID(2), "p")
		w := darkSite{&site{began: began, lives: make(map[string]*life), news: make(chan struct{})}}
		take := func(term int, before gauge.LeaseRow) *owner.Owner {
			return run(t, store, w, logr.Discard(), func(c *owner.Config) {
				c.Term, c.Fence, c.Earlier, c.Before, c.Now, c.Clock = term, gauge.Fence(term+1), before.Workers, before, now, clock
				c.Grace, c.Hold = 6*time.Second, 4*time.Second
				c.Lease = tenure.New(tenure.Config{
					Key: gauge.RowKey{Table: gauge.TableLeases, Part: "p", Key: gauge.KeyOwner}, Holder: "e/1", Term: term,
					Lasts: 2 * time.Second, Taken: now(), Store: store, Now: now, Clock: clock,
				})
			}, free("sound"), free("dark"))
		}
		before := gauge.LeaseRow{Workers: []string{"dark"}} // of the owner before these
		for term := range 3 {
			o := take(term+1, before)
			time.Sleep(3 * time.Second)
			synctest.Wait()
			if starts, _ := w.counts(); term < 2 {
				assert.Equal(t, starts, 0, "the task may run on the dark worker yet")
			} else {
				assert.Equal(t, starts, 1, "nine seconds after anything may have been granted")
			}
			o.Stop("the entry stops")
			before, _ = o.Offer()
		}
	})
}
