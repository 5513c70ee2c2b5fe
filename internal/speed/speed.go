// Package speed decides which workers of a pool are slow or stalled, from how their runs compare
// with the other runs of the same steps.
package speed

import (
	"math"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// Kind is how a worker is treated.
type Kind string

// The kinds of treatment.
const (
	Normal  Kind = "normal"
	Slow    Kind = "slow"    // chosen after all other workers
	Stalled Kind = "stalled" // gets no starts
	Trial   Kind = "trial"   // takes one run at a time
)

const (
	// slowRatio is the ratio to the median from which a worker is slow. On a rack without its data
	// a task takes twice as long, so that slower workers are worse than such a rack.
	slowRatio = 2
	// passRatio is the ratio to the median up to which a run on trial clears its worker.
	passRatio = 1.5
	// maxSamples is the number of newest samples that count.
	maxSamples = 8
	// maxJobSamples is how many of these are of one job. Otherwise a large step would push out the
	// runs of other jobs, so that a worker with much room would never have runs of enough jobs.
	maxJobSamples = maxSamples / 2
	// minSamples and minJobs are how many runs, and of how many jobs, make a worker slow: one run
	// in a hundred takes three times the median anywhere.
	minSamples = 3
	minJobs    = 2
	// maxAge is how long a sample counts, and how long a trial lasts in which nothing is learned.
	maxAge = 10 * time.Second
	// stalledRuns is the number of runs without progress with which a worker is stalled.
	stalledRuns = 2
	// maxQuiet is how long a worker with one run without progress may go without progress of any
	// other run.
	maxQuiet = 2 * time.Second
	// firstBackoff and maxBackoff bound how long a stalled worker gets no starts.
	firstBackoff = 3 * time.Second
	maxBackoff   = 12 * time.Second
	// overdueSpan is how long a stalled worker that may not back off is treated as slow. It covers
	// the time between two reports.
	overdueSpan = 2 * time.Second
)

// Config sets up a Tracker.
type Config struct {
	// MayBackOff reports whether one more worker of the pool may get no starts.
	MayBackOff func(now time.Duration) bool
}

// Sample is how one run compares with the others of its step.
type Sample struct {
	Task  gauge.TaskID
	Run   int
	Ratio float64       // of its time so far to the median of the others
	At    time.Duration // when this was observed
	Trial bool          // it started while its worker was on trial, and has ended
}

// Stall describes the runs without progress on a worker.
type Stall struct {
	Runs  int           // runs without progress, but for those that have already counted as a stall
	Quiet time.Duration // time since any run on the worker progressed
	At    time.Duration // when this was observed
}

// State is the treatment of a worker, and the evidence for it.
type State struct {
	Kind  Kind
	Until time.Duration // end of the back-off, if stalled
	Ratio float64       // mean ratio of the runs that count; 0: there are none
	Runs  int           // number of these
}

// Tracker holds what is known of a pool's workers. It is not safe for concurrent use.
type Tracker struct {
	conf    Config
	records map[string]*record // by worker
}

// record is what is known of one worker.
type record struct {
	samples      []Sample      // the newest last
	backoff      time.Duration // length of the last back-off; 0: none since the worker was cleared
	backoffUntil time.Duration
	trialUntil   time.Duration
	overdueUntil time.Duration // until then it is treated as slow, as it may not back off
}

// New returns a Tracker without workers.
func New(c Config) *Tracker {
	return &Tracker{conf: c, records: make(map[string]*record)}
}

// Observe records how a run compares. A further sample of the same run replaces the earlier one.
func (t *Tracker) Observe(worker string, s Sample) {
	r := t.record(worker)
	if s.Trial && r.onTrial(s.At) {
		if s.Ratio <= passRatio {
			t.Forget(worker)
			return
		}
		r.trialUntil = s.At + maxAge
	}
	r.samples = slices.DeleteFunc(r.samples, func(o Sample) bool { return o.Task == s.Task && o.Run == s.Run })
	r.add(s)
}

// Stalled records that runs on a worker make no progress, and reports whether a back-off begins.
func (t *Tracker) Stalled(worker string, s Stall) bool {
	if s.Runs == 0 || s.Runs < stalledRuns && s.Quiet < maxQuiet {
		return false
	}
	r := t.record(worker)
	if s.At < r.backoffUntil {
		return false
	}
	if !t.conf.MayBackOff(s.At) {
		r.overdueUntil = s.At + overdueSpan
		r.extendTrial(s.At)
		return false
	}
	next := firstBackoff
	if r.onTrial(s.At) {
		next = min(2*r.backoff, maxBackoff)
	}
	r.backoff, r.backoffUntil = next, s.At+next
	r.trialUntil, r.overdueUntil = r.backoffUntil+maxAge, 0
	return true
}

// ExtendTrial keeps a worker on trial, because a run that began in the trial hasn't progressed yet.
func (t *Tracker) ExtendTrial(worker string, now time.Duration) {
	if r := t.records[worker]; r != nil {
		r.extendTrial(now)
	}
}

// State returns how a worker is to be treated.
func (t *Tracker) State(worker string, now time.Duration) State {
	r := t.records[worker]
	if r == nil {
		return State{Kind: Normal}
	}
	ratio, runs, jobs := r.score(now)
	s := State{Kind: Normal, Ratio: ratio, Runs: runs}
	switch {
	case now < r.backoffUntil:
		s.Kind, s.Until = Stalled, r.backoffUntil
	case r.onTrial(now):
		s.Kind = Trial
	case now < r.overdueUntil, runs >= minSamples && jobs >= minJobs && ratio >= slowRatio:
		s.Kind = Slow
	}
	return s
}

// Forget drops everything that is known of a worker.
func (t *Tracker) Forget(worker string) { delete(t.records, worker) }

func (t *Tracker) record(worker string) *record {
	r := t.records[worker]
	if r == nil {
		r = &record{}
		t.records[worker] = r
	}
	return r
}

// onTrial reports whether the last back-off is over, and the worker not cleared since.
func (r *record) onTrial(now time.Duration) bool {
	return r.backoff > 0 && now >= r.backoffUntil && now < r.trialUntil
}

// add adds the newest sample and drops those that are too many.
func (r *record) add(s Sample) {
	r.samples = append(r.samples, s)
	sameJob := func(o Sample) bool { return o.Task.Job == s.Task.Job }
	ofJob := 0
	for _, o := range r.samples {
		if sameJob(o) {
			ofJob++
		}
	}
	if ofJob > maxJobSamples {
		oldest := slices.IndexFunc(r.samples, sameJob)
		r.samples = slices.Delete(r.samples, oldest, oldest+1)
	}
	if len(r.samples) > maxSamples {
		r.samples = slices.Delete(r.samples, 0, 1)
	}
}

func (r *record) extendTrial(now time.Duration) {
	if r.onTrial(now) {
		r.trialUntil = now + maxAge
	}
}

// score returns the geometric mean of the ratios that still count, and of how many runs and jobs
// they are.
func (r *record) score(now time.Duration) (ratio float64, runs, jobs int) {
	sum := 0.0
	seen := make(map[string]bool, len(r.samples))
	for _, s := range r.samples {
		if now-s.At > maxAge {
			continue
		}
		sum += math.Log(s.Ratio)
		runs++
		seen[s.Task.Job] = true
	}
	if runs == 0 {
		return 0, 0, 0
	}
	return math.Exp(sum / float64(runs)), runs, len(seen)
}
