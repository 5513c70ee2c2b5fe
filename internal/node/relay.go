package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

// Jobs are stored by the owner of their queue's pool, which writes to that partition of the table
// several times a second: a slow table would refuse most jobs if each entry ran transactions of its
// own. An owner needs no notification of the jobs that it stores, and it can store jobs for entries
// that the table refuses. An owner that doesn't answer is not waited for: thanks to the condition
// on the row, both entries may try to store the job.

const (
	// methodSubmit asks the pool's owner to store a job, methodCancel to cancel one.
	methodSubmit = "job.submit"
	methodCancel = "job.cancel"
	// relayProbeDelay is the delay after which the owner is probed; a call takes some 15 ms. If it
	// answers the probe, the table is slow, for this entry as well; otherwise the owner is frozen,
	// unreachable or short of processor time, and this entry continues without it.
	relayProbeDelay = 100 * time.Millisecond
	// relayTimeout bounds each of the two calls: in a slow period of the table a transaction takes
	// 0.4 to 0.9 s, and one may be in progress already.
	relayTimeout = 1800 * time.Millisecond
	// maxOwnersAsked is how many owners are called one after the other, each named by the previous
	// one.
	maxOwnersAsked = 3
	// unresponsivePause is how long an owner that didn't answer isn't called again.
	unresponsivePause = time.Second
)

// ownerRelay implements intake.Relay.
type ownerRelay struct{ node *Node }

type submitCall struct {
	Queue   string         `msgpack:"q"`
	ID      string         `msgpack:"i"`
	Spec    *gauge.JobSpec `msgpack:"s"`
	Version int64          `msgpack:"v"`           // of the configuration that defines the queue
	Began   int64          `msgpack:"b,omitempty"` // by the table's clock in milliseconds; older entries don't send it
}

type cancelCall struct {
	Queue   string `msgpack:"q"`
	ID      string `msgpack:"i"`
	Account string `msgpack:"k,omitempty"` // client account of the caller
	Version int64  `msgpack:"v"`           // of the configuration that defines the queue
}

// PreferOwner reports whether another entry owns the pool and hasn't been unresponsive lately.
func (r ownerRelay) PreferOwner(q *gauge.Queue) bool {
	o, addr, err := r.node.ownerOf(q.Pool)
	if o != nil || err != nil {
		return false
	}
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	return r.node.conf.Now() >= r.node.unresponsiveUntil[addr]
}

// Submit asks the owner of a queue's pool to store a job.
func (r ownerRelay) Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec, began int64) error {
	return r.node.askOwner(ctx, q.Pool, methodSubmit, &submitCall{Queue: q.Name, ID: id, Spec: j, Version: r.node.Site().Version, Began: began})
}

// Cancel asks the owner of a queue's pool to cancel a job.
func (r ownerRelay) Cancel(ctx context.Context, q *gauge.Queue, id, account string) error {
	return r.node.askOwner(ctx, q.Pool, methodCancel, &cancelCall{Queue: q.Name, ID: id, Account: account, Version: r.node.Site().Version})
}

// askOwner calls the owner of a pool at another entry, and follows it if it has moved.
// KindNoWorker: no owner could be asked.
func (n *Node) askOwner(ctx context.Context, pool, method string, call any) error {
	for range maxOwnersAsked {
		o, addr, err := n.ownerOf(pool)
		if err != nil {
			return gauge.Errorf(gauge.KindNoWorker, "no owner to ask").WithCause(err)
		}
		if o != nil {
			return gauge.Errorf(gauge.KindOutage, "this entry owns pool %s itself", pool)
		}
		answer, err := n.callOwner(ctx, pool, addr, method, call)
		switch {
		case gauge.IsKind(err, gauge.KindUnknown):
			return err
		case err != nil:
			return gauge.Errorf(gauge.KindNoWorker, "the owner can't be asked").WithCause(err)
		case answer.MovedTo != "" && answer.MovedTo != addr && answer.MovedTo != n.conf.Addr:
			n.recordMove(pool, answer.MovedTo)
			continue
		case gauge.IsKind(answer.err(addr), gauge.KindFenced):
			return gauge.Errorf(gauge.KindNoWorker, "%s no longer owns pool %s", addr, pool)
		default:
			return answer.err(addr)
		}
	}
	return gauge.Errorf(gauge.KindNoWorker, "the owner of pool %s moved too often", pool)
}

func (n *Node) callOwner(ctx context.Context, pool, addr, method string, call any) (relayAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	probeTimer := time.AfterFunc(relayProbeDelay, func() {
		if _, err := n.probe(ctx, addr, probeCall{}); err != nil && ctx.Err() == nil {
			n.markUnresponsive(pool, addr)
			cancel()
		}
	})
	defer probeTimer.Stop()
	var answer relayAnswer
	err := n.conf.Mesh.Call(ctx, addr, method, call, &answer)
	return answer, err
}

// recordMove records where a pool's owner is, as reported by the previous owner. It holds until a
// newer row of the lease is seen: an entry that the table refuses would otherwise go on calling the
// owner that it saw last.
func (n *Node) recordMove(pool, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownerMoves[pool] = ownerMove{addr: addr, version: n.leaseView.LeaseVersion(pool)}
	n.conf.Logs.Info("owner moved", "pool", pool, "to", addr, "seen", n.leaseView.LeaseVersion(pool))
}

// markUnresponsive excludes an owner that doesn't answer from calls for unresponsivePause.
func (n *Node) markUnresponsive(pool, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.conf.Now()
	if now >= n.unresponsiveUntil[addr] {
		n.conf.Logs.Info("owner doubted", "pool", pool, "addr", addr, "for", unresponsivePause)
	}
	n.unresponsiveUntil[addr] = now + unresponsivePause
}

func (n *Node) handleSubmit(ctx context.Context, body []byte) (any, error) {
	var c submitCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	q, err := n.queueForCall(c.Queue, c.Version)
	if err != nil {
		return answerOf(err), nil
	}
	if c.Spec == nil {
		return nil, gauge.Errorf(gauge.KindInvalid, "job %s without its specification", c.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	n.awaitClaim(ctx, q.Pool)
	if a, elsewhere := n.redirect(q.Pool); elsewhere {
		return a, nil // as it isn't the owner, this entry could do no more than the calling entry
	}
	return answerOf(n.intake.SubmitLocally(ctx, q, c.ID, c.Spec, c.Began)), nil
}

func (n *Node) handleCancel(ctx context.Context, body []byte) (any, error) {
	var c cancelCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	q, err := n.queueForCall(c.Queue, c.Version)
	if err != nil {
		return answerOf(err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return answerOf(n.intake.CancelLocally(ctx, q, c.ID, c.Account)), nil
}

// claimWaitTimeout bounds the wait for a claim of this entry: in a slow period of the table it
// takes a read and a transaction, 0.2 to 0.4 s each.
const claimWaitTimeout = time.Second

// awaitClaim waits while this entry claims a pool. Until the claim succeeds, the previous holder
// redirects callers here while the lease row still names that holder. Without the wait, submissions
// went back and forth between the two until they were given up, and callers got no clear answer
// just when the table was slow.
func (n *Node) awaitClaim(ctx context.Context, pool string) {
	n.mu.Lock()
	ended := n.claiming[pool]
	n.mu.Unlock()
	if ended == nil {
		return
	}
	timer := time.NewTimer(claimWaitTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// redirect returns the answer to a call for a pool that this entry doesn't own. It reports false if
// this entry owns the pool.
func (n *Node) redirect(pool string) (relayAnswer, bool) {
	_, err := n.localOwner(pool)
	if err == nil {
		return relayAnswer{}, false
	}
	a := answerOf(err)
	if _, addr, err := n.ownerOf(pool); err == nil {
		a.MovedTo = addr
	}
	return a, true
}

// queueForCall returns the queue that a call from another entry names; version is that of the
// calling entry's configuration. An older configuration here doesn't show that the queue doesn't
// exist, and the client of the calling entry would be refused for good. An entry without a
// configuration doesn't know either, and owns no pool. KindNoWorker lets the calling entry continue
// without the owner.
func (n *Node) queueForCall(name string, version int64) (*gauge.Queue, error) {
	site := n.Site()
	if site == nil {
		return nil, gauge.Errorf(gauge.KindNoWorker, "no configuration yet")
	}
	if q := site.QueueByName(name); q != nil {
		return q, nil
	}
	if site.Version < version {
		n.conf.Logs.Info("queue not known yet", "queue", name, "version", site.Version, "asked", version)
		return nil, gauge.Errorf(gauge.KindNoWorker, "the owner's configuration is older")
	}
	return nil, gauge.Errorf(gauge.KindNotFound, "no such queue")
}
