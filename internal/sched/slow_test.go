package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

const speedWorkers = 20

// Guards against a worker that stands still and gets new runs as soon as its old ones are stopped.
// Load: rises and falls, with room on the worker at each rise.
func TestStalledWorkerLosesFewStarts(t *testing.T) {
	started, done := make(map[bool]int), make(map[bool]int)
	for _, without := range [][]gauge.Mechanism{nil, {gauge.MechanismSlow}} {
		s := newSpeedPool(t, speedWorkers, speedStep(), risingLoad, without...)
		s.play(8500 * time.Millisecond)
		s.setSpeed(1, 0)
		s.reset()
		s.play(30 * time.Second)
		off := len(without) > 0
		started[off], done[off] = s.since["w00"], s.done
		assert.Equal(t, s.events[sched.EventWorkerStalled] > 0, !off)
	}
	assert.Assert(t, started[false] <= 5, "%d starts on the worker, %d without the mechanism", started[false], started[true])
	assert.Assert(t, started[true] >= 40, "the load must reach the worker: %d starts", started[true])
	assert.Assert(t, done[false] > done[true])
}

// Guards against a slow worker that is the first choice for starts although others have room. Load:
// rises and falls, so that the other workers have room for all of it.
func TestSlowWorkerIsChosenLast(t *testing.T) {
	started := make(map[bool]int)
	for _, without := range [][]gauge.Mechanism{nil, {gauge.MechanismSlow}} {
		s := newSpeedPool(t, speedWorkers, speedStep(), risingLoad, without...)
		s.play(8500 * time.Millisecond)
		s.setSpeed(1, 0.3)
		s.reset()
		s.play(30 * time.Second)
		started[len(without) > 0] = s.since["w00"]
		assert.Equal(t, s.events[sched.EventWorkerStalled], 0)
		assert.Equal(t, s.events[sched.EventWorkerSlow] > 0, len(without) == 0)
	}
	assert.Assert(t, 3*started[false] <= 2*started[true], "%d starts on the worker, %d without the mechanism", started[false], started[true])
}

// Guards against a pool that is emptied because a third of its workers slow down at once. The bound
// on back-offs is checked after each plan. Load: partly full, full, and beyond the pool's room.
func TestThirdOfWorkersTurnsSlowAtOnce(t *testing.T) {
	const third = 7
	for _, load := range []int{60, 120, 200} {
		for _, rate := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("tasks=%d,speed=%g", load, rate), func(t *testing.T) {
				done := make(map[bool]int)
				for _, without := range [][]gauge.Mechanism{nil, {gauge.MechanismSlow}} {
					s := newSpeedPool(t, speedWorkers, speedStep(), constantLoad(load), without...)
					s.play(5 * time.Second)
					s.setSpeed(third, rate)
					s.reset()
					s.play(30 * time.Second)
					done[len(without) > 0] = s.done
					if rate > 0 {
						assert.Equal(t, s.events[sched.EventWorkerStalled], 0, "slow workers get no back-off")
					}
				}
				assert.Assert(t, done[false] >= done[true], "%d tasks are done, %d without the mechanism", done[false], done[true])
			})
		}
	}
}

// Guards against a worker that stays without work after it has recovered. Load: beyond the pool's
// room.
func TestRecoveredWorkerGetsItsShareBack(t *testing.T) {
	for _, rate := range []float64{0, 0.3} {
		t.Run(fmt.Sprintf("speed=%g", rate), func(t *testing.T) {
			s := newSpeedPool(t, speedWorkers, speedStep(), constantLoad(200))
			s.play(5 * time.Second)
			s.setSpeed(1, rate)
			s.play(8 * time.Second)
			assert.Assert(t, s.events[sched.EventWorkerStalled]+s.events[sched.EventWorkerSlow] > 0)
			s.setSpeed(1, 1)
			s.play(15 * time.Second)
			assert.Assert(t, s.events[sched.EventWorkerRecovered] > 0)
			s.reset()
			s.play(10 * time.Second)
			assert.Assert(t, 10*s.since["w00"] >= 9*s.since["w10"], "%d starts, %d on another worker", s.since["w00"], s.since["w10"])
		})
	}
}

// Guards against a next owner that goes on starting runs on a stalled worker, because it knows
// nothing of what the previous owner has learned. Load: rises and falls.
func TestNextOwnerLearnsOfStalledWorker(t *testing.T) {
	s := newSpeedPool(t, speedWorkers, speedStep(), risingLoad)
	s.play(8500 * time.Millisecond)
	s.setSpeed(1, 0)
	s.play(6 * time.Second)
	s.takeOver(1)
	s.reset()
	s.play(8 * time.Second)
	assert.Assert(t, s.events[sched.EventWorkerStalled] > 0)
	s.reset()
	s.play(20 * time.Second)
	assert.Assert(t, s.since["w00"] <= 4, "%d starts on the worker", s.since["w00"])
}

// Guards against a change for sites whose jobs have no speculative steps: the starts are those of a
// pool without the mechanism. Load: rises and falls, with a slow worker and one that stands still.
func TestWithoutSpeculativeStepsNothingChanges(t *testing.T) {
	var starts [][]string
	for _, without := range [][]gauge.Mechanism{nil, {gauge.MechanismSlow}} {
		s := newSpeedPool(t, speedWorkers, newStep(speedJobTasks), risingLoad, without...)
		s.play(5 * time.Second)
		s.setSpeed(2, 0)
		s.speeds["w01"] = 0.3
		s.play(20 * time.Second)
		assert.Equal(t, s.events[sched.EventWorkerStalled]+s.events[sched.EventWorkerSlow]+s.events[sched.EventWorkerRecovered], 0)
		starts = append(starts, s.starts)
	}
	assert.Assert(t, len(starts[0]) > 500)
	assert.Assert(t, slices.Equal(starts[0], starts[1]))
}

// newTrial returns a pool with a worker, w00, that is on trial, and without load.
func newTrial(t *testing.T) *speedPool {
	s := newSpeedPool(t, speedWorkers, speedStep(), func(now time.Duration) int {
		if now < 8*time.Second {
			return 100
		}
		return 0
	})
	s.play(5 * time.Second)
	s.setSpeed(1, 0)
	for s.backingOff() == 0 {
		s.play(s.interval)
		assert.Assert(t, s.now < 10*time.Second, "the worker must be stalled")
	}
	s.play(6 * time.Second)
	assert.Equal(t, s.backingOff(), 0)
	assert.Equal(t, len(s.runs["w00"]), 0)
	return s
}

// Guards against several starts that are lost on a worker on trial, and against tasks there that
// can't decide the trial: long-running ones never end, and gangs wait for their other members.
func TestWorkerOnTrialTakesOneRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*gauge.Step)
		want   int
	}{
		{"speculative", func(st *gauge.Step) { st.Speculative = true }, 1},
		{"not speculative", func(*gauge.Step) {}, 1},
		{"gang", func(st *gauge.Step) { st.Gang = true }, 0},
		{"long-running", func(st *gauge.Step) { st.LongRunning = true }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTrial(t)
			step := newStep(3)
			step.Label = "r-w00"
			tt.change(&step)
			s.adopt(1000, false, step)
			s.adopt(1001, false, step)
			assert.Equal(t, len(s.planStarts()), tt.want)
			assert.Equal(t, len(s.planStarts()), 0)
		})
	}
}

// Guards against a worker that stays on trial, and gets no other starts, as long as its run on trial is
// slowed down to nothing for the sake of a serving task.
func TestBestEffortRunIsNoTrial(t *testing.T) {
	s := newTrial(t)
	slowed, other := newStep(1), newStep(1)
	slowed.Label, other.Label = "r-w00", "r-w00"
	slowed.BestEffort = true
	s.adopt(1000, false, slowed)
	var running []gauge.RunReport
	for range 300 {
		if len(running) == 1 {
			s.adopt(1001, false, other)
		}
		s.advance(s.interval)
		s.report("w00", running)
		for _, o := range s.planStarts() {
			if o.Start.Task.Job == jobID(1001) {
				return
			}
			s.confirm([]sched.Order{o})
			running = append(running, runReport(o))
		}
	}
	t.Fatal("the worker gets no other start in half a minute")
}

// Guards against a worker that restarts and is treated like its previous incarnation.
func TestRestartedWorkerIsNotOnTrial(t *testing.T) {
	s := newTrial(t)
	var list []gauge.Worker
	for _, id := range s.ids {
		list = append(list, newWorker(id))
	}
	list[0].StartedAt = 1
	s.pool.UpdateWorkers(list)
	next := gauge.Incarnation{Worker: "w00", StartedAt: 1}
	s.pool.LeaseRowWritten([]gauge.Incarnation{next}, 1_000_000)
	s.pool.HandleReport(next, gauge.Heartbeat{}, &gauge.WorkerReport{StartedAt: 1, Clock: time.Second}, s.now)
	step := newStep(3)
	step.Label = "r-w00"
	s.adopt(1000, false, step)
	assert.Equal(t, len(s.planStarts()), 3)
}

// Guards against more than one worker in four without starts, because failures and stalls are
// counted apart. Load: as the pool has room for; any workers fail all runs, are slow or stand still.
func TestBackoffsForAllReasonsAreBounded(t *testing.T) {
	seen := make(map[int]bool)
	rapid.Check(t, func(rt *rapid.T) {
		workers := rapid.IntRange(4, 8).Draw(rt, "workers")
		s := newSpeedPool(t, workers, speedStep(), constantLoad(workers*speedSlots/2))
		s.check, s.interval = rt, 400*time.Millisecond
		for range 4 {
			for _, id := range s.ids {
				s.failing[id] = rapid.IntRange(0, 3).Draw(rt, "fails") == 0
				s.speeds[id] = rapid.SampledFrom([]float64{1, 1, 0, 0.3}).Draw(rt, "speed")
			}
			s.play(2 * time.Second)
			seen[s.backingOff()] = true
		}
	})
	assert.Assert(t, seen[1] && seen[2], "the bound must be reached")
}
