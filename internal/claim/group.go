package claim

import (
	"context"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// groupCommitter commits the writes of many requests in shared transactions: while one transaction
// is under way, the writes for the next are collected. The table takes several hundred transactions
// per second, however many writes each carries.
type groupCommitter struct {
	table   gauge.Table
	timeout time.Duration

	mu      sync.Mutex
	waiting []*write
	running bool
	commits int
	writes  int
}

// write is one conditional write, with the channel that gets its result.
type write struct {
	check  gauge.Check
	puts   []gauge.Put
	result chan error
}

const maxBatchWrites = 100

// commitWrite makes one conditional write, in one transaction with others that come at the same
// time. It returns an error of kind conflict if the check failed, and unknown if it can't be known
// whether the write took effect.
func (g *groupCommitter) commitWrite(ctx context.Context, check gauge.Check, puts ...gauge.Put) error {
	w := &write{check: check, puts: puts, result: make(chan error, 1)}
	g.mu.Lock()
	g.waiting = append(g.waiting, w)
	if !g.running {
		g.running = true
		go g.run()
	}
	g.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return gauge.Errorf(gauge.KindUnknown, "claim not confirmed in time").WithCause(ctx.Err())
	}
}

func (g *groupCommitter) run() {
	for {
		batch := g.nextBatch()
		if batch == nil {
			return
		}
		g.commit(batch)
	}
}

// nextBatch takes the waiting writes. Two writes of the same row never go into one transaction,
// since the second one's check is of the row before the first write.
func (g *groupCommitter) nextBatch() []*write {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 {
		g.running = false
		return nil
	}
	var batch, later []*write
	rows := make(map[string]bool)
	for _, w := range g.waiting {
		if len(batch) == maxBatchWrites || rows[w.check.Key] {
			later = append(later, w)
			continue
		}
		rows[w.check.Key] = true
		batch = append(batch, w)
	}
	g.waiting = later
	g.commits++
	g.writes += len(batch)
	return batch
}

func (g *groupCommitter) commit(batch []*write) {
	ctx, cancel := context.WithTimeout(context.Background(), g.timeout)
	defer cancel()
	var t gauge.Txn
	for _, w := range batch {
		t.Checks = append(t.Checks, w.check)
		t.Puts = append(t.Puts, w.puts...)
	}
	err := g.table.Commit(ctx, t)
	if gauge.IsKind(err, gauge.KindConflict) && len(batch) > 1 {
		// One of the checks failed; the other writes must not fail with it.
		for _, w := range batch {
			g.commit([]*write{w})
		}
		return
	}
	for _, w := range batch {
		w.result <- err
	}
}

// counts returns the transactions made and the writes that they carried.
func (g *groupCommitter) counts() (commits, writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.commits, g.writes
}
