package sizing_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// peak is a queue's peak: jobs of very different sizes come at random moments, at a rate that rises
// within a second and then stays for some seconds.
type peak struct {
	perSecond   float64 // jobs at the peak, a twentieth of that before
	coreSeconds float64 // mean of a job
	deviation   float64 // standard deviation of the logarithm of a job's size
}

// play plays the peak and returns the most machines that the pool was given for it, as a multiple
// of what its mean needs, and when it was given most of these.
func (p peak) play(seed uint64) (most float64, filled time.Duration) {
	const sampleInterval = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // repeatable
	g := newHarness(map[string]int{"a": 5, "spare": 1_000})
	needed := p.perSecond * p.coreSeconds * 1.25 / 16
	arrived, jobs, given := 0.0, 0, 0
	const calm, rise = 6 * time.Second, time.Second
	for at := time.Duration(0); at < calm+6*time.Second; at += sampleInterval {
		g.now += sampleInterval
		share := 0.05 + 0.95*min(1, max(0, (at-calm).Seconds()/rise.Seconds()))
		due := p.perSecond * share * sampleInterval.Seconds()
		for wait := random.ExpFloat64(); wait < due; wait += random.ExpFloat64() {
			jobs++
			arrived += p.coreSeconds * math.Exp(random.NormFloat64()*p.deviation-p.deviation*p.deviation/2)
		}
		g.load(gauge.PoolLoad{Pool: "a", ArrivedCoreSeconds: arrived, ArrivedJobs: jobs}, 0)
		given = max(given, countTo(g.next(), "a"))
		if filled == 0 && float64(given) >= 0.8*needed {
			filled = at - calm
		}
	}
	return float64(given) / needed, filled
}

// Guards against more than twice as many machines as a peak needs: the sizes of a dozen jobs within
// half a second were taken for the rate of work, and the highest of some thirty such estimates
// counts, as machines are kept.
func TestAPeakOfJobsOfDifferentSizesTakesFewMachinesTooMany(t *testing.T) {
	const plays = 12
	for _, tt := range []struct {
		name string
		peak peak
	}{
		{"25 large jobs a second", peak{25, 190, 1}},
		{"150 small ones", peak{150, 26, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var most, filled float64
			for seed := range uint64(plays) {
				m, f := tt.peak.play(seed)
				most += m / plays
				filled += f.Seconds() / plays
			}
			t.Logf("%.2f times, filled after %.2f s", most, filled)
			assert.Assert(t, most <= 2, "%.2f times the machines that the mean needs", most)
			assert.Assert(t, filled <= 1.3, "filled after %.2f s", filled)
		})
	}
}
