package node

import (
	"context"
	"time"

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
	ID string `msgpack:"i"`
}

type doubtAnswer struct{}

// tellDoubt tells the owner once, before the caller is answered.
func (n *Node) tellDoubt(q *gauge.Queue, id string) {
	o, addr, err := n.ownerOf(q.Pool)
	if o != nil {
		return // it is this entry, which remembers it
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(n.context(), doubtWait)
		defer cancel()
		var a doubtAnswer
		err = n.conf.Mesh.Call(ctx, addr, methodDoubt, &doubtCall{ID: id}, &a)
	}
	if err != nil {
		n.conf.Logs.Info("doubt not told", "job", id, "pool", q.Pool, "error", err.Error())
	}
}

func (n *Node) handleDoubt(_ context.Context, body []byte) (any, error) {
	var c doubtCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	n.intake.Doubt(c.ID)
	n.conf.Logs.Info("doubt taken in", "job", c.ID)
	return doubtAnswer{}, nil
}
