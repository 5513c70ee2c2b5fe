package sched

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// failuresBeforeBackoff is the number of failures in a row, without a success, from which a
	// worker is taken to fail whatever it starts. At most three in a hundred healthy runs fail, so
	// three in a row happen by chance once in 30,000.
	failuresBeforeBackoff = 3
	// failureBackoff is how long such a worker gets no starts. After it one failure is enough for
	// the next back-off.
	failureBackoff = 2 * time.Second
)

// recordOutcome counts a worker's consecutive failures, so that a worker that fails everything
// doesn't use up the attempts of every job in the pool. Failures of one job count once: a job that
// can never succeed fails anywhere, and says nothing about the worker.
func (p *Pool) recordOutcome(w *worker, job string, how gauge.Ending, now time.Duration) {
	switch how {
	case gauge.EndDone:
		w.failures, w.lastFailedJob = 0, ""
	case gauge.EndFailed:
		if w.lastFailedJob == job {
			return
		}
		w.lastFailedJob = job
		w.failures++
		if w.failures >= failuresBeforeBackoff && p.mayBackOff(now) && !p.conf.Disabled.Has(gauge.MechanismWorkerBackoff) {
			w.backoffUntil = now + failureBackoff
			w.failures = failuresBeforeBackoff - 1
			p.conf.Logs.Info("worker rests", "pool", p.conf.Name, "worker", w.info.ID, "reason", "consecutive failures")
		}
	}
}

// mayBackOff reports whether one more worker may get no starts: at least three in four stay in use,
// so that a burst of failures with another cause doesn't stop the pool.
func (p *Pool) mayBackOff(now time.Duration) bool {
	backingOff, all := 0, 0
	for _, w := range p.workers {
		if !w.listed || w.dead {
			continue
		}
		all++
		if now < max(w.backoffUntil, w.speed.stalledUntil) {
			backingOff++
		}
	}
	return 4*(backingOff+1) <= all
}
