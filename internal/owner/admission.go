package owner

import (
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/admit"
	"sapphiregauge/internal/sched"
)

const (
	// maxReachableAge is the age from which the cores that the pool can have count as unknown: the
	// fleet lease holder tells them several times a second.
	maxReachableAge = 2 * time.Second

	milliPerCore = 1000
)

// reachableCores is what the fleet lease holder has told of the cores that the pool can have.
type reachableCores struct {
	milliCPU   int
	receivedAt time.Duration
}

// SetReachable records how many thousandths of a core the pool has or could get, as the fleet lease
// holder tells it; 0: it doesn't know.
func (o *Owner) SetReachable(milliCPU int) {
	if milliCPU <= 0 {
		return
	}
	o.withLock(func() { o.reachable = reachableCores{milliCPU: milliCPU, receivedAt: o.conf.Now()} })
}

// Admit returns an error of kind KindNoSlot or KindQuota, with RetryAfter, for a job that the pool
// can't serve in time. It admits every job while this owner doesn't know enough to refuse one.
func (o *Owner) Admit(q *gauge.Queue, id string, spec *gauge.JobSpec) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.conf.Now()
	if !o.mayRefuse(now) || sched.IsAlwaysAdmitted(spec) || o.pool.Knows(id) || o.admission.IsAdmitted(id) {
		return nil
	}
	if o.admission.NeedsWork(now) {
		o.admission.SetWork(o.pool.AcceptedWork(now), o.pool.Knows, now)
	}
	cores := o.admission.Cores(float64(o.reachable.milliCPU) / milliPerCore)
	if cores == 0 {
		return nil // long-running tasks have all of them: no time would be better
	}
	j := o.pool.SubmittedJob(q, id, spec, o.admission.Unadopted(spec.Account, now), now)
	d := o.admission.Decide(j, cores, now)
	if d.Accepted {
		return nil
	}
	return o.refuse(q, &j, d, cores)
}

// mayRefuse reports whether this owner knows the pool's jobs and cores well enough to refuse a job.
// The lock is held.
func (o *Owner) mayRefuse(now time.Duration) bool {
	if o.conf.Disabled.Has(gauge.MechanismAdmit) || o.site == nil || !o.site.SharesCapacity() {
		return false
	}
	if !o.isServing() || o.stopping || len(o.unread) > 0 {
		return false
	}
	return o.reachable.milliCPU > 0 && now-o.reachable.receivedAt <= maxReachableAge
}

// refuse logs the figures behind a refusal and returns the error for it. Package intake counts the
// refusal once it is stored.
func (o *Owner) refuse(q *gauge.Queue, j *admit.Job, d admit.Decision, cores float64) error {
	reason := "room"
	err := gauge.Errorf(gauge.KindNoSlot, "pool %s can't serve the job in time", q.Pool)
	if j.Beyond {
		reason = "share"
		err = gauge.Errorf(gauge.KindQuota, "account %s requests more than its share of pool %s, which is full", j.Account, q.Pool)
	}
	o.conf.Logs.Info("job not admitted", "job", j.ID, "queue", q.Name, "pool", q.Pool, "reason", reason, "ahead", d.Ahead, "cores", cores,
		"chain", j.Chain, "objective", j.Objective, "account", j.Account, "beyond", j.Beyond, "retry", d.RetryAfter)
	return err.WithRetryAfter(d.RetryAfter)
}
