package sched

// Each start carries its job's payload. If all waiting starts were sent at once, they would fill a
// slow link for longer than the time limit for answers, with heartbeats and the lease's renewal
// queued behind them. So the starts in flight are bounded, in all and for each worker: otherwise a
// few unreachable workers would hold up the starts on all others.

// isWindowFull reports whether no more starts may be in flight.
func (p *Pool) isWindowFull() bool { return p.conf.StartWindow > 0 && p.inFlight >= p.conf.StartWindow }

// withinWorkerWindow excludes workers that have as many starts in flight as one may have.
func (p *Pool) withinWorkerWindow(allowed func(*worker) bool) func(*worker) bool {
	if p.conf.WorkerStartWindow == 0 {
		return allowed
	}
	return func(w *worker) bool { return w.inFlight < p.conf.WorkerStartWindow && allowed(w) }
}

// addInFlight counts a start that is sent.
func (p *Pool) addInFlight(r *run) {
	r.inFlight = true
	r.worker.inFlight++
	p.inFlight++
}

// removeInFlight stops counting a start as in flight: it was answered, or nobody waits for its
// answer.
func (p *Pool) removeInFlight(r *run) {
	if !r.inFlight {
		return
	}
	r.inFlight = false
	r.worker.inFlight--
	p.inFlight--
}
