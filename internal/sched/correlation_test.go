package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crash that is left unattributed because idle workers were lost a quarter of a
// second later.
func TestOnlySimultaneousLossesAreCorrelated(t *testing.T) {
	for _, tt := range []struct {
		name  string
		later time.Duration
		want  int // crashes attributed to the task
	}{
		{"at the same moment", 50 * time.Millisecond, 0},
		{"a quarter of a second later", 250 * time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, start := newHarnessWithRunOf(t, time.Millisecond)
			g.listRows(210, workerRow("w1", 1), workerRow("w2", 1), workerRow("w3", 1))
			for _, id := range []string{"w2", "w3"} {
				g.answerHeartbeat(incarnationAt(id, 1), 1, time.Hour, nil)
			}
			g.advance(50 * time.Millisecond)
			g.failHeartbeatOf(incarnationAt("w1", 1))
			g.answerHeartbeat(incarnationAt("w1", 1), 2, time.Second, nil)
			g.advance(tt.later)
			for _, id := range []string{"w2", "w3"} {
				g.failHeartbeatOf(incarnationAt(id, 1))
			}
			for range 20 {
				g.advance(100 * time.Millisecond)
			}
			assert.Equal(t, g.unwrittenRow(start.Start.Task.Job).SuspectRuns[firstTaskKey].CrashCount(), tt.want)
		})
	}
}
