package sched

import (
	"time"

	gauge "sapphiregauge"
)

// setAsideSpan is how long a worker is kept free for a suspect. Most work ends in that time.
const setAsideSpan = 2 * time.Second

// setAside keeps a worker without long-running tasks free for a suspect: the one that will be free
// soonest.
func (p *Pool) setAside(t *task, now time.Duration) {
	if !p.maySetAside(now) {
		return
	}
	var best *worker
	for _, w := range p.workersByID() {
		if !w.takesStarts(now) || w.isSetAside(now) || w.longRunning > 0 || !w.info.HasLabel(t.stage.spec.Label) || !w.info.Capacity.Contains(t.stage.spec.Reservation()) {
			continue
		}
		if best == nil || w.remainingTime(now) < best.remainingTime(now) {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.asideUntil = now + setAsideSpan
	p.conf.Logs.Info("worker set aside", "pool", p.conf.Name, "worker", best.info.ID, "runs", len(best.runs), "job", t.job.id, "task", t.id.String())
}

// maySetAside reports whether one more worker may be kept from other work: one in any case, and at
// most a quarter of the workers.
func (p *Pool) maySetAside(now time.Duration) bool {
	setAside, all := 0, 0
	for _, w := range p.workers {
		if !w.listed || w.dead {
			continue
		}
		all++
		setAside += boolToInt(w.isSetAside(now))
	}
	return setAside == 0 || fewDivisor*(setAside+1) <= all
}

// isSetAside reports whether a worker is kept for suspects: one runs there in isolation or has a
// reservation, or is to get one.
func (w *worker) isSetAside(now time.Duration) bool { return w.numSuspects() > 0 || now < w.asideUntil }

// numSuspects counts the suspects that run in isolation or have a reservation on a worker.
func (w *worker) numSuspects() int { return len(w.isolated) + len(w.reservations) }

// hasOnlyJob reports whether no other job has a task on a worker.
func (w *worker) hasOnlyJob(j *job) bool {
	for r := range w.runs {
		if r.task.job != j {
			return false
		}
	}
	return w.isolatesOnlyJob(j)
}

// rackIsolatesOther reports whether another job's suspect is isolated on another worker of the
// rack: if both workers were lost at once, that would look like a loss of the rack.
func (p *Pool) rackIsolatesOther(w *worker, j *job) bool {
	for _, o := range p.workers {
		if o != w && o.numSuspects() > 0 && o.info.Rack() == w.info.Rack() && !o.isolatesOnlyJob(j) {
			return true
		}
	}
	return false
}

// isolatesOnlyJob reports whether no other job's suspect is isolated on a worker or has a
// reservation there.
func (w *worker) isolatesOnlyJob(j *job) bool {
	for t := range w.isolated {
		if t.job != j {
			return false
		}
	}
	for t := range w.reservations {
		if t.job != j {
			return false
		}
	}
	return true
}

// addReservation reserves room for one of a suspect's tasks.
func (w *worker) addReservation(t *task) {
	if w.reservations == nil {
		w.reservations = make(map[*task]int)
	}
	w.reservations[t]++
}

// reservedRoom is the capacity that is reserved on a worker for suspects.
func (w *worker) reservedRoom() gauge.Resources {
	var sum gauge.Resources
	for t, n := range w.reservations {
		for range n {
			sum = sum.Plus(t.stage.spec.Reservation())
		}
	}
	return sum
}
