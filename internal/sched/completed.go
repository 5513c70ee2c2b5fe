package sched

import "slices"

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
