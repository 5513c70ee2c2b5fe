package sched

import (
	"maps"
	"slices"
	"time"
)

// hearing is what jobs that are read late wait for: workers may have told of runs of
// theirs before the jobs were known, which was left aside.
type hearing struct {
	left  map[string]bool // workers that haven't been heard since
	begun bool            // some have been
}

// open tells whether workers are still to be heard.
func (h *hearing) open() bool { return h != nil && len(h.left) > 0 }

// Rehear makes inherited tasks that are adopted from now on wait until every worker has
// been heard anew, or can run nothing any more: what they told so far of jobs that are
// to be adopted now was left aside. Tasks of jobs that were known before don't wait.
func (p *Pool) Rehear() {
	if p.newest != nil && !p.newest.begun && len(p.newest.left) == p.reachable() {
		return // nobody was heard since
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

// reachable counts the workers whose lives aren't over.
func (p *Pool) reachable() int {
	n := 0
	for _, w := range p.workers {
		if !w.gone {
			n++
		}
	}
	return n
}

// heard takes in that a worker has told all that it runs, or runs nothing any more.
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

// lapse takes in that time has passed: what ran on a worker has ended when its lease has
// run out, with the holds that were sent since.
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

// awaited are the workers that inherited tasks wait for.
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

// unknownYet tells whether a run of the task may exist that nobody has told.
func (p *Pool) unknownYet(t *task) bool {
	return t.job.inherited && (p.doubts || t.job.hearing.open())
}
