package sapphiregauge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

func TestWithoutIsRead(t *testing.T) {
	w, err := gauge.ParseWithout(" pack,, rate")
	assert.NilError(t, err)
	assert.DeepEqual(t, w, gauge.Without{gauge.MechanismPack, gauge.MechanismRate})
	assert.Assert(t, w.Has(gauge.MechanismRate))
	assert.Assert(t, !w.Has(gauge.MechanismRest))
}

func TestUnknownMechanismIsRefusedWithTheKnownOnes(t *testing.T) {
	_, err := gauge.ParseWithout("pack,leases")
	assert.Equal(t, gauge.KindOf(err), gauge.KindInvalid)
	assert.ErrorContains(t, err, `"leases"`)
	assert.ErrorContains(t, err, "redirect")
}

func TestNothingIsSwitchedOffByDefault(t *testing.T) {
	w, err := gauge.ParseWithout("")
	assert.NilError(t, err)
	for _, m := range gauge.Mechanisms() {
		assert.Assert(t, !w.Has(m), m)
	}
}
