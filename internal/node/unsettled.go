package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

// A hand-in that an entry sent to the table itself and that got no answer may be stored
// seconds later. Its caller asks again at another entry, which refuses it by the word of
// the pool's owner; so the owner has to know of it, or the caller is told that a job never
// runs which does.

// methodDoubt tells a pool's owner of a hand-in that may be stored yet.
const methodDoubt = "job.doubt"

// doubtWait bounds the call. The caller waits for it, and comes back a tenth of a second
// after its answer.
const doubtWait = 200 * time.Millisecond

type doubtCall struct {
	ID   string `msgpack:"i"`
	Pool string `msgpack:"p"`
}

type doubtAnswer struct {
	Owns bool `msgpack:"o"` // the pool: it is the owner that was told
}

const (
	// doubtAgain is the pause between two tries to tell, and doubtTries how many there are:
	// a hand-in may be stored for some seconds, and a pool has an owner again within three.
	doubtAgain = 100 * time.Millisecond
	doubtTries = 50
)

// tellDoubt tells the owner once before the caller is answered, and goes on beside that if
// it fails: the next try may come to the owner later than the word does.
func (n *Node) tellDoubt(q *gauge.Queue, id string) {
	err := n.sendDoubt(q.Pool, id)
	if err == nil {
		return
	}
	n.conf.Logs.Info("doubt not told", "job", id, "pool", q.Pool, "error", err.Error())
	n.spreadDoubt(q.Pool, id)
	n.group.Go(func() {
		for try := range doubtTries {
			pause(n.context(), doubtAgain)
			if n.context().Err() != nil {
				return
			}
			if n.sendDoubt(q.Pool, id) == nil {
				n.conf.Logs.Info("doubt told late", "job", id, "pool", q.Pool, "tries", try+2)
				return
			}
		}
	})
}

const (
	// spreadsAtOnce bounds how many hand-ins are told to all entries at a time, and
	// toldAtOnce how many entries one of them: with hundreds of entries, and an owner that
	// nobody reaches, the telling would take the link from all else.
	spreadsAtOnce = 4
	toldAtOnce    = 16
)

// spreadDoubt tells all other entries, while the owner isn't known here or doesn't answer: it is
// one of them, or will be. An entry that is cut off from the table may not hear who it is before
// the caller comes to it.
func (n *Node) spreadDoubt(of, id string) {
	select {
	case n.spreads <- struct{}{}:
	default:
		n.conf.Logs.Info("doubt not spread", "job", id, "reason", "others are being told")
		return
	}
	defer func() { <-n.spreads }()
	n.mu.Lock()
	peers := n.board.Peers(of)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.context(), doubtWait)
	defer cancel()
	var told atomic.Int64
	calls := pool.New().WithMaxGoroutines(toldAtOnce)
	for _, peer := range peers {
		calls.Go(func() {
			var a doubtAnswer
			if n.conf.Mesh.Call(ctx, peer.Addr, methodDoubt, &doubtCall{ID: id, Pool: of}, &a) == nil {
				told.Add(1)
			}
		})
	}
	calls.Wait()
	n.conf.Logs.Info("doubt spread", "job", id, "told", told.Load(), "of", len(peers))
}

// sendDoubt tells the pool's owner; nil: it knows, also if it is this entry.
func (n *Node) sendDoubt(pool, id string) error {
	o, addr, err := n.ownerOf(pool)
	if err != nil || o != nil {
		return err // this entry remembers it in any case
	}
	ctx, cancel := context.WithTimeout(n.context(), doubtWait)
	defer cancel()
	var a doubtAnswer
	if err := n.conf.Mesh.Call(ctx, addr, methodDoubt, &doubtCall{ID: id, Pool: pool}, &a); err != nil {
		return err
	}
	if !a.Owns {
		return gauge.Fail(gauge.KindOutage, "%s owns pool %s no longer", addr, pool)
	}
	return nil
}

func (n *Node) handleDoubt(_ context.Context, body []byte) (any, error) {
	var c doubtCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	n.intake.Doubt(c.ID)
	n.conf.Logs.Info("doubt taken in", "job", c.ID)
	_, err := n.local(c.Pool)
	return doubtAnswer{Owns: err == nil}, nil
}
