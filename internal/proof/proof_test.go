package proof_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

// crash is a run that was lost with its worker.
func crash(run int, set ...func(*gauge.Trial)) gauge.Trial {
	tr := gauge.Trial{Run: run, Worker: "w1", Crashed: true}
	for _, s := range set {
		s(&tr)
	}
	return tr
}

func alone(t *gauge.Trial)  { t.Alone = true }
func apart(t *gauge.Trial)  { t.Apart = true }
func beside(t *gauge.Trial) { t.Beside = true }
func late(t *gauge.Trial)   { t.Lived = 4 * time.Second }

// A guess at causes that goes before the count of starts, or takes a sound task along.
func TestWhatIsHeldAgainstATask(t *testing.T) {
	for _, tt := range []struct {
		name          string
		of            proof.Case
		suspect, last bool
		cause         bool
	}{
		{name: "nothing"},
		{name: "one crash late", of: proof.Case{Trials: gauge.Trials{crash(1, late)}}},
		{name: "one crash soon", of: proof.Case{Trials: gauge.Trials{crash(1)}}, suspect: true},
		{name: "one excused", of: proof.Case{Excused: 1}},
		{name: "two excused", of: proof.Case{Excused: 2}, suspect: true},
		{name: "nine excused", of: proof.Case{Excused: 9}, suspect: true, last: true},
		{name: "four excused, one crash apart", of: proof.Case{Excused: 4, Trials: gauge.Trials{crash(1, apart)}}, suspect: true, last: true, cause: true},
		{name: "four excused, one crash among others", of: proof.Case{Excused: 4, Trials: gauge.Trials{crash(1)}}, suspect: true, last: true},
		{name: "three excused, one crash apart", of: proof.Case{Excused: 3, Trials: gauge.Trials{crash(1, apart)}}, suspect: true, last: true},
		{
			name: "four beside a likelier cause, one apart", suspect: true, last: true, cause: true,
			of: proof.Case{Trials: gauge.Trials{crash(1, beside), crash(2, beside), crash(3, beside), crash(4, beside), crash(5, apart)}},
		},
		{
			name: "three excused, two of them apart, two crashes", suspect: true, last: true, cause: true,
			of: proof.Case{Excused: 3, Lone: 2, Trials: gauge.Trials{crash(1), crash(2)}},
		},
		{name: "four excused, two of them apart, one crash", of: proof.Case{Excused: 4, Lone: 2, Trials: gauge.Trials{crash(1)}}, suspect: true, last: true},
		{name: "two alone", of: proof.Case{Trials: gauge.Trials{crash(1, alone), crash(2, alone)}}, suspect: true, cause: true},
		{name: "two alone, lasting", of: proof.Case{Lasts: true, Trials: gauge.Trials{crash(1, alone), crash(2, alone)}}, suspect: true},
		{name: "one run of a gang on two workers", of: proof.Case{Trials: gauge.Trials{crash(1, late), crash(1, late)}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.of.Suspect(), tt.suspect)
			assert.Equal(t, tt.of.FewLeft(0), tt.last)
			assert.Equal(t, tt.of.Cause(), tt.cause)
		})
	}
}

// A start that goes out before it is known what the last ones were lost for.
func TestLossesThatAreNotJudgedCountAsStarts(t *testing.T) {
	c := proof.Case{Excused: 1, Trials: gauge.Trials{crash(1, late)}}
	assert.Assert(t, !c.FewLeft(0))
	assert.Assert(t, c.FewLeft(1))
}

// A probation without an end.
func TestProbationIsBounded(t *testing.T) {
	assert.Equal(t, proof.Case{}.Probation(), proof.Soon)
	assert.Equal(t, proof.Case{Trials: gauge.Trials{crash(1, late)}}.Probation(), 9*time.Second)
	assert.Equal(t, proof.Case{Trials: gauge.Trials{crash(1, func(tr *gauge.Trial) { tr.Lived = time.Minute })}}.Probation(), proof.Calm)
}
