package sched

import (
	"fmt"
	"math"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

// Recounted holds what the pool tracks incrementally, computed by a walk over all jobs instead.
type Recounted struct {
	Depths             map[string]int
	Urgent             bool
	Changed            []string // jobs that are to be written
	Waiting            []string // steps with tasks that may start
	Tasks              int      // of open jobs, in memory
	WrongCriticalPaths []string // occurrences whose cached critical path is wrong
	Load               gauge.PoolLoad
	Uses               map[string]limit.Use       // by client account
	Running            map[string]gauge.Resources // the same: what its runs take of the workers
}

// Recount goes over all jobs and workers.
func (p *Pool) Recount(now time.Duration) Recounted {
	w := Recounted{Depths: make(map[string]int), Load: gauge.PoolLoad{Pool: p.conf.Name, ArrivedCoreSeconds: p.adoptedWork, ArrivedJobs: p.adoptedJobs}, Uses: make(map[string]limit.Use), Running: make(map[string]gauge.Resources)}
	for _, j := range p.jobs {
		if !j.started && j.isOpen() {
			w.Depths[j.queue]++
		}
		w.Urgent = w.Urgent || j.isDirty() && j.urgent
		if j.isDirty() || j.isDroppable() {
			w.Changed = append(w.Changed, j.id)
		}
		if j.isOpen() {
			w.addJob(p, j, now)
		}
	}
	for id, worker := range p.workers {
		w.addUses(worker)
		for r := range worker.runs {
			account := r.task.job.spec.Account
			w.Running[account] = w.Running[account].Plus(r.resources)
		}
		w.Urgent = w.Urgent || worker.lastEnd > worker.lastStoredEnd && !worker.dead || worker.waitsForLeaseRow()
		if worker.listed && !worker.dead {
			longRunning := 0
			for r := range worker.runs {
				if r.task.stage.spec.LongRunning {
					longRunning++
				}
			}
			load := gauge.WorkerLoad{ID: id, Runs: len(worker.runs), LongRunning: longRunning, AcceptsRuns: worker.takesStarts(now), RemainingTime: worker.remainingTime(now)}
			if len(worker.runs) > 0 || !worker.takesStarts(now) {
				w.Load.Workers = append(w.Load.Workers, load)
			}
		}
	}
	slices.Sort(w.Changed)
	slices.Sort(w.Waiting)
	return w
}

// addUses adds what may run on a worker to what its accounts use.
func (w *Recounted) addUses(worker *worker) {
	for _, runs := range []map[*run]bool{worker.runs, worker.lateStarts} {
		for r := range runs {
			account := r.task.job.spec.Account
			if account == "" {
				continue
			}
			use := w.Uses[account]
			if r.inherited {
				use.Inherited = use.Inherited.Plus(r.task.stage.spec.Needs)
			} else {
				use.Started = use.Started.Plus(r.task.stage.spec.Needs)
			}
			w.Uses[account] = use
		}
	}
}

func (w *Recounted) addJob(p *Pool, j *job, now time.Duration) {
	for _, o := range j.occurrences {
		if known := o.remainingCriticalPath(); known != o.uncachedCriticalPath() {
			w.WrongCriticalPaths = append(w.WrongCriticalPaths, fmt.Sprintf("%s.%d", j.id, o.number))
		}
		if known := *p.expectedChain(o); known != p.uncachedChain(o) {
			w.WrongCriticalPaths = append(w.WrongCriticalPaths, fmt.Sprintf("%s.%d, expected", j.id, o.number))
		}
		for i, st := range o.steps {
			w.Tasks += len(st.tasks)
			idle, remaining := 0, 0
			for _, t := range st.tasks {
				if !t.done {
					remaining++
				}
				if !t.done && len(t.runs) == 0 {
					idle++
				}
			}
			if idle > 0 && o.isReady(st) {
				w.Waiting = append(w.Waiting, fmt.Sprintf("%s.%d.%d", j.id, o.number, i))
			}
			if remaining > 0 {
				demand := &w.Load.Timely
				p.policy(j)
				if p.estimatedLateness(j, o, now) > 0 || j.beyondShare {
					demand = &w.Load.Late
				}
				w.addStage(demand, st, p.meanCapacity, o.isReady(st), idle, now)
			}
		}
	}
}

func (w *Recounted) addStage(demand *gauge.Demand, st *stage, capacity gauge.Resources, ready bool, idle int, now time.Duration) {
	cores := st.spec.Reservation().CoresOf(capacity)
	if st.spec.LongRunning {
		w.Load.LongRunningCores += float64(st.spec.Reservation().MilliCPU) / milliPerCore * float64(len(st.tasks))
		w.Load.LongRunningRoom += cores * float64(len(st.tasks))
		w.Load.Unplaced += idle
		if per := st.spec.PerWorker; per > 0 {
			w.Load.MinWorkers = max(w.Load.MinWorkers, (len(st.tasks)+per-1)/per)
		}
		return
	}
	for _, t := range st.tasks {
		switch {
		case t.done:
		case len(t.runs) > 0:
			demand.RunningCores += cores
		case ready:
			demand.WaitingCores += cores
			if len(t.lateStarts) == 0 {
				w.Load.LongestWait = max(w.Load.LongestWait, now-max(t.readyAt, t.lateOverAt))
			}
		}
	}
}

// Waiting returns the steps with tasks that may start, as a plan finds them when any task fits.
func (p *Pool) Waiting(now time.Duration) []string {
	var names []string
	large := frontier{{MilliCPU: math.MaxInt, MemoryMB: math.MaxInt, Accels: math.MaxInt}}
	q := p.candidates(&placementRound{room: large, longRunningRoom: large}, now)
	defer q.clear()
	for q.hasNext() {
		c := q.next()
		names = append(names, fmt.Sprintf("%s.%d.%d", c.job.id, c.stage.occ.number, c.stage.tasks[0].id.Step))
	}
	slices.Sort(names)
	return names
}

// CountCandidates returns how many waiting steps a plan ranks.
func (p *Pool) CountCandidates(now time.Duration) int {
	q := p.candidates(p.newRound(now), now)
	defer q.clear()
	n := 0
	for ; q.hasNext(); n++ {
		q.next()
	}
	return n
}

// AssumeOverload has accounts ordered, where that is in force, until the next tick.
func (p *Pool) AssumeOverload() { p.index.fair.overloaded = p.index.fair.inForce }

// IsOverloaded reports whether accounts are ordered.
func (p *Pool) IsOverloaded() bool { return p.index.fair.overloaded }

// LatenessOf returns the class of lateness of a job's first occurrence.
func (p *Pool) LatenessOf(id string, now time.Duration) int {
	j := p.jobs[id]
	o := j.occurrences[0]
	return p.rank(j, o, o.steps[0], now).lateness
}

// FrontierContains reports whether the frontier of the amounts that are free on some workers contains
// an amount.
func FrontierContains(free []gauge.Resources, need gauge.Resources) bool {
	var f frontier
	for _, amount := range free {
		f = f.add(amount)
	}
	return f.contains(need)
}

// Changed returns the jobs that are to be written.
func (p *Pool) Changed() []string {
	var names []string
	for _, j := range p.index.unwrittenJobs() {
		names = append(names, j.id)
	}
	slices.Sort(names)
	return names
}

// uncachedCriticalPath computes the remaining critical path without its cached value.
func (o *occurrence) uncachedCriticalPath() time.Duration {
	return (&occurrence{number: o.number, steps: o.steps, remaining: o.remaining, criticalPathStale: true}).remainingCriticalPath()
}

// uncachedChain computes the expected chain without its cached value.
func (p *Pool) uncachedChain(o *occurrence) expectedChain {
	return *p.expectedChain(&occurrence{number: o.number, steps: o.steps, remaining: o.remaining})
}

// JobState returns the state of a job in a queue, false if the job isn't known here.
func (p *Pool) JobState(queue, id string) (gauge.JobState, bool) {
	status, ok := p.JobStatus(queue, id)
	return status.State, ok
}

// Running returns what the runs of a client account take of the workers.
func (p *Pool) Running(account string) gauge.Resources { return p.index.fair.shares.Running(account) }

// OpenOccurrenceLimit is openOccurrenceLimit.
func OpenOccurrenceLimit(spec *gauge.JobSpec) int { return openOccurrenceLimit(spec) }
