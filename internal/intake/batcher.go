package intake

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	gauge "sapphiregauge"
)

const (
	// groupMost jobs go into one transaction of at most 100 entries: a check and
	// three writes each.
	groupMost = 24
	// handInWait is how long a caller waits at this entry for its job to be
	// stored. A transaction takes some 10 ms, in a slow spell 0.4 to 0.9 s, and one
	// may be under way already; after that another entry may do better.
	handInWait = 2 * time.Second
	// commitWait bounds one transaction, beside the table's own bound.
	commitWait = 2 * time.Second
	// probeWait bounds a read that shows whether a part of the table answers. A
	// read takes 4 ms, in a slow spell 60 to 90 times as long.
	probeWait = 500 * time.Millisecond
	// probeAgain is the pause between two such reads: callers may come back so
	// much later than the table does.
	probeAgain = 150 * time.Millisecond
	// probeFor: without a job handed in for so long the reads end, and the next
	// job finds out by itself.
	probeFor = 5 * time.Second
)

// lane stores the jobs of one queue, one transaction at a time. Jobs that come
// while one is under way go together in the next. A part of the table carries
// out transactions one after the other: when it is slow, one for each job would
// be turned away.
//
// When a transaction and then a read of the part both fail, the lane shuts, as a
// circuit breaker opens: jobs are refused at once until a read is answered. Otherwise
// each would be held for as long as its caller waits, only to be refused then; and
// since a transaction without an answer may be carried out later, jobs that are not
// sent at all are the only ones that can be told surely that they don't run.
type lane struct {
	intake *Intake
	queue  string

	mu   sync.Mutex
	jobs []*pending // that wait for a transaction
	busy bool
	shut bool
	away time.Duration // since when it is shut
	came time.Duration // when a job last came
}

// store has a job stored and waits for the outcome, no longer than handInWait or
// until ctx ends: then the caller leaves, or this entry stops.
func (l *lane) store(ctx context.Context, p *pending) outcome {
	if !l.enter(p) {
		return outcome{err: l.refusal()}
	}
	select {
	case o := <-p.settled:
		return o
	case <-l.intake.conf.After(handInWait):
	case <-ctx.Done():
	}
	return l.leave(p)
}

// enter queues a job; false: the lane is shut.
func (l *lane) enter(p *pending) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.came = p.began
	if l.shut {
		return false
	}
	l.jobs = append(l.jobs, p)
	if !l.busy {
		l.busy = true
		go l.run()
	}
	return true
}

// leave gives up waiting for a job. What is in a transaction may yet be stored.
func (l *lane) leave(p *pending) outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case o := <-p.settled:
		return o
	default:
	}
	p.left = true
	p.unsure = p.unsure || p.flying
	return p.givenUp()
}

// settle tells the outcome of a job to its caller, or, if that has left, has the
// owner told of a job that was stored after all.
func (l *lane) settle(p *pending, o outcome) {
	l.mu.Lock()
	left := p.left
	if !left {
		p.settled <- o
	}
	l.mu.Unlock()
	if left && o.err == nil {
		l.intake.stored(p, o)
	}
}

// run sends transactions until no job waits.
func (l *lane) run() {
	pause := firstPause
	for {
		group := l.take()
		if group == nil {
			return
		}
		again, failed := l.commit(group)
		if !failed {
			pause = firstPause
			l.back(again)
			continue
		}
		if !l.answers(again[0].id) {
			l.close(again)
			return
		}
		time.Sleep(rand.N(pause) + pause/2)
		pause = min(2*pause, lastPause)
		l.back(again)
	}
}

// take returns the next group, nil when no job waits.
func (l *lane) take() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(groupMost, len(l.jobs))
	group := slices.Clone(l.jobs[:n])
	l.jobs = slices.Delete(l.jobs, 0, n)
	l.busy = n > 0
	if n == 0 {
		return nil
	}
	return group
}

// back puts jobs in front of those that came meanwhile.
func (l *lane) back(jobs []*pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(jobs, l.jobs...)
}

// send marks the jobs that go into a transaction now. Those whose callers have
// left stay out: some were told that they are not stored.
func (l *lane) send(group []*pending) []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	group = slices.DeleteFunc(group, func(p *pending) bool { return p.left })
	for _, p := range group {
		p.flying = true
	}
	return group
}

// commit sends one transaction and settles the jobs whose outcome it shows. It
// returns the others; failed: the transaction wasn't carried out, or got no answer.
func (l *lane) commit(group []*pending) (again []*pending, failed bool) {
	group = l.send(group)
	if len(group) == 0 {
		return nil, false
	}
	var txn gauge.PartTxn
	for _, p := range group {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Writes = append(txn.Writes, p.txn.Writes...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitWait)
	defer cancel()
	stamp, rows, err := l.intake.conf.Store.Commit(ctx, txn)
	l.noteTry(group, err)
	switch {
	case err == nil:
		for _, p := range group {
			l.settle(p, outcome{version: stamp.Version})
		}
		return nil, false
	case gauge.Is(err, gauge.KindConflict):
		return l.settleKnown(group, rows), false
	case gauge.Is(err, gauge.KindUnknown), gauge.Is(err, gauge.KindOutage):
		return group, true
	case len(group) > 1:
		return l.singly(group) // one of them is at fault
	default:
		l.settle(group[0], outcome{err: err})
		return nil, false
	}
}

func (l *lane) noteTry(group []*pending, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range group {
		p.last, p.flying = err, false
		p.unsure = p.unsure || gauge.Is(err, gauge.KindUnknown)
	}
}

func (l *lane) singly(group []*pending) (again []*pending, failed bool) {
	for _, p := range group {
		some, bad := l.commit([]*pending{p})
		again = append(again, some...)
		failed = failed || bad
	}
	return again, failed
}

// settleKnown answers the jobs whose ids are taken: they were handed in before,
// or a transaction that got no answer was carried out.
func (l *lane) settleKnown(group []*pending, rows []gauge.PartRow) []*pending {
	taken := make(map[string]gauge.PartRow, len(rows))
	for _, r := range rows {
		if r.Version > 0 {
			taken[r.Key] = r
		}
	}
	var again []*pending
	for _, p := range group {
		if r, ok := taken[p.id]; ok {
			l.settle(p, outcome{version: r.Version, known: true, row: r.Value})
			continue
		}
		again = append(again, p)
	}
	return again
}

// Waiting counts the jobs of a queue that wait for a transaction.
func (n *Intake) Waiting(queue string) int {
	l := n.lane(queue)
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs)
}
