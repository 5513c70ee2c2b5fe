package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
)

// What an owner knew of crashes and couldn't write is lost with it. So owners tell their successor
// in the lease row that there may be some, and the successor allows for them by presuming crashes.
// It also finds out what became of the runs that previous owners recorded.

// maxPresumed bounds how many unseen crashes of a task an owner may presume.
const guessMost = 2

// presumeCrash counts a crash that previous owners may have failed to record.
func (t *task) guess() {
	key := t.trialTask().key()
	if t.job.row.Guessed[key] >= guessMost {
		return
	}
	t.job.row.Guessed = increment(t.job.row.Guessed, key)
	t.countExcused()
}

// allowForUnrecorded allows for crashes that previous owners may have failed to record, once a
// crash of the task is known.
func (p *Pool) notice(t *task) {
	lead := t.trialTask()
	if lead.noticed {
		return
	}
	lead.noticed = true
	if !t.job.inherited {
		return
	}
	unnoted := p.conf.Unnoted
	if !lead.notedBefore {
		unnoted += count(p.lostBefore)
	}
	for range unnoted {
		t.guess()
	}
}

// mayHaveCrashed reports whether several previous owners in a row may have lost runs of a task of
// which nothing is known. From then on its starts are recorded. Otherwise owners that are replaced
// one after the other, each before it notices a crash, would start the task again without limit.
func (p *Pool) mayHaveCrashed(t *task) bool {
	return t.job.inherited && !t.trialTask().suspect && p.conf.Unnoted > 0
}

// recordRoutineRun records a run that is about to start, for the successor only.
func (p *Pool) noteRoutine(r *run) {
	tr := gauge.Trial{Run: r.number, Worker: r.worker.info.ID, Born: r.worker.info.Born, Routine: true}
	r.task.setTrials(append(slices.Clone(r.task.trials()), tr), false)
	r.tried = true
}

// inheritSuspectRuns takes over what previous owners recorded of a job's runs.
func (p *Pool) inheritTrials(j *job, now time.Duration) {
	for _, key := range j.row.Tried() {
		ts := j.row.Trials[key]
		id, err := gauge.ParseTaskID(j.id + "." + key)
		if err != nil {
			p.conf.Logs.Error(err, "trial not read", "job", j.id, "task", key)
			continue
		}
		t := j.task(id, now)
		if t == nil || t.done {
			continue
		}
		t.noticed = len(ts) >= guessMost
		t.notedBefore = len(ts) > 0
		for _, tr := range ts {
			t.lastRun = max(t.lastRun, tr.Run)
			if !tr.Crashed {
				t.unsettled = true
				if !tr.Routine {
					p.tried[tr.Life()] = true
				}
			}
		}
		p.suspect(t)
		p.giveUp(t)
	}
}

// settleSuspectRuns finds out what became of runs that previous owners recorded. It is called once
// all workers that may have them have reported or can't run anything any more.
func (p *Pool) settleTrials(t *task, now time.Duration) {
	if !t.unsettled {
		return
	}
	t.unsettled = false
	for _, tr := range t.trials() {
		if tr.Crashed {
			continue
		}
		w := p.workers[tr.Worker]
		switch {
		case w == nil || w.gone || tr.Life().Before(w.info.Life()):
			p.crashedBefore(t, tr, now)
		case w.heard && !w.silent:
			p.acquit(t, tr.Run) // it is alive and doesn't have the run
		default:
			w.leave(lostRun{task: t, number: tr.Run, lived: tr.Lived, told: true})
		}
	}
}

// recordPriorCrash records that a worker was dead before it reported to this owner.
func (p *Pool) crashedBefore(t *task, tr gauge.Trial, now time.Duration) {
	if others := p.unheardWith(p.lossOf(tr.Life(), now)) > 1; others {
		// Why these were lost isn't known. That excuses no task that has already lost two workers,
		// but it proves nothing, either.
		if !t.known().Strong() {
			p.excuse(t, tr.Run, tr.Lived)
			return
		}
		tr.Alone, tr.Apart = false, false
	}
	tr.Crashed = true
	p.conf.Logs.Info("worker crashed", "pool", p.conf.Name, "worker", tr.Worker, "born", tr.Born, "job", t.job.id, "task", t.id.String(), "run", tr.Run,
		"alone", tr.Alone, "lived", tr.Lived, "seen", "by an owner before")
	p.try(t, tr)
	p.giveUp(t)
}

// Unnoted reports whether crashes are known that the table doesn't have: a successor has to know
// that there may be more than it reads.
func (p *Pool) Unnoted() bool {
	for t := range p.suspects {
		if !t.noted() {
			return true
		}
	}
	return false
}

// LostBefore reports whether workers were lost before they reported to this owner: previous owners
// may have failed to record why.
func (p *Pool) LostBefore() bool { return p.lostBefore }
