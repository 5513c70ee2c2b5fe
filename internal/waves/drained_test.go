package waves_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/waves"
)

// Guards against maintenance that kills long-running tasks because the report that nothing runs
// came from the worker that the machine had before.
func TestAnswerOfAnEarlierWorkerStartsNoMaintenance(t *testing.T) {
	for _, tt := range []struct {
		name    string
		between func(h *harness, m *gauge.Machine)
	}{
		{"it moves to another pool", func(h *harness, m *gauge.Machine) {
			m.State, m.Worker = gauge.MachineMoving, ""
			h.advance(time.Second)
			h.next()
			m.State, m.Pool, m.Worker = gauge.MachineUp, "q", "i-new"
			h.advance(time.Second)
		}},
		{"it has moved between two lists", func(h *harness, m *gauge.Machine) {
			m.Pool, m.Worker = "q", "i-new"
			h.advance(time.Second)
		}},
		{"another worker starts there", func(h *harness, m *gauge.Machine) {
			m.Worker = "i-new"
			h.advance(time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness("p", 1, 1)
			request := h.next().Drains[0]
			h.scheduler.SetDrained(request.Machine, true)
			tt.between(h, h.machines[request.Machine])
			s := h.next()
			assert.Equal(t, len(s.Starts), 0)
			assert.Equal(t, len(s.Drains), 1)
			assert.Equal(t, s.Drains[0].Worker, "i-new")
		})
	}
}

// The same fault, with the answer in flight while the machine gets another worker.
func TestLateAnswerOfAnEarlierWorkerStartsNoMaintenance(t *testing.T) {
	h := newHarness("p", 1, 1)
	request := h.next().Drains[0]
	h.machines[request.Machine].Worker = "i-new"
	h.advance(time.Second)
	h.scheduler.RecordDrainAnswer(request, true)
	assert.Equal(t, len(h.next().Starts), 0)
	h.scheduler.RecordDrainAnswer(h.next().Drains[0], true)
	assert.Equal(t, len(h.next().Starts), 1)
}

// Guards against maintenance that kills long-running tasks on a machine that has left standby for a
// pool, while the list of machines is from before the move.
func TestMachineMovingFromStandbyGetsNoMaintenance(t *testing.T) {
	h := newHarness("spare", 1, 1)
	h.scheduler.SetStandbyPools([]string{"spare"})
	assert.Equal(t, len(h.next().Starts), 1)
	always := func(string) bool { return true }
	s := h.scheduler.Next(h.now, waves.View{IsMoving: always, WasOrderedBefore: never, IsShort: never})
	assert.Equal(t, len(s.Starts), 0)
}
