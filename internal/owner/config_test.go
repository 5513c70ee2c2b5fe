package owner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against jobs of a queue that was just added being found seconds late: an entry claims a
// pool while the configuration changes, so the owner receives the new configuration before Run,
// which then passes the older one. If the one that arrives last replaced the newer one, scans would
// not find the job.
func TestOlderConfigurationDoesNotReplaceANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRows()
		o, begin := built(t, store, workers{}, logr.Discard(), nil)
		o.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{Name: "charts", Pool: "p"}}})
		begin(&gauge.Site{Version: 1})
		time.Sleep(time.Second)
		synctest.Wait()
		store.mu.Lock()
		store.job(t, "charts", jobID(1), "p") // its notification is lost
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Assert(t, knows(o, "charts", jobID(1)))
	})
}

// Guards against an owner calling a worker that has left: an entry claims a pool while the list of
// workers changes, so the owner receives the new list before Run, which then passes the older one.
// The list passed to Run must not replace a newer one.
func TestOlderListOfWorkersDoesNotReplaceANewerOne(t *testing.T) {
	var calls sync.Map
	o, begin := built(t, newRows(), noted{calls: &calls}, logr.Discard(), nil)
	o.List([]gauge.Worker{free("stays")})
	begin(&gauge.Site{Version: 1}, free("stays"), free("left"))
	until(t, "the one that stays is called", func() bool {
		_, called := calls.Load("stays")
		return called
	})
	o.Stop("the entry stops")
	_, called := calls.Load("left")
	assert.Assert(t, !called)
}

// noted records which workers were called.
type noted struct {
	gauge.Workers
	calls *sync.Map
}

func (n noted) Hold(_ context.Context, w *gauge.Worker, _ gauge.HoldCall) (*gauge.WorkerReport, error) {
	n.calls.Store(w.ID, true)
	return nil, gauge.Fail(gauge.KindUnknown, "no answer")
}
