package sched

import gauge "sapphiregauge"

// An end report exists in two places: at the worker, which lists it until it is acknowledged, and
// in the table, once the row of its job is written. In between, the worker is the only durable
// source: the owner names it in the lease row for a successor to ask, and doesn't let its machine
// be taken away.

// unstoredEnd is a received end report whose job's row isn't written yet.
type unstoredEnd struct {
	number   int64
	job      *job
	revision int // of the job's row, including the change made by the end report
}

func (u unstoredEnd) isStored() bool { return u.job.savedRevision >= u.revision || u.job.dropped }

// recordEnd records a received end report. If the job's row has any unwritten changes, the report
// waits for them. Changes that another worker's report has made count as well: this report may say
// the same, and has then changed nothing itself.
func (w *worker) recordEnd(number int64, j *job) {
	w.lastEnd = number
	if j != nil && j.isDirty() {
		j.urgent = true // the end reports after this one wait for it as well
		w.unstoredEnds = append(w.unstoredEnds, unstoredEnd{number: number, job: j, revision: j.revision})
	}
	w.updateStored()
}

// updateStored advances the number of the last stored end report, up to the first report that isn't
// in the table.
func (w *worker) updateStored() {
	n := 0
	for n < len(w.unstoredEnds) && w.unstoredEnds[n].isStored() {
		n++
	}
	if w.unstoredEnds = w.unstoredEnds[n:]; len(w.unstoredEnds) > 0 {
		w.lastStoredEnd = w.unstoredEnds[0].number - 1
		return
	}
	w.unstoredEnds, w.lastStoredEnd = nil, w.lastEnd
}

// isSettled reports whether the table has all of the worker's end reports.
func (w *worker) isSettled() bool { return w.lastStoredEnd == w.lastEnd && !w.endsPending }

// HasUnstoredEnds reports whether a worker has listed end reports that the table doesn't have yet.
func (p *Pool) HasUnstoredEnds(incarnation gauge.Incarnation) bool {
	w := p.current(incarnation)
	return w != nil && w.lastStoredEnd < w.lastEnd
}

// UnwrittenJobs counts the jobs with changes that the table doesn't have.
func (p *Pool) UnwrittenJobs() int {
	n := 0
	for _, j := range p.jobs {
		if j.isDirty() {
			n++
		}
	}
	return n
}
