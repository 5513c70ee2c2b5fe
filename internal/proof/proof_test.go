package proof_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

// crashedRun is a run that was lost with its worker.
func crashedRun(run int, set ...func(*gauge.SuspectRun)) gauge.SuspectRun {
	tr := gauge.SuspectRun{Run: run, Worker: "w1", Crashed: true}
	for _, s := range set {
		s(&tr)
	}
	return tr
}

func asSoleJob(t *gauge.SuspectRun)         { t.SoleJob = true }
func isolated(t *gauge.SuspectRun)          { t.Isolated = true }
func withLikelierCause(t *gauge.SuspectRun) { t.LikelierCause = true }
func lostLate(t *gauge.SuspectRun)          { t.RunTime = 4 * time.Second }

// Guards against a suspected cause that takes precedence over the number of starts, and against a
// sound task that is failed for the crashes of others.
func TestDecisionsFromCrashesAndStarts(t *testing.T) {
	for _, tt := range []struct {
		name             string
		of               proof.Evidence
		suspect, fewLeft bool
		cause            bool
	}{
		{name: "nothing"},
		{name: "one crash long after the start", of: proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1, lostLate)}}},
		{name: "one crash soon after the start", of: proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1)}}, suspect: true},
		{name: "one unattributed", of: proof.Evidence{Unattributed: 1}},
		{name: "two unattributed", of: proof.Evidence{Unattributed: 2}, suspect: true},
		{name: "nine unattributed", of: proof.Evidence{Unattributed: 9}, suspect: true, fewLeft: true},
		{name: "four unattributed, one crash isolated", of: proof.Evidence{Unattributed: 4, SuspectRuns: gauge.SuspectRuns{crashedRun(1, isolated)}}, suspect: true, fewLeft: true, cause: true},
		{name: "four unattributed, one crash not isolated", of: proof.Evidence{Unattributed: 4, SuspectRuns: gauge.SuspectRuns{crashedRun(1)}}, suspect: true, fewLeft: true},
		{name: "three unattributed, one crash isolated", of: proof.Evidence{Unattributed: 3, SuspectRuns: gauge.SuspectRuns{crashedRun(1, isolated)}}, suspect: true, fewLeft: true},
		{
			name: "four beside a likelier cause, one isolated", suspect: true, fewLeft: true, cause: true,
			of: proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1, withLikelierCause), crashedRun(2, withLikelierCause), crashedRun(3, withLikelierCause), crashedRun(4, withLikelierCause), crashedRun(5, isolated)}},
		},
		{
			name: "three unattributed, two of them isolated, two crashes", suspect: true, fewLeft: true, cause: true,
			of: proof.Evidence{Unattributed: 3, UnattributedIsolated: 2, SuspectRuns: gauge.SuspectRuns{crashedRun(1), crashedRun(2)}},
		},
		{name: "four unattributed, two of them isolated, one crash", of: proof.Evidence{Unattributed: 4, UnattributedIsolated: 2, SuspectRuns: gauge.SuspectRuns{crashedRun(1)}}, suspect: true, fewLeft: true},
		{name: "two as the sole job", of: proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1, asSoleJob), crashedRun(2, asSoleJob)}}, suspect: true, cause: true},
		{name: "two as the sole job, long-running", of: proof.Evidence{LongRunning: true, SuspectRuns: gauge.SuspectRuns{crashedRun(1, asSoleJob), crashedRun(2, asSoleJob)}}, suspect: true},
		{name: "one run of a gang on two workers", of: proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1, lostLate), crashedRun(1, lostLate)}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.of.IsSuspect(), tt.suspect)
			assert.Equal(t, tt.of.HasFewStartsLeft(0), tt.fewLeft)
			assert.Equal(t, tt.of.IsCause(), tt.cause)
		})
	}
}

// Guards against a start that goes out before the last losses are attributed to a cause.
func TestPendingLossesCountAsStarts(t *testing.T) {
	c := proof.Evidence{Unattributed: 1, SuspectRuns: gauge.SuspectRuns{crashedRun(1, lostLate)}}
	assert.Assert(t, !c.HasFewStartsLeft(0))
	assert.Assert(t, c.HasFewStartsLeft(1))
}

// Guards against a probation without an upper bound.
func TestProbationIsBounded(t *testing.T) {
	assert.Equal(t, proof.Evidence{}.Probation(), proof.StartPhase)
	assert.Equal(t, proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1, lostLate)}}.Probation(), 9*time.Second)
	assert.Equal(t, proof.Evidence{SuspectRuns: gauge.SuspectRuns{crashedRun(1, func(tr *gauge.SuspectRun) { tr.RunTime = time.Minute })}}.Probation(), proof.ClearAfter)
}
