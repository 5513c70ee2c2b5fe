// Package proof decides what follows from crashes of the workers that ran a task: whether the task
// may be the cause, whether it may only start isolated from other jobs' tasks, and whether it must
// be the cause, so that its job fails. It goes by the starts and crashes that a job's row has.
//
// The cause of a single crash is a guess that may be wrong, but starts can be counted. A start
// counts if the task didn't run for long enough afterwards to be cleared, whatever the run was lost
// for. Once few starts are left, the task waits longer for a worker where nothing else can be the
// cause of a crash.
package proof

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// StartPhase is the time after a start within which a crash makes the task a suspect: a run
	// that its worker has reported for longer doesn't crash the worker by starting.
	StartPhase = time.Second
	// ClearAfter is how long a run must last to clear its task of suspicion. It also bounds how
	// long a task runs isolated.
	ClearAfter = 30 * time.Second

	// suspectCrashes is the number of crashes, unattributed ones included, that make a task a
	// suspect, however long its runs lasted.
	suspectCrashes = 2
	// soleJobCrashes is the number of crashes, each with no other job's task on the worker and as
	// soon after the start as those before, that show that the task is the cause. A single one
	// may be chance.
	soleJobCrashes = 2
	// soleJobCrashesLongRunning is the same for a long-running task. It is higher because all
	// serving tasks of the job are stopped when the job fails.
	soleJobCrashesLongRunning = 3
	// maxSoonCrashes is the number of crashes soon after a start that show the same where the task
	// could not be distinguished from other jobs' tasks, or its starts got no answer.
	maxSoonCrashes = 4
	// maxCrashes is the number of crashes at any time that show the same. By the users' rules a
	// task may be started twice more after three crashes.
	maxCrashes = 5
	// minCertainCrashes is the number of certain crashes from which a job may be failed; a
	// requirement of the users.
	minCertainCrashes = 2
	// minLikelyCrashes is the number of crashes that suffice if fewer are certain, and
	// minCrashesOfStarts the number once the task has no starts left. Owners that are replaced after
	// each start, and starts without an answer, leave no certain crash.
	minLikelyCrashes   = 4
	minCrashesOfStarts = 3
	// lastStarts is how many of these starts are the last ones, for which the task waits longer for
	// a worker without other jobs' tasks.
	lastStarts = 2
	// maxUnattributed limits how many unattributed starts, including crashes that no owner saw, and
	// crashes soon after a start that have a likelier cause, lower the number of likely crashes
	// that fails the job. Without the limit a healthy task would be failed for the loss of racks,
	// or with too few known crashes. All starts count once hasConclusiveStarts holds.
	maxUnattributed = 2
)

// Evidence is what is known of a task's starts.
type Evidence struct {
	SuspectRuns gauge.SuspectRuns // runs that were, or may have been, lost in a crash
	// Unattributed is the number of starts after which the run was lost before it had lasted long
	// enough to clear the task, but whose loss isn't attributed to the task.
	Unattributed int
	// UnattributedCrashes is how many of these runs were lost with a worker that was replaced.
	UnattributedCrashes int
	// UnattributedIsolated is how many of these runs were isolated from other jobs' tasks.
	UnattributedIsolated int
	LongRunning          bool // the task is a long-running one
}

// UnprovenStarts returns the number of starts after which the task didn't run for long enough to be
// cleared.
func (e Evidence) UnprovenStarts() int { return e.SuspectRuns.CrashCount() + e.Unattributed }

// IsSuspect reports whether the task may be the cause of a crash.
func (e Evidence) IsSuspect() bool {
	return e.SuspectRuns.AnyEndedWithin(StartPhase) || e.UnprovenStarts() >= suspectCrashes
}

// HasRepeatedCrashes reports whether the task has crashed so many workers that a correlated loss of
// other workers doesn't rule it out as the cause.
func (e Evidence) HasRepeatedCrashes() bool { return e.SuspectRuns.CrashCount() >= suspectCrashes }

// HasFewStartsLeft reports whether few starts are left, counting as starts the lost runs whose loss
// is not attributed yet.
func (e Evidence) HasFewStartsLeft(lost int) bool {
	return e.UnprovenStarts()+lost >= maxCrashes-lastStarts
}

// HasNoStartsLeft reports whether the task has had as many starts as it may have, counting the lost
// runs whose loss is not attributed yet.
func (e Evidence) HasNoStartsLeft(lost int) bool { return e.UnprovenStarts()+lost >= maxCrashes }

// isConfirmed reports whether so many crashes under the task are known to have happened that its job
// may be failed. That can't be taken back; a task that is only suspected is isolated, or waits.
func (e Evidence) isConfirmed() bool {
	return e.SuspectRuns.CertainCrashCount() >= minCertainCrashes || e.crashes() >= minLikelyCrashes || e.HasNoStartsLeft(0) && e.HasEnoughCrashes()
}

// HasEnoughCrashes reports whether so many of the task's workers have crashed that these crashes don't
// have to be certain once the task has no starts left.
func (e Evidence) HasEnoughCrashes() bool { return e.crashes() >= minCrashesOfStarts }

// crashes counts the starts after which the worker is known, or likely, to have crashed.
func (e Evidence) crashes() int { return e.SuspectRuns.CrashCount() + e.UnattributedCrashes }

// IsCause reports whether the task must be the cause of crashes.
func (e Evidence) IsCause() bool { return e.isConfirmed() && e.isLikelyCause() }

func (e Evidence) isLikelyCause() bool {
	soleJob := soleJobCrashes
	if e.LongRunning {
		soleJob = soleJobCrashesLongRunning
	}
	soon := min(maxSoonCrashes, maxCrashes-min(e.Unattributed+e.SuspectRuns.OtherCauseCrashCountWithin(StartPhase), maxUnattributed))
	return e.SuspectRuns.SoleJobCrashCount() >= soleJob || e.SuspectRuns.LikelyCrashCountWithin(StartPhase) >= soon || e.SuspectRuns.LikelyCrashCount() >= maxCrashes ||
		e.UnprovenStarts() >= maxCrashes && e.hasConclusiveStarts()
}

// hasConclusiveStarts reports whether an isolated run crashed, or lastStarts unattributed runs were
// isolated and two crashes soon after a start had no likelier cause.
func (e Evidence) hasConclusiveStarts() bool {
	isolated := e.SuspectRuns.IsolatedCrashCount()
	return isolated > 0 || e.UnattributedIsolated >= lastStarts && e.SuspectRuns.LikelyCrashCountWithin(StartPhase) >= suspectCrashes
}

// Probation returns how long a run must last before its worker counts as having survived it.
func (e Evidence) Probation() time.Duration {
	return min(2*e.SuspectRuns.LongestRunTime()+StartPhase, ClearAfter)
}
