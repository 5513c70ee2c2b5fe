package intake

import (
	"context"

	gauge "sapphiregauge"
)

// A job that is cancelled before it is stored gets a tombstone, which is written on the condition that
// there is no row, or still the refusal that was read. Transactions of earlier attempts to store the
// job have the same condition: one that got no answer fails from then on, however late it arrives.
// Nobody is asked whether there is such an attempt, because no entry can know of all of them: the one
// that sent it may have been killed, and a submission may be delayed before an entry receives it.
// Tombstones are deleted with the rows of jobs that have ended.

// cancelUnstored writes the tombstone of a job without a row or with a refused one, and returns an error
// of kind KindGone once the table has it.
func (n *Intake) cancelUnstored(ctx context.Context, q *gauge.Queue, id, account string, row *gauge.JobRow, version int64) error {
	if row != nil && row.Tombstone {
		return goneError(id)
	}
	tombstone := gauge.JobRow{State: gauge.JobCancelled, Pool: q.Pool, Account: account, Ended: n.conf.TableClock(), Tombstone: true}
	txn, err := replaceRowTxn(q, id, &tombstone, version)
	if err != nil {
		return err
	}
	position, _, err := n.conf.Store.Commit(ctx, txn)
	if err != nil {
		return uncertainCancelError(err)
	}
	n.conf.CountEvent("job cancelled before it was stored")
	n.conf.Logs.Info("job cancelled before it was stored", "job", id, "queue", q.Name, "pool", q.Pool, "refused", row != nil, "version", position.Version)
	return goneError(id)
}

// resolveTombstone handles a submission of a job that was cancelled before. The tombstone becomes the
// row of a cancelled job: it has been submitted, so that callers are told of it. It reports false if
// the job has to be sent again for that.
func (n *Intake) resolveTombstone(p *pendingJob, tombstone *gauge.JobRow, version int64) (outcome, bool) {
	if err := n.checkAccess(p.queue, p.id, p.spec.Account, tombstone.Account); err != nil {
		return outcome{err: err}, true
	}
	if p.refusal != nil {
		return p.storedOutcome(version), true // the tombstone keeps it from running, too
	}
	n.conf.CountEvent("submission of a cancelled job")
	n.conf.Logs.Info("submission of a cancelled job", "job", p.id, "queue", p.queue.Name, "pool", p.queue.Pool, "cancelled", tombstone.Ended, "began", p.began)
	p.cancelled = &gauge.JobRow{State: gauge.JobCancelled, Pool: p.row.Pool, Account: p.row.Account, Accepted: p.row.Accepted, Ended: tombstone.Ended}
	if err := n.prepare(p, version); err != nil {
		return outcome{err: err}, true
	}
	return outcome{}, false
}
