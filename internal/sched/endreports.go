package sched

import gauge "sapphiregauge"

// An end lasts in two places: with the worker, which lists it until it is
// acknowledged, and in the table, once the row of its job is written. In between an
// owner must treat the worker as the only one that knows: name it for a successor to
// ask, and not have its machine taken away.

// unkept is an end that was taken in, whose job's row isn't written yet.
type unkept struct {
	number  int64
	job     *job
	changes int // of the job's row, with what the end changed
}

func (u unkept) inTable() bool { return u.job.saved >= u.changes || u.job.cleaned }

// take notes that an end was taken in. It waits for its job's row, if that has any
// change: also one that an end told by another worker has made, which may be the
// only other trace of the same fact.
func (w *worker) take(number int64, j *job) {
	w.ends = number
	if j != nil && j.dirty() {
		j.urgent = true // the ends after this one wait for it, too
		w.unkept = append(w.unkept, unkept{number: number, job: j, changes: j.changes})
	}
	w.keep()
}

// keep moves the mark of ends that are in the table on, up to the first that isn't.
func (w *worker) keep() {
	n := 0
	for n < len(w.unkept) && w.unkept[n].inTable() {
		n++
	}
	if w.unkept = w.unkept[n:]; len(w.unkept) > 0 {
		w.kept = w.unkept[0].number - 1
		return
	}
	w.unkept, w.kept = nil, w.ends
}

// settled tells whether the table has all that the worker has told, and the worker
// has told all.
func (w *worker) settled() bool { return w.kept == w.ends && !w.held }

// Behind tells whether a worker has listed ends that the table doesn't have yet.
func (p *Pool) Behind(l gauge.Life) bool {
	w := p.current(l)
	return w != nil && w.kept < w.ends
}

// Unwritten counts the jobs with changes that the table doesn't have.
func (p *Pool) Unwritten() int {
	n := 0
	for _, j := range p.jobs {
		if j.dirty() {
			n++
		}
	}
	return n
}
