package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

// A task may crash each worker that starts it, and with it all that runs there. No end report comes
// of such a crash, so the task would start again on the next worker without limit, and take other
// callers' work with it each time. So runs that were lost with a worker are recorded in the job's
// row. A task that may be the cause is a suspect: it starts in isolation if possible, which
// distinguishes it from tasks that merely ran beside it, and its job is failed when it must be the
// cause. Workers that are lost together, or with no recently begun runs, were lost for another
// reason, and their loss isn't attributed to their tasks.

// leadTask is the task with which suspect runs are recorded: the members of a gang count as one.
func (t *task) leadTask() *task {
	if t.stage.spec.Gang {
		return t.stage.tasks[0]
	}
	return t
}

// suspectRuns are the task's runs that may have crashed their workers.
func (t *task) suspectRuns() gauge.SuspectRuns {
	if len(t.job.row.SuspectRuns) == 0 {
		return nil
	}
	return t.job.row.SuspectRuns[t.leadTask().key()]
}

func (t *task) setSuspectRuns(records gauge.SuspectRuns, urgent bool) {
	j := t.job
	if j.row.SuspectRuns == nil {
		j.row.SuspectRuns = make(map[string]gauge.SuspectRuns)
	}
	if len(records) == 0 {
		delete(j.row.SuspectRuns, t.leadTask().key())
	} else {
		j.row.SuspectRuns[t.leadTask().key()] = records
	}
	j.touch(urgent)
	t.leadTask().requiredRevision = j.revision
}

// evidence returns what is known of the task's starts and crashes.
func (t *task) evidence() proof.Evidence {
	c := proof.Evidence{SuspectRuns: t.suspectRuns(), Unattributed: t.unattributed(), LongRunning: t.stage.spec.LongRunning}
	if c.Unattributed > 0 {
		c.UnattributedIsolated = t.job.row.UnattributedIsolated[t.leadTask().key()]
		c.UnattributedCrashes = t.job.row.UnattributedCrashes[t.leadTask().key()]
	}
	return c
}

// unattributed counts the starts of the task that ended before it had shown that it survives, and
// aren't attributed to it.
func (t *task) unattributed() int {
	if len(t.job.row.Unattributed) == 0 {
		return 0
	}
	return t.job.row.Unattributed[t.leadTask().key()]
}

// countUnattributed counts one more start that ended before the task had shown that it survives,
// and isn't attributed to it.
func (t *task) countUnattributed() {
	t.job.row.Unattributed = increment(t.job.row.Unattributed, t.leadTask().key())
	t.job.touch(true)
	t.leadTask().requiredRevision = t.job.revision
}

func increment(counts map[string]int, key string) map[string]int {
	if counts == nil {
		counts = make(map[string]int)
	}
	counts[key]++
	return counts
}

// forgetUnattributed drops the unattributed starts, as the task has shown that it survives.
func (t *task) forgetUnattributed() {
	if t.unattributed() == 0 {
		return
	}
	key := t.leadTask().key()
	delete(t.job.row.Unattributed, key)
	delete(t.job.row.Presumed, key)
	delete(t.job.row.UnattributedIsolated, key)
	delete(t.job.row.UnattributedCrashes, key)
	t.job.touch(false)
}

// recordUnattributed records that a run was lost with its worker for a cause other than its task,
// as far as that can be known, and whether the worker is known to have crashed.
func (p *Pool) recordUnattributed(t *task, run int, minRunTime time.Duration, crashed bool) {
	isolated := t.suspectRuns().HasUnresolvedIsolatedRun(run)
	if minRunTime < proof.StartPhase || isolated && minRunTime < t.probation(run) {
		p.countUnprovenStart(t, run, isolated, crashed)
	}
	p.dropUnconfirmed(t, run)
	p.failIfCause(t)
}

// countUnprovenStart counts a run that ended before its task had shown that it survives, whether the
// run was isolated, and whether its worker has crashed. All members of a gang report the same run.
func (p *Pool) countUnprovenStart(t *task, run int, isolated, crashed bool) {
	lead := t.leadTask()
	if t.done || !t.job.isOpen() || lead.countedRun == run {
		return
	}
	lead.countedRun = run
	if isolated {
		t.job.row.UnattributedIsolated = increment(t.job.row.UnattributedIsolated, lead.key())
	}
	if crashed {
		t.job.row.UnattributedCrashes = increment(t.job.row.UnattributedCrashes, lead.key())
	}
	t.countUnattributed()
	p.updateSuspect(t)
	p.conf.Logs.Info("start counted", "job", t.job.id, "task", t.id.String(), "run", run, "starts", t.evidence().UnprovenStarts(), "excused", t.unattributed())
}

// recordSuspectRun adds or updates the record of a run whose worker may crash or has crashed.
func (p *Pool) recordSuspectRun(t *task, record gauge.SuspectRun) {
	p.presumeUnrecorded(t)
	records := slices.Clone(t.suspectRuns())
	i := slices.IndexFunc(records, func(o gauge.SuspectRun) bool { return o.Run == record.Run && o.Incarnation() == record.Incarnation() })
	if i < 0 {
		records = append(records, record)
	} else {
		record.Isolated = record.Isolated || !record.Crashed && records[i].Isolated
		records[i] = record
	}
	t.setSuspectRuns(records, true)
	p.updateSuspect(t)
}

// dropUnconfirmed removes the record of a run that may have crashed its worker; confirmed crashes
// stay.
func (p *Pool) dropUnconfirmed(t *task, run int) {
	p.dropRecords(t, run, func(r gauge.SuspectRun) bool { return !r.Crashed })
}

// dropRecords removes those records of a run that match: it hasn't crashed its worker.
func (p *Pool) dropRecords(t *task, run int, matches func(r gauge.SuspectRun) bool) {
	records := t.suspectRuns()
	remaining := slices.DeleteFunc(slices.Clone(records), func(r gauge.SuspectRun) bool { return r.Run == run && matches(r) })
	if len(remaining) == len(records) {
		return
	}
	t.setSuspectRuns(remaining, false)
	if t.leadTask().isSuspect {
		p.conf.Logs.Info("trial taken back", "job", t.job.id, "task", t.id.String(), "run", run, "left", len(remaining), "excused", t.unattributed())
	}
	p.updateSuspect(t)
}

// clearSuspicion drops all records of a task that has shown that it doesn't crash its worker.
func (p *Pool) clearSuspicion(t *task) {
	if len(t.suspectRuns()) == 0 && t.unattributed() == 0 {
		return
	}
	t.setSuspectRuns(nil, false)
	t.forgetUnattributed()
	p.updateSuspect(t)
}

// updateSuspect updates whether a task is a suspect.
func (p *Pool) updateSuspect(t *task) {
	lead := t.leadTask()
	suspect := lead.evidence().IsSuspect()
	if suspect && !lead.isSuspect {
		records := lead.suspectRuns()
		p.conf.Logs.Info("task suspected", "job", lead.job.id, "task", lead.id.String(), "crashes", records.CrashCount(), "alone", records.SoleJobCrashCount(), "excused", lead.unattributed(),
			"lived", records.LongestRunTime())
	}
	lead.isSuspect = suspect
	if suspect {
		p.suspects[lead] = true
		return
	}
	delete(p.suspects, lead)
	p.releaseReservation(lead)
}

// failIfCause fails the job of a task that crashes its workers.
func (p *Pool) failIfCause(t *task) {
	records := t.suspectRuns()
	if !t.evidence().IsCause() || !t.job.isOpen() {
		return
	}
	p.conf.CountEvent(EventGivenUp)
	p.conf.Logs.Info("job given up", "job", t.job.id, "task", t.id.String(), "crashes", records.CrashCount(), "alone", records.SoleJobCrashCount(), "excused", t.unattributed(),
		"apart", t.evidence().UnattributedIsolated, "presumed", t.job.row.Presumed[t.leadTask().key()], "lived", records.LongestRunTime(), "counted", records.String(),
		"reason", "the task crashes its workers")
	t.job.fail()
	p.requestJobStop(t.job)
}

// needsIsolation reports whether the normal start of a task must leave it out: startSuspects starts
// it, or its last losses aren't attributed yet.
func (t *task) needsIsolation(now time.Duration) bool {
	return t.leadTask().isSuspect || t.waitsForAttribution(now)
}

// attributionTimeout bounds how long a task waits for workers that don't answer, beyond their
// leases, while it has starts left. By then another incarnation of a crashed worker usually answers. A
// worker that is cut off may be so for minutes.
const attributionTimeout = 3 * time.Second

// attributionThreshold is the number of lost workers from which a task waits for attribution.
const attributionThreshold = 2

// waitsForAttribution reports whether a task has lost one worker after the other and the last
// losses aren't attributed yet. After the first loss it starts again at once.
func (t *task) waitsForAttribution(now time.Duration) bool {
	lost := t.lostRuns()
	if lost == 0 {
		return false
	}
	if evidence := t.evidence(); lost+evidence.SuspectRuns.CrashCount() < attributionThreshold && !evidence.HasFewStartsLeft(lost) {
		return false
	}
	return t.pendingLosses > 0 || lost > 0 && now < t.readyAt+attributionTimeout
}

// lostRuns is the number of runs of the task whose outcome isn't known yet.
func (t *task) lostRuns() int { return t.pendingLosses + t.unclearRuns + t.missingRuns }

// hasNoStartsLeft reports whether a task has had as many starts as it may have, counting those on workers
// that don't answer. It waits until it is known what became of these, if the platform no longer lists them
// or if so many of the task's workers have crashed that these probably have, too.
func (p *Pool) hasNoStartsLeft(t *task) bool {
	evidence := t.evidence()
	if t.unclearRuns+t.missingRuns == 0 || !evidence.HasNoStartsLeft(t.unclearRuns+t.missingRuns) {
		return false
	}
	if evidence.HasEnoughCrashes() {
		return true
	}
	gone := t.missingRuns
	for _, w := range p.workers {
		for _, l := range w.lostRuns {
			gone += boolToInt(l.task == t && !w.listed)
		}
	}
	return gone > 0 && evidence.HasNoStartsLeft(gone)
}
