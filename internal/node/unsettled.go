package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

// A submission that an entry sent to the table itself and that got no answer may be stored seconds
// later. Its caller retries at another entry, which refuses it if the pool's owner says that it
// isn't stored. So the owner has to know of the unsettled submission; otherwise a caller gets the
// answer that a job never runs, and it runs.

// methodUnsettled notifies a pool's owner of a submission that may still be stored.
const methodUnsettled = "job.doubt"

// unsettledTimeout bounds the call. The caller of the submission waits for it, and retries 100 ms
// after its answer.
const unsettledTimeout = 200 * time.Millisecond

type unsettledCall struct {
	ID   string `msgpack:"i"`
	Pool string `msgpack:"p"`
}

type unsettledAnswer struct {
	Owns bool `msgpack:"o"` // whether the answering entry owns the pool
}

const (
	// unsettledRetryDelay is the pause between two attempts to notify the owner, and
	// maxUnsettledRetries their number: a submission may still be stored for some seconds, and a
	// pool has an owner again within three seconds.
	unsettledRetryDelay = 100 * time.Millisecond
	maxUnsettledRetries = 50
)

// reportUnsettled notifies the owner once before the caller gets its answer, and retries in the
// background if that fails: the caller's next attempt may reach the owner after the notification.
func (n *Node) reportUnsettled(q *gauge.Queue, id string) {
	err := n.sendUnsettled(q.Pool, id)
	if err == nil {
		return
	}
	n.conf.Logs.Info("doubt not told", "job", id, "pool", q.Pool, "error", err.Error())
	n.broadcastUnsettled(q.Pool, id)
	n.group.Go(func() {
		for try := range maxUnsettledRetries {
			sleep(n.runContext(), unsettledRetryDelay)
			if n.runContext().Err() != nil {
				return
			}
			if n.sendUnsettled(q.Pool, id) == nil {
				n.conf.Logs.Info("doubt told late", "job", id, "pool", q.Pool, "tries", try+2)
				return
			}
		}
	})
}

const (
	// maxConcurrentBroadcasts bounds how many submissions are broadcast to all entries at a time,
	// and maxConcurrentBroadcastCalls the concurrent calls of each broadcast. With hundreds of
	// entries and an owner that nobody can reach, the broadcasts would use up the link.
	maxConcurrentBroadcasts     = 4
	maxConcurrentBroadcastCalls = 16
)

// broadcastUnsettled notifies all other entries when the owner isn't known here or doesn't answer:
// one of them is the owner or will be. An entry that is cut off from the table may not learn who
// the owner is before the caller retries there.
func (n *Node) broadcastUnsettled(poolName, id string) {
	select {
	case n.broadcasts <- struct{}{}:
	default:
		n.conf.Logs.Info("doubt not spread", "job", id, "reason", "too many broadcasts in progress")
		return
	}
	defer func() { <-n.broadcasts }()
	n.mu.Lock()
	peers := n.leaseView.Peers(poolName)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.runContext(), unsettledTimeout)
	defer cancel()
	var notified atomic.Int64
	calls := pool.New().WithMaxGoroutines(maxConcurrentBroadcastCalls)
	for _, peer := range peers {
		calls.Go(func() {
			var a unsettledAnswer
			if n.conf.Mesh.Call(ctx, peer.Addr, methodUnsettled, &unsettledCall{ID: id, Pool: poolName}, &a) == nil {
				notified.Add(1)
			}
		})
	}
	calls.Wait()
	n.conf.Logs.Info("doubt spread", "job", id, "told", notified.Load(), "of", len(peers))
}

// sendUnsettled notifies the pool's owner. It returns nil if the owner knows, also if that is this
// entry.
func (n *Node) sendUnsettled(pool, id string) error {
	o, addr, err := n.ownerOf(pool)
	if err != nil || o != nil {
		return err // this entry has recorded it in any case
	}
	ctx, cancel := context.WithTimeout(n.runContext(), unsettledTimeout)
	defer cancel()
	var a unsettledAnswer
	if err := n.conf.Mesh.Call(ctx, addr, methodUnsettled, &unsettledCall{ID: id, Pool: pool}, &a); err != nil {
		return err
	}
	if !a.Owns {
		return gauge.Errorf(gauge.KindOutage, "%s no longer owns pool %s", addr, pool)
	}
	return nil
}

func (n *Node) handleUnsettled(_ context.Context, body []byte) (any, error) {
	var c unsettledCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	n.intake.MarkUnsettled(c.ID)
	n.conf.Logs.Info("unsettled submission recorded", "job", c.ID)
	_, err := n.localOwner(c.Pool)
	return unsettledAnswer{Owns: err == nil}, nil
}
