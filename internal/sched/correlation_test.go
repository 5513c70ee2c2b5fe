package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A crash that is held against nothing, as idle workers were lost a quarter of a second later.
func TestOnlyWhatIsLostAtOneMomentIsLostTogether(t *testing.T) {
	for _, tt := range []struct {
		name  string
		later time.Duration
		want  int // crashes that are held against the task
	}{
		{"at one moment", 50 * time.Millisecond, 0},
		{"a quarter of a second later", 250 * time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, start := livedFor(t, time.Millisecond)
			g.rows(210, row("w1", 1), row("w2", 1), row("w3", 1))
			for _, id := range []string{"w2", "w3"} {
				g.answer(lifeOf(id, 1), 1, time.Hour, nil)
			}
			g.pass(50 * time.Millisecond)
			g.noAnswer(lifeOf("w1", 1))
			g.answer(lifeOf("w1", 1), 2, time.Second, nil)
			g.pass(tt.later)
			for _, id := range []string{"w2", "w3"} {
				g.noAnswer(lifeOf(id, 1))
			}
			for range 20 {
				g.pass(100 * time.Millisecond)
			}
			assert.Equal(t, g.rowOf(start.Start.Task.Job).Trials[firstTask].Crashes(), tt.want)
		})
	}
}
