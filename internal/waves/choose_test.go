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

// fleet is a pool of machines that are all in one wave; the last ones have long-running tasks.
type fleet struct {
	scheduler   *waves.Scheduler
	longRunning map[string]int // by worker
	machine     map[string]string
}

func newFleet(disabled gauge.Disabled, count, longRunning, atOnce int) *fleet {
	f := &fleet{
		scheduler:   waves.New(waves.Config{MaintenanceDuration: maintenanceTime, Logs: logr.Discard(), Disabled: disabled}),
		longRunning: make(map[string]int), machine: make(map[string]string),
	}
	wave := gauge.MaintenanceWave{Wave: 1, Within: time.Minute, MaxConcurrent: atOnce}
	var list []gauge.Machine
	for i := range count {
		id := fmt.Sprintf("m-%03d", i)
		m := gauge.Machine{ID: id, Pool: "p", State: gauge.MachineUp, Worker: "i-" + id}
		if i >= count-longRunning {
			f.longRunning[m.Worker] = 1 + i%3
		}
		f.machine[m.Worker] = id
		wave.Machines = append(wave.Machines, id)
		list = append(list, m)
	}
	f.scheduler.AddWave(wave, waves.StoredProgress{}, 0)
	f.scheduler.SetMachines(list, time.Millisecond)
	return f
}

// selected counts the machines that are to be drained, and those of them with long-running tasks.
func (f *fleet) selected(short bool) (all, slow int) {
	s := f.scheduler.Next(time.Millisecond, waves.View{
		IsMoving: never, WasOrderedBefore: never, IsShort: func(string) bool { return short },
		LongRunningTasks: func(worker string) int { return f.longRunning[worker] },
	})
	for _, a := range s.Drains {
		if f.longRunning[a.Worker] > 0 {
			slow++
		}
	}
	return len(s.Drains), slow
}

// Guards against a wave in which 140 of 250 machines start within eight seconds and the last forty
// one by one until after its end. The last ones have long-running tasks, of which only a few may be
// unplaced at a time; this came from taking machines in the order of their names, regardless of
// what ran there.
func TestSlowDrainsStartWithTheOthers(t *testing.T) {
	all, slow := newFleet(nil, 100, 30, 40).selected(false)
	assert.Equal(t, all, 34, "a third of the pool")
	assert.Equal(t, slow, 17, "half of these")
	_, slow = newFleet(gauge.Disabled{gauge.MechanismLongDrainsFirst}, 100, 30, 40).selected(false)
	assert.Equal(t, slow, 0)
}

func TestFastDrainsFillUpWhereFewMachinesHaveLongRunningTasks(t *testing.T) {
	all, slow := newFleet(nil, 100, 3, 40).selected(false)
	assert.Equal(t, all, 34)
	assert.Equal(t, slow, 3)
}

// Guards against slow drains that stop for a third of a wave. A pool at its demand peak is short of
// machines, and no machine of a pool that is short was selected for a wave.
func TestSlowDrainsContinueInAPoolAtItsPeak(t *testing.T) {
	all, slow := newFleet(nil, 100, 30, 40).selected(true)
	assert.Equal(t, all, 5)
	assert.Equal(t, slow, 5)
	all, _ = newFleet(nil, 10, 5, 5).selected(true)
	assert.Equal(t, all, 0, "one machine of ten is too many")
}

func TestPendingWorkersOfAWave(t *testing.T) {
	f := newFleet(nil, 4, 0, 2)
	assert.Equal(t, len(f.scheduler.PendingWorkers("p")), 4)
	assert.Equal(t, len(f.scheduler.PendingWorkers("other")), 0)
	f.scheduler.RecordStart(waves.MaintenanceStart{Wave: 1, Machine: "m-000"}, nil, time.Second)
	assert.Equal(t, len(f.scheduler.PendingWorkers("p")), 3)
	f.scheduler.MarkCompleted(1)
	assert.Equal(t, len(f.scheduler.PendingWorkers("p")), 0)
}
