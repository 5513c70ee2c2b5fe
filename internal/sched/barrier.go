package sched

import (
	"maps"
	"slices"
	"time"
)

// reportBarrier makes jobs that are read late wait for fresh reports: workers may have reported
// runs of these jobs before the jobs were known, and such runs were ignored.
type reportBarrier struct {
	missing  map[string]bool // workers that haven't reported since
	reported bool            // some workers have reported since
}

// isOpen reports whether some workers still have to report.
func (b *reportBarrier) isOpen() bool { return b != nil && len(b.missing) > 0 }

// RequireFreshReports makes inherited tasks that are adopted from now on wait until every worker
// has reported anew or can run nothing any more: what workers have reported so far about jobs that
// are to be adopted now was ignored. Tasks of jobs that were known before don't wait.
func (p *Pool) RequireFreshReports() {
	if p.newestBarrier != nil && !p.newestBarrier.reported && len(p.newestBarrier.missing) == p.liveWorkers() {
		return // no worker has reported since
	}
	b := &reportBarrier{missing: make(map[string]bool)}
	for id, w := range p.workers {
		if !w.dead {
			b.missing[id] = true
		}
	}
	p.newestBarrier = b
	p.barriers = append(p.barriers, b)
}

// liveWorkers counts the workers that aren't dead.
func (p *Pool) liveWorkers() int {
	n := 0
	for _, w := range p.workers {
		if !w.dead {
			n++
		}
	}
	return n
}

// markReported records that a worker has reported all that it runs, or runs nothing any more.
func (p *Pool) markReported(id string) {
	if _, awaited := p.unreported[id]; awaited {
		delete(p.unreported, id)
		w := p.workers[id]
		p.lostUnreported = p.lostUnreported || w == nil || !w.reported
	}
	closed := false
	for _, b := range p.barriers {
		b.reported = b.reported || b.missing[id]
		delete(b.missing, id)
		closed = closed || !b.isOpen()
	}
	if closed {
		p.barriers = slices.DeleteFunc(p.barriers, func(b *reportBarrier) bool { return !b.isOpen() })
	}
}

// expireAwaited stops waiting for workers whose leases have expired, including extensions by
// heartbeats sent since: whatever ran there has ended.
func (p *Pool) expireAwaited(now time.Duration) {
	p.loseReplaced(now)
	for id, incarnation := range p.unreported {
		if p.hasExpired(max(p.previousRunsEnd(incarnation), p.staleLeases[id].end), now) {
			delete(p.unreported, id)
			p.conf.Logs.Info("worker not awaited any more", "pool", p.conf.Name, "worker", id, "born", incarnation.StartedAt, "lease", p.leaseEnd-now,
				"left", len(p.unreported))
			p.loseUnreported(incarnation, now)
		}
	}
	for _, b := range slices.Clone(p.barriers) {
		for id := range b.missing {
			if w := p.workers[id]; w == nil || p.hasExpired(w.leaseExpiry, now) {
				p.markReported(id)
			}
		}
	}
}

// awaitedWorkers are the workers that inherited tasks wait for.
func (p *Pool) awaitedWorkers() map[string]bool {
	ids := make(map[string]bool, len(p.unreported))
	for id := range p.unreported {
		ids[id] = true
	}
	for _, b := range p.barriers {
		maps.Copy(ids, b.missing)
	}
	return ids
}

// mayHaveUnreportedRun reports whether a run of the task may exist that no worker has reported.
func (p *Pool) mayHaveUnreportedRun(t *task) bool {
	return t.job.inherited && (p.inheritedTasksWait || t.job.barrier.isOpen())
}
