package speed_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/speed"
)

const worker = "w1"

func newTracker() *speed.Tracker {
	return speed.New(speed.Config{MayBackOff: func(time.Duration) bool { return true }})
}

// sample is of the run of a job's only task.
func sample(job string, run int, ratio float64, at time.Duration) speed.Sample {
	return speed.Sample{Task: gauge.TaskID{Job: job}, Run: run, Ratio: ratio, At: at}
}

// samples are of runs of different jobs, one every 100 ms.
func samples(ratios ...float64) []speed.Sample {
	var list []speed.Sample
	for i, ratio := range ratios {
		list = append(list, sample(fmt.Sprint(i), 1, ratio, time.Duration(i)*100*time.Millisecond))
	}
	return list
}

// jobSamples are of as many runs of one job.
func jobSamples(job string, ratio float64, count int) []speed.Sample {
	var list []speed.Sample
	for run := range count {
		list = append(list, sample(job, run, ratio, time.Second))
	}
	return list
}

// Guards against workers that are taken for slow because of single slow runs, of one job's tasks or
// of what happened long ago, and against slow workers that aren't found.
func TestWorkerIsSlowComparedWithOthers(t *testing.T) {
	trial := sample("0", 1, 1, time.Second)
	trial.Trial = true
	for _, tt := range []struct {
		name    string
		samples []speed.Sample
		now     time.Duration
		want    speed.Kind
	}{
		{"no runs", nil, time.Second, speed.Normal},
		{"twice as slow", samples(2, 2, 2.1), time.Second, speed.Slow},
		{"almost twice as slow", samples(1.9, 1.9, 1.9), time.Second, speed.Normal},
		{"stands still, by its stragglers", samples(4, 8, 20), time.Second, speed.Slow},
		{"all workers slow together", samples(1, 1.1, 0.9, 1), time.Second, speed.Normal},
		{"too few runs", samples(9, 9), time.Second, speed.Normal},
		{"one run in three takes three times the median", samples(1, 3, 1), time.Second, speed.Normal},
		{"a single job", []speed.Sample{sample("a", 1, 9, 0), sample("a", 2, 9, 0), sample("a", 3, 9, 0)}, time.Second, speed.Normal},
		{"two jobs", []speed.Sample{sample("a", 1, 9, 0), sample("a", 2, 9, 0), sample("b", 1, 9, 0)}, time.Second, speed.Slow},
		{"one run observed three times", []speed.Sample{sample("a", 1, 9, 0), sample("b", 1, 9, 0), sample("b", 1, 10, 1)}, time.Second, speed.Normal},
		{"only the newest count", samples(9, 9, 9, 9, 1, 1, 1, 1, 1, 1, 1, 1), 2 * time.Second, speed.Normal},
		{"many runs of one job after those of another", append(samples(9, 9), jobSamples("large", 9, 8)...), time.Second, speed.Slow},
		{"many runs of one slow job", append(samples(1, 1, 1, 1), jobSamples("large", 3, 8)...), time.Second, speed.Normal},
		{"old runs are forgotten", samples(9, 9, 9), 11 * time.Second, speed.Normal},
		{"a trial without a back-off clears nothing", append(samples(9, 9, 9, 9), trial), time.Second, speed.Slow},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := newTracker()
			for _, s := range tt.samples {
				k.Observe(worker, s)
			}
			assert.Equal(t, k.State(worker, tt.now).Kind, tt.want)
			assert.Equal(t, k.State("other", tt.now).Kind, speed.Normal)
		})
	}
}

// Guards against back-offs for runs that only take long, and against stalled workers that go on
// getting starts.
func TestWorkerIsStalledWithoutProgress(t *testing.T) {
	for _, tt := range []struct {
		name  string
		stall speed.Stall
		want  speed.Kind
	}{
		{"no run without progress", speed.Stall{Quiet: time.Minute}, speed.Normal},
		{"one, while others progress", speed.Stall{Runs: 1, Quiet: time.Second}, speed.Normal},
		{"one, and none progresses", speed.Stall{Runs: 1, Quiet: 2 * time.Second}, speed.Stalled},
		{"two", speed.Stall{Runs: 2}, speed.Stalled},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := newTracker()
			k.Stalled(worker, tt.stall)
			assert.Equal(t, k.State(worker, time.Second).Kind, tt.want)
		})
	}
}

// Guards against a stalled worker that gets no trial or gets starts before it, and against one that
// takes a start every few seconds for as long as it stands still.
func TestBackoffsDoubleUpToTheirBound(t *testing.T) {
	k, now := newTracker(), time.Second
	for _, want := range []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 12 * time.Second} {
		assert.Assert(t, k.Stalled(worker, speed.Stall{Runs: 2, At: now}))
		assert.Assert(t, !k.Stalled(worker, speed.Stall{Runs: 2, At: now + want - 1}), "the same stall")
		s := k.State(worker, now+want-1)
		assert.Equal(t, s.Kind, speed.Stalled)
		assert.Equal(t, s.Until, now+want)
		now += want
		assert.Equal(t, k.State(worker, now).Kind, speed.Trial)
		now += time.Second
	}
}

// Guards against a worker that stays on trial though it works, and against one that gets all starts
// after a trial that it has failed.
func TestTrial(t *testing.T) {
	const backoffEnd = 3 * time.Second
	for _, tt := range []struct {
		name    string
		observe func(k *speed.Tracker)
		now     time.Duration
		want    speed.Kind
		backoff time.Duration // of the next stall
	}{
		{"passed", func(k *speed.Tracker) { observeTrial(k, 1.5, 4*time.Second) }, 4 * time.Second, speed.Normal, 3 * time.Second},
		{"too slow", func(k *speed.Tracker) { observeTrial(k, 1.6, 4*time.Second) }, 13 * time.Second, speed.Trial, 6 * time.Second},
		{"passed after a failure", func(k *speed.Tracker) {
			observeTrial(k, 1.6, 4*time.Second)
			observeTrial(k, 1, 6*time.Second)
		}, 6 * time.Second, speed.Normal, 3 * time.Second},
		{"a run from before the stall ends", func(k *speed.Tracker) { k.Observe(worker, sample("a", 1, 1, 4*time.Second)) }, 5 * time.Second, speed.Trial, 6 * time.Second},
		{"a trial run ends during the back-off", func(k *speed.Tracker) { observeTrial(k, 1, time.Second) }, backoffEnd, speed.Trial, 6 * time.Second},
		{"no run at all", func(*speed.Tracker) {}, backoffEnd + 10*time.Second, speed.Normal, 3 * time.Second},
		{"run without progress", func(k *speed.Tracker) { k.ExtendTrial(worker, 12*time.Second) }, 21 * time.Second, speed.Trial, 6 * time.Second},
		{"extended too late", func(k *speed.Tracker) { k.ExtendTrial(worker, 13*time.Second) }, 14 * time.Second, speed.Normal, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := newTracker()
			k.Stalled(worker, speed.Stall{Runs: 2})
			tt.observe(k)
			assert.Equal(t, k.State(worker, tt.now).Kind, tt.want)
			k.Stalled(worker, speed.Stall{Runs: 2, At: tt.now})
			assert.Equal(t, k.State(worker, tt.now).Until, tt.now+tt.backoff)
		})
	}
}

func observeTrial(k *speed.Tracker, ratio float64, at time.Duration) {
	s := sample("trial", 1, ratio, at)
	s.Trial = true
	k.Observe(worker, s)
}

// Guards against a worker that is slow after a passed trial because of its runs before.
func TestPassedTrialClearsEarlierRuns(t *testing.T) {
	k := newTracker()
	for _, s := range samples(9, 9, 9, 9) {
		k.Observe(worker, s)
	}
	k.Stalled(worker, speed.Stall{Runs: 2, At: time.Second})
	observeTrial(k, 1, 4*time.Second)
	assert.Equal(t, k.State(worker, 4*time.Second).Kind, speed.Normal)
}

// Guards against a restarted worker that gets no starts because of its previous incarnation.
func TestForgottenWorkerIsNormal(t *testing.T) {
	k := newTracker()
	k.Stalled(worker, speed.Stall{Runs: 2})
	k.Forget(worker)
	assert.Equal(t, k.State(worker, time.Second).Kind, speed.Normal)
}

// Guards against a stalled worker that is the first choice for starts because too many others are in
// back-off.
func TestStalledWorkerWithoutBackoffIsSlow(t *testing.T) {
	k := speed.New(speed.Config{MayBackOff: func(time.Duration) bool { return false }})
	assert.Assert(t, !k.Stalled(worker, speed.Stall{Runs: 2}))
	assert.Equal(t, k.State(worker, time.Second).Kind, speed.Slow)
	assert.Equal(t, k.State(worker, 2*time.Second).Kind, speed.Normal)
}

// Guards against a pool that is emptied: whatever is observed, at most one worker in four is in
// back-off.
func TestBackoffsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		var k *speed.Tracker
		count := func(now time.Duration) int {
			n := 0
			for w := range workers {
				if k.State(fmt.Sprint(w), now).Kind == speed.Stalled {
					n++
				}
			}
			return n
		}
		k = speed.New(speed.Config{MayBackOff: func(now time.Duration) bool { return 4*(count(now)+1) <= workers }})
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, workers-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s := sample(fmt.Sprint(now), 1, rapid.Float64Range(0.1, 10).Draw(t, "ratio"), now)
				s.Trial = rapid.Bool().Draw(t, "trial")
				k.Observe(id, s)
			case 1:
				k.ExtendTrial(id, now)
			default:
				k.Stalled(id, speed.Stall{Runs: rapid.IntRange(0, 3).Draw(t, "runs"), Quiet: time.Duration(rapid.IntRange(0, 4).Draw(t, "quiet")) * time.Second, At: now})
			}
			assert.Assert(t, 4*count(now) <= workers)
		}
	})
}
