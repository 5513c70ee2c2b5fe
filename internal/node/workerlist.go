package node

import (
	"context"
	"slices"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/watch"
)

// Each worker rewrites its row every second or two, so following the list of workers costs as much
// as the whole site is large. The fleet lease holder follows it for all owners of pools, see
// poolworkers.go. Any other entry does so only while it owns a pool and the holder doesn't tell it of
// that pool's workers.

// followWorkers follows the list of workers while that is necessary, until ctx ends.
func (n *Node) followWorkers(ctx context.Context) {
	for n.workerListGate.WaitOpen(ctx) {
		n.followWorkerList(ctx)
	}
}

// followWorkerList follows the list of workers until it has not been needed for workerListLinger.
func (n *Node) followWorkerList(ctx context.Context) {
	listCtx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() {
		n.followTable(listCtx, watch.Config{Name: n.conf.Codec.WorkerTable(), FeedWait: workerPollTimeout, MaxFeedLag: maxFeedLag, PollDelay: fixedDelay(workerPollDelay), OnRows: n.applyWorkerRows})
	})
	n.workerListGate.WaitClosed(ctx, workerListLinger)
	cancel()
	group.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.workers) // by the next time the rows will have changed
	n.workersVersion = 0
	n.filter = n.newFilter()
}

// applyWorkerRows applies rows of the list of workers that this entry has read itself.
func (n *Node) applyWorkerRows(u watch.Update) {
	n.mu.Lock()
	if u.Whole {
		clear(n.workers)
	}
	for _, r := range u.Rows {
		w, err := n.decodeWorker(r)
		if err != nil {
			// An earlier row may have described a worker, which may not be valid any more.
			n.conf.Logs.Error(err, "worker row not read", "worker", r.Key, "version", r.Version)
		}
		if w == nil {
			delete(n.workers, r.Key)
			continue
		}
		n.workers[w.ID] = *w
	}
	n.workersVersion = u.Version
	if n.filter.Apply(u.Rows, u.Whole, u.Version) {
		close(n.workersChanged)
		n.workersChanged = make(chan struct{})
	}
	workers := n.workersLocked()
	owners := n.ownersLocked()
	n.mu.Unlock()
	for _, o := range owners {
		o.SetWorkers(workers, u.Version)
	}
}

// decodeWorker decodes a worker's row; nil: there is no such worker.
func (n *Node) decodeWorker(r gauge.PartitionRow) (*gauge.Worker, error) {
	if r.Deleted {
		return nil, nil
	}
	return n.conf.Codec.DecodeWorkerRow(r)
}

func (n *Node) workersLocked() []gauge.Worker {
	workers := make([]gauge.Worker, 0, len(n.workers))
	for _, w := range n.workers {
		workers = append(workers, w)
	}
	return workers
}

// updateWorkerListGate opens the gate of the worker list while this entry holds the fleet lease, or
// owns a pool whose workers it isn't told of, and shuts it otherwise. A claim doesn't open it: where
// a lease is free, hundreds of entries claim it at once, and one of them gets it. n.mu is held.
func (n *Node) updateWorkerListGate() {
	n.workerListGate.Set(n.fleet != nil || len(n.poolsWithoutUpdates) > 0)
}

// ownWorkers returns the workers of a pool in the list that this entry has read itself, with the
// version as of which it is; 0: it has none.
func (n *Node) ownWorkers(pool string) ([]gauge.Worker, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	workers := n.workersLocked()
	return slices.DeleteFunc(workers, func(w gauge.Worker) bool { return w.Pool != pool }), n.workersVersion
}
