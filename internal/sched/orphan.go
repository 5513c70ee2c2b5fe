package sched

import (
	"time"

	gauge "sapphiregauge"
)

// orphanKey identifies a run on a worker.
type orphanKey struct {
	task gauge.TaskID
	run  int
}

// orphanRun is a run that a worker lists and that belongs to no open job: the job was cancelled or
// has failed, and a start, possibly by a previous owner, was carried out late. It is stopped until
// the worker no longer lists it: a stop may be lost, and there may be no further report while the
// run goes on.
type orphanRun struct {
	worker       *worker
	key          orphanKey
	stopInFlight bool          // a stop is in flight
	nextStopAt   time.Duration // no stop is sent before
}

const (
	// silentStopRetryDelay is the least time between two stops of one run on a worker whose
	// heartbeats get no answer. Short orders may get through when the answers to heartbeats, which
	// list up to 500 end reports, don't. To a worker that is really dead each stop is a connection
	// attempt that has to time out.
	silentStopRetryDelay = 500 * time.Millisecond
	// stopConfirmSpan is how long after an answered stop a run that is still listed is stopped
	// again. A stop takes 400 ms at most, as the users specify, and its report some more.
	stopConfirmSpan = time.Second
)

// stopDelay is the least time between two stops of one run on the worker.
func (w *worker) stopDelay() time.Duration {
	if w.silent {
		return silentStopRetryDelay
	}
	return stopRetryDelay
}

// isCertainlyOver reports whether no task of a job may run any more. While jobs are missing, an
// unknown job may be open.
func (p *Pool) isCertainlyOver(job string) bool {
	_, cancelled := p.earlyCancels[job]
	return !p.jobsMissing || p.Knows(job) || cancelled
}

// addOrphan has a run stopped that belongs to no open job.
func (p *Pool) addOrphan(w *worker, rr gauge.RunReport) {
	if !p.isCertainlyOver(rr.Task.Job) {
		return
	}
	k := orphanKey{rr.Task, rr.Run}
	if w.orphans[k] != nil {
		return
	}
	if w.orphans == nil {
		w.orphans = make(map[orphanKey]*orphanRun)
	}
	o := &orphanRun{worker: w, key: k}
	w.orphans[k], p.orphans[o] = o, true
	p.conf.CountEvent(EventOrphan)
	p.conf.Logs.Info("run of no open job", "job", rr.Task.Job, "task", rr.Task.String(), "run", rr.Run, "worker", w.info.ID)
}

// pruneOrphans forgets the orphan runs of a worker that a report no longer lists.
func (p *Pool) pruneOrphans(w *worker, running []gauge.RunReport) {
	if len(w.orphans) == 0 {
		return
	}
	listed := make(map[orphanKey]bool, len(running))
	for _, rr := range running {
		listed[orphanKey{rr.Task, rr.Run}] = true
	}
	for k, o := range w.orphans {
		// Once its job has been read, the run belongs to that job and is no orphan any more.
		if !listed[k] || w.knowsRun(p, k) {
			p.forgetOrphan(o)
		}
	}
}

// knowsRun reports whether an orphan run belongs to a known job by now.
func (w *worker) knowsRun(p *Pool, k orphanKey) bool {
	j := p.jobs[k.task.Job]
	if j == nil || j.occurrences[k.task.Occurrence] == nil {
		return false
	}
	t := j.task(k.task, 0)
	return t != nil && w.findRun(t, k.run) != nil
}

func (p *Pool) forgetOrphan(o *orphanRun) {
	delete(o.worker.orphans, o.key)
	delete(p.orphans, o)
}

// forgetOrphans is called for a worker that is dead or on which nothing runs any more.
func (p *Pool) forgetOrphans(w *worker) {
	for _, o := range w.orphans {
		p.forgetOrphan(o)
	}
}

// stopOrphans orders stops of orphan runs.
func (p *Pool) stopOrphans(now time.Duration) {
	for o := range p.orphans {
		if o.stopInFlight || now < o.nextStopAt {
			continue
		}
		o.stopInFlight, o.nextStopAt = true, now+o.worker.stopDelay()
		p.orders = append(p.orders, Order{
			Kind: OrderStop, Worker: o.worker.info, orphan: o,
			Stop: gauge.StopCall{Fence: p.fence(o.worker), Task: o.key.task, Run: o.key.run},
		})
	}
}

// orphanAnswered handles the outcome of a stop of an orphan run.
func (p *Pool) orphanAnswered(o *orphanRun, clock time.Duration, err error, now time.Duration) {
	o.stopInFlight = false
	o.worker.readClock(clock, now)
	if err == nil {
		o.nextStopAt = now + stopConfirmSpan
		return
	}
	if gauge.IsKind(err, gauge.KindReplaced) {
		p.retireAddress(o.worker, now)
	}
	p.conf.Logs.Info("order failed", "order", OrderStop, "job", o.key.task.Job, "task", o.key.task.String(), "run", o.key.run,
		"worker", o.worker.info.ID, "kind", gauge.KindOf(err), "error", err.Error())
}

// earlyCancel is the cancellation of a job that isn't known here.
type earlyCancel struct {
	version    int64 // of the job's row
	receivedAt time.Duration
}

// rememberCancel keeps the cancellation of a job that hasn't been read yet, or whose submission
// this owner hasn't been notified of: what arrives of the job later has a version from before the
// cancellation.
func (p *Pool) rememberCancel(id string, version int64) {
	if p.Knows(id) {
		return
	}
	p.earlyCancels[id] = earlyCancel{version: max(version, p.earlyCancels[id].version), receivedAt: p.lastTick}
}

// forgetCancels drops cancellations of jobs that can't arrive any more.
func (p *Pool) forgetCancels(now time.Duration) {
	for id, c := range p.earlyCancels {
		if !p.jobsMissing && now > c.receivedAt+endedRetention {
			delete(p.earlyCancels, id)
		}
	}
}

// applyEarlyCancel cancels a job that was just adopted if its cancellation was received before it.
func (p *Pool) applyEarlyCancel(j *job) {
	c, ok := p.earlyCancels[j.id]
	if !ok {
		return
	}
	delete(p.earlyCancels, j.id)
	j.version = max(j.version, c.version)
	j.cancel()
	p.conf.Logs.Info("job cancelled", "job", j.id, "pool", p.conf.Name, "version", c.version, "seen", "before the job")
}
