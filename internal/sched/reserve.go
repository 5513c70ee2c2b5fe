package sched

import (
	"time"

	gauge "sapphiregauge"
)

// asideSpan is how long a worker is kept free for a suspect. Most work ends in that time.
const asideSpan = 2 * time.Second

// setAside keeps a worker without lasting tasks free for a suspect, the one that is free
// soonest.
func (p *Pool) setAside(t *task, now time.Duration) {
	if !p.fewAside(now) {
		return
	}
	var best *worker
	for _, w := range p.byID() {
		if !w.takes(now) || w.setAside(now) || w.lasting > 0 || !w.info.HasLabel(t.stage.spec.Label) || !w.info.Capacity.Holds(t.stage.spec.Room()) {
			continue
		}
		if best == nil || w.busy(now) < best.busy(now) {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.asideUntil = now + asideSpan
	p.conf.Logs.Info("worker set aside", "pool", p.conf.Name, "worker", best.info.ID, "runs", len(best.runs), "job", t.job.id, "task", t.id.String())
}

// fewAside tells whether one more worker may be kept from other work: one in any case, and a
// quarter of them at the most.
func (p *Pool) fewAside(now time.Duration) bool {
	aside, all := 0, 0
	for _, w := range p.workers {
		if !w.listed || w.gone {
			continue
		}
		all++
		aside += count(w.setAside(now))
	}
	return aside == 0 || fewOf*(aside+1) <= all
}

// setAside tells whether a worker is kept for suspects: one is tried there, or is to be.
func (w *worker) setAside(now time.Duration) bool { return w.tries() > 0 || now < w.asideUntil }

// tries counts what is tried on a worker, or is to be.
func (w *worker) tries() int { return len(w.trials) + len(w.places) }

// onlyOf tells whether no other job has a task on a worker.
func (w *worker) onlyOf(j *job) bool {
	for r := range w.runs {
		if r.task.job != j {
			return false
		}
	}
	return w.triesOnly(j)
}

// rackTries tells whether another job's suspect is tried on a worker's rack: if both workers are
// lost at once it can't be told from a loss of the rack.
func (p *Pool) rackTries(w *worker, j *job) bool {
	for _, o := range p.workers {
		if o != w && o.tries() > 0 && o.info.Rack() == w.info.Rack() && !o.triesOnly(j) {
			return true
		}
	}
	return false
}

// triesOnly tells whether no other job's suspect is tried on a worker, or is to be.
func (w *worker) triesOnly(j *job) bool {
	for t := range w.trials {
		if t.job != j {
			return false
		}
	}
	for t := range w.places {
		if t.job != j {
			return false
		}
	}
	return true
}

// reserve keeps a place for one of a suspect's tasks.
func (w *worker) reserve(t *task) {
	if w.places == nil {
		w.places = make(map[*task]int)
	}
	w.places[t]++
}

// reserved is the room that is kept on a worker for suspects.
func (w *worker) reserved() gauge.Resources {
	var sum gauge.Resources
	for t, n := range w.places {
		for range n {
			sum = sum.Plus(t.stage.spec.Room())
		}
	}
	return sum
}
