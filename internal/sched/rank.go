package sched

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/triage"
)

// rank orders candidates: the lower one starts first.
type rank struct {
	class    int // 0: long-running tasks, which are few and whose value accrues all the time
	priority int
	beyond   bool // its account has submitted it beyond its share
	lateness int  // rank of its triage.Class
	due      time.Duration
	rescue   bool // it is late and starts before timely ones, to be served at all
}

// isBefore reports whether the candidate comes before another of the same client account; see
// candidateQueue for those of different accounts. It is called some thousand times a plan, so it compares the deciding fields first and stops at the first difference.
func (c *candidate) isBefore(o *candidate) bool {
	a, b := &c.rank, &o.rank
	switch {
	case a.class != b.class:
		return a.class < b.class
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.beyond != b.beyond:
		return b.beyond
	case a.lateness != b.lateness:
		return a.lateness < b.lateness
	case a.due != b.due:
		return a.due < b.due
	default:
		return c.job.id < o.job.id
	}
}

// policy is the configuration of a job's queue, nil if the queue has none. It is looked up once per
// configuration.
func (p *Pool) policy(j *job) *gauge.Queue {
	if j.site == p.site {
		return j.policy
	}
	j.site, j.policy = p.site, p.site.QueueByName(j.queue)
	stretch, target := float64(defaultStretch), time.Duration(0)
	if j.policy != nil {
		stretch, target = j.policy.Stretch, j.policy.Target
	}
	j.objective = time.Duration(stretch*float64(j.criticalPath)) + target
	return j.policy
}

// advice is the advice policy of a job's queue, nil if the queue has none.
func (p *Pool) advice(j *job) *gauge.Advice {
	if q := p.policy(j); q != nil {
		return q.Advice
	}
	return nil
}

// defaultStretch is used for a queue that is no longer configured.
const defaultStretch = 2

// lateFactor is the multiple of its objective up to which a late job is still worth something to
// its caller.
const lateFactor = 3

func (p *Pool) rank(j *job, o *occurrence, st *stage, now time.Duration) rank {
	r := rank{class: 1}
	if st.spec.LongRunning {
		r.class = 0
		if st.spec.BestEffort {
			r.class = 1
		}
	}
	r.priority = p.priority(j)
	r.beyond = j.beyondShare && !st.spec.LongRunning
	r.due = j.arrived + j.objective
	if p.conf.Disabled.Has(gauge.MechanismDeadline) {
		r.due = j.arrived
	}
	if p.triages && j.hasObjective && !p.conf.Disabled.Has(gauge.MechanismTimely) {
		p.judge(j, o, &r, now)
		return r
	}
	r.lateness = p.estimatedLateness(j, o, now)
	return r
}

// estimatedLateness is the lateness of a job by its client's estimates, which are off by half: a job
// counts as able to meet its objective while half of its chain's time is left, and as hopeless only
// after its last useful moment. The job's policy must have been looked up.
func (p *Pool) estimatedLateness(j *job, o *occurrence, now time.Duration) int {
	left := j.arrived + j.objective - now
	switch {
	case p.conf.Disabled.Has(gauge.MechanismTimely):
		return triage.Timely.Rank()
	case left < -j.objective*(lateFactor-1):
		return triage.Hopeless.Rank()
	case left < o.remainingCriticalPath()/2:
		return triage.Late.Rank()
	default:
		return triage.Timely.Rank()
	}
}
