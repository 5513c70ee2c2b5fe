package node

import (
	"context"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/watch"
)

// The list of workers is followed by entries that own pools alone. Each worker rewrites
// its row every second or two: followed by all entries, the list was most of what some
// hundred entries read from the table, and took a fifth of a weak host's link. An entry
// that takes a pool reads it whole, beside the pool's jobs.

func (n *Node) followWorkers(ctx context.Context) {
	for n.listing.Open(ctx) {
		n.followList(ctx)
	}
}

// followList follows the list until it isn't wanted any more.
func (n *Node) followList(ctx context.Context) {
	wanted, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() {
		n.follow(wanted, watch.Config{Name: n.conf.Words.WorkerTable(), Wait: workerWait, Pause: always(workerPause), Tell: n.toldWorkers})
	})
	n.listing.Shut(ctx, listLinger)
	cancel()
	group.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.workers) // what is read next time is another state
}

func (n *Node) toldWorkers(rows []gauge.PartRow, whole bool) {
	n.mu.Lock()
	if whole {
		clear(n.workers)
	}
	for _, r := range rows {
		if r.Dropped {
			delete(n.workers, r.Key)
			continue
		}
		w, err := n.conf.Words.Worker(r)
		if err != nil {
			// An earlier row may have named a worker: nobody knows whether that still holds.
			delete(n.workers, r.Key)
			n.conf.Logs.Error(err, "worker's row not read", "worker", r.Key, "version", r.Version)
			continue
		}
		n.workers[w.ID] = *w
	}
	list := n.listLocked()
	owners := n.ownersLocked()
	n.mu.Unlock()
	for _, o := range owners {
		o.List(list)
	}
}

func (n *Node) listLocked() []gauge.Worker {
	list := make([]gauge.Worker, 0, len(n.workers))
	for _, w := range n.workers {
		list = append(list, w)
	}
	return list
}
