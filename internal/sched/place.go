package sched

import (
	"time"

	gauge "sapphiregauge"
)

// place picks the worker for one task of a stage; nil if none has room. Taken is
// what is set aside on workers in the same round.
func (p *Pool) place(st *stage, now time.Duration, taken map[*worker]gauge.Resources) *worker {
	var best *worker
	var bestScore float64
	need := st.spec.Room()
	on := st.perWorker()
	for w := range p.candidates(st, now) {
		if !w.free().Minus(taken[w]).Holds(need) {
			continue
		}
		if st.spec.PerWorker > 0 && on[w] >= st.spec.PerWorker {
			continue
		}
		score := p.score(w, st, on[w])
		if best == nil || score > bestScore || (score == bestScore && w.info.ID < best.info.ID) {
			best, bestScore = w, score
		}
	}
	return best
}

// candidates are the workers that take starts and carry the label.
func (p *Pool) candidates(st *stage, now time.Duration) func(yield func(*worker) bool) {
	return func(yield func(*worker) bool) {
		for _, w := range p.workers {
			if w.takes(now) && w.info.HasLabel(st.spec.Label) && !yield(w) {
				return
			}
		}
	}
}

// perWorker counts the stage's runs by worker.
func (st *stage) perWorker() map[*worker]int {
	on := make(map[*worker]int)
	for _, t := range st.tasks {
		for _, r := range t.runs {
			on[r.worker]++
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
)

// score says how well a worker suits: the larger the better. Free processor time
// counts, as tasks on one worker disturb each other.
func (p *Pool) score(w *worker, st *stage, on int) float64 {
	score := 0.0
	if w.info.Capacity.MilliCPU > 0 {
		score = -float64(w.free().MilliCPU) / float64(w.info.Capacity.MilliCPU)
	}
	if st.spec.DataRack != "" && w.info.HasLabel(st.spec.DataRack) {
		score += scoreRack
	}
	if st.spec.Lasts {
		score -= scoreSpread * float64(on)
		score -= scoreApart * float64(w.disturbers(st.spec.Fills))
		if w.lasting() > 0 {
			score += scoreTogether
		}
	}
	return score
}

// disturbers counts the runs that a task would disturb or be disturbed by: for
// one that fills, those that serve, and the other way round.
func (w *worker) disturbers(fills bool) int {
	n := 0
	for r := range w.runs {
		spec := r.task.stage.spec
		if spec.Lasts && spec.Fills != fills {
			n++
		}
	}
	return n
}
