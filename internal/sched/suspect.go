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
	c := proof.Case{Trials: t.trials(), Excused: t.excused(), Lasts: t.stage.spec.Lasts}
	if c.Excused > 0 {
		c.Lone = t.job.row.Lone[t.trialTask().key()]
	}
	return c
}

// excused is how many starts of the task ended before it had shown that it lives, and are held
// against nothing.
func (t *task) excused() int {
	if len(t.job.row.Excused) == 0 {
		return 0
	}
	return t.job.row.Excused[t.trialTask().key()]
}

// countExcused takes in one more start that proved nothing.
func (t *task) countExcused() {
	t.job.row.Excused = increment(t.job.row.Excused, t.trialTask().key())
	t.job.touch(true)
	t.trialTask().written = t.job.changes
}

func increment(counts map[string]int, key string) map[string]int {
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
	if t.done || !t.job.open() || lead.countedRun == run {
		return
	}
	lead.countedRun = run
	if alone {
		t.job.row.Lone = increment(t.job.row.Lone, lead.key())
	}
	t.countExcused()
	p.suspect(t)
	p.conf.Logs.Info("start counted", "job", t.job.id, "task", t.id.String(), "run", run, "starts", t.known().Starts(), "excused", t.excused())
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
	if lost == 0 {
		return false
	}
	if known := t.known(); lost+known.Trials.Crashes() < judgedFrom && !known.FewLeft(lost) {
		return false
	}
	return t.awaits > 0 || t.adrift > 0 && now < t.readyAt+judgementWait
}
