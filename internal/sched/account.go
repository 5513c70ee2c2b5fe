package sched

import (
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

// isBeyondShare counts an adopted job and reports whether its account has submitted it beyond its
// weight.
func (p *Pool) isBeyondShare(j *job) bool {
	account := p.site.AccountByName(j.spec.Account)
	if account == nil || p.conf.Disabled.Has(gauge.MechanismShares) {
		return false
	}
	return p.rates.CountJob(account.Name, account.Weight, j.arrived)
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

// unseenRuns returns what may run that previous owners have started and that isn't known here: on
// workers that haven't reported, or that list runs of jobs that aren't known.
func (p *Pool) unseenRuns() limit.Unseen {
	u := limit.Unseen{Known: true}
	for id := range p.unreported {
		w := p.workers[id]
		if w == nil {
			return limit.Unseen{}
		}
		u.Capacity = u.Capacity.Plus(w.info.Capacity)
	}
	for id, w := range p.workers {
		if _, counted := p.unreported[id]; !counted && w.orphanCount > 0 && !w.dead {
			u.Capacity = u.Capacity.Plus(w.info.Capacity)
		}
	}
	return u
}
