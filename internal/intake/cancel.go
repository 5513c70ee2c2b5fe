package intake

import (
	"context"
	"math/rand/v2"

	gauge "sapphiregauge"
)

// Cancel cancels a job. Once it returns nil, no task of the job starts any more except for those
// that the owner had ordered before it was notified. KindGone: there is no such job, and no
// submission of its id makes one run any more.
func (n *Intake) Cancel(ctx context.Context, q *gauge.Queue, id, account string) error {
	return n.cancel(ctx, q, id, account, n.conf.Relay)
}

// CancelLocally is Cancel for a call that another entry has forwarded: it isn't forwarded again.
func (n *Intake) CancelLocally(ctx context.Context, q *gauge.Queue, id, account string) error {
	return n.cancel(ctx, q, id, account, nil)
}

func (n *Intake) cancel(ctx context.Context, q *gauge.Queue, id, account string, relay Relay) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := n.tryCancel(ctx, q, id, account)
		if relay != nil && err != nil && !isCancelDecided(err) {
			err = mergeCancelErrors(err, relay.Cancel(ctx, q, id, account))
		}
		if err == nil {
			return nil
		}
		if isCancelDecided(err) || !sleep(ctx, rand.N(delay)) {
			n.logFailure("job not cancelled", q, id, err)
			return err
		}
	}
}

// isCancelDecided reports whether an error says that there is nothing to cancel for the caller.
func isCancelDecided(err error) bool {
	return gauge.IsKind(err, gauge.KindGone) || gauge.IsKind(err, gauge.KindForbidden)
}

// mergeCancelErrors returns the error for a caller after an attempt here has failed and another
// entry was asked.
func mergeCancelErrors(localErr, ownerErr error) error {
	if ownerErr == nil || isCancelDecided(ownerErr) {
		return ownerErr
	}
	return localErr
}

// tryCancel reads the job's row and marks the job as cancelled, in one attempt.
func (n *Intake) tryCancel(ctx context.Context, q *gauge.Queue, id, account string) error {
	row, version, err := n.readRow(ctx, q, id)
	if err != nil {
		return err
	}
	if row == nil || !row.IsJob() {
		return n.cancelUnstored(ctx, q, id, account, row, version)
	}
	if err := n.checkAccess(q, id, account, row.Account); err != nil {
		return err
	}
	if row.State.IsFinal() {
		n.conf.Logs.Info("job ended before its cancellation", "job", id, "state", row.State, "version", version)
		if row.State == gauge.JobCancelled {
			// An earlier attempt may have taken effect without an answer.
			n.conf.NotifyOwner(Notification{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: version})
		}
		return nil
	}
	position, err := n.markCancelled(ctx, q, id, row, version)
	if err != nil {
		return uncertainCancelError(err)
	}
	n.conf.CountEvent("job cancelled")
	n.conf.Logs.Info("job cancelled", "job", id, "queue", q.Name, "pool", row.Pool, "version", position.Version)
	n.conf.NotifyOwner(Notification{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: position.Version})
	return nil
}

func uncertainCancelError(cause error) error {
	return gauge.Errorf(gauge.KindExpired, "it is not known whether the job was cancelled; ask again").WithCause(cause)
}

func (n *Intake) markCancelled(ctx context.Context, q *gauge.Queue, id string, row *gauge.JobRow, version int64) (gauge.TablePosition, error) {
	row.State = gauge.JobCancelled
	row.Ended = n.conf.TableClock()
	value, err := row.Encode()
	if err != nil {
		return gauge.TablePosition{}, err
	}
	key := jobKey(q.Name, id)
	position, _, err := n.conf.Store.Commit(ctx, gauge.PartitionTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: version}},
		Writes: []gauge.RowWrite{
			{RowKey: key, Value: value},
			{RowKey: gauge.RowKey{Table: gauge.TableOpen, Partition: q.Name, Key: id}, Value: gauge.OpenJobMark{Pool: row.Pool, Cancelled: true}.Encode()},
		},
	})
	return position, err
}
