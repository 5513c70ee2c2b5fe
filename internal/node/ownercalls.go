package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/owner"
)

const (
	// methodLoad asks a pool's owner what the pool has to do.
	methodLoad = "pool.load"
	// methodState asks a pool's owner how far a job is.
	methodState = "job.state"
	// stateWait bounds that question: the table answers it too.
	stateWait = 150 * time.Millisecond
	// methodDepth asks a pool's owner how many jobs of a queue have not begun.
	methodDepth = "queue.depth"
	// depthWait bounds that question: an owner answers within some milliseconds, one on
	// a slow link within tenths of a second, and the caller waits.
	depthWait = 400 * time.Millisecond
	// emptyWait bounds one question to a pool's owner.
	emptyWait = 600 * time.Millisecond
	// methodEmpty asks a pool's owner to empty a worker.
	methodEmpty = "worker.empty"
)

// loadWait bounds that question.
const loadWait = 400 * time.Millisecond

type loadCall struct {
	Pool string   `msgpack:"p"`
	Soon []string `msgpack:"s,omitempty"` // workers that a wave is to empty before long
}

// ownerOf returns a pool's owner if it is here, else its address.
func (n *Node) ownerOf(pool string) (*owner.Owner, string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.owners[pool]; o != nil {
		return o, "", nil
	}
	row, ok := n.board.Holder(pool)
	if m, gone := n.moves[pool]; gone && (n.board.Version(pool) <= m.version || row.Holder == n.holder) {
		return nil, m.addr, nil
	}
	if !ok || row.Holder == n.holder {
		return nil, "", gauge.Fail(gauge.KindOutage, "pool %s has no owner", pool)
	}
	return nil, row.Addr, nil
}

// local returns a pool's owner here, for a call of another entry.
func (n *Node) local(pool string) (*owner.Owner, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.owners[pool]; o != nil {
		return o, nil
	}
	return nil, gauge.Fail(gauge.KindFenced, "this entry doesn't own pool %s", pool)
}

// load asks what a pool has to do.
func (n *Node) load(ctx context.Context, c loadCall) (gauge.PoolLoad, error) {
	var l gauge.PoolLoad
	o, addr, err := n.ownerOf(c.Pool)
	if err != nil {
		return l, err
	}
	if o != nil {
		return o.Load(c.Soon), nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	err = n.conf.Mesh.Call(ctx, addr, methodLoad, &c, &l)
	return l, err
}

func (n *Node) handleLoad(_ context.Context, body []byte) (any, error) {
	var c loadCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.local(c.Pool)
	if err != nil {
		return nil, err
	}
	l := o.Load(c.Soon)
	return &l, nil
}

// emptyCall asks to empty a worker; it holds for some seconds.
type emptyCall struct {
	Pool   string `msgpack:"p"`
	Worker string `msgpack:"w"`
	Force  bool   `msgpack:"f"`
}

type emptyAnswer struct {
	Empty bool `msgpack:"e"`
}

// empty asks a pool's owner to empty a worker; true: nothing runs there.
func (n *Node) empty(ctx context.Context, c emptyCall) (bool, error) {
	o, addr, err := n.ownerOf(c.Pool)
	if err != nil {
		return false, err
	}
	if o != nil {
		return o.Empty(c.Worker, c.Force), nil
	}
	ctx, cancel := context.WithTimeout(ctx, emptyWait)
	defer cancel()
	var answer emptyAnswer
	err = n.conf.Mesh.Call(ctx, addr, methodEmpty, &c, &answer)
	return answer.Empty, err
}

func (n *Node) handleEmpty(_ context.Context, body []byte) (any, error) {
	var c emptyCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.local(c.Pool)
	if err != nil {
		return nil, err
	}
	return emptyAnswer{Empty: o.Empty(c.Worker, c.Force)}, nil
}

type stateCall struct {
	Pool  string `msgpack:"p"`
	Queue string `msgpack:"q"`
	ID    string `msgpack:"i"`
}

type stateAnswer struct {
	State gauge.JobState `msgpack:"s"` // empty: not known here
}

// ask asks the owner of a queue's pool how far a job is.
func (n *Node) ask(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, bool) {
	o, addr, err := n.ownerOf(q.Pool)
	if err != nil {
		return "", false
	}
	if o != nil {
		return o.State(q.Name, id)
	}
	ctx, cancel := context.WithTimeout(ctx, stateWait)
	defer cancel()
	var a stateAnswer
	err = n.conf.Mesh.Call(ctx, addr, methodState, &stateCall{Pool: q.Pool, Queue: q.Name, ID: id}, &a)
	return a.State, err == nil && a.State != ""
}

// knownHere tells whether this entry owns a queue's pool and has the job.
func (n *Node) knownHere(q *gauge.Queue, id string) bool {
	o, err := n.local(q.Pool)
	if err != nil {
		return false
	}
	_, known := o.State(q.Name, id)
	return known
}

func (n *Node) handleState(_ context.Context, body []byte) (any, error) {
	var c stateCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.local(c.Pool)
	if err != nil {
		return nil, err
	}
	state, _ := o.State(c.Queue, c.ID)
	return stateAnswer{State: state}, nil
}

type depthCall struct {
	Pool  string `msgpack:"p"`
	Queue string `msgpack:"q"`
	Sure  bool   `msgpack:"s"` // the caller's entry knows that there is this queue
}

type depthAnswer struct {
	Depth int  `msgpack:"d"`
	Known bool `msgpack:"k"`
}

// askDepth asks the owner of a queue's pool how many jobs of it have not begun. An entry
// that can't know whether there is the queue still needs an owner that can.
func (n *Node) askDepth(ctx context.Context, q *gauge.Queue) (int, bool) {
	o, addr, err := n.ownerOf(q.Pool)
	if err != nil {
		return 0, false
	}
	sure := n.serves(q.Name)
	if o != nil {
		depth, known := o.Depth(q.Name)
		return depth, known && sure
	}
	ctx, cancel := context.WithTimeout(ctx, depthWait)
	defer cancel()
	var a depthAnswer
	err = n.conf.Mesh.Call(ctx, addr, methodDepth, &depthCall{Pool: q.Pool, Queue: q.Name, Sure: sure}, &a)
	return a.Depth, err == nil && a.Known
}

func (n *Node) handleDepth(_ context.Context, body []byte) (any, error) {
	var c depthCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	o, err := n.local(c.Pool)
	if err != nil {
		return nil, err
	}
	depth, known := o.Depth(c.Queue)
	return depthAnswer{Depth: depth, Known: known && (c.Sure || n.serves(c.Queue))}, nil
}
