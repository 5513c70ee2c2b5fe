package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/speed"
)

// placementRound holds the workers that take starts, for one round of starts.
type placementRound struct {
	workers         []*worker
	disabled        gauge.Disabled
	room            frontier                    // of the workers that take all kinds of tasks
	longRunningRoom frontier                    // of all workers
	promised        map[*worker]gauge.Resources // for tasks that are to move here from other workers
	longRunningOnly map[*worker]bool            // only for long-running tasks
}

func (p *Pool) newRound(now time.Duration) *placementRound {
	r := &placementRound{workers: p.roundBuf[:0], disabled: p.conf.Disabled, room: p.roomBuf[0][:0], longRunningRoom: p.roomBuf[1][:0]}
	for _, w := range p.workersByID() {
		if !w.takesStarts(now) || w.isSetAside(now) || w.speed.hasTrialRun() {
			continue
		}
		r.workers = append(r.workers, w)
		w.drainSoon = now < w.drainSoonUntil
		if now < w.longRunningOnlyUntil {
			r.keepForLongRunning(w)
		}
	}
	p.roundBuf = r.workers
	r.updateRoom()
	p.roomBuf = [2]frontier{r.room, r.longRunningRoom}
	return r
}

func (r *placementRound) keepForLongRunning(w *worker) {
	if r.longRunningOnly == nil {
		r.longRunningOnly = make(map[*worker]bool)
	}
	r.longRunningOnly[w] = true
}

// updateRoom computes what is free on the workers: tasks that fit nowhere needn't be tried on each.
func (r *placementRound) updateRoom() {
	r.room, r.longRunningRoom = r.room[:0], r.longRunningRoom[:0]
	for _, w := range r.workers {
		if w.speed.hasTrialRun() {
			continue // as of this plan
		}
		free := w.free()
		r.longRunningRoom = r.longRunningRoom.add(free)
		if !r.longRunningOnly[w] {
			r.room = r.room.add(free)
		}
	}
}

// hasRoom reports whether a worker has room for one task of a stage. Labels, the bound on tasks per
// worker and advice may still exclude that worker.
func (r *placementRound) hasRoom(st *stage, need gauge.Resources) bool {
	if st.spec.LongRunning {
		return r.longRunningRoom.contains(need)
	}
	return r.room.contains(need)
}

// place picks the worker for one task of a stage; nil if none has room. PerWorker counts the
// stage's runs by worker, taken is what this round has reserved already, and allowed reports on
// which workers the stage may run.
func (r *placementRound) place(st *stage, perWorker workerCounts, taken map[*worker]gauge.Resources, allowed func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	need := st.spec.Reservation()
	for _, w := range r.workers {
		if !st.fits(w, need, taken[w], perWorker[w]) || !w.speed.admits(st, taken[w]) || !allowed(w) || r.longRunningOnly[w] && !st.spec.LongRunning {
			continue
		}
		if s := w.score(st, perWorker[w], r.disabled); best == nil || s > bestScore {
			best, bestScore = w, s
		}
	}
	return best
}

// fits reports whether a worker has what a task of a stage needs, in addition to what is taken
// there: room, the label, and no more tasks of the stage than the bound per worker allows.
func (st *stage) fits(w *worker, need, taken gauge.Resources, onWorker int) bool {
	// The cheap checks that exclude most workers come first.
	return w.free().Contains(need) && w.info.HasLabel(st.spec.Label) && w.free().Minus(taken).Contains(need) &&
		(st.spec.PerWorker == 0 || onWorker < st.spec.PerWorker)
}

// allowedWorkers returns a filter of the workers on which the stage may run according to its
// queue's advice.
func (c *candidate) allowedWorkers(now time.Duration) func(*worker) bool {
	return func(w *worker) bool {
		_, ok := c.ticketFor(w, now)
		return ok
	}
}

func anyWorker(*worker) bool { return true }

// workerCounts counts a stage's runs by worker; nil if they aren't needed.
type workerCounts map[*worker]int

func (s workerCounts) add(w *worker) {
	if s != nil {
		s[w]++
	}
}

// countByWorker counts the stage's runs by worker, including reservations of its suspects; nil if
// their distribution doesn't matter.
func (st *stage) countByWorker() workerCounts {
	if st.spec.PerWorker == 0 && !st.spec.LongRunning {
		return nil
	}
	counts := make(workerCounts)
	for _, t := range st.tasks {
		for _, r := range t.runs {
			counts.add(r.worker)
		}
		if t.reservation != nil {
			for _, w := range t.reservation.workers {
				counts.add(w)
			}
		}
	}
	return counts
}

const (
	// scoreRack outweighs any difference in free capacity: on a rack without its data a task takes
	// twice as long.
	scoreRack = 1000.0
	// scoreSpread keeps long-running tasks of one step on different workers.
	scoreSpread = 100.0
	// scoreGather puts long-running tasks of different steps on few workers, so that the others can
	// move to another pool or have their maintenance at once.
	scoreGather = 5.0
	// scoreInterference keeps best-effort tasks away from tasks with a bound on their tail latency,
	// which they disturb.
	scoreInterference = 10.0
	// scoreDrainSoon keeps long-running tasks off workers that are to be drained soon, where they
	// would have to leave again. It outweighs scoreGather and any free capacity.
	scoreDrainSoon = 8.0
)

// score rates how well a worker suits; larger is better. The fullest worker with room is the best,
// so that others stay empty and can move to another pool.
func (w *worker) score(st *stage, onWorker int, disabled gauge.Disabled) float64 {
	score := 0.0
	if w.info.Capacity.MilliCPU > 0 && !disabled.Has(gauge.MechanismPack) {
		score = -float64(w.free().MilliCPU) / float64(w.info.Capacity.MilliCPU)
	}
	if st.spec.DataRack != "" && w.info.HasLabel(st.spec.DataRack) {
		score += scoreRack
	}
	if w.speed.kind == speed.Slow {
		score -= scoreSlow
	}
	if st.spec.LongRunning {
		if !disabled.Has(gauge.MechanismScatter) {
			score -= scoreSpread * float64(onWorker)
		}
		score -= scoreInterference * float64(w.countInterfering(st.spec.BestEffort))
		if w.drainSoon && !disabled.Has(gauge.MechanismAvoidDraining) {
			score -= scoreDrainSoon
		}
		if w.longRunning > 0 && !disabled.Has(gauge.MechanismGather) {
			score += scoreGather
		}
	}
	return score
}

// countInterfering counts the runs that a task would disturb or be disturbed by: for a best-effort
// task those that serve, and vice versa.
func (w *worker) countInterfering(bestEffort bool) int {
	if bestEffort {
		return w.longRunning - w.longRunningBestEffort
	}
	return w.longRunningBestEffort
}
