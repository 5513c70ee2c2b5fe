package sizing_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
)

// turn has jobs come to pool "a" at a rate from some time on, a twentieth of it before,
// and returns how long after that the pool is given most of the machines for it.
func turn(t *testing.T, without gauge.Without, perSecond, coreSeconds float64) time.Duration {
	t.Helper()
	const look = 100 * time.Millisecond
	g := newRig(map[string]int{"a": 20, "spare": 400})
	g.sizer = sizing.New(sizing.Config{Logs: logr.Discard(), Without: without})
	g.list()
	full := int(0.8 * perSecond * coreSeconds * 1.25 / 16)
	came, arrived, jobs := 0.0, 0.0, 0
	calm := 4 * time.Second
	for at := time.Duration(0); at < calm+5*time.Second; at += look {
		g.now += look
		rate := perSecond / 20
		if at >= calm {
			rate = perSecond
		}
		for came += rate * look.Seconds(); came >= 1; came-- {
			jobs++
			arrived += coreSeconds
		}
		g.load(gauge.PoolLoad{Pool: "a", Arrived: arrived, Jobs: jobs}, 0)
		if to(g.next(), "a") >= full-20 {
			return at + look - calm
		}
	}
	t.Fatal("never")
	return 0
}

// Symptom: the jobs of the first three seconds of each turn of a large pool are late.
// Sequence: the rate of arrivals rises twentyfold; its machines are asked for after a
// second, and take two more to come.
// Cause: a rate was told from arrivals at five looks, however many jobs these brought, and
// until then over three seconds.
func TestARiseOfManyArrivalsIsSeenWithinLooks(t *testing.T) {
	for _, tt := range []struct {
		name      string
		perSecond float64
		within    time.Duration
	}{
		{"36 large jobs a second", 36, 400 * time.Millisecond},
		{"180 small ones", 180, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			took := turn(t, nil, tt.perSecond, 4800/tt.perSecond)
			assert.Assert(t, took <= tt.within, "%s", took)
			before := turn(t, gauge.Without{gauge.MechanismRise}, tt.perSecond, 4800/tt.perSecond)
			assert.Assert(t, took < before, "%s, %s", took, before)
		})
	}
}

// A few large jobs at once are no rise.
func TestAFewArrivalsAreNoRise(t *testing.T) {
	g := newRig(map[string]int{"a": 3, "spare": 40})
	g.load(gauge.PoolLoad{Pool: "a"}, 0)
	g.now += 100 * time.Millisecond
	g.load(gauge.PoolLoad{Pool: "a", Arrived: 600, Jobs: 5}, 0)
	assert.Assert(t, to(g.next(), "a") <= 15, "600 core-seconds over three seconds, with headroom")
}
