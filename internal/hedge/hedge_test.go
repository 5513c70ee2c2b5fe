package hedge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/hedge"
)

const ms = time.Millisecond

// Guards against copies of runs that need none, and against stragglers without a copy. Load pattern:
// steps of similar runs, of which few lag.
func TestStragglersAreToldFromLargeJobs(t *testing.T) {
	step := hedge.Step{Tasks: 8, Ended: 4, Median: 1000 * ms, Estimate: 500 * ms}
	large := hedge.Step{Tasks: 8, Estimate: 500 * ms}
	for _, tt := range []struct {
		name string
		run  hedge.Run
		step hedge.Step
		want hedge.Reason
	}{
		{"as fast as the others", hedge.Run{Elapsed: 900 * ms, Progress: 90}, step, hedge.ReasonNone},
		{"slow", hedge.Run{Elapsed: 2600 * ms, Progress: 40}, step, hedge.ReasonSlow},
		{"slow, no progress told", hedge.Run{Elapsed: 2600 * ms}, step, hedge.ReasonSlow},
		{"at the bound", hedge.Run{Elapsed: 2500 * ms, Progress: 40}, step, hedge.ReasonNone},
		{"three times the median, nearly done", hedge.Run{Elapsed: 2600 * ms, Progress: 87}, step, hedge.ReasonNone},
		{"nearly done by now", hedge.Run{Elapsed: 2600 * ms, Progress: 65, Unheard: 900 * ms}, step, hedge.ReasonNone},
		{"none has ended: a large job", hedge.Run{Elapsed: 60 * time.Second, Progress: 40}, large, hedge.ReasonNone},
		{"all that have ended were slow", hedge.Run{Elapsed: 8 * time.Second, Progress: 90}, hedge.Step{Tasks: 8, Ended: 5, Median: 7 * time.Second}, hedge.ReasonNone},
		{"two have ended", hedge.Run{Elapsed: 8 * time.Second}, hedge.Step{Tasks: 3, Ended: 2, Median: time.Second}, hedge.ReasonNone},
		{"less than half have ended", hedge.Run{Elapsed: 8 * time.Second}, hedge.Step{Tasks: 9, Ended: 4, Median: time.Second}, hedge.ReasonNone},
		{"half have ended", hedge.Run{Elapsed: 8 * time.Second}, hedge.Step{Tasks: 9, Ended: 5, Median: time.Second}, hedge.ReasonSlow},
		{"stalled", hedge.Run{Elapsed: 2000 * ms, Progress: 30, Steady: 1500 * ms, Behind: 1200 * ms}, large, hedge.ReasonStalled},
		{"stalled, others too", hedge.Run{Elapsed: 2000 * ms, Progress: 30, Steady: 1500 * ms, Behind: 600 * ms}, large, hedge.ReasonNone},
		{"stalled, no others", hedge.Run{Elapsed: 9000 * ms, Progress: 30, Steady: 8000 * ms}, large, hedge.ReasonNone},
		{"not stalled for long", hedge.Run{Elapsed: 2000 * ms, Progress: 30, Steady: 1400 * ms, Behind: 1200 * ms}, large, hedge.ReasonNone},
		{"a percent takes long", hedge.Run{Elapsed: 62 * time.Second, Progress: 20, Steady: 2 * time.Second, Behind: 1500 * ms}, large, hedge.ReasonNone},
		{"a percent takes long, stalled", hedge.Run{Elapsed: 70 * time.Second, Progress: 20, Steady: 10 * time.Second, Behind: 8 * time.Second}, large, hedge.ReasonStalled},
		{"the first percent takes long", hedge.Run{Elapsed: 2 * time.Second, Steady: 2 * time.Second, Behind: 1500 * ms}, hedge.Step{Tasks: 1, Estimate: 100 * time.Second}, hedge.ReasonNone},
		{"worker silent", hedge.Run{Elapsed: 300 * ms, Silent: 1100 * ms}, large, hedge.ReasonSilent},
		{"worker silent for a moment", hedge.Run{Elapsed: 300 * ms, Silent: 1000 * ms}, large, hedge.ReasonNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.run.Judge(tt.step), tt.want)
		})
	}
}

// Guards against copies that take the capacity of a pool in which much lags at once, such as after the
// loss of a rack's network, and against none in a small pool.
func TestOneInTwentyRunningTasksHasACopy(t *testing.T) {
	for _, tt := range []struct{ running, most int }{{1, 1}, {19, 1}, {39, 1}, {40, 2}, {59, 2}, {60, 3}, {1000, 50}} {
		copies := 0
		for hedge.MayCopy(tt.running, copies) {
			copies++
		}
		assert.Equal(t, copies, tt.most, "%d running tasks", tt.running)
	}
}
