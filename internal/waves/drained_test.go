package waves_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/waves"
)

// An upkeep that ends lasting tasks, as the answer that nothing runs was of the worker that the
// machine had before.
func TestAnswerOfAnEarlierWorkerBeginsNoUpkeep(t *testing.T) {
	for _, tt := range []struct {
		name    string
		between func(g *rig, m *gauge.Machine)
	}{
		{"it moves to another pool", func(g *rig, m *gauge.Machine) {
			m.State, m.Worker = gauge.MachineMoving, ""
			g.pass(time.Second)
			g.next()
			m.State, m.Pool, m.Worker = gauge.MachineUp, "q", "i-new"
			g.pass(time.Second)
		}},
		{"it has moved between two lists", func(g *rig, m *gauge.Machine) {
			m.Pool, m.Worker = "q", "i-new"
			g.pass(time.Second)
		}},
		{"another worker starts there", func(g *rig, m *gauge.Machine) {
			m.Worker = "i-new"
			g.pass(time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig("p", 1, 1)
			ask := g.next().Asks[0]
			g.keeper.Emptied(ask.Machine, true)
			tt.between(g, g.machines[ask.Machine])
			s := g.next()
			assert.Equal(t, len(s.Begins), 0)
			assert.Equal(t, len(s.Asks), 1)
			assert.Equal(t, s.Asks[0].Worker, "i-new")
		})
	}
}

// The same, with the answer on its way while the machine gets another worker.
func TestLateAnswerOfAnEarlierWorkerBeginsNoUpkeep(t *testing.T) {
	g := newRig("p", 1, 1)
	ask := g.next().Asks[0]
	g.machines[ask.Machine].Worker = "i-new"
	g.pass(time.Second)
	g.keeper.Answered(ask, true)
	assert.Equal(t, len(g.next().Begins), 0)
	g.keeper.Answered(g.next().Asks[0], true)
	assert.Equal(t, len(g.next().Begins), 1)
}

// An upkeep that ends lasting tasks of a pool which a machine has left its standby for, by a list from before.
func TestMachineOnItsWayFromStandbyGetsNoUpkeep(t *testing.T) {
	g := newRig("spare", 1, 1)
	g.keeper.Standby([]string{"spare"})
	assert.Equal(t, len(g.next().Begins), 1)
	always := func(string) bool { return true }
	s := g.keeper.Next(g.now, waves.Sight{Moving: always, Ordered: never, Pressed: never})
	assert.Equal(t, len(s.Begins), 0)
}
