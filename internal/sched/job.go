package sched

import (
	"slices"
	"strconv"
	"time"

	gauge "sapphiregauge"
)

// job is one accepted job and what is known of its tasks.
type job struct {
	id             string
	queue          string
	spec           *gauge.JobSpec
	row            gauge.JobRow
	version        int64         // of the row in the table
	arrived        time.Duration // when it was accepted, on the local clock
	occurrences    map[int]*occurrence
	nextOccurrence int            // first occurrence that isn't created yet
	criticalPath   time.Duration  // estimated duration of the steps on the critical path
	startOrdered   bool           // a start of one of its tasks was ordered
	started        bool           // a worker has reported a run of it
	inherited      bool           // it was there before this owner took over
	runNumberBase  int            // the run numbers up to this one are left to previous owners
	barrier        *reportBarrier // reports that its tasks wait for, if it was read late
	hasObjective   bool           // it is to end by some time, see hasObjective
	beyondShare    bool           // its account has submitted it beyond its weight
	rescued        bool           // it has started before timely jobs although it is late
	standing       *standing      // of its account; nil: not looked up yet

	revision      int  // of row; grows with each change
	savedRevision int  // revision of row that the table has
	urgent        bool // the changes justify a write of their own
	dropped       bool // its spec and open-job mark are dropped from the table
	shortened     bool // its row was written without some entries, as it was too large
	// writeAlone says that its row shares no transaction, as the table has refused one with it.
	writeAlone   bool
	refusedUntil time.Duration // its row isn't written before, as the table has refused it

	index     *poolIndex    // of its pool
	site      *gauge.Site   // configuration in which its queue was looked up ...
	policy    *gauge.Queue  // ... its queue there ...
	objective time.Duration // ... and how long after its arrival it should be done
	changeAge ageTracker    // of changes, for Pool.Backlog
}

// stage is one step of one occurrence.
type stage struct {
	spec          *gauge.Step
	job           *job
	occ           *occurrence
	tasks         []*task
	earliestReady time.Duration // no task became ready before
	remaining     int           // tasks that aren't done
	idle          int           // of these, tasks without a run
	waiting       bool          // it is on the list of waiting stages
	runTimes      []runTime     // of a speculative step: of its runs that ended as done, in order of time
	lastDoneAt    time.Duration // when the last of its runs ended as done
	lastStart     time.Duration // when a run of it was last ordered, or found
	uncompared    []endedRun    // its runs that ended before enough runs on other workers had
	typical       time.Duration // median of runTimes ...
	typicalOf     int           // ... when there were so many

	advice stageAdvice
}

// task is one task; it may have several runs that aren't known to be over.
type task struct {
	id         gauge.TaskID
	job        *job
	stage      *stage
	done       bool
	runs       []*run
	lateStarts []*run // runs that are over, but whose starts may be carried out late
	lastRun    int
	copied     bool // it has had two runs, and gets no further copy
	checkpoint string
	readyAt    time.Duration // when it last became ready to start, but for late starts
	lateOverAt time.Duration // when a late start of it was last over
	lostAt     time.Duration // when a run of it was last over without an end report; 0: none was
	noRunSince time.Duration // long-running tasks: since when it has no run

	isSuspect          bool          // it may crash the worker that starts it
	recordedBefore     bool          // previous owners recorded a run of it
	unrecordedPresumed bool          // crashes that previous owners may have failed to record have been presumed
	countedRun         int           // last run that countUnprovenStart has counted
	hasUnsettledRuns   bool          // previous owners recorded runs whose outcome isn't known
	inheritedAt        time.Duration // when this owner took over what they recorded
	missingRuns        int           // of these runs, those whose workers aren't listed
	unclearRuns        int           // runs lost on workers that may have crashed or only be cut off
	pendingLosses      int           // lost workers whose loss isn't attributed yet
	requiredRevision   int           // of the job's row, which has to be in the table before a suspect starts
	reservation        *reservation  // where it is to start, while it is a suspect

	// checkpointProgress is the progress, in percent, of the run that reported the checkpoint.
	checkpointProgress int
}

// waitingSince is since when the task has waited for room only, and no longer for late starts.
func (t *task) waitingSince() time.Duration { return max(t.readyAt, t.lateOverAt) }

func (t *task) failureCount() int { return len(t.failedRuns()) }

// failedRuns returns the numbers of the task's runs that failed.
func (t *task) failedRuns() []int {
	if len(t.job.row.Failures) == 0 {
		return nil
	}
	return t.job.row.Failures[t.key()]
}

// key identifies the task within its job.
func (t *task) key() string {
	return strconv.Itoa(t.id.Occurrence) + "." + strconv.Itoa(t.id.Step) + "." + strconv.Itoa(t.id.Index)
}

// attach adds a run that may exist.
func (t *task) attach(r *run) {
	if len(t.runs) == 0 && !t.done {
		t.stage.idle--
	}
	t.stage.lastStart = max(t.stage.lastStart, r.orderedAt)
	t.stage.occ.chain.known = false
	t.runs = append(t.runs, r)
	t.copied = t.copied || len(t.runs) > 1
}

// detach removes a run that is over.
func (t *task) detach(r *run) {
	before := len(t.runs)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if before > 0 && len(t.runs) == 0 && !t.done {
		t.stage.idle++
		t.stage.occ.chain.known = false
		t.job.index.enqueue(t.stage)
	}
}

// touch records a change of the row.
func (j *job) touch(urgent bool) {
	j.revision++
	j.urgent = j.urgent || urgent
	j.index.changed[j] = true
}

func (j *job) isDirty() bool { return j.revision > j.savedRevision }

// isOpen reports whether tasks of the job may still start.
func (j *job) isOpen() bool { return !j.row.State.IsFinal() }

// task returns a task by its id, nil if the job has no such task, or if its occurrence is completed and
// no run of it may exist.
func (j *job) task(id gauge.TaskID, now time.Duration) *task {
	if id.Occurrence < j.row.CompletedOccurrences && !j.keepsCompleted(id.Occurrence) || id.Occurrence >= j.spec.Occurrences() || id.Step >= len(j.spec.Steps) {
		return nil
	}
	if id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	return j.occurrence(id.Occurrence, now).steps[id.Step].tasks[id.Index]
}

// finish marks a task done, and updates its stage, occurrence and job.
func (j *job) finish(t *task, now time.Duration) {
	o := j.occurrences[t.id.Occurrence]
	if len(t.runs) == 0 {
		t.stage.idle--
	}
	t.done = true
	t.stage.remaining--
	o.remaining--
	o.chain.known = false
	if t.stage.remaining == 0 {
		o.criticalPathStale = true
		o.markReady(t.stage, now)
		o.enqueue() // other steps may have waited for this one
	}
	if j.row.Done == nil {
		j.row.Done = make(map[int][][]byte)
	}
	bits := j.row.Done[o.number]
	for len(bits) < len(o.steps) {
		bits = append(bits, nil)
	}
	bits[t.id.Step] = setBit(bits[t.id.Step], t.id.Index)
	j.row.Done[o.number] = bits
	if len(j.row.Checkpoints) > 0 {
		delete(j.row.Checkpoints, t.key())
	}
	if len(j.row.Failures) > 0 {
		delete(j.row.Failures, t.key())
	}
	if len(j.row.SuspectRuns) > 0 {
		delete(j.row.SuspectRuns, t.leadTask().key())
	}
	t.forgetUnattributed()
	j.touch(true)
	j.advance()
}

// fail ends an open job as failed.
func (j *job) fail() {
	if j.isOpen() {
		j.close(gauge.JobFailed)
		j.touch(true)
	}
}

// cancel ends the job; the table has the cancellation already.
func (j *job) cancel() {
	if j.isOpen() {
		j.close(gauge.JobCancelled)
	}
}

// liveRuns returns the runs of the job that may exist.
func (j *job) liveRuns() []*run {
	var rs []*run
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				rs = append(rs, t.runs...)
			}
		}
	}
	return rs
}

// criticalPath returns the estimated duration of the longest chain of a job's steps.
func criticalPath(spec *gauge.JobSpec) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		st := &spec.Steps[i]
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += st.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

func setBit(bits []byte, i int) []byte {
	for len(bits) <= i/8 {
		bits = append(bits, 0)
	}
	bits[i/8] |= 1 << (i % 8)
	return bits
}
