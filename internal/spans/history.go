package spans

import (
	"math"
	"time"
)

// history is what is known of the runs of one queue.
type history struct {
	runs  float64 // number of runs observed
	ratio moments // of the logarithm of the ratio of a run's time to its estimate
	took  moments // of the logarithm of a run's time in seconds
	// published is what expectations are computed from.
	published prediction
}

// prediction is how run times follow from estimates.
type prediction struct {
	runs     float64
	logRatio float64 // mean logarithm of the ratio
	logTook  float64 // mean logarithm of the time in seconds
	lean     float64 // 0: by estimate and ratio alone; 1: by the mean time alone
	spread   float64 // standard deviation of the logarithm of times around the expectation
}

// add adds a run, of which wide steps count less.
func (h *history) add(r Run, decay float64) {
	weight := min(1, maxStepRuns/float64(max(1, r.Siblings)))
	bound := math.Log(maxRatio)
	ratio := math.Log(r.Took.Seconds() / r.Estimate.Seconds())
	h.runs += weight
	h.ratio.add(min(max(ratio, -bound), bound), weight, decay)
	h.took.add(math.Log(r.Took.Seconds()), weight, decay)
}

// publish updates what expectations are computed from, if it has changed enough, and reports
// whether it has.
func (h *history) publish() bool {
	if h.runs < minRuns {
		return false
	}
	next := h.predict()
	if h.published.runs > 0 && !next.differsFrom(h.published) {
		return false
	}
	h.published = next
	return true
}

// predict returns what the runs so far say. The expectation leans towards the mean time as far as the
// spread of the ratios exceeds poorSpread, compared with that of the times.
func (h *history) predict() prediction {
	p := prediction{runs: h.runs, logRatio: h.ratio.mean(), logTook: h.took.mean()}
	byRatio, byMean := h.ratio.variance(), h.took.variance()
	if poor := byRatio - poorSpread*poorSpread; poor > 0 {
		p.lean = poor / (poor + byMean)
	}
	p.spread = math.Sqrt((1-p.lean)*byRatio + p.lean*byMean)
	return p
}

// differsFrom reports whether expectations by the two predictions differ noticeably.
func (p prediction) differsFrom(o prediction) bool {
	return math.Abs(p.logRatio-o.logRatio) > minChange || math.Abs(p.lean-o.lean) > minChange ||
		math.Abs(p.spread-o.spread) > minChange || p.lean > 0 && math.Abs(p.logTook-o.logTook) > minChange
}

// expect returns the expected time of a run with an estimate above 0.
func (p prediction) expect(estimate time.Duration) time.Duration {
	byRatio := math.Log(estimate.Seconds()) + p.logRatio
	expected := math.Exp((1-p.lean)*byRatio + p.lean*p.logTook)
	return time.Duration(expected * float64(time.Second))
}

// moments are the weighted mean and variance of a value, in which older values count less.
type moments struct {
	weight, sum, squares float64
}

func (m *moments) add(value, weight, decay float64) {
	// A value of less weight also ages the earlier ones less.
	factor := math.Pow(decay, weight)
	m.weight = m.weight*factor + weight
	m.sum = m.sum*factor + weight*value
	m.squares = m.squares*factor + weight*value*value
}

func (m *moments) mean() float64 { return m.sum / m.weight }

func (m *moments) variance() float64 {
	mean := m.mean()
	return max(0, m.squares/m.weight-mean*mean)
}
