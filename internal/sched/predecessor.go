package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
)

// What an owner knew of crashes and could not write is lost with it. So owners tell the next that there may be
// some, which allows for them by a guess; and it finds out what became of the runs that they noted.

// guessMost bounds how many crashes an owner may guess of a task that nobody has seen.
const guessMost = 2

// guess counts a crash that owners before may not have come to note.
func (t *task) guess() {
	key := t.trialTask().key()
	if t.job.row.Guessed[key] >= guessMost {
		return
	}
	t.job.row.Guessed = increment(t.job.row.Guessed, key)
	t.countExcused()
}

// notice allows for crashes that owners before may not have come to note, once one of the task is
// known.
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

// mayHaveCrashed tells whether owners before, several in a row, may have lost runs of a task of which
// nothing is known. Its starts are noted from now on: owners that are replaced one after the other,
// each before it notices a crash, would otherwise start it without an end.
func (p *Pool) mayHaveCrashed(t *task) bool {
	return t.job.inherited && !t.trialTask().suspect && p.conf.Unnoted > 0
}

// noteRoutine notes a run that is about to start, for the next owner only.
func (p *Pool) noteRoutine(r *run) {
	tr := gauge.Trial{Run: r.number, Worker: r.worker.info.ID, Born: r.worker.info.Born, Routine: true}
	r.task.setTrials(append(slices.Clone(r.task.trials()), tr), false)
	r.tried = true
}

// inheritTrials takes in what owners before this one knew of a job's runs.
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

// settleTrials finds out what became of runs that owners before this one noted. It is asked
// once all workers that may have them were heard, or can run nothing any more.
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
			p.acquit(t, tr.Run) // it lives, and hasn't the run
		default:
			w.leave(lostRun{task: t, number: tr.Run, lived: tr.Lived, told: true})
		}
	}
}

// crashedBefore takes in that a worker was gone before this owner heard it.
func (p *Pool) crashedBefore(t *task, tr gauge.Trial, now time.Duration) {
	if others := p.unheardWith(p.lossOf(tr.Life(), now)) > 1; others {
		// What those were lost for nobody knows. It excuses no task that has lost two workers
		// already, but proves nothing, either.
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

// Unnoted tells whether crashes are known that the table doesn't have: who takes the pool over now has
// to know that there may be more than it reads.
func (p *Pool) Unnoted() bool {
	for t := range p.suspects {
		if !t.noted() {
			return true
		}
	}
	return false
}

// LostBefore tells whether workers were lost before this owner heard them: those before it may not have
// come to note why.
func (p *Pool) LostBefore() bool { return p.lostBefore }
