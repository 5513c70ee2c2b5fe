package sched

import (
	"maps"
	"slices"
	"time"
)

// reportBarrier makes jobs that are read late wait for fresh reports: workers may have reported
// runs of theirs before the jobs were known, and such runs were ignored.
type hearing struct {
	left  map[string]bool // workers that haven't reported since
	begun bool            // some workers have reported since
}

// isOpen reports whether some workers still have to report.
func (h *hearing) open() bool { return h != nil && len(h.left) > 0 }

// Rehear makes inherited tasks that are adopted from now on wait until every worker has reported
// anew or can run nothing any more: what workers have reported so far about jobs that are to be
// adopted now was ignored. Tasks of jobs that were known before don't wait.
func (p *Pool) Rehear() {
	if p.newest != nil && !p.newest.begun && len(p.newest.left) == p.reachable() {
		return // no worker has reported since
	}
	h := &hearing{left: make(map[string]bool)}
	for id, w := range p.workers {
		if !w.gone {
			h.left[id] = true
		}
	}
	p.newest = h
	p.hearings = append(p.hearings, h)
}

// liveWorkers counts the workers that aren't dead.
func (p *Pool) reachable() int {
	n := 0
	for _, w := range p.workers {
		if !w.gone {
			n++
		}
	}
	return n
}

// markReported records that a worker has reported all that it runs, or runs nothing any more.
func (p *Pool) heard(id string) {
	if _, awaited := p.earlier[id]; awaited {
		delete(p.earlier, id)
		w := p.workers[id]
		p.lostBefore = p.lostBefore || w == nil || !w.heard
	}
	closed := false
	for _, h := range p.hearings {
		h.begun = h.begun || h.left[id]
		delete(h.left, id)
		closed = closed || !h.open()
	}
	if closed {
		p.hearings = slices.DeleteFunc(p.hearings, func(h *hearing) bool { return !h.open() })
	}
}

// expireAwaited stops waiting for workers whose leases have expired, including extensions by
// heartbeats sent since: whatever ran there has ended.
func (p *Pool) lapse(now time.Duration) {
	p.loseReplaced(now)
	for id, l := range p.earlier {
		if now > p.doubtedUntil(l) {
			delete(p.earlier, id)
			p.unheard(l, now)
		}
	}
	for _, h := range slices.Clone(p.hearings) {
		for id := range h.left {
			if w := p.workers[id]; w == nil || now > w.expiry {
				p.heard(id)
			}
		}
	}
}

// awaitedWorkers are the workers that inherited tasks wait for.
func (p *Pool) awaited() map[string]bool {
	ids := make(map[string]bool, len(p.earlier))
	for id := range p.earlier {
		ids[id] = true
	}
	for _, h := range p.hearings {
		maps.Copy(ids, h.left)
	}
	return ids
}

// mayHaveUnreportedRun reports whether a run of the task may exist that no worker has reported.
func (p *Pool) unknownYet(t *task) bool {
	return t.job.inherited && (p.doubts || t.job.hearing.open())
}
