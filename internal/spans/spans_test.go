package spans_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/spans"
)

const queue = "sheets"

// observe records runs whose times are their estimates times a factor.
func observe(t *spans.Times, runs, siblings int, estimate time.Duration, factor float64) {
	for range runs {
		t.Observe(queue, spans.Run{Estimate: estimate, Took: time.Duration(float64(estimate) * factor), Siblings: siblings})
	}
}

// isNear reports whether a duration differs from another one by at most a tenth.
func isNear(got, want time.Duration) bool {
	return math.Abs(got.Seconds()-want.Seconds()) <= want.Seconds()/10
}

func TestExpectationFollowsRuns(t *testing.T) {
	for _, tt := range []struct {
		name    string
		observe func(*spans.Times)
		want    time.Duration // expected for an estimate of 2 s
	}{
		{"no runs", func(*spans.Times) {}, 2 * time.Second},
		{"too few runs", func(s *spans.Times) { observe(s, 19, 1, time.Second, 2) }, 2 * time.Second},
		{"enough runs", func(s *spans.Times) { observe(s, 20, 1, time.Second, 2) }, 4 * time.Second},
		{"shorter than estimated", func(s *spans.Times) { observe(s, 100, 1, time.Second, 0.5) }, time.Second},
		{"no estimates", func(s *spans.Times) { observe(s, 100, 1, 0, 1) }, 2 * time.Second},
		{"changed long ago", func(s *spans.Times) {
			observe(s, 500, 1, time.Second, 1)
			observe(s, 1500, 1, time.Second, 2)
		}, 4 * time.Second},
		{"one wide step of seven times the size", func(s *spans.Times) {
			observe(s, 200, 1, time.Second, 1)
			observe(s, 250, 250, time.Second, 7)
		}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := spans.New(spans.Config{})
			tt.observe(s)
			got := s.Expect(queue, 2*time.Second)
			assert.Assert(t, isNear(got, tt.want), "expected %s", got)
			assert.Equal(t, s.Expect("other", 2*time.Second), 2*time.Second)
			assert.Equal(t, s.Expect(queue, 0), time.Duration(0))
		})
	}
}

// observeRandom records runs of 1 s, on average, whose estimates are off by a factor with this
// standard deviation of its logarithm.
func observeRandom(t *spans.Times, off float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		took := math.Exp(0.1 * rnd.NormFloat64())
		estimate := took * math.Exp(off*rnd.NormFloat64())
		t.Observe(queue, spans.Run{Estimate: seconds(estimate), Took: seconds(took), Siblings: 1})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against classes by estimates that say nothing: runs take the same time whatever their
// estimate.
func TestPoorEstimatesCountLess(t *testing.T) {
	good, poor := spans.New(spans.Config{}), spans.New(spans.Config{})
	observeRandom(good, 0.2)
	observeRandom(poor, 0.9)
	assert.Assert(t, isNear(good.Expect(queue, 3*time.Second), 3*time.Second), "%s", good.Expect(queue, 3*time.Second))
	assert.Assert(t, good.Spread(queue) < 0.3, "%.2f", good.Spread(queue))
	assert.Assert(t, poor.Expect(queue, 3*time.Second) < 1300*time.Millisecond, "%s", poor.Expect(queue, 3*time.Second))
	assert.Assert(t, poor.Spread(queue) < 0.4, "%.2f: the mean time predicts well", poor.Spread(queue))
}

// Guards against an owner that computes the expectations of all its jobs again with each run.
func TestExpectationsChangeSeldom(t *testing.T) {
	s := spans.New(spans.Config{})
	observeRandom(s, 0.2)
	changes := s.Revision()
	assert.Assert(t, changes > 0 && changes < 40, "%d changes in 2000 runs", changes)
	expected := s.Expect(queue, time.Second)
	for range 10 {
		s.Observe(queue, spans.Run{Estimate: time.Second, Took: time.Second, Siblings: 1})
		if s.Revision() == changes {
			assert.Equal(t, s.Expect(queue, time.Second), expected)
		}
	}
}
