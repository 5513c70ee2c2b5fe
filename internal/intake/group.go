package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	gauge "sapphiregauge"
)

const (
	// groupMost jobs go into one transaction of at most 100 entries: a check and
	// three writes each.
	groupMost = 24
	// refuseAfter is how long a job that the table surely hasn't stored is tried
	// before it is refused: its caller may then ask another entry.
	refuseAfter = 1200 * time.Millisecond
	// commitWait bounds one transaction, beside the table's own bound.
	commitWait = 2 * time.Second
)

// lane stores the jobs of one queue, one transaction at a time. Jobs that come
// while one is under way go together in the next. A part of the table carries
// out transactions one after the other: when it is slow, one for each job would
// be turned away.
type lane struct {
	intake *Intake
	mu     sync.Mutex
	jobs   []*pending // that wait for a transaction
	busy   bool
}

// pending is one job on its way into the table.
type pending struct {
	id      string
	txn     gauge.PartTxn
	began   time.Duration
	until   time.Duration // its caller leaves then
	unsure  bool          // a transaction with it got no answer, and may be carried out
	last    error         // of its last transaction
	settled chan outcome  // room for one
}

// outcome is what became of a pending job.
type outcome struct {
	version int64  // of the row, if this call stored it
	known   bool   // the id was taken before
	row     []byte // as the table has it, if the id was taken
	err     error
}

// store has a job stored and waits for the outcome.
func (l *lane) store(p *pending) outcome {
	l.mu.Lock()
	l.jobs = append(l.jobs, p)
	start := !l.busy
	l.busy = true
	l.mu.Unlock()
	if start {
		go l.run()
	}
	return <-p.settled
}

// run sends transactions until no job waits.
func (l *lane) run() {
	pause := firstPause
	for {
		group := l.take()
		if group == nil {
			return
		}
		again := l.commit(group)
		if len(again) == 0 {
			pause = firstPause
			continue
		}
		time.Sleep(rand.N(pause) + pause/2)
		pause = min(2*pause, lastPause)
		l.back(again)
	}
}

// take returns the next group, nil when no job waits. Jobs that can't wait any
// longer are answered.
func (l *lane) take() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.intake.conf.Now()
	var group, rest []*pending
	for _, p := range l.jobs {
		switch {
		case p.over(now):
		case len(group) < groupMost:
			group = append(group, p)
		default:
			rest = append(rest, p)
		}
	}
	l.jobs = rest
	l.busy = len(group) > 0
	return group
}

// over answers a job that can't be tried any longer; true: it was answered.
func (p *pending) over(now time.Duration) bool {
	switch {
	case p.unsure && now >= p.until:
		p.settle(outcome{err: gauge.Fail(gauge.KindExpired, "it is not known whether the job was stored; ask again with the same id").Because(p.last)})
	case !p.unsure && (now >= p.until || now-p.began >= refuseAfter):
		p.settle(outcome{err: gauge.Fail(gauge.KindOutage, "the table can't be reached").Because(p.last)})
	default:
		return false
	}
	return true
}

func (p *pending) settle(o outcome) { p.settled <- o }

// back puts jobs in front of those that came meanwhile.
func (l *lane) back(jobs []*pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(jobs, l.jobs...)
}

// commit sends one transaction and answers the jobs whose outcome it settles. It
// returns the others.
func (l *lane) commit(group []*pending) []*pending {
	var txn gauge.PartTxn
	for _, p := range group {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Writes = append(txn.Writes, p.txn.Writes...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitWait)
	defer cancel()
	stamp, rows, err := l.intake.conf.Store.Commit(ctx, txn)
	for _, p := range group {
		p.last = err
	}
	switch {
	case err == nil:
		for _, p := range group {
			p.settle(outcome{version: stamp.Version})
		}
		return nil
	case gauge.Is(err, gauge.KindConflict):
		return settleKnown(group, rows)
	case gauge.Is(err, gauge.KindUnknown):
		for _, p := range group {
			p.unsure = true
		}
		return group
	case gauge.Is(err, gauge.KindOutage):
		return group
	case len(group) > 1:
		return l.singly(group) // one of them is at fault
	default:
		group[0].settle(outcome{err: err})
		return nil
	}
}

func (l *lane) singly(group []*pending) []*pending {
	var again []*pending
	for _, p := range group {
		again = append(again, l.commit([]*pending{p})...)
	}
	return again
}

// settleKnown answers the jobs whose ids are taken: they were handed in before,
// or a transaction that got no answer was carried out.
func settleKnown(group []*pending, rows []gauge.PartRow) []*pending {
	taken := make(map[string]gauge.PartRow, len(rows))
	for _, r := range rows {
		if r.Version > 0 {
			taken[r.Key] = r
		}
	}
	var again []*pending
	for _, p := range group {
		if r, ok := taken[p.id]; ok {
			p.settle(outcome{version: r.Version, known: true, row: r.Value})
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
