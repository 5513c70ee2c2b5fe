package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
)

// Crashes that an owner knew of but couldn't write to the table are forgotten when it ends. So
// owners tell their successor in the lease row that there may be unrecorded crashes, and the
// successor presumes some in their place. It also finds out what became of the runs that previous
// owners recorded.

// maxPresumed bounds how many unrecorded crashes of a task are presumed, by all owners together.
const maxPresumed = 2

// presumeCrash counts a crash that previous owners may have failed to record.
func (t *task) presumeCrash() {
	key := t.leadTask().key()
	if t.job.row.Presumed[key] >= maxPresumed {
		return
	}
	t.job.row.Presumed = increment(t.job.row.Presumed, key)
	t.countUnattributed()
}

// presumeUnrecorded presumes the crashes that previous owners may have failed to record, once a
// crash of the task is known.
func (p *Pool) presumeUnrecorded(t *task) {
	lead := t.leadTask()
	if lead.unrecordedPresumed {
		return
	}
	lead.unrecordedPresumed = true
	if !t.job.inherited {
		return
	}
	unrecorded := p.conf.UnrecordedOwners
	if !lead.recordedBefore {
		unrecorded += boolToInt(p.lostUnreported)
	}
	for range unrecorded {
		t.presumeCrash()
	}
}

// mayHaveUnrecordedCrashes reports whether previous owners may have left crashes of a task
// unrecorded of which nothing is known. If so, its starts are recorded. Otherwise owners that are
// replaced one after the other, each before it notices a crash, would start the task again without
// limit.
func (p *Pool) mayHaveUnrecordedCrashes(t *task) bool {
	return t.job.inherited && !t.leadTask().isSuspect && p.conf.UnrecordedOwners > 0
}

// recordRoutineRun records a run that is about to start, for the successor only.
func (p *Pool) recordRoutineRun(r *run) {
	record := r.worker.newSuspectRun(r.number)
	record.Routine = true
	r.task.setSuspectRuns(append(slices.Clone(r.task.suspectRuns()), record), false)
	r.onProbation = true
}

// inheritSuspectRuns takes over what previous owners recorded of a job's runs.
func (p *Pool) inheritSuspectRuns(j *job, now time.Duration) {
	for _, key := range j.row.SuspectTasks() {
		records := j.row.SuspectRuns[key]
		id, err := gauge.ParseTaskID(j.id + "." + key)
		if err != nil {
			p.conf.Logs.Error(err, "invalid task ID of suspect run", "job", j.id, "task", key)
			continue
		}
		t := j.task(id, now)
		if t == nil || t.done {
			continue
		}
		t.inheritedAt = now
		t.unrecordedPresumed = len(records) >= maxPresumed
		t.recordedBefore = len(records) > 0
		for _, record := range records {
			t.lastRun = max(t.lastRun, record.Run)
			if !record.Crashed || record.Evidence == gauge.EvidenceGone {
				p.unsettled[record.Incarnation()] = append(p.unsettled[record.Incarnation()], unsettledRun{t, record.Run})
			}
			if !record.Crashed {
				t.hasUnsettledRuns = true
				if !record.Routine {
					p.suspectWorkers[record.Incarnation()] = true
				}
			}
		}
		p.updateSuspect(t)
		p.failIfCause(t)
	}
}

// unsettledRun is a run that a previous owner recorded and of which this owner has heard nothing, or one
// on a worker that counts as gone.
type unsettledRun struct {
	task *task
	run  int
}

// settleReported drops the records of runs that a worker doesn't have any more, now that it has reported
// all that it runs and all ends: it didn't crash with them. Later it may have left, and the runs would be
// taken for lost with it.
func (p *Pool) settleReported(w *worker) {
	incarnation := w.info.Incarnation()
	for _, u := range p.unsettled[incarnation] {
		if w.findRun(u.task, u.run) == nil {
			p.dropRecords(u.task, u.run, func(r gauge.SuspectRun) bool {
				return r.Incarnation() == incarnation && (!r.Crashed || r.Evidence == gauge.EvidenceGone)
			})
		}
	}
	delete(p.unsettled, incarnation)
}

// settleSuspectRuns finds out what became of runs that previous owners recorded. It is called once
// all workers that may have them have reported or can't run anything any more.
func (p *Pool) settleSuspectRuns(t *task, now time.Duration) {
	if !t.hasUnsettledRuns {
		return
	}
	t.hasUnsettledRuns, t.missingRuns = false, 0
	for _, record := range t.suspectRuns() {
		if !record.Crashed && (p.isOver(record.Incarnation()) || p.isAddressReused(record)) {
			p.recordPriorCrash(t, record, now)
		}
	}
	for _, record := range t.suspectRuns() {
		if record.Crashed {
			continue
		}
		w := p.workers[record.Worker]
		switch {
		case w == nil && !record.Routine && now < t.inheritedAt+goneAfter:
			t.hasUnsettledRuns = true // it may be cut off, and answer yet
			t.missingRuns++
		case w == nil:
			// It may have left the pool: workers do so all the time.
			if t.suspectRuns().HasCrashed(record.Run) {
				p.dropUnconfirmed(t, record.Run) // a start of a gang counts once
				continue
			}
			p.recordUnattributed(t, record.Run, record.RunTime, false)
		case w.reported && !w.silent:
			p.dropUnconfirmed(t, record.Run) // it is alive and doesn't have the run
		default:
			w.addLost(lostRun{task: t, number: record.Run, minRunTime: record.RunTime, inherited: true})
		}
	}
}

// isAddressReused reports whether another worker is listed at the address of a run's worker.
func (p *Pool) isAddressReused(record gauge.SuspectRun) bool {
	if record.Addr == "" {
		return false
	}
	for id, w := range p.workers {
		if w.listed && w.info.Addr == record.Addr && id != record.Worker {
			return true
		}
	}
	return false
}

// isOver reports whether an incarnation is known to be over.
func (p *Pool) isOver(incarnation gauge.Incarnation) bool {
	if w := p.workers[incarnation.Worker]; w != nil && (w.dead || incarnation.IsBefore(w.info.Incarnation())) {
		return true
	}
	l := p.lossOf(incarnation, 0)
	return !l.gone && !l.unreported
}

// recordPriorCrash records that a worker was dead before it reported to this owner.
func (p *Pool) recordPriorCrash(t *task, record gauge.SuspectRun, now time.Duration) {
	if lostWithOthers := p.countUnreportedWith(p.lossOf(record.Incarnation(), now)) > 1; lostWithOthers {
		// Why these were lost isn't known. For a task that has already lost two workers the loss
		// counts as a crash all the same, but not as one that shows that the task is the cause.
		if !t.evidence().HasRepeatedCrashes() {
			p.recordUnattributed(t, record.Run, record.RunTime, true)
			return
		}
		record.SoleJob, record.Isolated = false, false
	}
	record.Crashed, record.Evidence = true, gauge.EvidenceInherited
	p.conf.Logs.Info("worker crashed", "pool", p.conf.Name, "worker", record.Worker, "born", record.StartedAt, "job", t.job.id, "task", t.id.String(), "run", record.Run,
		"alone", record.SoleJob, "lived", record.RunTime, "seen", "by a previous owner")
	p.recordSuspectRun(t, record)
	p.failIfCause(t)
}

// HasUnrecordedCrashes reports whether crashes are known that the table doesn't have: a successor
// has to know that there may be more than it reads.
func (p *Pool) HasUnrecordedCrashes() bool {
	for t := range p.suspects {
		if !t.isRecorded() {
			return true
		}
	}
	return false
}

// HasUnreportedLosses reports whether workers were lost before they reported to this owner:
// previous owners may have failed to record why.
func (p *Pool) HasUnreportedLosses() bool { return p.lostUnreported }
