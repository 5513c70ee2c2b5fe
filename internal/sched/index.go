package sched

import (
	"maps"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

// poolIndex is updated with each event, because it is read at each write or plan: a walk over all
// jobs each time would take the owner of a thousand jobs more processor time than all else.
type poolIndex struct {
	depths    map[string]int // by queue: open jobs of which no worker has reported a run
	changed   map[*job]bool  // superset of the jobs with something to write; pruned by unwrittenJobs
	scheduled map[*job]bool  // superset of the open jobs with occurrences to come; pruned by createDue

	rescuedMilliCPU int // of the runs of late jobs that started before timely ones

	uses map[string]*limit.Use // by client account: what may run; Waiting isn't kept
	fair fairness

	waiting []*stage        // superset of the stages with tasks that may start; pruned by pruneWaiting
	minNeed gauge.Resources // none of their tasks needs less of any resource
}

func newPoolIndex() poolIndex {
	return poolIndex{depths: make(map[string]int), changed: make(map[*job]bool), scheduled: make(map[*job]bool), uses: make(map[string]*limit.Use), fair: newFairness()}
}

// countUse adds n times what a run needs to what its account may have running: it counts from its
// order until it is certainly over and can't begin any more.
func (x *poolIndex) countUse(r *run, n int) {
	account := r.task.job.spec.Account
	if account == "" {
		return
	}
	use := x.uses[account]
	if use == nil {
		use = new(limit.Use)
		x.uses[account] = use
	}
	change := r.task.stage.spec.Needs.Times(n)
	if r.inherited {
		use.Inherited = use.Inherited.Plus(change)
	} else {
		use.Started = use.Started.Plus(change)
	}
}

// add adds an adopted job.
func (x *poolIndex) add(j *job) {
	if j.isOpen() && !j.started {
		x.depths[j.queue]++
	}
	if j.spec.IsScheduled() {
		x.scheduled[j] = true
	}
	if !j.isOpen() {
		x.changed[j] = true // its spec and open-job mark are to be dropped
	}
}

// decrementDepth removes a job from its queue's depth.
func (x *poolIndex) decrementDepth(queue string) {
	if x.depths[queue]--; x.depths[queue] == 0 {
		delete(x.depths, queue)
	}
}

// markStarted records that a worker has reported a run of the job. A start that was only ordered
// doesn't count: it may be delayed here for long, or be refused.
func (j *job) markStarted() {
	if !j.started && j.isOpen() {
		j.index.decrementDepth(j.queue)
	}
	j.started = true
}

// close sets the job's final state.
func (j *job) close(state gauge.JobState) {
	if !j.started && j.isOpen() {
		j.index.decrementDepth(j.queue)
	}
	j.row.State = state
	j.index.changed[j] = true
}

// QueueDepths returns the number of jobs by queue of which no worker has reported a started task.
func (p *Pool) QueueDepths() map[string]int { return maps.Clone(p.index.depths) }

// unwrittenJobs returns the jobs with something to write.
func (x *poolIndex) unwrittenJobs() []*job {
	var unwritten []*job
	for j := range x.changed {
		switch {
		case !j.dropped && (j.isDirty() || j.isDroppable()):
			unwritten = append(unwritten, j)
		case j.dropped || j.isOpen():
			delete(x.changed, j) // any other job becomes droppable when its last run has ended
		}
	}
	return unwritten
}

// hasUrgent reports whether a change justifies a write of its own.
func (x *poolIndex) hasUrgent() bool {
	for j := range x.changed {
		if !j.dropped && j.isDirty() && j.urgent {
			return true
		}
	}
	return false
}

// enqueue adds a stage to the waiting list if tasks of it may start.
func (x *poolIndex) enqueue(st *stage) {
	if st.waiting || st.idle == 0 || !st.job.isOpen() || !st.occ.isReady(st) {
		return
	}
	need := st.spec.Reservation()
	if len(x.waiting) == 0 {
		x.minNeed = need
	}
	st.waiting = true
	x.waiting = append(x.waiting, st)
	x.minNeed = minResources(x.minNeed, need)
}

// pruneWaiting drops the stages that no longer wait, passes the others to visit, and updates
// minNeed.
func (x *poolIndex) pruneWaiting(visit func(st *stage, need gauge.Resources)) {
	keep := x.waiting[:0]
	for _, st := range x.waiting {
		if st.idle == 0 || !st.job.isOpen() {
			st.waiting = false
			continue
		}
		need := st.spec.Reservation()
		if len(keep) == 0 {
			x.minNeed = need
		}
		x.minNeed = minResources(x.minNeed, need)
		keep = append(keep, st)
		visit(st, need)
	}
	clear(x.waiting[len(keep):])
	x.waiting = keep
}

// minResources returns the smaller amount of each resource.
func minResources(a, b gauge.Resources) gauge.Resources {
	return gauge.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accels: min(a.Accels, b.Accels),
	}
}

// createDue creates the occurrences that are due.
func (x *poolIndex) createDue(wall time.Time, now time.Duration) {
	for j := range x.scheduled {
		j.createDue(wall, now)
		if !j.isOpen() || j.nextOccurrence >= j.spec.Occurrences() {
			delete(x.scheduled, j)
		}
	}
}
