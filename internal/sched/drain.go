package sched

import "time"

// drainSpan is how long a worker gets no starts after a request to drain it. The request is
// repeated several times a second. An order that ends the worker may take some seconds from the
// answer to this request to its effect.
const drainSpan = 4 * time.Second

// DrainWorker drains a worker, and reports whether nothing runs there and the table has all its end
// reports. If its machine left before that, the unwritten end reports would be lost, and the
// successor would start their tasks again. An unknown worker isn't drained: starts may go there as
// soon as it is known. With force, runs that don't end by themselves are stopped.
func (p *Pool) DrainWorker(id string, force bool, now time.Duration) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	if now >= w.drainUntil {
		p.conf.Logs.Info("worker to be emptied", "pool", p.conf.Name, "worker", id, "runs", len(w.runs), "force", force)
	}
	w.drainUntil, w.forceDrain = now+drainSpan, force
	if !w.reported || w.silent || len(w.runs) > 0 || w.orphanCount > 0 || !w.isSettled() {
		return false
	}
	w.releasedUntil = now + lateOrderSpan
	return true
}

// lateOrderSpan is how long after a worker was said to be drained its machine may still be taken away:
// orders without an answer are carried out up to 12 s later, as the users specify. Tasks may have started
// there again by then.
const lateOrderSpan = drainSpan + 12*time.Second

// DrainedWorkers returns the workers that are being drained, and for how much longer. A successor
// has to know, as their machines may be taken away meanwhile.
func (p *Pool) DrainedWorkers(now time.Duration) map[string]time.Duration {
	left := make(map[string]time.Duration)
	for id, w := range p.workers {
		if now < w.drainUntil && !w.dead {
			left[id] = w.drainUntil - now
		}
	}
	return left
}

// expectDrainSpan is how long after each announcement a worker is expected to be drained. The
// announcement is repeated several times a second.
const expectDrainSpan = 2 * time.Second

// ExpectDrain announces workers that will be drained before long: long-running tasks that start now
// avoid them if they can.
func (p *Pool) ExpectDrain(ids []string, now time.Duration) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.drainSoonUntil = now + expectDrainSpan
		}
	}
}
