package sched

import (
	"slices"
	"time"

	"sapphiregauge/internal/proof"
)

// A run of a suspect is on probation until it has lasted for longer than one that crashes its
// worker would. If it is isolated, its worker is closed to other jobs until then.

// probation returns how long a run of the task has to last, given what is known of its other runs.
func (t *task) probation(run int) time.Duration {
	return proof.Evidence{SuspectRuns: t.suspectRuns().WithoutRun(run)}.Probation()
}

// checkProbation handles a worker's report of a suspect's run. Other tasks may start beside it once
// it has lasted long enough.
func (p *Pool) checkProbation(r *run) {
	if r.onProbation && !r.survivalRecorded && r.minRunTime() >= proof.StartPhase {
		// From now on its loss isn't attributed to its start, by a successor either.
		r.survivalRecorded = true
		p.recordRunTime(r)
	}
	if r.onProbation && r.minRunTime() >= r.task.probation(r.number) {
		r.onProbation = false
		p.conf.Logs.Info("task survived", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID, "lived", r.minRunTime())
		p.endIsolation(r)
		r.task.forgetUnattributed()
		p.dropUnconfirmed(r.task, r.number)
	}
	if r.minRunTime() >= proof.ClearAfter {
		p.clearSuspicion(r.task)
	}
}

// inheritProbation continues the probation of a run that a previous owner recorded.
func (p *Pool) inheritProbation(r *run) {
	// The time of its start isn't known. Each run of a suspect is recorded until it has lasted for
	// a while, and most runs of other tasks have lasted for as long.
	r.priorRunTime = proof.StartPhase
	for _, record := range r.task.suspectRuns() {
		if record.Run != r.number || record.Crashed {
			continue
		}
		r.onProbation, r.priorRunTime = true, record.RunTime
		if r.task.prefersIsolation() {
			r.closeWorker(r.task.leadTask())
		}
		return
	}
}

// closeWorker keeps other jobs' tasks off a run's worker, for the suspect that it is a run of.
func (r *run) closeWorker(t *task) {
	if r.worker.isolated == nil {
		r.worker.isolated = make(map[*task]int)
	}
	r.isolatedFor = t
	r.worker.isolated[t]++
}

// endIsolation removes a run from the isolated ones on its worker.
func (p *Pool) endIsolation(r *run) {
	if r.isolatedFor == nil {
		return
	}
	if r.worker.isolated[r.isolatedFor]--; r.worker.isolated[r.isolatedFor] <= 0 {
		delete(r.worker.isolated, r.isolatedFor)
	}
	r.isolatedFor = nil
}

// recordRunTime records how long a run on probation has lasted so far.
func (p *Pool) recordRunTime(r *run) {
	records := slices.Clone(r.task.suspectRuns())
	for i := range records {
		if records[i].Run == r.number && !records[i].Crashed {
			records[i].RunTime = r.minRunTime()
		}
	}
	r.task.setSuspectRuns(records, false)
}
