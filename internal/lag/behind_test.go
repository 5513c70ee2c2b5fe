package lag_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/lag"
)

func TestOwnerIsReportedWhileBehindAndOnceCaughtUp(t *testing.T) {
	const ms = time.Millisecond
	b := lag.NewBelief(lag.BeliefConfig{Behind: time.Second, Again: time.Second})
	for i, tt := range []struct {
		oldest, now time.Duration
		want        lag.Said
	}{
		{0, 0, lag.SaidNothing},
		{999 * ms, 250 * ms, lag.SaidNothing},
		{1100 * ms, 500 * ms, lag.SaidBehind},
		{1350 * ms, 750 * ms, lag.SaidNothing},
		{2100 * ms, 1499 * ms, lag.SaidNothing},
		{2110 * ms, 1500 * ms, lag.SaidBehind},
		{600 * ms, 1750 * ms, lag.SaidNothing}, // still behind: hysteresis near the threshold
		{1100 * ms, 2000 * ms, lag.SaidNothing},
		{499 * ms, 2250 * ms, lag.SaidCaughtUp},
		{600 * ms, 2500 * ms, lag.SaidNothing},
		{1000 * ms, 2750 * ms, lag.SaidBehind},
	} {
		assert.Equal(t, b.See(tt.oldest, tt.now), tt.want, "row %d", i)
	}
	assert.Equal(t, b.Lasted(3*time.Second), 250*ms)
}
