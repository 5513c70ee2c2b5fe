package sched

import (
	"time"

	gauge "sapphiregauge"
)

// oddKey names a run at a worker.
type oddKey struct {
	task gauge.TaskID
	run  int
}

// oddRun is a run that a worker lists and that no open job has: the job was cancelled
// or has failed, and a start, maybe of an earlier owner, was carried out late. It is
// told to stop until the worker doesn't list it any more: a stop may be lost, and no
// further report need come while the run goes on.
type oddRun struct {
	worker *worker
	key    oddKey
	asked  bool          // a stop is on its way
	again  time.Duration // no stop is sent before
}

const (
	// stopSilent is the least time between two stops of one run at a worker whose
	// holds get no answer. Short orders may come through where the answers to holds,
	// which list up to 500 ends, don't; to a worker that is really gone each is a
	// connection that is waited for.
	stopSilent = 500 * time.Millisecond
	// stopSettles: a run that is listed so long after its stop was answered is told
	// again. A stop takes 400 ms at most by the users' figure, and a report some more.
	stopSettles = time.Second
)

// stopPause is the least time between two stops of one run there.
func (w *worker) stopPause() time.Duration {
	if w.silent {
		return stopSilent
	}
	return stopAgain
}

// surelyOver tells whether no task of a job may run any more. With jobs missing one
// that isn't known may be open.
func (p *Pool) surelyOver(job string) bool {
	_, cancelled := p.cancels[job]
	return !p.partial || p.Knows(job) || cancelled
}

// noteOdd has a run stopped that no open job has.
func (p *Pool) noteOdd(w *worker, rr gauge.RunReport) {
	if !p.surelyOver(rr.Task.Job) {
		return
	}
	k := oddKey{rr.Task, rr.Run}
	if w.odds[k] != nil {
		return
	}
	if w.odds == nil {
		w.odds = make(map[oddKey]*oddRun)
	}
	o := &oddRun{worker: w, key: k}
	w.odds[k], p.odds[o] = o, true
	p.conf.Count(EventOdd)
	p.conf.Logs.Info("run of no open job", "job", rr.Task.Job, "task", rr.Task.String(), "run", rr.Run, "worker", w.info.ID)
}

// keepOdds forgets those runs of a worker that a report doesn't list any more.
func (p *Pool) keepOdds(w *worker, running []gauge.RunReport) {
	if len(w.odds) == 0 {
		return
	}
	there := make(map[oddKey]bool, len(running))
	for _, rr := range running {
		there[oddKey{rr.Task, rr.Run}] = true
	}
	for k, o := range w.odds {
		// One of a job that has been read since is known as a run of it.
		if !there[k] || w.knowsRun(p, k) {
			p.forgetOdd(o)
		}
	}
}

// knowsRun tells whether a run that was odd is one of a job now.
func (w *worker) knowsRun(p *Pool, k oddKey) bool {
	j := p.jobs[k.task.Job]
	if j == nil || j.occs[k.task.Occurrence] == nil {
		return false
	}
	t := j.task(k.task, 0)
	return t != nil && w.find(t, k.run) != nil
}

func (p *Pool) forgetOdd(o *oddRun) {
	delete(o.worker.odds, o.key)
	delete(p.odds, o)
}

// forgetOdds is for a worker that is over, or on which nothing runs any more.
func (p *Pool) forgetOdds(w *worker) {
	for _, o := range w.odds {
		p.forgetOdd(o)
	}
}

// stopOdds orders the end of runs that no open job has.
func (p *Pool) stopOdds(now time.Duration) {
	for o := range p.odds {
		if o.asked || now < o.again {
			continue
		}
		o.asked, o.again = true, now+o.worker.stopPause()
		p.orders = append(p.orders, Order{
			Kind: OrderStop, Worker: o.worker.info, odd: o,
			Stop: gauge.StopCall{Fence: p.fence(o.worker), Task: o.key.task, Run: o.key.run},
		})
	}
}

// oddAnswered takes in the outcome of such a stop.
func (p *Pool) oddAnswered(o *oddRun, clock time.Duration, err error, now time.Duration) {
	o.asked = false
	o.worker.read(clock, now)
	if err == nil {
		o.again = now + stopSettles
		return
	}
	if gauge.Is(err, gauge.KindReplaced) {
		p.over(o.worker, "another life answers at its address", now)
	}
	p.conf.Logs.Info("order failed", "order", OrderStop, "job", o.key.task.Job, "task", o.key.task.String(), "run", o.key.run,
		"worker", o.worker.info.ID, "kind", gauge.KindOf(err), "error", err.Error())
}

// cancelled is a cancel of a job that isn't known here.
type cancelled struct {
	version int64 // of the job's row
	told    time.Duration
}

// rememberCancel keeps a cancel whose job has yet to be read, or whose hand-in has yet
// to be told: what comes of the job then is of a version before the cancel.
func (p *Pool) rememberCancel(id string, version int64) {
	if p.Knows(id) {
		return
	}
	p.cancels[id] = cancelled{version: max(version, p.cancels[id].version), told: p.ticked}
}

// forgetCancels drops cancels whose jobs can't come any more.
func (p *Pool) forgetCancels(now time.Duration) {
	for id, c := range p.cancels {
		if !p.partial && now > c.told+pastFor {
			delete(p.cancels, id)
		}
	}
}

// cancelEarly cancels a job that was just taken in if a cancel came before it.
func (p *Pool) cancelEarly(j *job) {
	c, ok := p.cancels[j.id]
	if !ok {
		return
	}
	delete(p.cancels, j.id)
	j.version = max(j.version, c.version)
	j.cancel()
	p.conf.Logs.Info("job cancelled", "job", j.id, "pool", p.conf.Name, "version", c.version, "seen", "before the job")
}
