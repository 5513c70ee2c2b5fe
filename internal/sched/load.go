package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/triage"
)

const milliPerCore = 1000.0

// Load returns the pool's demand and the load of its workers. What counts as timely demand goes by
// the clients' estimates, also where the order of starts goes by learned run times: that finds more
// jobs late in a pool that is full, which would then lose its hosts to others.
func (p *Pool) Load(now time.Duration) gauge.PoolLoad {
	l := gauge.PoolLoad{Pool: p.conf.Name, ArrivedCoreSeconds: p.adoptedWork, ArrivedJobs: p.adoptedJobs}
	for _, j := range p.jobs {
		if !j.isOpen() {
			continue
		}
		p.policy(j)
		for _, o := range j.occurrences {
			if o.remaining == 0 {
				continue
			}
			demand := &l.Timely
			if p.estimatedLateness(j, o, now) != triage.Timely.Rank() || j.beyondShare {
				demand = &l.Late
			}
			for _, st := range o.steps {
				st.addLoad(&l, demand, p.meanCapacity, o.isReady(st), now)
			}
		}
	}
	for _, w := range p.workersByID() {
		if w.dead || !w.listed {
			continue
		}
		if load := w.load(now); !load.IsIdle() {
			l.Workers = append(l.Workers, load)
		}
	}
	return l
}

// load returns what runs on the worker.
func (w *worker) load(now time.Duration) gauge.WorkerLoad {
	return gauge.WorkerLoad{ID: w.info.ID, Runs: len(w.runs), LongRunning: w.longRunning, AcceptsRuns: w.takesStarts(now), RemainingTime: w.remainingTime(now)}
}

// addLoad adds the demand of a stage, in cores of workers with the mean capacity: where tasks need
// more memory for each core than workers have, the memory decides how many workers are needed.
func (st *stage) addLoad(l *gauge.PoolLoad, demand *gauge.Demand, capacity gauge.Resources, ready bool, now time.Duration) {
	if st.remaining == 0 {
		return
	}
	cores := st.spec.Reservation().CoresOf(capacity)
	if st.spec.LongRunning {
		l.LongRunningCores += coresPerTask(st.spec) * float64(len(st.tasks))
		l.LongRunningRoom += cores * float64(len(st.tasks))
		l.Unplaced += st.idle
		if per := st.spec.PerWorker; per > 0 {
			l.MinWorkers = max(l.MinWorkers, (len(st.tasks)+per-1)/per)
		}
		return
	}
	demand.RunningCores += cores * float64(st.remaining-st.idle)
	if !ready {
		return
	}
	demand.WaitingCores += cores * float64(st.idle)
	if now-st.earliestReady <= l.LongestWait {
		return // none of its tasks has waited longer
	}
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 && len(t.lateStarts) == 0 { // more workers don't shorten the wait for late starts
			l.LongestWait = max(l.LongestWait, now-t.waitingSince())
		}
	}
}

// coresPerTask is how many cores a task of a step reserves.
func coresPerTask(st *gauge.Step) float64 { return float64(st.Reservation().MilliCPU) / milliPerCore }

// estimatedWork is the estimated work of a job in core-seconds of workers with the mean capacity,
// without long-running tasks.
func estimatedWork(j *gauge.JobSpec, capacity gauge.Resources) float64 {
	sum := 0.0
	for i := range j.Steps {
		st := &j.Steps[i]
		if !st.LongRunning {
			sum += st.Reservation().CoresOf(capacity) * st.Estimate.Seconds() * float64(st.Count)
		}
	}
	return sum * float64(j.Occurrences())
}

// overrunShare is the share of its time so far that a run is expected to go on for once it has
// taken longer than estimated. Estimates are off by half.
const overrunShare = 0.25

// remainingTime returns the estimated time until all runs on the worker have ended, except
// long-running ones.
func (w *worker) remainingTime(now time.Duration) time.Duration {
	var longest time.Duration
	for r := range w.runs {
		if r.task.stage.spec.LongRunning {
			continue
		}
		elapsed := now - r.orderedAt
		left := max(r.task.stage.spec.Estimate-elapsed, time.Duration(float64(elapsed)*overrunShare))
		longest = max(longest, left)
	}
	return longest
}
