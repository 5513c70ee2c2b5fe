package sizing_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// peakDelay lets jobs come to pool "a" at a rate that rises twentyfold after a calm time, and
// returns how long after the rise the pool is given most of the machines that it needs.
func peakDelay(t *testing.T, disabled gauge.Disabled, perSecond, coreSeconds float64) time.Duration {
	t.Helper()
	const sampleInterval = 100 * time.Millisecond
	g := newHarness(map[string]int{"a": 20, "spare": 400})
	g.sizer = sizing.New(sizing.Config{Logs: logr.Discard(), Disabled: disabled})
	g.list()
	full := int(0.8 * perSecond * coreSeconds * 1.25 / 16)
	due, arrived, jobs := 0.0, 0.0, 0
	calmTime := 4 * time.Second
	for at := time.Duration(0); at < calmTime+5*time.Second; at += sampleInterval {
		g.now += sampleInterval
		rate := perSecond / 20
		if at >= calmTime {
			rate = perSecond
		}
		for due += rate * sampleInterval.Seconds(); due >= 1; due-- {
			jobs++
			arrived += coreSeconds
		}
		g.load(gauge.PoolLoad{Pool: "a", ArrivedCoreSeconds: arrived, ArrivedJobs: jobs}, 0)
		if countTo(g.next(), "a") >= full-20 {
			return at + sampleInterval - calmTime
		}
	}
	t.Fatal("never")
	return 0
}

// Guards against late jobs in the first three seconds of each peak of a large pool. The rate of
// arrivals rises twentyfold; its machines were requested after a second, and take two more to come,
// because a rate needed arrivals in five samples, no matter how many jobs these had, and until
// then was computed over three seconds.
func TestARiseOfManyArrivalsIsDetectedWithinAFewSamples(t *testing.T) {
	for _, tt := range []struct {
		name      string
		perSecond float64
		within    time.Duration
	}{
		{"36 large jobs a second", 36, 400 * time.Millisecond},
		{"180 small ones", 180, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			took := peakDelay(t, nil, tt.perSecond, 4800/tt.perSecond)
			assert.Assert(t, took <= tt.within, "%s", took)
			before := peakDelay(t, gauge.Disabled{gauge.MechanismRise}, tt.perSecond, 4800/tt.perSecond)
			assert.Assert(t, took < before, "%s, %s", took, before)
		})
	}
}

// A few large jobs at once don't count as a rise.
func TestFewArrivalsAreNoRise(t *testing.T) {
	g := newHarness(map[string]int{"a": 3, "spare": 40})
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.now += 100 * time.Millisecond
	g.load(gauge.PoolLoad{Pool: "a", ArrivedCoreSeconds: 600, ArrivedJobs: 5}, 0)
	assert.Assert(t, countTo(g.next(), "a") <= 15, "600 core-seconds over three seconds, with headroom")
}
