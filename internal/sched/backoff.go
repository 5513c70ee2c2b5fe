package sched

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// missesBeforeRest failures in a row, with no success between, mean that a
	// worker fails what it starts: of sound runs three in a hundred fail at most,
	// so that three in a row come by chance once in 30,000.
	missesBeforeRest = 3
	// restOfFailing is how long such a worker gets no starts; after it one
	// failure is enough for the next rest.
	restOfFailing = 2 * time.Second
)

// judge keeps account of a worker's failures, so that one that fails everything
// doesn't use up the attempts of every job in the pool.
// Failures of one job count once: a job that can never be done fails anywhere,
// and is no sign against the worker.
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

// mayRest tells whether one more worker may rest: at least three in four go on,
// so that a wave of failures with another cause doesn't stop the pool.
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
