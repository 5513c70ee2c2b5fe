package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/spans"
	"sapphiregauge/internal/triage"
)

// expectedChain is the longest chain of an occurrence's steps that are left, by learned run times.
// It is cached until a run starts or ends or the run times have changed, because a plan may look at
// a thousand of them.
type expectedChain struct {
	known    bool
	revision int           // of the run times
	waiting  time.Duration // from now on: the longest chain that begins with tasks that wait
	running  time.Duration // at this time the longest chain ends that begins with running tasks
	spread   float64       // of the queue's run times
}

// left returns the time until the last step is done.
func (c *expectedChain) left(now time.Duration) time.Duration { return max(c.waiting, c.running-now) }

// expectedChain returns the chain of the steps that are left. A step whose tasks all run counts
// from its last start, so that a job doesn't become late while its runs go on.
func (p *Pool) expectedChain(o *occurrence) *expectedChain {
	c := &o.chain
	if c.known && c.revision == p.spans.Revision() {
		return c
	}
	*c = expectedChain{known: true, revision: p.spans.Revision()}
	waiting, running := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, a := range st.spec.After {
			waiting[i], running[i] = max(waiting[i], waiting[a]), max(running[i], running[a])
		}
		if st.remaining > 0 {
			p.addStep(st, &waiting[i], &running[i])
		}
		c.waiting, c.running = max(c.waiting, waiting[i]), max(c.running, running[i])
	}
	if len(o.steps) > 0 {
		c.spread = p.spans.Spread(o.steps[0].job.queue)
	}
	return c
}

// addStep adds a step that isn't done to the chains that lead to it.
func (p *Pool) addStep(st *stage, waiting, running *time.Duration) {
	expected := p.spans.Expect(st.job.queue, st.spec.Estimate) + triage.StepOverhead
	if st.idle == 0 {
		*running = max(*running, st.lastStart+expected)
		return
	}
	*waiting += expected
	if *running > 0 {
		*running += expected
	}
}

// judge sets the lateness and the order of a job's tasks by the deadlines that it can still meet. A
// late job that has to start now starts first, as long as few such jobs run.
func (p *Pool) judge(j *job, o *occurrence, r *rank, now time.Duration) {
	c := p.expectedChain(o)
	times := triage.Job{
		Left: j.arrived + j.objective - now, LeftLate: j.arrived + j.objective*lateFactor - now, Chain: c.left(now), Objective: j.objective, Begun: j.startOrdered,
	}
	class := triage.Judge(times, triage.Load{Spread: c.spread})
	r.lateness = class.Rank()
	if !p.conf.Disabled.Has(gauge.MechanismDeadline) {
		r.due = dueOf(j, class, c.left(now))
	}
	if class == triage.Late && !j.beyondShare && triage.IsLastCall(times) && p.rescueRoom > 0 {
		r.lateness, r.rescue = triage.Timely.Rank(), true
		r.due -= c.left(now) // its last start
	}
	p.recordClass(j, o, class, c.left(now), now)
}

// updateRescueRoom computes how much more of the pool late jobs may take before timely ones.
func (p *Pool) updateRescueRoom(now time.Duration) {
	p.rescueRoom = 0
	since := p.index.fair.overloadedSince
	if p.triages && (since == 0 || now-since < triage.MaxRescueSpan) {
		p.rescueRoom = int(triage.RescueShare*float64(p.capacity().MilliCPU)) - p.index.rescuedMilliCPU
	}
}

// countRescue records that a run of a late job starts before timely jobs.
func (p *Pool) countRescue(r *run) {
	r.rescue = true
	p.index.rescuedMilliCPU += r.resources.MilliCPU
	p.rescueRoom -= r.resources.MilliCPU
	if j := r.task.job; !j.rescued {
		j.rescued = true
		p.conf.CountEvent(EventRescued)
		p.conf.Logs.Info("late job starts first", "job", j.id, "pool", p.conf.Name, "left", j.arrived+j.objective*lateFactor-r.orderedAt, "room", p.rescueRoom)
	}
}

// dueOf returns by what time a job is ordered within its class. One that has begun and can meet its
// objective is ordered by its latest start, as its later steps would otherwise wait behind all
// smaller jobs until it is late, and the work done on it would be wasted.
func dueOf(j *job, class triage.Class, chain time.Duration) time.Duration {
	switch {
	case class == triage.Late:
		return j.arrived + j.objective*lateFactor
	case class == triage.Timely && j.startOrdered:
		return j.arrived + j.objective - chain
	default:
		return j.arrived + j.objective
	}
}

// hasObjective reports whether a job has a time by which it should be done. Later occurrences of a
// scheduled job and long-running tasks are past any that counts from the job's arrival.
func hasObjective(spec *gauge.JobSpec) bool {
	return !spec.IsScheduled() && !slices.ContainsFunc(spec.Steps, func(st gauge.Step) bool { return st.LongRunning })
}

// recordClass records the class of a job and logs a change. Jobs are timely at first.
func (p *Pool) recordClass(j *job, o *occurrence, class triage.Class, chain, now time.Duration) {
	before := o.class
	o.class = class
	if class == before || before == "" && class == triage.Timely {
		return
	}
	p.conf.CountEvent("job " + string(class))
	p.conf.Logs.Info("job class", "job", j.id, "queue", j.queue, "occurrence", o.number, "class", class, "before", before,
		"left", j.arrived+j.objective-now, "chain", chain, "objective", j.objective, "begun", j.startOrdered)
}

// observeRunTime learns from a run that ended as done. A run that a previous owner started, that
// resumed from a checkpoint or that runs for long shows nothing.
func (p *Pool) observeRunTime(r *run, took time.Duration) {
	st := r.task.stage
	if r.inherited || r.resumed || st.spec.LongRunning {
		return
	}
	p.spans.Observe(st.job.queue, spans.Run{Estimate: st.spec.Estimate, Took: took, Siblings: st.spec.Count})
}
