package sched

import gauge "sapphiregauge"

// Runs on a worker that doesn't answer are recorded as at risk, until it is known whether the worker has
// crashed.

// recordAtRisk records the runs on a worker that has stopped answering. Otherwise a successor would
// start their tasks again without knowing that the worker has crashed: an owner learns that only by
// the answer of the worker's next incarnation, seconds later.
func (p *Pool) recordAtRisk(w *worker) {
	if w.atRiskRecorded || len(w.runs) == 0 || w.mayBeTaken(w.silentSince) || !p.hasFewSilent() {
		return
	}
	w.atRiskRecorded = true
	singleJob := w.runsSingleJob()
	for r := range w.runs {
		if r.isolatedFor == nil && r.task.job.isOpen() {
			record := w.newSuspectRun(r.number)
			record.SoleJob, record.RunTime = singleJob && r.reportedAt > 0, r.minRunTime()
			p.recordSuspectRun(r.task, record)
		}
	}
}

// newSuspectRun returns the record of a run on a worker.
func (w *worker) newSuspectRun(number int) gauge.SuspectRun {
	record := gauge.SuspectRun{Run: number, Worker: w.info.ID, StartedAt: w.info.StartedAt}
	if record.StartedAt == 0 {
		record.Addr = w.info.Addr
	}
	return record
}

// hasFewSilent reports whether only some workers don't answer. If most don't, the cause is this
// owner's network or the workers' power, and not a task.
func (p *Pool) hasFewSilent() bool {
	silent, all := 0, 0
	for _, w := range p.workers {
		if w.listed && !w.dead {
			all++
			if w.silent {
				silent++
			}
		}
	}
	return silent <= 1 || fewDivisor*silent <= all
}

// fewDivisor defines what counts as few workers: at most one in fewDivisor.
const fewDivisor = 4

// clearAtRisk takes back what was recorded for a worker that answers again: it hasn't crashed.
func (p *Pool) clearAtRisk(w *worker) {
	if w.atRiskRecorded {
		for r := range w.runs {
			if r.isolatedFor == nil {
				p.dropUnconfirmed(r.task, r.number)
			}
		}
	}
	for _, l := range w.lostRuns {
		l.task.unclearRuns--
		p.dropUnconfirmed(l.task, l.number)
	}
	w.atRiskRecorded, w.lostRuns = false, nil
}
