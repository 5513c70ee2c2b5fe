package intake

import (
	"context"
	"math/rand/v2"

	gauge "sapphiregauge"
)

// Cancel ends a job. Once it returns nil no task of the job starts any more but
// for those that the owner had ordered before it learnt of it.
func (n *Intake) Cancel(ctx context.Context, q *gauge.Queue, id string) error {
	return n.cancel(ctx, q, id, n.conf.Relay)
}

// CancelHere is Cancel for a call that another entry passes on.
func (n *Intake) CancelHere(ctx context.Context, q *gauge.Queue, id string) error {
	return n.cancel(ctx, q, id, nil)
}

func (n *Intake) cancel(ctx context.Context, q *gauge.Queue, id string, relay Relay) error {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := n.tryCancel(ctx, q, id)
		if relay != nil && err != nil && !gauge.Is(err, gauge.KindGone) {
			err = relayedCancel(err, relay.Cancel(ctx, q, id))
		}
		if err == nil {
			return nil
		}
		if gauge.Is(err, gauge.KindGone) || !wait(ctx, rand.N(pause)) {
			n.log("job not cancelled", q, id, err)
			return err
		}
	}
}

// relayedCancel is what a caller is told if another entry was asked after a try
// here had failed.
func relayedCancel(here, there error) error {
	if there == nil || gauge.Is(there, gauge.KindGone) {
		return there
	}
	return here
}

// tryCancel reads the job's row and marks it cancelled, once.
func (n *Intake) tryCancel(ctx context.Context, q *gauge.Queue, id string) error {
	row, version, err := n.read(ctx, q, id)
	if err != nil {
		return err
	}
	if row.State.Final() {
		n.conf.Logs.Info("job over before its cancel", "job", id, "state", row.State, "version", version)
		if row.State == gauge.JobCancelled {
			// An earlier try may have been carried out without an answer.
			n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: version})
		}
		return nil
	}
	stamp, err := n.drop(ctx, q, id, row, version)
	if err != nil {
		return gauge.Fail(gauge.KindExpired, "it is not known whether the job was cancelled; ask again").Because(err)
	}
	n.conf.Event("job cancelled")
	n.conf.Logs.Info("job cancelled", "job", id, "queue", q.Name, "pool", row.Pool, "version", stamp.Version)
	n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: stamp.Version})
	return nil
}

func (n *Intake) drop(ctx context.Context, q *gauge.Queue, id string, row *gauge.JobRow, version int64) (gauge.Stamp, error) {
	row.State = gauge.JobCancelled
	row.Ended = n.conf.Clock()
	value, err := row.Encode()
	if err != nil {
		return gauge.Stamp{}, err
	}
	key := jobKey(q.Name, id)
	stamp, _, err := n.conf.Store.Commit(ctx, gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: version}},
		Writes: []gauge.RowWrite{
			{RowKey: key, Value: value},
			{RowKey: gauge.RowKey{Table: gauge.TableOpen, Part: q.Name, Key: id}, Value: gauge.Mark{Pool: row.Pool, Cancelled: true}.Encode()},
		},
	})
	return stamp, err
}
