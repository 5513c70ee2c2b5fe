package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/triage"
)

// occurrence is one execution of a job's steps; a scheduled job has several.
type occurrence struct {
	number    int
	steps     []*stage
	remaining int // tasks that aren't done

	criticalPath      time.Duration // result of the last call of remainingCriticalPath
	criticalPathStale bool          // the result has to be computed again

	chain expectedChain // of the steps that are left
	class triage.Class  // as of the last time that it was judged; empty: never
}

const (
	// maxOpenOccurrences bounds how far the occurrences that were created may go beyond the completed
	// ones: the job's row says of each of them which tasks are done.
	maxOpenOccurrences = 2048
	// maxOpenTasks bounds the same by tasks, which take up the owner's memory. All occurrences of a
	// schedule may be due at once, if it was submitted late or has waited for room. Two of the largest
	// may overlap.
	maxOpenTasks = 2 * gauge.MaxTasks
)

// openOccurrenceLimit returns how many occurrences of a job may be created beyond the completed ones.
func openOccurrenceLimit(spec *gauge.JobSpec) int {
	return min(max(1, maxOpenTasks/spec.TaskCount()), maxOpenOccurrences)
}

// createDue creates the occurrences that are due, as far as the limit allows. The others follow when the
// first ones are completed.
func (j *job) createDue(wall time.Time, now time.Duration) {
	if !j.spec.IsScheduled() || !j.isOpen() {
		return
	}
	end := min(j.row.CompletedOccurrences+openOccurrenceLimit(j.spec), j.spec.Occurrences())
	for j.nextOccurrence < end && !wall.Before(j.spec.DueAt(j.nextOccurrence)) {
		j.occurrence(j.nextOccurrence, now)
		j.nextOccurrence++
	}
}

// occurrence returns an occurrence, created from the row if needed.
func (j *job) occurrence(number int, now time.Duration) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{number: number, criticalPathStale: true}
	for i := range j.spec.Steps {
		st := j.newStage(o, i, now)
		o.remaining += st.remaining
		o.steps = append(o.steps, st)
	}
	j.occurrences[number] = o
	o.enqueue()
	return o
}

// newStage returns a step of an occurrence, with what the row says of its tasks.
func (j *job) newStage(o *occurrence, step int, now time.Duration) *stage {
	st := &stage{spec: &j.spec.Steps[step], job: j, occ: o, earliestReady: now}
	for k := range st.spec.Count {
		t := &task{
			id:  gauge.TaskID{Job: j.id, Occurrence: o.number, Step: step, Index: k},
			job: j, stage: st, readyAt: now, noRunSince: now, lastRun: j.runNumberBase,
			done: j.row.IsDone(o.number, step, k),
		}
		if len(j.row.Checkpoints) > 0 {
			t.checkpoint = j.row.Checkpoints[t.key()]
		}
		for _, n := range t.failedRuns() {
			t.lastRun = max(t.lastRun, n)
		}
		if !t.done {
			st.remaining++
			st.idle++
		}
		st.tasks = append(st.tasks, t)
	}
	return st
}

// isReady reports whether all steps that the stage depends on are done.
func (o *occurrence) isReady(st *stage) bool {
	for _, a := range st.spec.After {
		if o.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

// markReady records when tasks became ready whose steps waited for this one. Their waiting time
// counts from then, not from the job's arrival, so that it shows how long they have waited for
// room.
func (o *occurrence) markReady(done *stage, now time.Duration) {
	for _, st := range o.steps {
		if !slices.Contains(st.spec.After, done.tasks[0].id.Step) || !o.isReady(st) {
			continue
		}
		st.earliestReady = now
		for _, t := range st.tasks {
			t.readyAt = now
		}
	}
}

// enqueue adds all stages with tasks that may start to the waiting list.
func (o *occurrence) enqueue() {
	for _, st := range o.steps {
		st.job.index.enqueue(st)
	}
}

// advance updates the count of completed occurrences, and completes the job with the last of them.
//
// Ends may be reported before their occurrence is created as due: the job was read late, or this
// entry's clock is behind. A completed occurrence must not be created then, as its tasks would run
// again.
func (j *job) advance() {
	for j.row.CompletedOccurrences < j.spec.Occurrences() && j.isOccurrenceDone(j.row.CompletedOccurrences) {
		if o := j.occurrences[j.row.CompletedOccurrences]; o != nil && o.isOver() {
			delete(j.occurrences, j.row.CompletedOccurrences)
		}
		delete(j.row.Done, j.row.CompletedOccurrences)
		j.row.CompletedOccurrences++
	}
	j.nextOccurrence = max(j.nextOccurrence, j.row.CompletedOccurrences)
	if j.row.CompletedOccurrences >= j.spec.Occurrences() && j.isOpen() {
		j.close(gauge.JobCompleted)
	}
}

// isOccurrenceDone reports whether all tasks of an occurrence are done, also if it isn't created: the
// row says what previous owners have completed.
func (j *job) isOccurrenceDone(number int) bool {
	if o := j.occurrences[number]; o != nil {
		return o.remaining == 0
	}
	for i := range j.spec.Steps {
		for k := range j.spec.Steps[i].Count {
			if !j.row.IsDone(number, i, k) {
				return false
			}
		}
	}
	return true
}

// A completed occurrence is kept as long as runs that were stopped at its end may exist, so that their
// ends are handled like any other and the job's spec isn't dropped before. Only speculative steps have
// such runs: of a gang, one end stands for all.

// isOver reports whether all tasks of the occurrence are done, and none has a second run left.
func (o *occurrence) isOver() bool {
	if o.remaining > 0 {
		return false
	}
	for _, st := range o.steps {
		if st.isSpeculative() && slices.ContainsFunc(st.tasks, func(t *task) bool { return len(t.runs) > 0 }) {
			return false
		}
	}
	return true
}

// forgetOccurrence drops a completed occurrence that was kept, if it is over.
func (j *job) forgetOccurrence(o *occurrence) {
	if o.number < j.row.CompletedOccurrences && j.occurrences[o.number] == o && o.isOver() {
		delete(j.occurrences, o.number)
	}
}

// keepsCompleted reports whether a completed occurrence is kept. A successor creates an occurrence anew,
// without what is done of it.
func (j *job) keepsCompleted(number int) bool {
	o := j.occurrences[number]
	return o != nil && o.remaining == 0
}

// remainingCriticalPath returns the estimated duration of the longest chain of steps that are left.
// It changes only when a step is done.
func (o *occurrence) remainingCriticalPath() time.Duration {
	if !o.criticalPathStale {
		return o.criticalPath
	}
	ends := make([]time.Duration, len(o.steps))
	var longest time.Duration
	for i, st := range o.steps {
		for _, a := range st.spec.After {
			ends[i] = max(ends[i], ends[a])
		}
		if st.remaining > 0 {
			ends[i] += st.spec.Estimate
		}
		longest = max(longest, ends[i])
	}
	o.criticalPath, o.criticalPathStale = longest, false
	return longest
}
