package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/admit"
	"sapphiregauge/internal/triage"
)

// AcceptedWork sums up the work of the open jobs by what starts before what. Of a task that runs,
// what is left of its expected time counts. It visits all jobs, so its result should be used for
// some time.
func (p *Pool) AcceptedWork(now time.Duration) admit.Work {
	var w admit.Work
	elapsed := p.elapsedWork(now)
	for _, j := range p.jobs {
		if !j.isOpen() {
			continue
		}
		for _, o := range j.occurrences {
			if o.remaining == 0 {
				continue
			}
			// The order is the same for all steps that end.
			lateness := p.rank(j, o, o.steps[0], now).lateness
			left, cores := p.remainingWork(o, &w, lateness == triage.Hopeless.Rank())
			w.Add(admit.Group{Priority: p.priority(j), Beyond: j.beyondShare, Late: lateness != triage.Timely.Rank()}, left-elapsed[o], cores)
		}
	}
	return w
}

// remainingWork returns the core-seconds of an occurrence's tasks that aren't done and the most
// cores that a step of it can use, and adds the cores of its long-running tasks to the summary. Of
// hopeless work only what runs counts: the rest starts after all that is worth something.
func (p *Pool) remainingWork(o *occurrence, w *admit.Work, hopeless bool) (coreSeconds, cores float64) {
	for _, st := range o.steps {
		if st.remaining == 0 {
			continue
		}
		perTask := coresPerTask(st.spec)
		if st.spec.LongRunning {
			w.LongRunningCores += perTask * float64(len(st.tasks))
			continue
		}
		tasks := st.remaining
		if hopeless {
			tasks -= st.idle
		}
		width := perTask * float64(tasks)
		coreSeconds += width * p.expectedTime(st.job.queue, st.spec).Seconds()
		cores = max(cores, width)
	}
	return coreSeconds, cores
}

// elapsedWork returns, by occurrence, the core-seconds that its running tasks are expected to have
// done.
func (p *Pool) elapsedWork(now time.Duration) map[*occurrence]float64 {
	elapsed := make(map[*occurrence]float64)
	for _, w := range p.workers {
		for r := range w.runs {
			st := r.task.stage
			if r.task.done || st.spec.LongRunning || r != r.task.runs[0] {
				continue
			}
			whole := p.expectedTime(st.job.queue, st.spec)
			done := whole - expectedRest(whole, now-r.orderedAt)
			elapsed[st.occ] += coresPerTask(st.spec) * done.Seconds()
		}
	}
	return elapsed
}

// expectedRest is the expected rest of a run, at most the whole of its expected time: beyond that a
// run says nothing of how much work is left.
func expectedRest(whole, elapsed time.Duration) time.Duration {
	return min(whole, max(whole-elapsed, time.Duration(float64(elapsed)*overrunShare)))
}

// expectedTime is the expected run time of a task of a step.
func (p *Pool) expectedTime(queue string, st *gauge.Step) time.Duration {
	return p.spans.Expect(queue, st.Estimate)
}

// priority returns the priority of a job's queue, 0 (the highest) if the queue has no configuration.
func (p *Pool) priority(j *job) int {
	if q := p.policy(j); q != nil {
		return q.Priority
	}
	return 0
}

// SubmittedJob returns what admission control needs to know of a job that isn't adopted. Unadopted
// is how many jobs of its account are accepted in the same second and aren't adopted yet.
func (p *Pool) SubmittedJob(q *gauge.Queue, id string, spec *gauge.JobSpec, unadopted int, now time.Duration) admit.Job {
	j := admit.Job{
		ID: id, Account: spec.Account, Priority: q.Priority,
		Objective: time.Duration(q.Stretch*float64(criticalPath(spec))) + q.Target,
	}
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		st := &spec.Steps[i]
		expected := p.expectedTime(q.Name, st)
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += expected
		j.Chain = max(j.Chain, ends[i])
		width := coresPerTask(st) * float64(st.Count)
		j.Work += width * expected.Seconds()
		j.Cores = max(j.Cores, width)
	}
	j.Beyond = p.wouldExceedWeight(spec.Account, unadopted, now)
	return j
}

// wouldExceedWeight reports whether another job of an account is beyond its weight, in addition to
// those that are adopted and to so many others.
func (p *Pool) wouldExceedWeight(name string, unadopted int, now time.Duration) bool {
	account := p.site.AccountByName(name)
	if account == nil || p.conf.Disabled.Has(gauge.MechanismShares) {
		return false
	}
	return p.rates.WouldExceed(account.Name, account.Weight, now, unadopted)
}

// IsAlwaysAdmitted reports whether a job is accepted whatever load the pool has: it is scheduled, or
// has long-running tasks, which its pool has room for by the size that the operator plans.
func IsAlwaysAdmitted(spec *gauge.JobSpec) bool {
	return !hasObjective(spec)
}
