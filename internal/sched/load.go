package sched

import (
	"time"

	gauge "sapphiregauge"
)

const milli = 1000.0

// Load tells what the pool has to do.
func (p *Pool) Load(now time.Duration) gauge.PoolLoad {
	l := gauge.PoolLoad{Pool: p.conf.Name, Arrived: p.arrived}
	for _, j := range p.jobs {
		if !j.open() {
			continue
		}
		for _, o := range j.occs {
			for _, st := range o.steps {
				into := &l.Timely
				if p.rank(j, o, st, now).late > 0 {
					into = &l.Late
				}
				st.load(&l, into, o.ready(st), now)
			}
		}
	}
	for id, w := range p.workers {
		if w.gone || !w.listed {
			continue
		}
		l.Workers = append(l.Workers, gauge.WorkerLoad{ID: id, Runs: len(w.runs), Lasting: w.lasting(), Takes: w.takes(now)})
	}
	return l
}

// load adds what a stage has to do.
func (st *stage) load(l *gauge.PoolLoad, into *gauge.Demand, ready bool, now time.Duration) {
	if st.left == 0 {
		return
	}
	cores := float64(st.spec.Room().MilliCPU) / milli
	if st.spec.Lasts {
		l.Lasting += cores * float64(len(st.tasks))
		l.Away += st.idle
		if per := st.spec.PerWorker; per > 0 {
			l.Spread = max(l.Spread, (len(st.tasks)+per-1)/per)
		}
		return
	}
	for _, t := range st.tasks {
		switch {
		case t.done:
		case len(t.runs) > 0:
			into.Busy += cores
		case ready:
			into.Waiting += cores
			l.Oldest = max(l.Oldest, now-t.readyAt)
		}
	}
}

// lasting counts the runs of lasting tasks on a worker.
func (w *worker) lasting() int {
	n := 0
	for r := range w.runs {
		if r.task.stage.spec.Lasts {
			n++
		}
	}
	return n
}

// work is the estimated work of a job, in core-seconds, lasting tasks aside.
func work(j *gauge.JobSpec) float64 {
	sum := 0.0
	for i := range j.Steps {
		st := &j.Steps[i]
		if !st.Lasts {
			sum += float64(st.Room().MilliCPU) / milli * st.Estimate.Seconds() * float64(st.Count)
		}
	}
	return sum * float64(j.Occurrences())
}
