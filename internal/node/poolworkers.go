package node

import (
	"context"
	"maps"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/filter"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/owner"
)

// An owner asks the fleet lease holder, which follows the list of workers, for the changes of its
// pool's workers. It reads the list itself while the holder has just failed, is cut off from the
// table, or isn't known.

const (
	// methodWorkers asks for the changes of a pool's workers.
	methodWorkers = "pool.workers"
	// workersWait is how long the holder may keep that call while nothing has changed.
	workersWait = 300 * time.Millisecond
	// workersTimeout bounds that call, its wait included.
	workersTimeout = 600 * time.Millisecond
	// workersRetryDelay is the pause after a call that failed.
	workersRetryDelay = 100 * time.Millisecond
	// maxServedListAge is the age of the holder's list from which it doesn't answer. It polls the table
	// every 0.35 s, and a poll takes some tenths of a second while the table is slow.
	maxServedListAge = 700 * time.Millisecond
	// maxUpdateGap is how long an owner gets no updates before it reads the list itself: a new holder
	// reads the whole list within this. Two seconds after a worker begins to drain it must get no
	// more starts.
	maxUpdateGap = time.Second
)

type workersCall struct {
	Pool  string   `msgpack:"p"`
	After int64    `msgpack:"v"` // version up to which the caller knows the pool's workers; 0: nothing
	Known []string `msgpack:"k,omitempty"`
}

type workersAnswer struct {
	Whole   bool          `msgpack:"w"`
	Version int64         `msgpack:"v"`
	Age     time.Duration `msgpack:"a"` // of the list from which the answer was made
	Rows    []workerRow   `msgpack:"r"`
}

// workerRow is the row of a worker as the table has it.
type workerRow struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"b"`
	Version int64  `msgpack:"v"`
	Deleted bool   `msgpack:"d"`
}

func (n *Node) newFilter() *filter.Filter {
	return filter.New(filter.Config{Decode: n.conf.Codec.DecodeWorkerRow})
}

// handleWorkers answers as soon as a worker of the pool has changed.
func (n *Node) handleWorkers(ctx context.Context, body []byte) (any, error) {
	var c workersCall
	if err := frame.Decode(body, &c); err != nil {
		return nil, err
	}
	return n.changedWorkers(ctx, c)
}

// changedWorkers waits until workers of a pool have changed, for at most workersWait.
func (n *Node) changedWorkers(ctx context.Context, c workersCall) (workersAnswer, error) {
	timer := time.NewTimer(workersWait)
	defer timer.Stop()
	for waited := false; ; {
		age, known := n.freshness.age(n.conf.Codec.WorkerTable(), n.conf.Now())
		n.mu.Lock()
		if !known || age > maxServedListAge || !n.filter.IsLoaded() {
			n.mu.Unlock()
			return workersAnswer{}, gauge.Errorf(gauge.KindOutage, "the list of workers isn't known here, or is %s old", age)
		}
		a := n.filter.Since(c.Pool, c.After, c.Known)
		changed := n.workersChanged
		n.mu.Unlock()
		if a.TooLarge {
			return workersAnswer{}, gauge.Errorf(gauge.KindTooLarge, "pool %s has too many workers for an answer", c.Pool)
		}
		if a.Whole || len(a.Rows) > 0 || waited {
			return newWorkersAnswer(a, age), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			waited = true
		}
	}
}

func newWorkersAnswer(a filter.Answer, age time.Duration) workersAnswer {
	answer := workersAnswer{Whole: a.Whole, Version: a.Version, Age: age}
	for _, r := range a.Rows {
		answer.Rows = append(answer.Rows, workerRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return answer
}

// poolWorkers is an owner's list of its pool's workers, as the fleet lease holder updates it.
type poolWorkers struct {
	node     *Node
	owner    *owner.Owner
	previous []string // workers that the previous owner named
	workers  map[string]gauge.Worker
	version  int64         // version up to which workers is complete; 0: nothing is known
	asOf     time.Duration // when all that the table held was known
	source   string        // holder of the fleet lease that answered last
}

// followPoolWorkers keeps an owner's list of workers up to date until ctx ends. Previous are the
// workers that the previous owner named.
func (n *Node) followPoolWorkers(ctx context.Context, o *owner.Owner, previous []string) {
	w := &poolWorkers{node: n, owner: o, workers: make(map[string]gauge.Worker)}
	defer n.setWithoutUpdates(o.Pool(), false)
	for _, name := range previous {
		w.previous = append(w.previous, gauge.ParseIncarnation(name).Worker)
	}
	for ctx.Err() == nil {
		err := w.ask(ctx)
		if err == nil {
			n.setWithoutUpdates(o.Pool(), false)
			continue
		}
		if w.version == 0 || n.conf.Now()-w.asOf > maxUpdateGap {
			n.setWithoutUpdates(o.Pool(), true)
		}
		w.adoptOwnList()
		sleep(ctx, workersRetryDelay)
	}
}

// setWithoutUpdates records whether this entry has to read the workers of a pool that it owns itself.
func (n *Node) setWithoutUpdates(pool string, missing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if missing && !n.poolsWithoutUpdates[pool] {
		n.conf.CountEvent("workers read by the pool's owner")
		n.conf.Logs.Info("worker updates missing", "pool", pool)
	}
	if missing {
		n.poolsWithoutUpdates[pool] = true
	} else {
		delete(n.poolsWithoutUpdates, pool)
	}
	n.updateWorkerListGate()
}

// ask asks the fleet lease holder once and applies its answer.
func (w *poolWorkers) ask(ctx context.Context) error {
	n := w.node
	n.mu.Lock()
	row, ok := n.leaseView.Lease(fleetPool)
	n.mu.Unlock()
	if !ok {
		return gauge.Errorf(gauge.KindOutage, "nobody holds the fleet lease")
	}
	call := workersCall{Pool: w.owner.Pool(), After: w.version}
	if row.Holder != w.source { // it may not know the changes since that version
		call.Known = append(slices.Collect(maps.Keys(w.workers)), w.previous...)
	}
	sent := n.conf.Now()
	answer, err := n.askWorkers(ctx, row, call)
	if err != nil {
		return err
	}
	w.apply(answer)
	w.source, w.asOf = row.Holder, max(w.asOf, sent-answer.Age)
	return nil
}

// askWorkers calls the fleet lease holder, which may be this entry.
func (n *Node) askWorkers(ctx context.Context, holder gauge.LeaseRow, call workersCall) (workersAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, workersTimeout)
	defer cancel()
	if holder.Holder == n.holder {
		return n.changedWorkers(ctx, call)
	}
	var answer workersAnswer
	err := n.conf.Mesh.Call(ctx, holder.Addr, methodWorkers, &call, &answer)
	return answer, err
}

// apply applies an answer and passes the workers to the owner if any has changed.
func (w *poolWorkers) apply(a workersAnswer) {
	if a.Whole {
		clear(w.workers)
	}
	for _, r := range a.Rows {
		worker, err := w.node.decodeWorker(gauge.PartitionRow{RowKey: gauge.RowKey{Key: r.Key}, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
		if err != nil || worker == nil {
			delete(w.workers, r.Key)
			continue
		}
		w.workers[r.Key] = *worker
	}
	w.version = max(w.version, a.Version)
	if a.Whole || len(a.Rows) > 0 {
		w.owner.SetWorkers(slices.Collect(maps.Values(w.workers)), w.version)
	}
}

// adoptOwnList takes over what this entry has read itself, so that only what changes later has to
// be told.
func (w *poolWorkers) adoptOwnList() {
	workers, version := w.node.ownWorkers(w.owner.Pool())
	if version <= w.version {
		return
	}
	clear(w.workers)
	for _, worker := range workers {
		w.workers[worker.ID] = worker
	}
	w.version, w.asOf = version, w.node.conf.Now()
}
