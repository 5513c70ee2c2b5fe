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
		between func(g *harness, m *gauge.Machine)
	}{
		{"it moves to another pool", func(g *harness, m *gauge.Machine) {
			m.State, m.Worker = gauge.MachineMoving, ""
			g.advance(time.Second)
			g.next()
			m.State, m.Pool, m.Worker = gauge.MachineUp, "q", "i-new"
			g.advance(time.Second)
		}},
		{"it has moved between two lists", func(g *harness, m *gauge.Machine) {
			m.Pool, m.Worker = "q", "i-new"
			g.advance(time.Second)
		}},
		{"another worker starts there", func(g *harness, m *gauge.Machine) {
			m.Worker = "i-new"
			g.advance(time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newHarness("p", 1, 1)
			request := g.next().Drains[0]
			g.scheduler.SetDrained(request.Machine, true)
			tt.between(g, g.machines[request.Machine])
			s := g.next()
			assert.Equal(t, len(s.Starts), 0)
			assert.Equal(t, len(s.Drains), 1)
			assert.Equal(t, s.Drains[0].Worker, "i-new")
		})
	}
}

// The same fault, with the answer in flight while the machine gets another worker.
func TestLateAnswerOfAnEarlierWorkerStartsNoMaintenance(t *testing.T) {
	g := newHarness("p", 1, 1)
	request := g.next().Drains[0]
	g.machines[request.Machine].Worker = "i-new"
	g.advance(time.Second)
	g.scheduler.RecordDrainAnswer(request, true)
	assert.Equal(t, len(g.next().Starts), 0)
	g.scheduler.RecordDrainAnswer(g.next().Drains[0], true)
	assert.Equal(t, len(g.next().Starts), 1)
}

// Guards against maintenance that kills long-running tasks on a machine that has left standby for a
// pool, while the list of machines is from before the move.
func TestMachineMovingFromStandbyGetsNoMaintenance(t *testing.T) {
	g := newHarness("spare", 1, 1)
	g.scheduler.SetStandbyPools([]string{"spare"})
	assert.Equal(t, len(g.next().Starts), 1)
	always := func(string) bool { return true }
	s := g.scheduler.Next(g.now, waves.View{IsMoving: always, WasOrderedBefore: never, IsShort: never})
	assert.Equal(t, len(s.Starts), 0)
}
