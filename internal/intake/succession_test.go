package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against a 503 by an owner that doesn't know what its predecessor left unsettled, and by one
// that has lost its pool meanwhile: the first try is stored after the retry was answered.
func TestOnlyALongStandingOwnerRefusesAJob(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after intake.Ownership
		want          gauge.Kind
	}{
		{"owner for long", intake.OwnedForLong, intake.OwnedForLong, gauge.KindOutage},
		{"owner that has just taken the pool over", intake.OwnedRecently, intake.OwnedRecently, gauge.KindExpired},
		{"owner that has lost the pool meanwhile", intake.OwnedForLong, intake.OwnedElsewhere, gauge.KindExpired},
		{"entry that has taken the pool over meanwhile", intake.OwnedElsewhere, intake.OwnedRecently, gauge.KindExpired},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := newTable()
			store.silent = true
			var late func()
			store.answer = func(_ int, execute func()) error {
				late = execute
				return gauge.Errorf(gauge.KindUnknown, "no answer")
			}
			c := &clock{step: time.Millisecond}
			assert.Equal(t, gauge.KindOf(newHarness(store, c).submit(1)), gauge.KindExpired)
			h := newHarness(store, c)
			h.ownership = tt.before
			store.answer = func(int, func()) error {
				h.ownership = tt.after
				return gauge.Errorf(gauge.KindOutage, "not sent")
			}
			err := h.submit(1)
			late()
			assert.Equal(t, gauge.KindOf(err), tt.want)
		})
	}
}
