package sched

import "time"

// emptyFor is how long a worker gets no starts after it was asked to be empty.
// The question is repeated several times a second; an order that ends the worker
// may take some seconds from the answer to its effect.
const emptyFor = 4 * time.Second

// Empty has a worker emptied and tells whether nothing runs there, and nothing is
// known there alone: with its machine ends would go that the table doesn't have, and
// their tasks would start again under the next owner. A worker that isn't known
// isn't empty: starts may go there as soon as it is. Force: what doesn't end by
// itself is ended.
func (p *Pool) Empty(id string, force bool, now time.Duration) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	if now >= w.emptyUntil {
		p.conf.Logs.Info("worker to be emptied", "pool", p.conf.Name, "worker", id, "runs", len(w.runs), "force", force)
	}
	w.emptyUntil, w.force = now+emptyFor, force
	return w.heard && !w.silent && len(w.runs) == 0 && w.odd == 0 && w.settled()
}

// Emptied tells of the workers that are kept empty for how much longer: who takes the pool over now
// has to know, as their machines may be taken away meanwhile.
func (p *Pool) Emptied(now time.Duration) map[string]time.Duration {
	left := make(map[string]time.Duration)
	for id, w := range p.workers {
		if now < w.emptyUntil && !w.gone {
			left[id] = w.emptyUntil - now
		}
	}
	return left
}

// soonFor is how long a worker is taken to be emptied soon after it was said to be. It
// is said several times a second.
const soonFor = 2 * time.Second

// Soon takes in which workers are to be emptied before long: lasting tasks that start now
// go elsewhere if they can.
func (p *Pool) Soon(ids []string, now time.Duration) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.soonUntil = now + soonFor
		}
	}
}
