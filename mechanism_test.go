package sapphiregauge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

func TestParseDisabledMechanisms(t *testing.T) {
	w, err := gauge.ParseDisabled(" pack,, rate")
	assert.NilError(t, err)
	assert.DeepEqual(t, w, gauge.Disabled{gauge.MechanismPack, gauge.MechanismRate})
	assert.Assert(t, w.Has(gauge.MechanismRate))
	assert.Assert(t, !w.Has(gauge.MechanismWorkerBackoff))
}

func TestUnknownMechanismErrorListsTheKnownOnes(t *testing.T) {
	_, err := gauge.ParseDisabled("pack,leases")
	assert.Equal(t, gauge.KindOf(err), gauge.KindInvalid)
	assert.ErrorContains(t, err, `"leases"`)
	assert.ErrorContains(t, err, "redirect")
}

func TestNothingIsSwitchedOffByDefault(t *testing.T) {
	w, err := gauge.ParseDisabled("")
	assert.NilError(t, err)
	for _, m := range gauge.Mechanisms() {
		assert.Assert(t, !w.Has(m), m)
	}
}
