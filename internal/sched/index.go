package sched

import (
	"maps"
	"time"

	gauge "sapphiregauge"
)

// counts is what is kept up with each event, because it is asked for at each write
// or plan: a walk over all jobs each time would take an owner of a thousand jobs more
// of its processor than all else.
type counts struct {
	depths  map[string]int // by queue: open jobs of which no worker has told a run
	changed map[*job]bool  // jobs with something to be written, and some that had
	timed   map[*job]bool  // open jobs with occurrences to come, and some that had

	waiting []*stage        // steps with tasks that may start, and some that had
	least   gauge.Resources // no task of theirs needs less of any kind
}

func newCounts() counts {
	return counts{depths: make(map[string]int), changed: make(map[*job]bool), timed: make(map[*job]bool)}
}

// enter counts a job that was adopted.
func (c *counts) enter(j *job) {
	if j.open() && !j.started {
		c.depths[j.queue]++
	}
	if j.spec.Timed() {
		c.timed[j] = true
	}
	if !j.open() {
		c.changed[j] = true // its spec and marker are to be dropped
	}
}

// leave takes a job off its queue's depth.
func (c *counts) leave(queue string) {
	if c.depths[queue]--; c.depths[queue] == 0 {
		delete(c.depths, queue)
	}
}

// told notes that a worker has told of a run of the job. A start that was only decided
// on doesn't count: it may wait here for long, or be refused.
func (j *job) told() {
	if !j.started && j.open() {
		j.counts.leave(j.queue)
	}
	j.started = true
}

// close ends the job for good.
func (j *job) close(state gauge.JobState) {
	if !j.started && j.open() {
		j.counts.leave(j.queue)
	}
	j.row.State = state
	j.counts.changed[j] = true
}

// Depths counts by queue the jobs of which no task has started, as far as workers have
// told.
func (p *Pool) Depths() map[string]int { return maps.Clone(p.counts.depths) }

// unwritten lists the jobs with something to be written.
func (c *counts) unwritten() []*job {
	var some []*job
	for j := range c.changed {
		switch {
		case !j.cleaned && (j.dirty() || j.leaves()):
			some = append(some, j)
		case j.cleaned || j.open():
			delete(c.changed, j) // any other job leaves when its last run has ended
		}
	}
	return some
}

// urgent tells whether one of them is worth a write of its own.
func (c *counts) urgent() bool {
	for j := range c.changed {
		if !j.cleaned && j.dirty() && j.urgent {
			return true
		}
	}
	return false
}

// offer has a step wait for its turn, if tasks of it may start.
func (c *counts) offer(st *stage) {
	if st.queued || st.idle == 0 || !st.job.open() || !st.occ.ready(st) {
		return
	}
	need := st.spec.Room()
	if len(c.waiting) == 0 {
		c.least = need
	}
	st.queued = true
	c.waiting = append(c.waiting, st)
	c.least = lesser(c.least, need)
}

// sift drops the steps that wait no more, shows the others, and works out anew what
// they need at least.
func (c *counts) sift(show func(st *stage, need gauge.Resources)) {
	keep := c.waiting[:0]
	for _, st := range c.waiting {
		if st.idle == 0 || !st.job.open() {
			st.queued = false
			continue
		}
		need := st.spec.Room()
		if len(keep) == 0 {
			c.least = need
		}
		c.least = lesser(c.least, need)
		keep = append(keep, st)
		show(st, need)
	}
	clear(c.waiting[len(keep):])
	c.waiting = keep
}

// lesser takes the smaller amount of each kind.
func lesser(a, b gauge.Resources) gauge.Resources {
	return gauge.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accels: min(a.Accels, b.Accels),
	}
}

// occur makes the occurrences that are due.
func (c *counts) occur(wall time.Time, now time.Duration) {
	for j := range c.timed {
		j.occur(wall, now)
		if !j.open() || j.next >= j.spec.Occurrences() {
			delete(c.timed, j)
		}
	}
}
