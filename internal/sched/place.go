package sched

import (
	"time"

	gauge "sapphiregauge"
)

// rooms are the workers that take starts, for one round of them.
type rooms struct {
	workers  []*worker
	without  gauge.Without
	most     gauge.Resources             // no worker has more of any kind free
	promised map[*worker]gauge.Resources // for tasks that are to come from other workers
	kept     map[*worker]bool            // only for lasting tasks
}

func (p *Pool) rooms(now time.Duration) *rooms {
	r := &rooms{workers: p.taking[:0], without: p.conf.Without}
	for _, w := range p.byID() {
		if !w.takes(now) || w.setAside(now) {
			continue
		}
		r.workers = append(r.workers, w)
		w.soon = now < w.soonUntil
		if now < w.keptUntil {
			r.keep(w)
		}
	}
	p.taking = r.workers
	r.measure()
	return r
}

func (r *rooms) keep(w *worker) {
	if r.kept == nil {
		r.kept = make(map[*worker]bool)
	}
	r.kept[w] = true
}

// measure works out anew what is free at most: what doesn't fit in that needn't
// be tried on each worker.
func (r *rooms) measure() {
	r.most = gauge.Resources{}
	for _, w := range r.workers {
		f := w.free()
		r.most.MilliCPU = max(r.most.MilliCPU, f.MilliCPU)
		r.most.MemoryMB = max(r.most.MemoryMB, f.MemoryMB)
		r.most.Accels = max(r.most.Accels, f.Accels)
	}
}

// place picks the worker for one task of a stage; nil if none has room. On counts
// the stage's runs by worker; taken is what is set aside in the same round; allowed
// tells on which workers the stage may run.
func (r *rooms) place(st *stage, on spread, taken map[*worker]gauge.Resources, allowed func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	need := st.spec.Room()
	for _, w := range r.workers {
		if !st.fits(w, need, taken[w], on[w]) || !allowed(w) || r.kept[w] && !st.spec.Lasts {
			continue
		}
		if s := w.score(st, on[w], r.without); best == nil || s > bestScore {
			best, bestScore = w, s
		}
	}
	return best
}

// fits tells whether a worker has what a task of a stage needs, beside what is taken there: room,
// the label, and no more tasks of the stage than may be on one worker.
func (st *stage) fits(w *worker, need, taken gauge.Resources, on int) bool {
	// First what is cheap and rules most workers out.
	return w.free().Holds(need) && w.info.HasLabel(st.spec.Label) && w.free().Minus(taken).Holds(need) &&
		(st.spec.PerWorker == 0 || on < st.spec.PerWorker)
}

// allows tells on which workers the turn's stage may run, as far as its queue's
// advice goes.
func (t *turn) allows(now time.Duration) func(*worker) bool {
	return func(w *worker) bool {
		_, ok := t.ticketFor(w, now)
		return ok
	}
}

func anyWorker(*worker) bool { return true }

// spread counts a stage's runs by worker; nil: nobody asks.
type spread map[*worker]int

func (s spread) add(w *worker) {
	if s != nil {
		s[w]++
	}
}

// perWorker counts the stage's runs by worker, and the places that are kept for its suspects, if
// it matters where they are.
func (st *stage) perWorker() spread {
	if st.spec.PerWorker == 0 && !st.spec.Lasts {
		return nil
	}
	on := make(spread)
	for _, t := range st.tasks {
		for _, r := range t.runs {
			on.add(r.worker)
		}
		if t.place != nil {
			for _, w := range t.place.workers {
				on.add(w)
			}
		}
	}
	return on
}

const (
	// scoreRack outweighs any difference in free room: on a rack without its
	// data a task takes twice as long.
	scoreRack = 1000.0
	// scoreSpread keeps lasting tasks of one step on different workers.
	scoreSpread = 100.0
	// scoreTogether gathers lasting tasks of different steps on few workers, so
	// that the others can move to another pool or have their upkeep at once.
	scoreTogether = 5.0
	// scoreApart keeps tasks that fill away from those with a bound on their
	// tail, which they disturb.
	scoreApart = 10.0
	// scoreSoon keeps lasting tasks off workers that are to be emptied soon, where they
	// would have to leave again: it outweighs the gathering and any free room.
	scoreSoon = 8.0
)

// score says how well a worker suits: the larger the better. The fullest that
// has room is the best, so that others stay empty and can move to another pool.
func (w *worker) score(st *stage, on int, without gauge.Without) float64 {
	score := 0.0
	if w.info.Capacity.MilliCPU > 0 && !without.Has(gauge.MechanismPack) {
		score = -float64(w.free().MilliCPU) / float64(w.info.Capacity.MilliCPU)
	}
	if st.spec.DataRack != "" && w.info.HasLabel(st.spec.DataRack) {
		score += scoreRack
	}
	if st.spec.Lasts {
		if !without.Has(gauge.MechanismScatter) {
			score -= scoreSpread * float64(on)
		}
		score -= scoreApart * float64(w.disturbers(st.spec.Fills))
		if w.soon && !without.Has(gauge.MechanismSoon) {
			score -= scoreSoon
		}
		if w.lasting > 0 && !without.Has(gauge.MechanismGather) {
			score += scoreTogether
		}
	}
	return score
}

// disturbers counts the runs that a task would disturb or be disturbed by: for
// one that fills, those that serve, and the other way round.
func (w *worker) disturbers(fills bool) int {
	if fills {
		return w.lasting - w.lastingFills
	}
	return w.lastingFills
}
