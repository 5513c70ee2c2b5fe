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
func TestOlderConfigurationDoesNotReplaceNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRowTable()
		o, run := newOwner(t, store, silentWorkers{}, logr.Discard(), nil)
		o.Configure(&gauge.Site{Version: 2, Queues: []gauge.Queue{{Name: "charts", Pool: "p"}}})
		run(&gauge.Site{Version: 1})
		time.Sleep(time.Second)
		synctest.Wait()
		store.mu.Lock()
		store.addJob(t, "charts", jobID(1), "p") // its notification is lost
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Assert(t, knowsJobs(o, "charts", jobID(1)))
	})
}

// Guards against an owner calling a worker that has left: an entry claims a pool while the list of
// workers changes, so the owner receives the new list before Run, which then passes the older one.
// The list passed to Run must not replace a newer one.
func TestOlderWorkerListDoesNotReplaceNewerOne(t *testing.T) {
	var calls sync.Map
	o, run := newOwner(t, newRowTable(), recordingWorkers{calls: &calls}, logr.Discard(), nil)
	o.SetWorkers([]gauge.Worker{idleWorker("stays")}, 1)
	run(&gauge.Site{Version: 1}, idleWorker("stays"), idleWorker("left"))
	waitFor(t, "the one that stays is called", func() bool {
		_, called := calls.Load("stays")
		return called
	})
	o.Stop("the entry stops")
	_, called := calls.Load("left")
	assert.Assert(t, !called)
}

// recordingWorkers records which workers were called.
type recordingWorkers struct {
	gauge.Workers
	calls *sync.Map
}

func (n recordingWorkers) Heartbeat(_ context.Context, w *gauge.Worker, _ gauge.Heartbeat) (*gauge.WorkerReport, error) {
	n.calls.Store(w.ID, true)
	return nil, gauge.Errorf(gauge.KindUnknown, "no answer")
}
