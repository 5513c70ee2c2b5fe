package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

// A task may end each worker that starts it, and all that runs there. Such a crash is no end
// of a run that anybody tells: the task would start again on the next worker, without a bound,
// and take the work of other callers along each time. So runs that were lost with a worker are
// kept with the job's row as trials. A task that may be the cause starts apart from others,
// which tells it from those that were only beside it, and is given up when it must be the
// cause. Workers that are lost together, or with nothing on them that began lately, were lost
// for another reason: nothing is held against what ran there.

// trialTask is the task that the trials are kept with: members of a gang are one.
func (t *task) trialTask() *task {
	if t.stage.spec.Gang {
		return t.stage.tasks[0]
	}
	return t
}

// trials are the task's runs that may have ended their workers.
func (t *task) trials() gauge.Trials {
	if len(t.job.row.Trials) == 0 {
		return nil
	}
	return t.job.row.Trials[t.trialTask().key()]
}

func (t *task) setTrials(ts gauge.Trials, urgent bool) {
	j := t.job
	if j.row.Trials == nil {
		j.row.Trials = make(map[string]gauge.Trials)
	}
	if len(ts) == 0 {
		delete(j.row.Trials, t.trialTask().key())
	} else {
		j.row.Trials[t.trialTask().key()] = ts
	}
	j.touch(urgent)
	t.trialTask().written = j.changes
}

// known is what is held against the task.
func (t *task) known() proof.Case {
	return proof.Case{Trials: t.trials(), Excused: t.excused(), Lone: t.job.row.Lone[t.trialTask().key()], Lasts: t.stage.spec.Lasts}
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

// excused is how many starts of the task ended before it had shown that it lives, and are held
// against nothing.
func (t *task) excused() int { return t.job.row.Excused[t.trialTask().key()] }

// guessMost bounds how many crashes an owner may guess of a task that nobody has seen.
const guessMost = 2

// guess counts a crash that owners before may not have come to note.
func (t *task) guess() {
	key := t.trialTask().key()
	if t.job.row.Guessed[key] >= guessMost {
		return
	}
	t.job.row.Guessed = counted(t.job.row.Guessed, key)
	t.countExcused()
}

// countExcused takes in one more start that proved nothing.
func (t *task) countExcused() {
	t.job.row.Excused = counted(t.job.row.Excused, t.trialTask().key())
	t.job.touch(true)
	t.trialTask().written = t.job.changes
}

func counted(counts map[string]int, key string) map[string]int {
	if counts == nil {
		counts = make(map[string]int)
	}
	counts[key]++
	return counts
}

// forget drops what is held against nothing, as the task has shown that it lives.
func (t *task) forget() {
	if t.excused() == 0 {
		return
	}
	key := t.trialTask().key()
	delete(t.job.row.Excused, key)
	delete(t.job.row.Guessed, key)
	delete(t.job.row.Lone, key)
	t.job.touch(false)
}

// excuse takes in that a run was lost with its worker for another reason, as far as that can
// be known.
func (p *Pool) excuse(t *task, run int, lived time.Duration) {
	alone := t.trials().Tried(run)
	if lived < proof.Soon || alone && lived < t.probation(run) {
		p.countRun(t, run, alone)
	}
	p.acquit(t, run)
	p.giveUp(t)
}

// countRun takes in that a run ended before its task had shown that it lives. Of a gang's run
// all members tell. Alone: it was tried apart from others.
func (p *Pool) countRun(t *task, run int, alone bool) {
	lead := t.trialTask()
	if t.done || !t.job.open() || lead.counted == run {
		return
	}
	lead.counted = run
	if alone {
		t.job.row.Lone = counted(t.job.row.Lone, lead.key())
	}
	t.countExcused()
	p.suspect(t)
	p.conf.Logs.Info("start counted", "job", t.job.id, "task", t.id.String(), "run", run, "starts", t.known().Starts(), "excused", t.excused())
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
	if !lead.inherited {
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

// try notes a run whose worker may crash, or has. One that is noted already is kept up.
func (p *Pool) try(t *task, tr gauge.Trial) {
	p.notice(t)
	ts := slices.Clone(t.trials())
	at := slices.IndexFunc(ts, func(o gauge.Trial) bool { return o.Run == tr.Run && o.Life() == tr.Life() })
	if at < 0 {
		ts = append(ts, tr)
	} else {
		tr.Apart = tr.Apart || !tr.Crashed && ts[at].Apart
		ts[at] = tr
	}
	t.setTrials(ts, true)
	p.suspect(t)
}

// acquit takes back that a run may have ended its worker; crashes that are certain stay.
func (p *Pool) acquit(t *task, run int) {
	ts := t.trials()
	left := slices.DeleteFunc(slices.Clone(ts), func(o gauge.Trial) bool { return o.Run == run && !o.Crashed })
	if len(left) == len(ts) {
		return
	}
	t.setTrials(left, false)
	if t.trialTask().suspect {
		p.conf.Logs.Info("trial taken back", "job", t.job.id, "task", t.id.String(), "run", run, "left", len(left), "excused", t.excused())
	}
	p.suspect(t)
}

// clear drops all trials of a task that has shown that it doesn't end its worker.
func (p *Pool) clear(t *task) {
	if len(t.trials()) == 0 && t.excused() == 0 {
		return
	}
	t.setTrials(nil, false)
	t.forget()
	p.suspect(t)
}

// suspect keeps up whether a task is a suspect.
func (p *Pool) suspect(t *task) {
	lead := t.trialTask()
	is := lead.known().Suspect()
	if is && !lead.suspect {
		ts := lead.trials()
		p.conf.Logs.Info("task suspected", "job", lead.job.id, "task", lead.id.String(), "crashes", ts.Crashes(), "alone", ts.Alone(), "excused", lead.excused(),
			"lived", ts.Longest())
	}
	lead.suspect = is
	if is {
		p.suspects[lead] = true
		return
	}
	delete(p.suspects, lead)
	p.unreserve(lead)
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
		t.inherited = len(ts) > 0
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

// giveUp ends the job of a task that ends its workers.
func (p *Pool) giveUp(t *task) {
	ts := t.trials()
	if !t.known().Cause() || !t.job.open() {
		return
	}
	p.conf.Count(EventGivenUp)
	p.conf.Logs.Info("job given up", "job", t.job.id, "task", t.id.String(), "crashes", ts.Crashes(), "alone", ts.Alone(), "excused", t.excused(),
		"lived", ts.Longest(), "reason", "its workers crash")
	t.job.fail()
	p.haltJob(t.job)
}

// waitsApart tells whether a task doesn't start beside others: it is a suspect, or may be one.
func (t *task) waitsApart(now time.Duration) bool {
	return t.trialTask().suspect || t.waitsForJudgement(now)
}

// judgementWait bounds how long a task waits for workers that don't answer, beyond their leases.
// One that has crashed is off the list by then, or another life answers; one that is cut off
// may be so for minutes.
const judgementWait = 3 * time.Second

// judgedFrom: with so many workers lost a task waits until it is known what for.
const judgedFrom = 2

// waitsForJudgement tells whether a task has lost one worker after the other, and it isn't known
// yet what the last ones were lost for. After the first it starts again at once.
func (t *task) waitsForJudgement(now time.Duration) bool {
	lost := t.awaits + t.adrift
	if known := t.known(); lost+known.Trials.Crashes() < judgedFrom && !known.Last(lost) {
		return false
	}
	return t.awaits > 0 || t.adrift > 0 && now < t.readyAt+judgementWait
}
