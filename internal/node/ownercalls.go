package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/intake"
	"sapphiregauge/internal/owner"
)

const (
	// methodLoad asks a pool's owner for the demand of the pool.
	methodLoad = "pool.load"
	// methodState asks a pool's owner for the state of a job.
	methodState = "job.state"
	// stateTimeout bounds that call: the table can answer it too.
	stateTimeout = 150 * time.Millisecond
	// methodDepth asks a pool's owner how many jobs of a queue have not begun.
	methodDepth = "queue.depth"
	// depthTimeout bounds that call: an owner answers within some milliseconds, one on a slow link
	// within tenths of a second, and the caller waits.
	depthTimeout = 400 * time.Millisecond
	// drainTimeout bounds one call to have workers drained.
	drainTimeout = 600 * time.Millisecond
	// methodDrain asks a pool's owner to drain workers.
	methodDrain = "workers.empty"
)

// loadTimeout bounds one call for the demand of a pool.
const loadTimeout = 400 * time.Millisecond

type loadCall struct {
	Pool           string   `msgpack:"p"`
	UpcomingDrains []string `msgpack:"s,omitempty"` // workers that a maintenance wave is about to drain
	// ReachableMilliCPU is how many thousandths of a core the pool has or could get; 0: not known.
	ReachableMilliCPU int `msgpack:"c,omitempty"`
}

// ownerOf returns a pool's owner if it runs here, otherwise its address.
func (n *Node) ownerOf(pool string) (*owner.Owner, string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.owners[pool]; o != nil {
		return o, "", nil
	}
	row, ok := n.leaseView.Lease(pool)
	if m, moved := n.ownerMoves[pool]; moved && (n.leaseView.LeaseVersion(pool) <= m.version || row.Holder == n.holder) {
		return nil, m.addr, nil
	}
	if !ok || row.Holder == n.holder {
		return nil, "", gauge.Errorf(gauge.KindOutage, "pool %s has no owner", pool)
	}
	return nil, row.Addr, nil
}

// localOwner returns a pool's owner if it runs here, for a call of another entry.
func (n *Node) localOwner(pool string) (*owner.Owner, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.owners[pool]; o != nil {
		return o, nil
	}
	return nil, gauge.Errorf(gauge.KindFenced, "this entry doesn't own pool %s", pool)
}

// poolLoad asks a pool's owner for the demand of the pool.
func (n *Node) poolLoad(ctx context.Context, c loadCall) (gauge.PoolLoad, error) {
	var l gauge.PoolLoad
	o, addr, err := n.ownerOf(c.Pool)
	if err != nil {
		return l, err
	}
	if o != nil {
		o.SetReachable(c.ReachableMilliCPU)
		return o.Load(c.UpcomingDrains), nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err = n.conf.Mesh.Call(ctx, addr, methodLoad, &c, &l)
	return l, err
}

func (n *Node) handleLoad(_ context.Context, body []byte) (any, error) {
	var c loadCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.localOwner(c.Pool)
	if err != nil {
		return nil, err
	}
	o.SetReachable(c.ReachableMilliCPU)
	l := o.Load(c.UpcomingDrains)
	return &l, nil
}

// drainCall asks to drain workers of a pool; the request holds for some seconds. One call names all
// of them: hundreds of machines of a pool may be on their way, and are asked for ten times a second.
type drainCall struct {
	Pool    string   `msgpack:"p"`
	Workers []string `msgpack:"w"`
	Force   bool     `msgpack:"f"`
}

type drainAnswer struct {
	Drained []string `msgpack:"e"` // the workers on which nothing runs
}

// drainWorkers asks a pool's owner to drain workers and returns those on which nothing runs.
func (n *Node) drainWorkers(ctx context.Context, c drainCall) (map[string]bool, error) {
	o, addr, err := n.ownerOf(c.Pool)
	if err != nil {
		return nil, err
	}
	if o != nil {
		return setOf(o.DrainWorkers(c.Workers, c.Force)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var answer drainAnswer
	if err := n.conf.Mesh.Call(ctx, addr, methodDrain, &c, &answer); err != nil {
		return nil, err
	}
	return setOf(answer.Drained), nil
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func (n *Node) handleDrain(_ context.Context, body []byte) (any, error) {
	var c drainCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.localOwner(c.Pool)
	if err != nil {
		return nil, err
	}
	return drainAnswer{Drained: o.DrainWorkers(c.Workers, c.Force)}, nil
}

type stateCall struct {
	Pool  string `msgpack:"p"`
	Queue string `msgpack:"q"`
	ID    string `msgpack:"i"`
}

// jobStatus asks the owner of a queue's pool for the status of a job. It reports false if the owner
// doesn't know the job or can't be asked.
func (n *Node) jobStatus(ctx context.Context, q *gauge.Queue, id string) (gauge.JobStatus, bool) {
	o, addr, err := n.ownerOf(q.Pool)
	if err != nil {
		return gauge.JobStatus{}, false
	}
	if o != nil {
		return o.JobStatus(q.Name, id)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var a gauge.JobStatus
	err = n.conf.Mesh.Call(ctx, addr, methodState, &stateCall{Pool: q.Pool, Queue: q.Name, ID: id}, &a)
	return a, err == nil && a.State != ""
}

// ownsJob reports whether this entry owns a queue's pool and knows the job.
func (n *Node) ownsJob(q *gauge.Queue, id string) bool {
	o, err := n.localOwner(q.Pool)
	if err != nil {
		return false
	}
	_, known := o.JobStatus(q.Name, id)
	return known
}

// ownership returns what this entry knows as the owner of a queue's pool. An owner knows nothing of
// the submissions that previous owners, or entries that notified these, left unsettled. One that
// has stood still until its lease was over may have been followed by another. One whose lease is
// over otherwise has found no entry that reaches the table, which is the outage in which callers are
// to be refused at once.
func (n *Node) ownership(q *gauge.Queue) intake.Ownership {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := n.owners[q.Pool]
	now := n.conf.Now()
	switch {
	case o == nil:
		return intake.OwnedElsewhere
	case now >= o.LeaseUntil() && n.stoodStillSince(o.LeaseUntil()-leaseDuration, now):
		return intake.OwnedRecently
	case o.IsFirst() || now >= n.ownedSince[q.Pool]+intake.UnsettledSpan:
		return intake.OwnedForLong
	default:
		return intake.OwnedRecently
	}
}

func (n *Node) handleState(_ context.Context, body []byte) (any, error) {
	var c stateCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.localOwner(c.Pool)
	if err != nil {
		return nil, err
	}
	status, _ := o.JobStatus(c.Queue, c.ID)
	return &status, nil
}

type depthCall struct {
	Pool       string `msgpack:"p"`
	Queue      string `msgpack:"q"`
	QueueKnown bool   `msgpack:"s"` // the calling entry is certain that the queue exists
}

type depthAnswer struct {
	Depth int  `msgpack:"d"`
	Known bool `msgpack:"k"`
}

// ownerDepth asks the owner of a queue's pool how many of its jobs have not begun. The result
// counts only if this entry or the owner is certain that the queue exists.
func (n *Node) ownerDepth(ctx context.Context, q *gauge.Queue) (int, bool) {
	o, addr, err := n.ownerOf(q.Pool)
	if err != nil {
		return 0, false
	}
	sure := n.isQueueKnown(q.Name)
	if o != nil {
		depth, known := o.QueueDepth(q.Name)
		return depth, known && sure
	}
	ctx, cancel := context.WithTimeout(ctx, depthTimeout)
	defer cancel()
	var a depthAnswer
	err = n.conf.Mesh.Call(ctx, addr, methodDepth, &depthCall{Pool: q.Pool, Queue: q.Name, QueueKnown: sure}, &a)
	return a.Depth, err == nil && a.Known
}

func (n *Node) handleDepth(_ context.Context, body []byte) (any, error) {
	var c depthCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.localOwner(c.Pool)
	if err != nil {
		return nil, err
	}
	depth, known := o.QueueDepth(c.Queue)
	return depthAnswer{Depth: depth, Known: known && (c.QueueKnown || n.isQueueKnown(c.Queue))}, nil
}
