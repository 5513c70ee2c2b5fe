package sched

import "time"

// lose ends a run together with its worker. The line tells how long the run surely lived and
// how many others were lost with it: a task that ends its workers shows by runs that are lost
// soon after their starts, one worker after the other.
func (p *Pool) lose(r *run, why string, with int, now time.Duration) {
	p.conf.Count(EventLost)
	p.conf.Logs.Info("run lost", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
		"addr", r.worker.info.Addr, "lived", r.lived(), "started", now-r.sent, "with", with, "reason", why)
	p.end(r, now)
}

// lived is how long the run has lived at the least: until its worker last told of it.
func (r *run) lived() time.Duration { return max(0, r.toldAt-r.sent) }
