package sapphiregauge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a caller that repeats a print job because it was told "not run", and gets two. A
// first attempt is sent and its answer lost, the next one finds no slot, and the request is refused
// with only the last attempt taken into account.
func TestOnlyUnsentRequestsAreReportedAsNotRun(t *testing.T) {
	unsent := gauge.Attempt{}
	refused := gauge.Attempt{Sent: true, Refused: true}
	lost := gauge.Attempt{Sent: true, Kind: gauge.KindUnknown}
	for _, tt := range []struct {
		name     string
		attempts gauge.Attempts
		kind     gauge.Kind
		ran      gauge.Ran
	}{
		{"no attempt", nil, gauge.KindNoSlot, gauge.RanNo},
		{"never sent", gauge.Attempts{unsent, unsent}, gauge.KindNoSlot, gauge.RanNo},
		{"proved refusal", gauge.Attempts{refused}, gauge.KindNoSlot, gauge.RanNo},
		{"lost, then not sent", gauge.Attempts{lost, unsent}, gauge.KindUnknown, gauge.RanUnknown},
		{"refused, then lost", gauge.Attempts{refused, lost}, gauge.KindUnknown, gauge.RanUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := gauge.Refuse(tt.attempts, gauge.KindNoSlot, "no place", time.Second)
			assert.Equal(t, err.Kind, tt.kind)
			assert.Equal(t, err.Ran(), tt.ran)
		})
	}
}

// Only errors made by Refuse may claim that a request did not run, and no kind but internal is
// answered like internal.
func TestErrorfNeverClaimsNotRun(t *testing.T) {
	for _, k := range gauge.Kinds() {
		assert.Assert(t, gauge.Errorf(k, "x").Ran() != gauge.RanNo, k)
		assert.Assert(t, k.Answer().Status >= 400, k)
		assert.Equal(t, k.Answer() == gauge.KindInternal.Answer(), k == gauge.KindInternal, k)
	}
}
