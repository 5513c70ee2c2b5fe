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
const maxPresumed = 2

// presumeCrash counts a crash that previous owners may have failed to record.
func (t *task) presumeCrash() {
	key := t.leadTask().key()
	if t.job.row.Guessed[key] >= maxPresumed {
		return
	}
	t.job.row.Guessed = increment(t.job.row.Guessed, key)
	t.countUnattributed()
}

// allowForUnrecorded allows for crashes that previous owners may have failed to record, once a
// crash of the task is known.
func (p *Pool) allowForUnrecorded(t *task) {
	lead := t.leadTask()
	if lead.unrecordedAllowed {
		return
	}
	lead.unrecordedAllowed = true
	if !t.job.inherited {
		return
	}
	unnoted := p.conf.Unnoted
	if !lead.recordedBefore {
		unnoted += boolToInt(p.lostUnreported)
	}
	for range unnoted {
		t.presumeCrash()
	}
}

// mayHaveCrashed reports whether several previous owners in a row may have lost runs of a task of
// which nothing is known. From then on its starts are recorded. Otherwise owners that are replaced
// one after the other, each before it notices a crash, would start the task again without limit.
func (p *Pool) mayHaveCrashed(t *task) bool {
	return t.job.inherited && !t.leadTask().isSuspect && p.conf.Unnoted > 0
}

// recordRoutineRun records a run that is about to start, for the successor only.
func (p *Pool) recordRoutineRun(r *run) {
	tr := gauge.Trial{Run: r.number, Worker: r.worker.info.ID, Born: r.worker.info.Born, Routine: true}
	r.task.setSuspectRuns(append(slices.Clone(r.task.suspectRuns()), tr), false)
	r.onProbation = true
}

// inheritSuspectRuns takes over what previous owners recorded of a job's runs.
func (p *Pool) inheritSuspectRuns(j *job, now time.Duration) {
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
		t.unrecordedAllowed = len(ts) >= maxPresumed
		t.recordedBefore = len(ts) > 0
		for _, tr := range ts {
			t.lastRun = max(t.lastRun, tr.Run)
			if !tr.Crashed {
				t.hasUnsettledRuns = true
				if !tr.Routine {
					p.isolatedBefore[tr.Life()] = true
				}
			}
		}
		p.updateSuspect(t)
		p.failIfCause(t)
	}
}

// settleSuspectRuns finds out what became of runs that previous owners recorded. It is called once
// all workers that may have them have reported or can't run anything any more.
func (p *Pool) settleSuspectRuns(t *task, now time.Duration) {
	if !t.hasUnsettledRuns {
		return
	}
	t.hasUnsettledRuns = false
	for _, tr := range t.suspectRuns() {
		if tr.Crashed {
			continue
		}
		w := p.workers[tr.Worker]
		switch {
		case w == nil || w.dead || tr.Life().Before(w.info.Life()):
			p.recordPriorCrash(t, tr, now)
		case w.reported && !w.silent:
			p.dropUnconfirmed(t, tr.Run) // it is alive and doesn't have the run
		default:
			w.addLost(lostRun{task: t, number: tr.Run, lived: tr.Lived, reported: true})
		}
	}
}

// recordPriorCrash records that a worker was dead before it reported to this owner.
func (p *Pool) recordPriorCrash(t *task, tr gauge.Trial, now time.Duration) {
	if others := p.unreportedWith(p.lossOf(tr.Life(), now)) > 1; others {
		// Why these were lost isn't known. That excuses no task that has already lost two workers,
		// but it proves nothing, either.
		if !t.evidence().Strong() {
			p.excuse(t, tr.Run, tr.Lived)
			return
		}
		tr.Alone, tr.Apart = false, false
	}
	tr.Crashed = true
	p.conf.Logs.Info("worker crashed", "pool", p.conf.Name, "worker", tr.Worker, "born", tr.Born, "job", t.job.id, "task", t.id.String(), "run", tr.Run,
		"alone", tr.Alone, "lived", tr.Lived, "seen", "by an owner before")
	p.recordSuspectRun(t, tr)
	p.failIfCause(t)
}

// Unnoted reports whether crashes are known that the table doesn't have: a successor has to know
// that there may be more than it reads.
func (p *Pool) Unnoted() bool {
	for t := range p.suspects {
		if !t.isRecorded() {
			return true
		}
	}
	return false
}

// LostBefore reports whether workers were lost before they reported to this owner: previous owners
// may have failed to record why.
func (p *Pool) LostBefore() bool { return p.lostUnreported }
