package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

// mayUse reports whether a job's client account may have more running, according to its limit.
func (p *Pool) mayUse(j *job, need gauge.Resources) bool {
	account := j.spec.Account
	if p.conf.Limits == nil || account == "" {
		return true
	}
	var use limit.Use
	if u := p.index.uses[account]; u != nil {
		use = *u
	}
	return p.conf.Limits.Allows(account, need, use)
}

// AccountUses returns what each client account uses of this pool, and what it waits for.
func (p *Pool) AccountUses() map[string]limit.Use {
	uses := make(map[string]limit.Use, len(p.index.uses))
	for account, use := range p.index.uses {
		uses[account] = *use
	}
	for _, st := range p.index.waiting {
		account := st.job.spec.Account
		if account == "" || !st.job.isOpen() {
			continue
		}
		use := uses[account]
		use.Waiting = use.Waiting.Plus(st.spec.Needs.Times(st.idle))
		uses[account] = use
	}
	return uses
}

// KnowsInheritedRuns reports whether all runs of previous owners that may exist are known: all jobs
// have been read, all workers have reported, and no run is left that belongs to no open job.
func (p *Pool) KnowsInheritedRuns(now time.Duration) bool {
	return !p.jobsMissing && !p.awaitsReports(now) && len(p.orphans) == 0
}
