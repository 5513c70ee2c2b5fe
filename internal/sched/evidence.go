package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/hedge"
	"sapphiregauge/internal/speed"
)

const (
	// minOtherRuns is how many ended runs on other workers a run is compared with at least.
	minOtherRuns = 2
	// maxUncompared is how many ended runs of a step are kept until they can be compared: several
	// workers' worth of samples.
	maxUncompared = 32
	// startOverhead is the time of a start and of the report of an end, which doesn't depend on how
	// fast the worker is. In steps of short runs it would make runs look slow.
	startOverhead = 100 * time.Millisecond

	// stallGaps is for how many times the usual gap of its queue a run must have reported no progress to
	// have stalled: progress is in whole percent, so that long runs report none for seconds.
	stallGaps = 2
	// firstPercentDivisor divides the estimate of a run into the time that it may take to its first
	// percent. Estimates are off by 90 % in some queues, and large jobs take seven times as long.
	firstPercentDivisor = 4
	// gapWeight is the weight of a new gap in the mean gap of a queue.
	gapWeight = 0.05
	// maxGap bounds a gap: one of a run that had stalled says nothing about its queue.
	maxGap = 10 * time.Second
)

// queueProgress is when runs of a queue last progressed.
type queueProgress struct {
	worker  *worker       // on which one progressed last ...
	at      time.Duration // ... and when
	otherAt time.Duration // when one on another worker progressed last
	meanGap time.Duration // between two changes of the progress of one run
}

// elsewhere returns when a run on another worker last progressed.
func (q *queueProgress) elsewhere(w *worker) time.Duration {
	if q.worker == w {
		return q.otherAt
	}
	return q.at
}

func (q *queueProgress) add(w *worker, now time.Duration) {
	if q.worker != w {
		q.worker, q.otherAt = w, q.at
	}
	q.at = now
}

func (q *queueProgress) addGap(gap time.Duration) {
	gap = min(gap, maxGap)
	if q.meanGap == 0 {
		q.meanGap = gap
	}
	q.meanGap += time.Duration(gapWeight * float64(gap-q.meanGap))
}

// showsSpeed reports whether a run shows how fast its worker is, in comparison with other runs. The
// members of a gang wait for each other, and best-effort runs are slowed down on purpose.
func (r *run) showsSpeed() bool {
	spec := r.task.stage.spec
	return spec.Speculative && !spec.LongRunning && !spec.Gang && !spec.BestEffort && !r.toStop
}

// hasFullTime reports whether the run's whole work is done in this run, in the time since its start
// was ordered, with its data on the rack.
func (r *run) hasFullTime() bool {
	spec := r.task.stage.spec
	return !r.inherited && !r.resumed && (spec.DataRack == "" || r.worker.info.HasLabel(spec.DataRack))
}

// countProgress records the progress of a run that its worker lists, before the run's own fields
// change.
func (p *Pool) countProgress(r *run, progress int, now time.Duration) {
	first := r.listedAt == 0
	if first {
		r.listedAt, r.progressedAt = now, now
	}
	if progress == r.progress {
		return
	}
	r.worker.speed.progressedAt = now
	if !r.showsSpeed() {
		return
	}
	q := p.progressOfQueue(r)
	q.add(r.worker, now)
	if !first {
		q.addGap(now - r.progressedAt)
	}
}

// progressOfQueue returns the progress of a run's queue.
func (p *Pool) progressOfQueue(r *run) *queueProgress {
	q := p.queueProgress[r.task.job.queue]
	if q == nil {
		q = &queueProgress{}
		p.queueProgress[r.task.job.queue] = q
	}
	return q
}

// hasStalled reports whether a run makes no progress although others of its queue do.
func (p *Pool) hasStalled(r *run) bool {
	q := p.queueProgress[r.task.job.queue]
	if q == nil || r.listedAt == 0 || r.progress >= fullProgress {
		return false
	}
	steady := r.reportedAt - r.progressedAt
	return steady >= r.maxSteady(q) && q.elsewhere(r.worker) > r.progressedAt
}

// maxSteady is how long a run may report no progress before it counts as stalled.
func (r *run) maxSteady(q *queueProgress) time.Duration {
	usual := max(hedge.StallSpan, stallGaps*q.meanGap)
	if r.progress == 0 || r.inherited {
		return max(usual, r.task.stage.spec.Estimate/firstPercentDivisor)
	}
	return max(usual, hedge.StallPercents*(r.progressedAt-r.orderedAt)/time.Duration(r.progress))
}

// observeStraggler compares a run that is still going on with the ended ones of its step.
func (p *Pool) observeStraggler(r *run, now time.Duration) {
	st, took := r.task.stage, now-r.orderedAt
	if ended := (hedge.Step{Tasks: len(st.tasks), Ended: len(st.runTimes)}); !ended.HasMedian() {
		return
	}
	if took < time.Duration(hedge.SlowFactor*float64(st.typicalRunTime())) {
		return
	}
	if ratio := r.compare(took); ratio > hedge.SlowFactor {
		p.speeds.Observe(r.worker.info.ID, speed.Sample{Task: r.task.id, Run: r.number, Ratio: ratio, At: now})
	}
}

// observeEnd compares a run that has ended with the others of its step.
func (p *Pool) observeEnd(r *run, how gauge.Ending, took, now time.Duration) {
	if how != gauge.EndDone || p.conf.Disabled.Has(gauge.MechanismSlow) {
		return
	}
	w := r.worker
	w.speed.progressedAt = now
	s := speed.Sample{Task: r.task.id, Run: r.number, At: now, Trial: w.speed.trialRun == r}
	if r.showsSpeed() {
		p.progressOfQueue(r).add(w, now)
		s.Ratio = r.compare(took)
		p.compareEarlier(r, now)
	}
	if s.Ratio == 0 && r.showsSpeed() && r.hasFullTime() {
		r.task.stage.keepUncompared(endedRun{run: r, took: took, endedAt: now})
	}
	if s.Ratio == 0 && s.Trial {
		s.Ratio = 1 // nothing to compare it with, but the worker has completed it
	}
	if s.Ratio > 0 {
		p.speeds.Observe(w.info.ID, s)
		p.updateSpeed(w, now)
	}
}

// endedRun is a run that ended as done.
type endedRun struct {
	run     *run
	took    time.Duration
	endedAt time.Duration
}

// keepUncompared keeps a run until enough runs of the step have ended on other workers. The tasks
// of a step often start on one worker, and end there before any other. If only those that end after
// others counted, a worker's few slow runs would count and its usual ones wouldn't.
func (st *stage) keepUncompared(e endedRun) {
	st.uncompared = append(st.uncompared, e)
	if n := len(st.uncompared); n > maxUncompared {
		st.uncompared = st.uncompared[n-maxUncompared:]
	}
}

// compareEarlier compares the runs that ended on other workers before this one, if there are enough
// ended runs now.
func (p *Pool) compareEarlier(ended *run, now time.Duration) {
	st := ended.task.stage
	st.uncompared = slices.DeleteFunc(st.uncompared, func(e endedRun) bool {
		w := e.run.worker
		if w == ended.worker {
			return false // there are no more runs on other workers than before
		}
		ratio := e.run.compare(e.took)
		if ratio > 0 && !w.dead && e.endedAt > w.speed.stalledAt {
			p.speeds.Observe(w.info.ID, speed.Sample{Task: e.run.task.id, Run: e.run.number, Ratio: ratio, At: e.endedAt})
			p.updateSpeed(w, now)
		}
		return ratio > 0
	})
}

// compare returns the ratio of a run's time to the median of the runs of its step on other workers;
// 0: there are too few of them, or its own time says nothing.
func (r *run) compare(took time.Duration) float64 {
	if !r.hasFullTime() {
		return 0
	}
	median, n := r.task.stage.medianRunTime(r.worker)
	switch {
	case n < minOtherRuns || median <= 0:
		return 0
	case took > median && took-median <= startOverhead:
		return 1
	default:
		return float64(max(took, time.Millisecond)) / float64(median)
	}
}

// typicalRunTime returns the median time of the step's runs on any worker, as of when it last had
// an eighth fewer: the exact median of each worker's step would be sorted with every report.
func (st *stage) typicalRunTime() time.Duration {
	if n := len(st.runTimes); n > st.typicalOf+st.typicalOf/8 {
		st.typical, _ = st.medianRunTime(nil)
		st.typicalOf = n
	}
	return st.typical
}
