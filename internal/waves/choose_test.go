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

// fleet is a pool of machines, all of a wave; the last ones have lasting tasks.
type fleet struct {
	keeper  *waves.Keeper
	lasting map[string]int // by worker
	machine map[string]string
}

func newFleet(without gauge.Without, count, lasting, atOnce int) *fleet {
	f := &fleet{
		keeper:  waves.New(waves.Config{Upkeep: upkeep, Logs: logr.Discard(), Without: without}),
		lasting: make(map[string]int), machine: make(map[string]string),
	}
	order := gauge.UpkeepOrder{Wave: 1, Within: time.Minute, AtOnce: atOnce}
	var list []gauge.Machine
	for i := range count {
		id := fmt.Sprintf("m-%03d", i)
		m := gauge.Machine{ID: id, Pool: "p", State: gauge.MachineUp, Worker: "i-" + id}
		if i >= count-lasting {
			f.lasting[m.Worker] = 1 + i%3
		}
		f.machine[m.Worker] = id
		order.Machines = append(order.Machines, id)
		list = append(list, m)
	}
	f.keeper.Order(order, waves.Past{}, 0)
	f.keeper.Machines(list, time.Millisecond)
	return f
}

// asked counts the machines that are to be emptied, and those with lasting tasks.
func (f *fleet) asked(pressed bool) (all, chained int) {
	s := f.keeper.Next(time.Millisecond, waves.Sight{
		Moving: never, Ordered: never, Pressed: func(string) bool { return pressed },
		Lasting: func(worker string) int { return f.lasting[worker] },
	})
	for _, a := range s.Asks {
		if f.lasting[a.Worker] > 0 {
			chained++
		}
	}
	return len(s.Asks), chained
}

// Symptom: 140 of 250 machines of a wave begin within eight seconds, the last forty one
// by one until after its end.
// Sequence: the machines that begin last have lasting tasks, of which a few may be away
// at a time.
// Cause: machines were taken in the order of their names, whatever runs there.
func TestMachinesWithLastingTasksBeginWithTheOthers(t *testing.T) {
	all, chained := newFleet(nil, 100, 30, 40).asked(false)
	assert.Equal(t, all, 34, "a third of the pool")
	assert.Equal(t, chained, 17, "half of these")
	_, chained = newFleet(gauge.Without{gauge.MechanismChains}, 100, 30, 40).asked(false)
	assert.Equal(t, chained, 0)
}

func TestAllPlacesAreUsedWhereFewMachinesHaveLastingTasks(t *testing.T) {
	all, chained := newFleet(nil, 100, 3, 40).asked(false)
	assert.Equal(t, all, 34)
	assert.Equal(t, chained, 3)
}

// Symptom: a wave's chain of lasting tasks stands still for a third of the wave.
// Sequence: the pool is in its turn.
// Cause: a pool with too few machines gave none to a wave.
func TestAChainGoesOnInAPoolInItsTurn(t *testing.T) {
	all, chained := newFleet(nil, 100, 30, 40).asked(true)
	assert.Equal(t, all, 5)
	assert.Equal(t, chained, 5)
	all, _ = newFleet(nil, 10, 5, 5).asked(true)
	assert.Equal(t, all, 0, "one machine of ten is too many")
}

func TestWorkersThatAWaveIsToEmpty(t *testing.T) {
	f := newFleet(nil, 4, 0, 2)
	assert.Equal(t, len(f.keeper.Workers("p")), 4)
	assert.Equal(t, len(f.keeper.Workers("other")), 0)
	f.keeper.Begun(waves.Begin{Wave: 1, Machine: "m-000"}, nil, time.Second)
	assert.Equal(t, len(f.keeper.Workers("p")), 3)
	f.keeper.Completed(1)
	assert.Equal(t, len(f.keeper.Workers("p")), 0)
}
