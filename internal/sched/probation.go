package sched

import (
	"slices"
	"time"

	"sapphiregauge/internal/proof"
)

// A run of a suspect is on probation: its worker is closed to others until it has lived for as
// long as one that ends its worker would not.

// probation is how long a run of the task has to live, by what is known of the others.
func (t *task) probation(run int) time.Duration {
	return proof.Case{Trials: t.trials().Without(run)}.Probation()
}

// survived takes in that a worker has told of a suspect's run. Others may start beside it once
// it has lived long enough.
func (p *Pool) survived(r *run) {
	if r.tried && !r.outlived && r.lived() >= proof.Soon {
		// Lost from now on, it wasn't lost by starting, also for the next owner.
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

// inheritTrial goes on with a run that an owner before this one tried.
func (p *Pool) inheritTrial(r *run) {
	// When it began isn't known. Each run of a suspect is noted until it has lived for a while, and
	// of others most have.
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

// closeWorker keeps a run's worker from other jobs' tasks, for the suspect that it is a run of.
func (r *run) closeWorker(t *task) {
	if r.worker.trials == nil {
		r.worker.trials = make(map[*task]int)
	}
	r.trial = t
	r.worker.trials[t]++
}

// endTrial takes a run off those that are tried on its worker.
func (p *Pool) endTrial(r *run) {
	if r.trial == nil {
		return
	}
	if r.worker.trials[r.trial]--; r.worker.trials[r.trial] <= 0 {
		delete(r.worker.trials, r.trial)
	}
	r.trial = nil
}

// outlive notes how long a run that is tried has lived so far.
func (p *Pool) outlive(r *run) {
	ts := slices.Clone(r.task.trials())
	for i := range ts {
		if ts[i].Run == r.number && !ts[i].Crashed {
			ts[i].Lived = r.lived()
		}
	}
	r.task.setTrials(ts, false)
}
