package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

// An entry that the table turns away while it serves others would refuse every
// job that its callers hand in, and a slow table would turn most of them away if
// each entry had transactions of its own. The owner of the queue's pool writes to
// that part of the table several times a second, so it is asked to store them.

const (
	// methodSubmit has the pool's owner store a job, methodCancel cancel one.
	methodSubmit = "job.submit"
	methodCancel = "job.cancel"
	// relayWait bounds each of the two calls. In a slow spell a transaction takes
	// 0.4 to 0.9 s, and one may be under way already.
	relayWait = 1800 * time.Millisecond
	// slowRead: a look at the leases that takes longer shows a slow table. One takes
	// 4 ms; a quota of processor time that is used up makes it up to 100 ms, and then
	// the owner does no harm.
	slowRead = 40 * time.Millisecond
)

// relay implements intake.Relay.
type relay struct{ node *Node }

type submitCall struct {
	Queue string         `msgpack:"q"`
	ID    string         `msgpack:"i"`
	Spec  *gauge.JobSpec `msgpack:"s"`
}

type cancelCall struct {
	Queue string `msgpack:"q"`
	ID    string `msgpack:"i"`
}

// done is the answer to a call that needs no other.
type done struct{}

// Prefer tells whether the table is slow and another entry owns the pool.
func (r relay) Prefer(q *gauge.Queue) bool {
	if time.Duration(r.node.took.Load()) < slowRead {
		return false
	}
	o, _, err := r.node.ownerOf(q.Pool)
	return o == nil && err == nil
}

// Submit has the owner of a queue's pool store a job.
func (r relay) Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error {
	return r.node.askOwner(ctx, q.Pool, methodSubmit, &submitCall{Queue: q.Name, ID: id, Spec: j})
}

// Cancel has the owner of a queue's pool cancel a job.
func (r relay) Cancel(ctx context.Context, q *gauge.Queue, id string) error {
	return r.node.askOwner(ctx, q.Pool, methodCancel, &cancelCall{Queue: q.Name, ID: id})
}

// askOwner calls the owner of a pool at another entry. KindOutage: there is none,
// or it did nothing.
func (n *Node) askOwner(ctx context.Context, pool, method string, call any) error {
	o, addr, err := n.ownerOf(pool)
	if err != nil {
		return err
	}
	if o != nil {
		return gauge.Fail(gauge.KindOutage, "this entry owns pool %s itself", pool)
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	var answer done
	return n.conf.Mesh.Call(ctx, addr, method, call, &answer)
}

func (n *Node) handleSubmit(ctx context.Context, body []byte) (any, error) {
	var c submitCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	q, err := n.queue(c.Queue)
	if err != nil {
		return nil, err
	}
	if c.Spec == nil {
		return nil, gauge.Fail(gauge.KindInvalid, "job %s without its content", c.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	return done{}, n.intake.SubmitHere(ctx, q, c.ID, c.Spec)
}

func (n *Node) handleCancel(ctx context.Context, body []byte) (any, error) {
	var c cancelCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	q, err := n.queue(c.Queue)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	return done{}, n.intake.CancelHere(ctx, q, c.ID)
}

// queue finds a queue of the configuration in force.
func (n *Node) queue(name string) (*gauge.Queue, error) {
	site := n.Site()
	if site == nil {
		return nil, gauge.Fail(gauge.KindOutage, "no configuration yet")
	}
	if q := site.QueueByName(name); q != nil {
		return q, nil
	}
	return nil, gauge.Fail(gauge.KindMissing, "no such queue")
}
