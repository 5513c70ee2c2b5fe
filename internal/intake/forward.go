package intake

import (
	"context"

	gauge "sapphiregauge"
)

// storeOrForward stores a job by way of the owner of its pool or at this entry.
func (n *Intake) storeOrForward(ctx context.Context, p *pendingJob, relay Relay) outcome {
	b := n.batcher(p.queue.Name)
	if relay == nil {
		return n.admitAndStore(ctx, p)
	}
	if !relay.PreferOwner(p.queue) || n.conf.Disabled.Has(gauge.MechanismRelay) {
		local := n.admitAndStore(ctx, p)
		if !isUndecided(local.err) {
			return local
		}
		return mergeOutcomes(local, relay.Submit(ctx, p.queue, p.id, p.spec, p.began))
	}
	ownerErr := relay.Submit(ctx, p.queue, p.id, p.spec, p.began)
	tooLate := n.conf.Now()-p.startedAt > submitTimeout/2
	if !isUndecided(ownerErr) || tooLate && !gauge.IsKind(ownerErr, gauge.KindOutage) {
		return mergeOutcomes(outcome{err: gauge.Errorf(gauge.KindOutage, "not tried at this entry")}, ownerErr)
	}
	if gauge.IsKind(ownerErr, gauge.KindOutage) && !b.canSend(p.id) {
		return mergeOutcomes(outcome{err: b.breakerError()}, ownerErr)
	}
	return mergeOutcomes(b.store(ctx, p), ownerErr)
}

// admitAndStore stores a job, or its refusal, at this entry.
func (n *Intake) admitAndStore(ctx context.Context, p *pendingJob) outcome {
	if err := n.admit(p); err != nil {
		return outcome{err: err}
	}
	if err := n.expectRefusedRow(p); err != nil {
		return outcome{err: err}
	}
	return n.batcher(p.queue.Name).store(ctx, p)
}

// isUndecided reports whether an error leaves open whether the job can be stored by a further
// attempt: it was not stored so far, or that isn't known.
func isUndecided(err error) bool {
	switch gauge.KindOf(err) {
	case gauge.KindOutage, gauge.KindExpired, gauge.KindUnknown, gauge.KindNoWorker:
		return true
	default:
		return false
	}
}

// mergeOutcomes combines an attempt here with one by the owner of the job's pool. Only the owner
// can say that a job is not stored: a submission may repeat one that another entry has sent without
// getting an answer, and all of them go through the owner.
func mergeOutcomes(local outcome, ownerErr error) outcome {
	switch {
	case !isUndecided(local.err):
		return local
	case ownerErr == nil:
		return outcome{relayed: true}
	case isRefusal(ownerErr):
		return outcome{err: ownerErr} // it is stored, so that the attempt here can't take effect
	case gauge.IsKind(local.err, gauge.KindExpired), gauge.IsKind(ownerErr, gauge.KindOutage):
		return local
	case isUndecided(ownerErr):
		return outcome{err: unsettledError(ownerErr)}
	default:
		return outcome{err: ownerErr}
	}
}

func unsettledError(cause error) error {
	return gauge.Errorf(gauge.KindExpired, "it is not known whether the job was stored; ask again with the same id").WithCause(cause)
}
