package sched

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// failuresBeforeBackoff failures in a row without a success mean that a worker fails whatever
	// it starts. At most three in a hundred healthy runs fail, so three in a row happen by chance
	// once in 30,000.
	missesBeforeRest = 3
	// failureBackoff is how long such a worker gets no starts. After it one failure is enough for
	// the next back-off.
	restOfFailing = 2 * time.Second
)

// recordOutcome counts a worker's consecutive failures, so that a worker that fails everything
// doesn't use up the attempts of every job in the pool. Failures of one job count once: a job that
// can never succeed fails anywhere, and says nothing about the worker.
func (p *Pool) judge(w *worker, job string, how gauge.Ending, now time.Duration) {
	switch how {
	case gauge.EndDone:
		w.misses, w.missed = 0, ""
	case gauge.EndFailed:
		if w.missed == job {
			return
		}
		w.missed = job
		w.misses++
		if w.misses >= missesBeforeRest && p.mayRest(now) && !p.conf.Without.Has(gauge.MechanismRest) {
			w.rest = now + restOfFailing
			w.misses = missesBeforeRest - 1
			p.conf.Logs.Info("worker rests", "pool", p.conf.Name, "worker", w.info.ID, "reason", "failures in a row")
		}
	}
}

// mayBackOff reports whether one more worker may get no starts: at least three in four stay in use,
// so that a burst of failures with another cause doesn't stop the pool.
func (p *Pool) mayRest(now time.Duration) bool {
	resting, all := 0, 0
	for _, w := range p.workers {
		if !w.listed || w.gone {
			continue
		}
		all++
		if now < w.rest {
			resting++
		}
	}
	return 4*(resting+1) <= all
}
