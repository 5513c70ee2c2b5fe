package sched_test

import (
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// Guards against healthy workers that get fewer starts because their runs take long for other
// reasons. Load: beyond the pool's room.
func TestHealthyWorkersAreNotSlow(t *testing.T) {
	everyThirtieth := func(task gauge.TaskID) bool {
		return strings.HasSuffix(task.Job, "f") && task.Job[len(task.Job)-2]%2 == 0
	}
	for _, tt := range []struct {
		name     string
		estimate time.Duration
		grain    int
		factor   func(gauge.TaskID) int
	}{
		{"large jobs, all tasks", time.Second, 1, func(task gauge.TaskID) int {
			if everyThirtieth(task) {
				return 7
			}
			return 1
		}},
		{"one task in a hundred", time.Second, 1, func(task gauge.TaskID) int {
			if crc32.ChecksumIEEE([]byte(task.String()))%100 == 0 {
				return 3
			}
			return 1
		}},
		{"estimates far too low", 300 * time.Millisecond, 1, func(gauge.TaskID) int { return 10 }},
		{"large jobs of long tasks", 20 * time.Second, 1, func(task gauge.TaskID) int {
			if everyThirtieth(task) {
				return 7
			}
			return 1
		}},
		{"progress in steps of a quarter", 8 * time.Second, 25, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			spec := speedStep()
			spec.Estimate = tt.estimate
			s := newSpeedPool(t, speedWorkers, spec, constantLoad(200))
			s.factor, s.grain = tt.factor, tt.grain
			for i, id := range s.ids {
				s.speeds[id] = 0.8 + 0.02*float64(i) // so that runs don't progress in step
			}
			s.play(60 * time.Second)
			assert.Assert(t, s.done > 0)
			assert.Equal(t, s.events[sched.EventWorkerStalled], 0)
			assert.Equal(t, s.events[sched.EventWorkerSlow], 0)
		})
	}
}

// Guards against workers that count as slow because of runs that are slow wherever they run: on a rack
// without their data, or slowed down on purpose. Load: beyond the pool's room.
func TestOnlyComparableRunsAreEvidence(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*gauge.Step)
		want   bool
	}{
		{"all alike", func(*gauge.Step) {}, true},
		{"data on one rack", func(st *gauge.Step) { st.DataRack = "r-w19" }, false},
		{"data on all racks", func(st *gauge.Step) { st.DataRack = "a" }, true},
		{"best effort", func(st *gauge.Step) { st.BestEffort = true }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			spec := speedStep()
			tt.change(&spec)
			s := newSpeedPool(t, speedWorkers, spec, constantLoad(200))
			s.setSpeed(2, 0.3)
			s.play(30 * time.Second)
			assert.Equal(t, s.events[sched.EventWorkerSlow] > 0, tt.want)
		})
	}
}
