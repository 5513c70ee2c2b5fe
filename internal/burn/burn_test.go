package burn_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
)

func state(objective float64) gauge.State {
	return gauge.State{Records: map[gauge.RecordID]gauge.Record{
		{Kind: gauge.RecordPool, Name: "p"}:    {Pool: &gauge.Pool{Objective: objective}},
		{Kind: gauge.RecordService, Name: "s"}: {Service: &gauge.Service{Pool: "p"}},
	}}
}

// In six hours without errors, a tenth of the responses of the last ten minutes is bad. The
// 5-minute window burns at 100 times the budget, the longer windows at less. Faults of the caller
// don't count.
func TestRatesOverWindows(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := burn.New(func() time.Time { return now })
	for minute := range burn.Minutes {
		for i := range 100 {
			var err error
			if minute >= burn.Minutes-10 && i < 10 {
				err = gauge.Errorf(gauge.KindUnknown, "x")
			}
			b.RecordResponse("s", err)
		}
		b.RecordResponse("s", gauge.Errorf(gauge.KindInvalid, "the caller's fault"))
		now = now.Add(time.Minute)
	}
	now = now.Add(-time.Minute)
	r := burn.Report(state(0.999), b.Series())[0]
	near := func(got, want float64) {
		t.Helper()
		assert.Assert(t, got > want*0.99 && got < want*1.01, "%v, not %v", got, want)
	}
	near(r.Rate5m, 100)
	near(r.Rate30m, 100.0/3)
	near(r.Rate1h, 100.0/6)
	near(r.Rate6h, 100.0/36)
	assert.Equal(t, r.Alert, burn.AlertPage)
}

// Counts older than the window are dropped, even if no response was counted meanwhile, and the
// counts of entries add up although their clocks differ by a minute.
func TestOldCountsAreDroppedAndSumsAlignClocks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := burn.New(func() time.Time { return now })
	b.RecordResponse("s", errors.New("a defect"))
	now = now.Add(7 * time.Hour)
	b.RecordResponse("s", nil)
	first := b.Series()
	assert.Equal(t, first[0].Rate(burn.Minutes, 0.9), 0.0)
	later := burn.New(func() time.Time { return now.Add(time.Minute) })
	later.RecordResponse("s", gauge.Errorf(gauge.KindNoSlot, "x"))
	sum := burn.Sum(first, later.Series())
	last := len(sum[0].Counts) - 1
	assert.Equal(t, sum[0].Counts[last], burn.Count{Bad: 1})
	assert.Equal(t, sum[0].Counts[last-1], burn.Count{Good: 1})
}
