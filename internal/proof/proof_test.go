package proof_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

// crashedRun is a run that was lost with its worker.
func crashedRun(run int, set ...func(*gauge.Trial)) gauge.Trial {
	tr := gauge.Trial{Run: run, Worker: "w1", Crashed: true}
	for _, s := range set {
		s(&tr)
	}
	return tr
}

func asSoleJob(t *gauge.Trial)         { t.Alone = true }
func isolated(t *gauge.Trial)          { t.Apart = true }
func withLikelierCause(t *gauge.Trial) { t.Beside = true }
func lostLate(t *gauge.Trial)          { t.Lived = 4 * time.Second }

// Guards against a suspected cause that takes precedence over the number of starts, and against a
// sound task that is failed for the crashes of others.
func TestDecisionsFromCrashesAndStarts(t *testing.T) {
	for _, tt := range []struct {
		name             string
		of               proof.Case
		suspect, fewLeft bool
		cause            bool
	}{
		{name: "nothing"},
		{name: "one crash long after the start", of: proof.Case{Trials: gauge.Trials{crashedRun(1, lostLate)}}},
		{name: "one crash soon after the start", of: proof.Case{Trials: gauge.Trials{crashedRun(1)}}, suspect: true},
		{name: "one unattributed", of: proof.Case{Excused: 1}},
		{name: "two unattributed", of: proof.Case{Excused: 2}, suspect: true},
		{name: "nine unattributed", of: proof.Case{Excused: 9}, suspect: true, fewLeft: true},
		{name: "four unattributed, one crash isolated", of: proof.Case{Excused: 4, Trials: gauge.Trials{crashedRun(1, isolated)}}, suspect: true, fewLeft: true, cause: true},
		{name: "four unattributed, one crash not isolated", of: proof.Case{Excused: 4, Trials: gauge.Trials{crashedRun(1)}}, suspect: true, fewLeft: true},
		{name: "three unattributed, one crash isolated", of: proof.Case{Excused: 3, Trials: gauge.Trials{crashedRun(1, isolated)}}, suspect: true, fewLeft: true},
		{
			name: "four beside a likelier cause, one isolated", suspect: true, fewLeft: true, cause: true,
			of: proof.Case{Trials: gauge.Trials{crashedRun(1, withLikelierCause), crashedRun(2, withLikelierCause), crashedRun(3, withLikelierCause), crashedRun(4, withLikelierCause), crashedRun(5, isolated)}},
		},
		{
			name: "three unattributed, two of them isolated, two crashes", suspect: true, fewLeft: true, cause: true,
			of: proof.Case{Excused: 3, Lone: 2, Trials: gauge.Trials{crashedRun(1), crashedRun(2)}},
		},
		{name: "four unattributed, two of them isolated, one crash", of: proof.Case{Excused: 4, Lone: 2, Trials: gauge.Trials{crashedRun(1)}}, suspect: true, fewLeft: true},
		{name: "two as the sole job", of: proof.Case{Trials: gauge.Trials{crashedRun(1, asSoleJob), crashedRun(2, asSoleJob)}}, suspect: true, cause: true},
		{name: "two as the sole job, long-running", of: proof.Case{Lasts: true, Trials: gauge.Trials{crashedRun(1, asSoleJob), crashedRun(2, asSoleJob)}}, suspect: true},
		{name: "one run of a gang on two workers", of: proof.Case{Trials: gauge.Trials{crashedRun(1, lostLate), crashedRun(1, lostLate)}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.of.Suspect(), tt.suspect)
			assert.Equal(t, tt.of.FewLeft(0), tt.fewLeft)
			assert.Equal(t, tt.of.Cause(), tt.cause)
		})
	}
}

// Guards against a start that goes out before the last losses are attributed to a cause.
func TestPendingLossesCountAsStarts(t *testing.T) {
	c := proof.Case{Excused: 1, Trials: gauge.Trials{crashedRun(1, lostLate)}}
	assert.Assert(t, !c.FewLeft(0))
	assert.Assert(t, c.FewLeft(1))
}

// Guards against a probation without an upper bound.
func TestProbationIsBounded(t *testing.T) {
	assert.Equal(t, proof.Case{}.Probation(), proof.Soon)
	assert.Equal(t, proof.Case{Trials: gauge.Trials{crashedRun(1, lostLate)}}.Probation(), 9*time.Second)
	assert.Equal(t, proof.Case{Trials: gauge.Trials{crashedRun(1, func(tr *gauge.Trial) { tr.Lived = time.Minute })}}.Probation(), proof.Calm)
}
