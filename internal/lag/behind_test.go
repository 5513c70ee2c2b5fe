package lag_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/lag"
)

func TestOwnerIsReportedWhileBehindAndOnceCaughtUp(t *testing.T) {
	const ms = time.Millisecond
	b := lag.NewBehindDetector(lag.BehindConfig{Threshold: time.Second, ReportInterval: time.Second})
	for i, tt := range []struct {
		oldest, now time.Duration
		want        lag.Report
	}{
		{0, 0, lag.ReportNone},
		{999 * ms, 250 * ms, lag.ReportNone},
		{1100 * ms, 500 * ms, lag.ReportBehind},
		{1350 * ms, 750 * ms, lag.ReportNone},
		{2100 * ms, 1499 * ms, lag.ReportNone},
		{2110 * ms, 1500 * ms, lag.ReportBehind},
		{600 * ms, 1750 * ms, lag.ReportNone}, // still behind: hysteresis near the threshold
		{1100 * ms, 2000 * ms, lag.ReportNone},
		{499 * ms, 2250 * ms, lag.ReportCaughtUp},
		{600 * ms, 2500 * ms, lag.ReportNone},
		{1000 * ms, 2750 * ms, lag.ReportBehind},
	} {
		assert.Equal(t, b.Observe(tt.oldest, tt.now), tt.want, "row %d", i)
	}
	assert.Equal(t, b.BehindFor(3*time.Second), 250*ms)
}
