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

// successor is an owner that has taken a pool with a worker, as the row before tells.
func successor(t *testing.T, store *rows, w *site, term int, before gauge.LeaseRow) *owner.Owner {
	t.Helper()
	now := func() time.Duration { return time.Minute + time.Since(w.began) }
	clock := func() int64 { return now().Milliseconds() }
	o := run(t, store, w, logr.Discard(), func(c *owner.Config) {
		c.Term, c.Fence, c.Earlier, c.Before, c.Now, c.Clock = term, gauge.Fence(term+1), before.Workers, before, now, clock
		c.Grace, c.Hold = 6*time.Second, 4*time.Second
		c.Lease = tenure.New(tenure.Config{
			Key: gauge.RowKey{Table: gauge.TableLeases, Part: "p", Key: gauge.KeyOwner}, Holder: "e/1", Term: term,
			Lasts: 2 * time.Second, Taken: now(), Store: store, Now: now, Clock: clock,
		})
	}, free("w1"))
	time.Sleep(500 * time.Millisecond)
	synctest.Wait()
	return o
}

func newSite() *site {
	return &site{began: time.Now(), lives: make(map[string]*life), news: make(chan struct{})}
}

// Work that goes with its machine, as the next owner of a pool doesn't know that the one before has said a
// worker to be empty.
func TestNextOwnerKeepsAWorkerEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w := newRows(), newSite()
		first := successor(t, store, w, 1, gauge.LeaseRow{})
		assert.Assert(t, first.Empty("w1", false))
		first.Stop("the entry stops")
		before, _ := first.Offer()
		all, grants := before.Split()
		all.Join(&grants)

		store.job(t, "sheets", jobID(2), "p")
		successor(t, store, w, 2, all)
		starts, _ := w.counts()
		assert.Equal(t, starts, 0, "its machine may be on its way out")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		starts, _ = w.counts()
		assert.Equal(t, starts, 1, "it was not taken away")
	})
}

// Crashes that two owners in a row could not write, of which the third hears of one.
func TestOwnerHandsOnThatCrashesWereNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := successor(t, newRows(), newSite(), 1, gauge.LeaseRow{Unnoted: 1})
		row, _ := o.Offer()
		assert.Equal(t, row.Unnoted, 1)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		row, _ = o.Offer()
		assert.Equal(t, row.Unnoted, 0, "what was there then has shown by now")
	})
}

// An owner that finds another life of a worker, is killed before anything crashes under it, and hands on nothing.
func TestOwnerWritesThatItMayNotKnowOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRows()
		successor(t, store, newSite(), 1, gauge.LeaseRow{Workers: []string{"w1", "gone@1"}})
		time.Sleep(8 * time.Second) // till nothing can run there any more
		synctest.Wait()
		assert.Equal(t, store.granted().Unnoted, 1)
	})
}
