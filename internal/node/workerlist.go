package node

import (
	"context"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/watch"
)

// Only entries that own pools follow the list of workers. Each worker rewrites its row every second
// or two: when all entries followed the list, it made up most of what some hundred entries read
// from the table, and took a fifth of a small host's link. An entry that takes a pool reads the
// whole list while it reads the pool's jobs.

// followWorkers follows the list of workers while this entry holds or claims the lease of a pool,
// until ctx ends.
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
		n.followTable(listCtx, watch.Config{Name: n.conf.Codec.WorkerTable(), FeedWait: workerPollTimeout, PollDelay: fixedDelay(workerPollDelay), OnRows: n.applyWorkerRows})
	})
	n.workerListGate.WaitClosed(ctx, workerListLinger)
	cancel()
	group.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.workers) // by the next time the rows will have changed
}

func (n *Node) applyWorkerRows(u watch.Update) {
	n.mu.Lock()
	if u.Whole {
		clear(n.workers)
	}
	for _, r := range u.Rows {
		if r.Deleted {
			delete(n.workers, r.Key)
			continue
		}
		w, err := n.conf.Codec.DecodeWorkerRow(r)
		if err != nil {
			// An earlier row may have described a worker, which may not be valid any more.
			delete(n.workers, r.Key)
			n.conf.Logs.Error(err, "worker row not read", "worker", r.Key, "version", r.Version)
			continue
		}
		n.workers[w.ID] = *w
	}
	workers := n.workersLocked()
	owners := n.ownersLocked()
	n.mu.Unlock()
	for _, o := range owners {
		o.SetWorkers(workers)
	}
}

func (n *Node) workersLocked() []gauge.Worker {
	workers := make([]gauge.Worker, 0, len(n.workers))
	for _, w := range n.workers {
		workers = append(workers, w)
	}
	return workers
}
