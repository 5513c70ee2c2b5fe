package sched

import (
	"time"

	gauge "sapphiregauge"
)

// AcceptedJob is a job as the table has it.
type AcceptedJob struct {
	ID        string
	Queue     string
	Spec      *gauge.JobSpec
	Row       *gauge.JobRow
	Version   int64         // of the row
	Arrived   time.Duration // when it was accepted
	Inherited bool          // it was there before this owner took over
}

// Adopt adds a job; a known one is left as it is.
//
// A notification of a job may come late: after the job has ended here, or from before this owner
// took over, when the job was read from the table already or has ended. If it were adopted then, it
// would run a second time.
func (p *Pool) Adopt(a AcceptedJob, now time.Duration) {
	if p.Knows(a.ID) || (!a.Inherited && a.Version <= int64(p.conf.Fence)) {
		return
	}
	// Previous owners may have started its tasks.
	inherited := a.Inherited || a.Arrived < p.conf.PreviousLeaseEnd
	j := &job{
		id: a.ID, queue: a.Queue, spec: a.Spec, row: *a.Row, version: a.Version, arrived: a.Arrived, inherited: inherited,
		occurrences: make(map[int]*occurrence), nextOccurrence: a.Row.CompletedOccurrences, criticalPath: criticalPath(a.Spec), index: &p.index,
	}
	j.hasObjective = hasObjective(a.Spec)
	j.beyondShare = p.isBeyondShare(j)
	if inherited {
		j.runNumberBase = p.conf.Term * runNumbersPerTerm
	}
	p.jobs[a.ID] = j
	p.adoptedWork += estimatedWork(a.Spec, p.meanCapacity)
	p.adoptedJobs++
	if inherited {
		j.startOrdered = len(a.Row.Done) > 0 || a.Row.CompletedOccurrences > 0
		j.started = j.startOrdered || len(a.Row.Failures) > 0 || len(a.Row.Checkpoints) > 0
	}
	p.index.add(j)
	if !a.Spec.IsScheduled() {
		j.occurrence(0, now)
		j.nextOccurrence = 1
	}
	p.applyEarlyCancel(j)
	if inherited && p.jobsMissing {
		// Reports about its runs were ignored so far, also those that came while it was being read.
		p.RequireFreshReports()
	}
	if inherited {
		j.barrier = p.newestBarrier
	}
	p.inheritSuspectRuns(j, now)
	p.conf.Logs.Info("job adopted", "job", a.ID, "queue", a.Queue, "pool", p.conf.Name, "version", a.Version,
		"state", a.Row.State, "inherited", inherited, "account", a.Spec.Account, "beyond", j.beyondShare, "age", now-a.Arrived)
}

// runNumbersPerTerm is how many run numbers each owner has to itself for the jobs that it inherits,
// so that an unreported run of a previous owner is never mistaken for one of this owner's.
const runNumbersPerTerm = 1000

// SetJobsMissing sets whether jobs may be missing because some of the table can't be read. Runs of
// unknown jobs are left alone until the jobs are known, and their end reports stay with the
// workers.
func (p *Pool) SetJobsMissing(missing bool) { p.jobsMissing = missing }

// Knows reports whether a job has been adopted, also if it has ended since.
func (p *Pool) Knows(id string) bool {
	_, ended := p.endedJobs[id]
	return ended || p.jobs[id] != nil
}

// endedJob is what is remembered of a job that has ended and whose end is in the table.
type endedJob struct {
	queue   string
	status  gauge.JobStatus
	endedAt time.Duration
}

// endedRetention is how long a job that has ended here is remembered: well beyond the last attempt
// to deliver a notification of it, and beyond any read of the table that was under way.
const endedRetention = time.Minute

// Cancel records that a job's row says it is cancelled, as of a version of the row.
func (p *Pool) Cancel(id string, version int64) {
	j := p.jobs[id]
	if j == nil {
		p.rememberCancel(id, version)
		return
	}
	if version > j.version {
		j.version = version
	}
	p.conf.Logs.Info("job cancelled", "job", id, "pool", p.conf.Name, "version", version)
	j.cancel()
	p.requestJobStop(j)
}

// requestStop marks a run to be stopped.
func (p *Pool) requestStop(r *run) {
	r.toStop = true
	p.toStop[r] = true
}

// requestJobStop stops all runs of a job that is over.
func (p *Pool) requestJobStop(j *job) {
	for _, r := range j.liveRuns() {
		p.requestStop(r)
	}
}

// JobStatus returns the status of a job in a queue, false if the job isn't known here.
func (p *Pool) JobStatus(queue, id string) (gauge.JobStatus, bool) {
	if ended, ok := p.endedJobs[id]; ok && ended.queue == queue {
		return ended.status, true
	}
	j := p.jobs[id]
	if j == nil || j.queue != queue {
		return gauge.JobStatus{}, false
	}
	return gauge.JobStatus{State: j.shownState(), Account: j.row.Account}, true
}

// shownState returns the state that callers are told.
func (j *job) shownState() gauge.JobState {
	if j.row.State.IsFinal() && j.row.State != gauge.JobCancelled && j.isDirty() {
		// A final state is reported only once the table has it. Cancellations are always there.
		return gauge.JobRunning
	}
	if j.startOrdered && !j.row.State.IsFinal() {
		return gauge.JobRunning
	}
	return j.row.State
}

// maxAttempts returns the number of failures of one task with which its job fails.
func (p *Pool) maxAttempts(j *job) int {
	if q := p.policy(j); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultAttempts
}

// defaultAttempts is used for a queue that is no longer configured.
const defaultAttempts = 2
