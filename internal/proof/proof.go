// Package proof decides what follows from crashes of the workers that ran a task: whether the task
// may be the cause, whether it may only start isolated from other jobs' tasks, and whether it must
// be the cause, so that its job fails. It goes by the starts and crashes that a job's row has.
//
// The cause of a single crash is a guess that may be wrong, but starts can be counted. A start
// counts if the task didn't run for long enough afterwards to prove sound, whatever the run was
// lost for. Once few starts are left, the task starts only where nothing else can be the cause of
// a crash.
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

	// suspectCrashes is the number of crashes that make a task a suspect, however long its runs
	// lasted.
	suspectCrashes = 2
	// soleJobCrashes is the number of crashes, each with no other job's task on the worker and as
	// soon after the start as those before, that show that the task is the cause. A single one
	// may be chance.
	soleJobCrashes = 2
	// soleJobCrashesLongRunning is the same for a long-running task. It is higher because all
	// serving tasks of the job are stopped when the job fails.
	soleJobCrashesLongRunning = 3
	// maxSoonCrashes is the number of crashes soon after a start that show the same where the task
	// could not be told from other jobs' tasks, or its starts got no answer.
	maxSoonCrashes = 4
	// maxCrashes is the number of crashes at any time that show the same. By the users' rules a
	// task may be started twice more after three crashes.
	maxCrashes = 5
	// lastStarts is how many of these starts, the last ones, must be conclusive: the task then
	// starts isolated only.
	lastStarts = 2
	// maxUnattributed limits how many unattributed crashes, and crashes that no owner saw, count
	// towards maxCrashes, unless one more occurred with the task isolated. Without the limit a
	// sound task would be failed for the loss of racks, or with too few known crashes.
	maxUnattributed = 2
)

// Evidence is what is known of a task's starts.
type Evidence struct {
	SuspectRuns gauge.SuspectRuns // runs that were, or may have been, lost in a crash
	// Unattributed is the number of starts after which the run was lost before the task had proved
	// sound, but which are not attributed to it.
	Unattributed int
	// UnattributedIsolated is how many of these runs were isolated from other jobs' tasks.
	UnattributedIsolated int
	LongRunning          bool // the task is a long-running one
}

// UnprovenStarts returns the number of starts after which the task has not proved sound.
func (c Evidence) UnprovenStarts() int { return c.SuspectRuns.CrashCount() + c.Unattributed }

// IsSuspect reports whether the task may be the cause of a crash.
func (c Evidence) IsSuspect() bool {
	return c.SuspectRuns.AnyEndedWithin(StartPhase) || c.UnprovenStarts() >= suspectCrashes
}

// HasRepeatedCrashes reports whether the task has lost so many workers that a correlated loss of
// other workers doesn't exonerate it.
func (c Evidence) HasRepeatedCrashes() bool { return c.SuspectRuns.CrashCount() >= suspectCrashes }

// HasFewStartsLeft reports whether few starts are left, counting as starts the lost runs whose loss
// is not attributed yet.
func (c Evidence) HasFewStartsLeft(lost int) bool {
	return c.UnprovenStarts()+lost >= maxCrashes-lastStarts
}

// IsCause reports whether the task must be the cause of crashes.
func (c Evidence) IsCause() bool {
	soleJob := soleJobCrashes
	if c.LongRunning {
		soleJob = soleJobCrashesLongRunning
	}
	soon := min(maxSoonCrashes, maxCrashes-min(c.Unattributed+c.SuspectRuns.UnlikelyCrashCountWithin(StartPhase), maxUnattributed))
	return c.SuspectRuns.SoleJobCrashCount() >= soleJob || c.SuspectRuns.LikelyCrashCountWithin(StartPhase) >= soon || c.SuspectRuns.LikelyCrashCount() >= maxCrashes ||
		c.UnprovenStarts() >= maxCrashes && c.hasConclusiveStarts()
}

// hasConclusiveStarts reports whether the last starts leave no doubt: at least one crash was that
// of an isolated run, or the last starts were isolated and are unattributed, and two crashes soon
// after a start had no likelier cause.
func (c Evidence) hasConclusiveStarts() bool {
	isolated := c.SuspectRuns.IsolatedCrashCount()
	return isolated > 0 || c.UnattributedIsolated >= lastStarts && c.SuspectRuns.LikelyCrashCountWithin(StartPhase) >= suspectCrashes
}

// Probation returns how long a run must last before its worker counts as having survived it.
func (c Evidence) Probation() time.Duration {
	return min(2*c.SuspectRuns.LongestRunTime()+StartPhase, ClearAfter)
}
