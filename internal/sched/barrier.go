package sched

import (
	"maps"
	"slices"
	"time"
)

// reportBarrier makes jobs that are read late wait for fresh reports: workers may have reported
// runs of theirs before the jobs were known, and such runs were ignored.
type reportBarrier struct {
	missing  map[string]bool // workers that haven't reported since
	reported bool            // some workers have reported since
}

// isOpen reports whether some workers still have to report.
func (h *reportBarrier) isOpen() bool { return h != nil && len(h.missing) > 0 }

// Rehear makes inherited tasks that are adopted from now on wait until every worker has reported
// anew or can run nothing any more: what workers have reported so far about jobs that are to be
// adopted now was ignored. Tasks of jobs that were known before don't wait.
func (p *Pool) Rehear() {
	if p.newestBarrier != nil && !p.newestBarrier.reported && len(p.newestBarrier.missing) == p.liveWorkers() {
		return // no worker has reported since
	}
	h := &reportBarrier{missing: make(map[string]bool)}
	for id, w := range p.workers {
		if !w.dead {
			h.missing[id] = true
		}
	}
	p.newestBarrier = h
	p.barriers = append(p.barriers, h)
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
	for _, h := range p.barriers {
		h.reported = h.reported || h.missing[id]
		delete(h.missing, id)
		closed = closed || !h.isOpen()
	}
	if closed {
		p.barriers = slices.DeleteFunc(p.barriers, func(h *reportBarrier) bool { return !h.isOpen() })
	}
}

// expireAwaited stops waiting for workers whose leases have expired, including extensions by
// heartbeats sent since: whatever ran there has ended.
func (p *Pool) expireAwaited(now time.Duration) {
	p.loseReplaced(now)
	for id, l := range p.unreported {
		if now > p.previousRunsEnd(l) {
			delete(p.unreported, id)
			p.loseUnreported(l, now)
		}
	}
	for _, h := range slices.Clone(p.barriers) {
		for id := range h.missing {
			if w := p.workers[id]; w == nil || now > w.leaseExpiry {
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
	for _, h := range p.barriers {
		maps.Copy(ids, h.missing)
	}
	return ids
}

// mayHaveUnreportedRun reports whether a run of the task may exist that no worker has reported.
func (p *Pool) mayHaveUnreportedRun(t *task) bool {
	return t.job.inherited && (p.inheritedWait || t.job.barrier.isOpen())
}
