package sched

import (
	"slices"
	"time"

	"sapphiregauge/internal/proof"
)

// A run of a suspect is on probation: its worker is closed to other jobs until the run has lived
// for longer than one that crashes its worker would.

// probation is how long a run of the task has to live, given what is known of its other runs.
func (t *task) probation(run int) time.Duration {
	return proof.Case{Trials: t.trials().Without(run)}.Probation()
}

// checkProbation handles a worker's report of a suspect's run. Other tasks may start beside it once
// it has lived long enough.
func (p *Pool) survived(r *run) {
	if r.tried && !r.outlived && r.lived() >= proof.Soon {
		// If it is lost from now on, the start wasn't the cause, for the successor either.
		r.outlived = true
		p.outlive(r)
	}
	if r.tried && r.lived() >= r.task.probation(r.number) {
		r.tried = false
		p.conf.Logs.Info("task survived", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID, "lived", r.lived())
		p.endTrial(r)
		r.task.forget()
		p.acquit(r.task, r.number)
	}
	if r.lived() >= proof.Calm {
		p.clear(r.task)
	}
}

// inheritProbation continues the probation of a run that a previous owner started in isolation.
func (p *Pool) inheritTrial(r *run) {
	// The time of its start isn't known. Each run of a suspect is recorded until it has lived for a
	// while, and most runs of other tasks have lived for as long.
	r.credit = proof.Soon
	for _, tr := range r.task.trials() {
		if tr.Run != r.number || tr.Crashed {
			continue
		}
		r.tried, r.credit = true, tr.Lived
		if r.task.apartOnly() {
			r.closeWorker(r.task.trialTask())
		}
		return
	}
}

// closeWorker keeps other jobs' tasks off a run's worker, for the suspect that it is a run of.
func (r *run) closeWorker(t *task) {
	if r.worker.trials == nil {
		r.worker.trials = make(map[*task]int)
	}
	r.trial = t
	r.worker.trials[t]++
}

// endIsolation removes a run from the isolated ones on its worker.
func (p *Pool) endTrial(r *run) {
	if r.trial == nil {
		return
	}
	if r.worker.trials[r.trial]--; r.worker.trials[r.trial] <= 0 {
		delete(r.worker.trials, r.trial)
	}
	r.trial = nil
}

// recordLived records how long a run on probation has lived so far.
func (p *Pool) outlive(r *run) {
	ts := slices.Clone(r.task.trials())
	for i := range ts {
		if ts[i].Run == r.number && !ts[i].Crashed {
			ts[i].Lived = r.lived()
		}
	}
	r.task.setTrials(ts, false)
}
