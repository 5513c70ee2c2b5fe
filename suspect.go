package sapphiregauge

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// CrashEvidence is how it is known that a worker crashed while it had a run. Only EvidenceConfirmed is
// certain. With any other, and with none, as in rows of earlier versions, the run may never have begun,
// or may have ended before its worker did.
type CrashEvidence string

// The evidence of crashes.
const (
	// EvidenceConfirmed: the worker had confirmed the run to this owner, and was replaced before the
	// lease of the run expired: another incarnation has answered, or another worker at its address.
	EvidenceConfirmed CrashEvidence = "confirmed"
	// EvidenceUnanswered: the worker was replaced, but never confirmed the run, whose start may not
	// have arrived.
	EvidenceUnanswered CrashEvidence = "unanswered"
	// EvidenceLapsed: the worker was replaced after the lease of the run had expired. It may have been
	// cut off until then.
	EvidenceLapsed CrashEvidence = "lapsed"
	// EvidenceGone: the worker hasn't answered for long, and the platform no longer lists it. It may be
	// cut off, and answer again.
	EvidenceGone CrashEvidence = "gone"
	// EvidenceInherited: a previous owner recorded the run, and its worker was replaced before this
	// owner heard it. The run may have ended before.
	EvidenceInherited CrashEvidence = "inherited"
)

// SuspectRun is a run of a task that may have crashed its worker. It is written to the table before
// the task starts again, so that the next owner also knows how often that has happened.
type SuspectRun struct {
	Run       int    `msgpack:"r"`
	Worker    string `msgpack:"w"`
	StartedAt int64  `msgpack:"n,omitempty"` // start of the worker's incarnation, see Incarnation
	// Crashed says that the worker is dead; else it isn't known yet whether it crashed.
	Crashed bool `msgpack:"x,omitempty"`
	// SoleJob says that no other job had a task on the worker, so none of those is the cause.
	SoleJob bool `msgpack:"o,omitempty"`
	// Isolated says that the run was recorded before it started, on a worker that was closed to
	// other jobs' tasks.
	Isolated bool `msgpack:"p,omitempty"`
	// Routine says that the run was recorded as any run is, without a suspicion against its task.
	Routine bool `msgpack:"u,omitempty"`
	// LikelierCause says that another job's task on the worker is the likelier cause.
	LikelierCause bool          `msgpack:"b,omitempty"`
	RunTime       time.Duration `msgpack:"l,omitempty"` // at the least
	Evidence      CrashEvidence `msgpack:"e,omitempty"` // of a crash
	// Addr is the address of a worker that doesn't say when it started: another worker there shows
	// that it is over.
	Addr string `msgpack:"d,omitempty"`
}

// Incarnation returns the incarnation of the worker.
func (r *SuspectRun) Incarnation() Incarnation {
	return Incarnation{Worker: r.Worker, StartedAt: r.StartedAt}
}

// SuspectRuns are the runs of one task that may have crashed their workers. A run of a gang on
// several workers has one entry for each of them, all with the same run number.
type SuspectRuns []SuspectRun

// CrashCount counts the runs whose workers crashed.
func (s SuspectRuns) CrashCount() int { return s.count(func(r SuspectRun) bool { return r.Crashed }) }

// CertainCrashCount counts the runs that certainly were on their workers when these crashed.
func (s SuspectRuns) CertainCrashCount() int {
	return s.count(func(r SuspectRun) bool { return r.Crashed && r.Evidence == EvidenceConfirmed })
}

// SoleJobCrashCount counts the crashed runs that shared their worker with no other job.
func (s SuspectRuns) SoleJobCrashCount() int {
	return s.count(func(r SuspectRun) bool { return r.Crashed && r.SoleJob })
}

// IsolatedCrashCount counts those of the crashed runs that were isolated from other jobs' tasks.
func (s SuspectRuns) IsolatedCrashCount() int {
	return s.count(func(r SuspectRun) bool { return r.Crashed && r.Isolated })
}

// LikelyCrashCount counts those of the crashed runs for which nothing on the worker was a likelier
// cause.
func (s SuspectRuns) LikelyCrashCount() int {
	return s.count(func(r SuspectRun) bool { return r.Crashed && !r.LikelierCause })
}

// OtherCauseCrashCountWithin counts the crashed runs that ended within a span from their start and
// for which another task on the worker was a likelier cause.
func (s SuspectRuns) OtherCauseCrashCountWithin(span time.Duration) int {
	return s.count(func(r SuspectRun) bool { return r.Crashed && r.LikelierCause && r.RunTime < span })
}

// LikelyCrashCountWithin counts the crashed runs that ended within a span from their start and for
// which nothing on the worker was a likelier cause.
func (s SuspectRuns) LikelyCrashCountWithin(span time.Duration) int {
	return s.count(func(r SuspectRun) bool { return r.Crashed && !r.LikelierCause && r.RunTime < span })
}

func (s SuspectRuns) count(matches func(r SuspectRun) bool) int {
	numbers := make(map[int]bool)
	for _, r := range s {
		if matches(r) {
			numbers[r.Run] = true
		}
	}
	return len(numbers)
}

// HasCrashed reports whether the crash of a worker is recorded for a run.
func (s SuspectRuns) HasCrashed(run int) bool {
	return slices.ContainsFunc(s, func(r SuspectRun) bool { return r.Run == run && r.Crashed })
}

// HasUnresolvedIsolatedRun reports whether a run was recorded as isolated and it isn't known yet
// whether its worker crashed.
func (s SuspectRuns) HasUnresolvedIsolatedRun(run int) bool {
	return slices.ContainsFunc(s, func(r SuspectRun) bool { return r.Run == run && r.Isolated && !r.Crashed })
}

// weight returns how much the runs say about their task: those that crashed their worker or were
// isolated count twice.
func (s SuspectRuns) weight() int {
	weight := len(s)
	for _, r := range s {
		if r.Crashed || r.Isolated {
			weight++
		}
	}
	return weight
}

// String describes the crashed runs for the log.
func (s SuspectRuns) String() string {
	var crashes []string
	for _, r := range s {
		if r.Crashed {
			crashes = append(crashes, fmt.Sprintf("%d on %s: %s alone=%t isolated=%t lived=%s", r.Run, r.Incarnation(), r.Evidence, r.SoleJob, r.Isolated, r.RunTime))
		}
	}
	return strings.Join(crashes, "; ")
}

// WithoutRun returns the runs except for those with one number.
func (s SuspectRuns) WithoutRun(run int) SuspectRuns {
	return slices.DeleteFunc(slices.Clone(s), func(r SuspectRun) bool { return r.Run == run })
}

// LongestRunTime returns the run time of the longest of these runs.
func (s SuspectRuns) LongestRunTime() time.Duration {
	longest := time.Duration(0)
	for _, r := range s {
		longest = max(longest, r.RunTime)
	}
	return longest
}

// AnyEndedWithin reports whether one of the runs ended, or may have ended, within a span from its
// start.
func (s SuspectRuns) AnyEndedWithin(span time.Duration) bool {
	for _, r := range s {
		if r.RunTime < span {
			return true
		}
	}
	return false
}
