package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// store takes every transaction and has no rows.
type store struct{ gauge.Parted }

func (store) Parts(context.Context, string) ([]string, error) { return nil, nil }

func (store) Commit(context.Context, gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	return gauge.Stamp{Version: 2}, nil, nil
}

// workers answers nothing.
type workers struct{ gauge.Workers }

func (workers) Hold(context.Context, *gauge.Worker, gauge.HoldCall) (*gauge.WorkerReport, error) {
	return nil, gauge.Fail(gauge.KindUnknown, "no answer")
}

// Symptom: an entry panics, or keeps a pool that nobody runs.
// Sequence: the owner ends; its run group is being waited for; the list of workers
// changes, which begins work in that group.
// Cause: work is begun without a look at whether the owner has ended.
func TestWhatComesAsTheOwnerEndsBeginsNothing(t *testing.T) {
	for range 300 {
		ctx, cancel := context.WithCancel(context.Background())
		now := func() time.Duration { return time.Second }
		o := owner.New(ctx, owner.Config{
			Pool: "p", Store: store{}, Workers: workers{}, Logs: logr.Discard(), Now: now, Wall: time.Now,
			Lease: tenure.New(tenure.Config{Lasts: time.Hour, Store: store{}, Now: now, Clock: func() int64 { return 1 }}),
			Grace: time.Second, Hold: time.Second, Stamp: func(gauge.Stamp, time.Duration) {},
			Clock: func() int64 { return 1 }, Count: func(string, time.Duration) {}, Event: func(string) {},
		})
		var group sync.WaitGroup
		group.Go(func() { o.Run(&gauge.Site{}, nil) })
		group.Go(func() {
			for i := range 50 {
				o.List([]gauge.Worker{{ID: fmt.Sprint(i), Pool: "p"}})
			}
		})
		group.Go(cancel)
		group.Wait()
	}
}
