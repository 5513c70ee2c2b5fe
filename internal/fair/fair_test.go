package fair_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fair"
)

const halfLife = 5 * time.Second

func small() gauge.Resources { return gauge.Resources{MilliCPU: 1000, MemoryMB: 1000} }

func large() gauge.Resources { return gauge.Resources{MilliCPU: 20_000, MemoryMB: 1000} }

func memory() gauge.Resources { return gauge.Resources{MilliCPU: 1000, MemoryMB: 20_000} }

func accel() gauge.Resources { return gauge.Resources{MilliCPU: 1000, MemoryMB: 1000, Accels: 1} }

// load is what an account has in the pool.
type load struct {
	account string
	weight  float64
	need    gauge.Resources
	running int
	waiting bool
}

func newShares(loads []load) *fair.Shares {
	s := fair.New(fair.Config{HalfLife: halfLife})
	s.SetCapacity(gauge.Resources{MilliCPU: 100_000, MemoryMB: 100_000, Accels: 10})
	weights := make(map[string]float64)
	var waiting []string
	for _, l := range loads {
		weights[l.account] = l.weight
		for range l.running {
			s.Add(l.account, l.need, 0)
		}
		if l.waiting {
			waiting = append(waiting, l.account)
		}
	}
	s.SetWeights(weights)
	s.SetWaiting(waiting)
	return s
}

// Guards against an account that takes more than its part of a full pool from the others, by its rate, by the size of its
// jobs or by a resource that nobody else uses. Each case is a load pattern, and tells which accounts are above their share.
func TestAccountsAboveTheirFairShare(t *testing.T) {
	for _, tt := range []struct {
		name   string
		loads  []load
		beyond map[string]bool
	}{
		{
			"one account at many times its usual rate",
			[]load{{"garages", 1, small(), 90, true}, {"schools", 1, small(), 5, true}, {"clinics", 1, small(), 5, true}},
			map[string]bool{"garages": true},
		},
		{
			"large jobs at a low rate beside small ones at a high rate",
			[]load{{"garages", 1, large(), 4, true}, {"schools", 1, small(), 20, true}},
			map[string]bool{"garages": true},
		},
		{
			"different resources: each counts by the one that it uses most",
			[]load{{"garages", 1, memory(), 3, true}, {"schools", 1, accel(), 4, true}, {"clinics", 1, small(), 30, true}},
			map[string]bool{"garages": true, "schools": true},
		},
		{
			"an account may use its weight's part",
			[]load{{"garages", 3, small(), 75, true}, {"schools", 1, small(), 25, true}},
			nil,
		},
		{
			"and no more",
			[]load{{"garages", 3, small(), 76, true}, {"schools", 1, small(), 24, true}},
			map[string]bool{"garages": true},
		},
		{
			"weights that aren't exact in binary",
			[]load{{"garages", 0.1, small(), 10, true}, {"schools", 0.2, small(), 20, true}, {"clinics", 0.7, small(), 70, true}},
			nil,
		},
		{
			"no account and no weight count as a weight of 1",
			[]load{{"", 0, small(), 51, true}, {"schools", 0, small(), 49, true}},
			map[string]bool{"": true},
		},
		{
			"alone, an account may use all",
			[]load{{"garages", 1, small(), 100, true}, {"schools", 5, small(), 0, false}},
			nil,
		},
		{
			"work that runs keeps its part from what waits",
			[]load{{"garages", 1, small(), 60, true}, {"schools", 1, small(), 40, false}},
			map[string]bool{"garages": true},
		},
		{
			"all above their shares but one, which has only come",
			[]load{{"garages", 1, small(), 60, true}, {"schools", 1, small(), 40, true}, {"clinics", 1, small(), 0, true}},
			map[string]bool{"garages": true, "schools": true},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newShares(tt.loads)
			for _, l := range tt.loads {
				level := s.Level(l.account, 0)
				assert.Equal(t, level.Beyond, tt.beyond[l.account], "%q: %+v", l.account, level)
			}
		})
	}
}

// Guards against a burst that is forgotten as soon as it has ended, so that an account gets the same again at once, and
// against one that is held against the account for long.
func TestPastUseCountsHalfAfterAHalfLife(t *testing.T) {
	s := newShares([]load{{"garages", 1, small(), 60, true}, {"schools", 1, small(), 40, true}})
	const settled = 20 * halfLife
	closeTo(t, s.Level("garages", settled).Value, 2*1.2)
	for range 60 {
		s.Remove("garages", small(), settled)
	}
	closeTo(t, s.Level("garages", settled).Value, 1.2)
	closeTo(t, s.Level("garages", settled+halfLife).Value, 0.6)
	closeTo(t, s.Level("garages", settled+2*halfLife).Value, 0.3)
	closeTo(t, s.Level("schools", settled).Value, 2*0.8)
}

// Guards against an account that pays after a pause for what it used long ago, and against one that saves up its share
// during a pause and then takes the pool from the others.
func TestAccountThatComesBackAfterAPause(t *testing.T) {
	s := newShares([]load{{"garages", 1, small(), 60, true}, {"schools", 1, small(), 40, true}})
	for range 60 {
		s.Remove("garages", small(), time.Minute)
	}
	s.SetWaiting([]string{"schools"})
	for range 40 {
		s.Add("schools", small(), time.Minute)
	}
	assert.Assert(t, !s.Level("schools", 2*time.Minute).Beyond, "it is alone")
	s.SetWaiting([]string{"garages", "schools"})
	back := s.Level("garages", 2*time.Minute)
	assert.Assert(t, !back.Beyond && back.Value < 0.001, "%+v", back)
	assert.Assert(t, s.Level("schools", 2*time.Minute).Beyond)
	for range 51 {
		s.Add("garages", small(), 2*time.Minute)
	}
	assert.Assert(t, s.Level("garages", 2*time.Minute).Beyond)
}

// Guards against a plan in which an account's later starts are ranked like its first.
func TestLevelRisesWithEachStart(t *testing.T) {
	s := newShares([]load{{"garages", 1, small(), 0, true}, {"schools", 1, small(), 0, true}})
	last := s.Level("garages", 0)
	for range 100 {
		s.Add("garages", small(), 0)
		level := s.Level("garages", 0)
		assert.Assert(t, level.Value > last.Value)
		last = level
	}
	assert.Assert(t, last.Beyond)
	assert.Equal(t, s.Level("schools", 0), fair.Level{Part: 0.5})
}

// Guards against a large account whose level by its weight is taken for that of a small one.
func TestLevelIsRelativeToTheWeight(t *testing.T) {
	s := newShares([]load{{"garages", 9, small(), 90, true}, {"schools", 1, small(), 10, true}})
	closeTo(t, s.Level("garages", 0).Value, s.Level("schools", 0).Value)
}

// Guards against a division by zero and a share of everything in a pool whose workers aren't known yet, or without
// accelerators.
func TestResourcesThatThePoolLacksDoNotCount(t *testing.T) {
	s := newShares([]load{{"garages", 1, accel(), 1, true}, {"schools", 1, small(), 1, true}})
	s.SetCapacity(gauge.Resources{MilliCPU: 100_000})
	assert.Equal(t, s.Level("garages", 0).Share, 0.01)
	s.SetCapacity(gauge.Resources{})
	assert.Equal(t, s.Level("garages", 0), fair.Level{Part: 0.5})
}

// Guards against records of accounts that grow for as long as the owner runs, and against use that is lost while it counts.
func TestAccountsWithoutWorkAreForgotten(t *testing.T) {
	s := newShares([]load{{"garages", 1, small(), 1, false}, {"schools", 1, small(), 1, false}})
	s.Remove("garages", small(), time.Second)
	s.SetWaiting(nil)
	assert.Equal(t, s.Len(), 2, "its use still counts")
	s.Level("schools", time.Hour)
	s.SetWaiting(nil)
	assert.Equal(t, s.Len(), 1)
	assert.Equal(t, s.Running("schools"), small())
	assert.Equal(t, s.Running("garages"), gauge.Resources{})
	assert.Equal(t, s.Level("garages", time.Hour), fair.Level{Part: 0.5})
}

func closeTo(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-3, "%g, want %g", got, want)
}
