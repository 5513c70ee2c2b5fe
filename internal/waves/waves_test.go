package waves_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/waves"
)

const upkeep = 2 * time.Second

type rig struct {
	keeper   *waves.Keeper
	machines map[string]*gauge.Machine
	now      time.Duration
}

func never(string) bool { return false }

func newRig(pool string, count, atOnce int) *rig {
	g := &rig{keeper: waves.New(waves.Config{Upkeep: upkeep, Logs: logr.Discard()}), machines: make(map[string]*gauge.Machine)}
	order := gauge.UpkeepOrder{Wave: 1, Within: 30 * time.Second, AtOnce: atOnce}
	for i := range count {
		id := fmt.Sprintf("m-%d", i)
		g.machines[id] = &gauge.Machine{ID: id, Pool: pool, State: gauge.MachineUp, Worker: "i-" + id}
		order.Machines = append(order.Machines, id)
	}
	g.keeper.Order(order, waves.Past{}, g.now)
	g.pass(time.Millisecond)
	return g
}

// pass lists the machines anew.
func (g *rig) pass(d time.Duration) {
	g.now += d
	var list []gauge.Machine
	for _, m := range g.machines {
		list = append(list, *m)
	}
	g.keeper.Machines(list, g.now)
}

func (g *rig) next() waves.Steps {
	return g.keeper.Next(g.now, waves.Sight{Moving: never, Ordered: never, Pressed: never})
}

func (g *rig) begin(b waves.Begin, err error) { g.keeper.Begun(b, err, g.now) }

func TestUpkeepBeginsOnlyWhenTheOwnerSaysEmpty(t *testing.T) {
	g := newRig("p", 6, 2)
	s := g.next()
	assert.Equal(t, len(s.Begins), 0)
	assert.Assert(t, len(s.Asks) > 0)
	g.keeper.Emptied(s.Asks[0].Machine, true)
	s = g.next()
	assert.Equal(t, len(s.Begins), 1)
}

// Symptom: more machines are down than the operator allows.
// Sequence: an order gets no answer; it is not counted, and the next one goes out.
// Cause: what may be carried out yet counts as not done.
func TestUnansweredOrdersCountAsDown(t *testing.T) {
	g := newRig("spare", 5, 2)
	g.keeper.Standby([]string{"spare"})
	s := g.next()
	assert.Equal(t, len(s.Begins), 2)
	for _, b := range s.Begins {
		g.begin(b, gauge.Fail(gauge.KindUnknown, "no answer"))
	}
	s2 := g.next()
	assert.Equal(t, len(s2.Begins), 2, "the same ones are asked again")
	assert.DeepEqual(t, s2.Begins, s.Begins)
}

func TestMachinesCountAsDownUntilTheyAreListedUpAgain(t *testing.T) {
	g := newRig("spare", 3, 1)
	g.keeper.Standby([]string{"spare"})
	b := g.next().Begins[0]
	g.begin(b, nil)
	g.machines[b.Machine].State = gauge.MachineUpkeep
	g.pass(upkeep + time.Second)
	assert.Equal(t, len(g.next().Begins), 0)
	g.machines[b.Machine].State = gauge.MachineUp
	g.pass(100 * time.Millisecond)
	assert.Equal(t, len(g.next().Begins), 1)
}

// A list that was asked for before the machine went down proves nothing.
func TestOldListDoesNotEndAnUpkeep(t *testing.T) {
	g := newRig("spare", 2, 1)
	g.keeper.Standby([]string{"spare"})
	g.begin(g.next().Begins[0], nil)
	g.pass(time.Millisecond)
	assert.Equal(t, len(g.next().Begins), 0)
}

func TestWaveIsCompleteOnlyWhenAllThatStayHaveBegun(t *testing.T) {
	g := newRig("spare", 3, 3)
	g.keeper.Standby([]string{"spare"})
	s := g.next()
	assert.Equal(t, len(s.Begins), 3)
	g.begin(s.Begins[0], nil)
	g.begin(s.Begins[1], gauge.Fail(gauge.KindBusy, "it leaves"))
	g.begin(s.Begins[2], nil)
	assert.Equal(t, len(g.next().Complete), 0)
	delete(g.machines, s.Begins[1].Machine)
	g.pass(time.Second)
	assert.Equal(t, len(g.next().Complete), 1)
}

// A new holder knows from the table which machines have begun.
func TestWaveGoesOnUnderANewHolder(t *testing.T) {
	g := newRig("spare", 3, 1)
	keeper := waves.New(waves.Config{Upkeep: upkeep, Logs: logr.Discard()})
	keeper.Order(gauge.UpkeepOrder{Wave: 1, Machines: []string{"m-0", "m-1", "m-2"}, Within: time.Minute, AtOnce: 1}, waves.Past{Begun: []string{"m-0"}}, g.now)
	g.keeper = keeper
	g.keeper.Standby([]string{"spare"})
	g.pass(time.Millisecond)
	assert.Equal(t, len(g.next().Begins), 0, "m-0 may be down still")
	g.pass(upkeep + time.Second)
	assert.Equal(t, g.next().Begins[0].Machine, "m-1")
}

func TestPressedPoolsAreLeftAloneUntilTheWaveIsLate(t *testing.T) {
	g := newRig("p", 4, 2)
	pressed := func(string) bool { return true }
	assert.Equal(t, len(g.keeper.Next(g.now, waves.Sight{Moving: never, Ordered: never, Pressed: pressed}).Asks), 0)
	g.pass(20 * time.Second)
	asks := g.keeper.Next(g.now, waves.Sight{Moving: never, Ordered: never, Pressed: pressed}).Asks
	assert.Assert(t, len(asks) > 0)
	assert.Assert(t, asks[0].Force)
}

// Symptom: one machine more is down than the operator allows, after a handover.
// Sequence: the fleet's holder orders upkeeps and can't write them down, as the
// table turns it away; its successor knows nothing of them and orders others.
// Cause: only what the table has counts as down.
func TestUpkeepsOfAHolderThatCouldNotNoteThemCountAsDown(t *testing.T) {
	g := newRig("spare", 6, 3)
	g.keeper.Standby([]string{"spare"})
	g.machines["m-0"].State = gauge.MachineUpkeep // as listed
	g.pass(time.Millisecond)
	justOrdered := func(id string) bool { return id == "m-1" } // not listed yet
	assert.Equal(t, len(g.keeper.Next(g.now, waves.Sight{Moving: never, Ordered: justOrdered, Pressed: never}).Begins), 1)
}

// Symptom: the last machines of a wave have their upkeep seconds after its end.
// Sequence: the fleet's holder changes in the middle of the wave; two machines of many are
// left in pools that are busy.
// Cause: the new holder counts the wave's time from when it saw it, and a wave with so
// few machines left doesn't count as late.
func TestWaveIsHurriedBeforeItsEndHoweverFewMachinesAreLeft(t *testing.T) {
	for _, tt := range []struct {
		name  string
		age   time.Duration
		force bool
	}{
		{"in time", 20 * time.Second, false},
		{"shortly before its end", 25 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := waves.New(waves.Config{Upkeep: upkeep, Logs: logr.Discard()})
			order := gauge.UpkeepOrder{Wave: 1, Within: 30 * time.Second, AtOnce: 2}
			var past waves.Past
			var list []gauge.Machine
			for i := range 20 {
				id := fmt.Sprintf("m-%02d", i)
				order.Machines = append(order.Machines, id)
				list = append(list, gauge.Machine{ID: id, Pool: "p", State: gauge.MachineUp, Worker: "i-" + id})
				if i > 0 {
					past.Begun = append(past.Begun, id)
				}
			}
			past.Age = tt.age
			const now = time.Minute
			k.Order(order, past, now)
			k.Machines(list, now+upkeep+time.Millisecond)
			pressed := func(string) bool { return true }
			s := k.Next(now+upkeep+time.Millisecond, waves.Sight{Moving: never, Ordered: never, Pressed: pressed})
			assert.Equal(t, len(s.Asks) > 0 && s.Asks[0].Force, tt.force)
			assert.Equal(t, k.Age(1, now), tt.age)
		})
	}
}
