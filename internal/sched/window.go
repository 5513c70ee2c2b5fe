package sched

// Each start carries its job's text: sent at once for all that wait, starts would fill a
// thin link for longer than answers are waited for, with holds and the lease's renewal
// behind them. So those without an answer are bounded, in all and at each worker: a few
// workers that are cut off would otherwise hold up the starts at all others.

// full tells whether as many starts as may be are without an answer.
func (p *Pool) full() bool { return p.conf.Window > 0 && p.flying >= p.conf.Window }

// bounded leaves out workers with as many starts without an answer as one may have.
func (p *Pool) bounded(allowed func(*worker) bool) func(*worker) bool {
	if p.conf.Lane == 0 {
		return allowed
	}
	return func(w *worker) bool { return w.flying < p.conf.Lane && allowed(w) }
}

// fly counts a start that is sent.
func (p *Pool) fly(r *run) {
	r.flying = true
	r.worker.flying++
	p.flying++
}

// land counts a start no more: it was answered, or nobody waits for its answer.
func (p *Pool) land(r *run) {
	if !r.flying {
		return
	}
	r.flying = false
	r.worker.flying--
	p.flying--
}
