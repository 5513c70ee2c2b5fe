package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/intake"
)

// methodNotice notifies a pool's owner of a new or cancelled job.
const methodNotice = "job.notice"

// noticeAnswer is empty: the owner has accepted the notification.
type noticeAnswer struct{}

// notify notifies the owner of a job's pool in the background. If all attempts fail, the owner
// finds the job by its own scan. A cancellation is sent once before its caller gets the answer,
// since an owner that is asked for the job's state right afterwards would otherwise still report it
// as running.
func (n *Node) notify(notice intake.Notice) {
	if n.deliverLocally(notice) {
		return
	}
	if notice.Cancelled && n.sendNotice(notice, cancelNotificationTimeout) == nil {
		return
	}
	n.group.Go(func() {
		for try := range notificationAttempts {
			if try > 0 {
				sleep(n.runContext(), notificationRetryDelay)
			}
			if n.runContext().Err() != nil {
				return // the entry stops; the owner finds the job by its own scan
			}
			err := n.sendNotice(notice, notificationTimeout)
			if err == nil {
				return
			}
			n.conf.Logs.Info("notice not delivered", "job", notice.ID, "pool", notice.Pool, "try", try+1, "error", err.Error())
		}
	})
}

func (n *Node) sendNotice(notice intake.Notice, wait time.Duration) error {
	if n.deliverLocally(notice) {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.runContext(), wait)
	defer cancel()
	row, ok := n.findOwner(ctx, notice)
	if !ok || row.Holder == n.holder {
		return gauge.Fail(gauge.KindOutage, "pool %s has no owner", notice.Pool)
	}
	var answer noticeAnswer
	return n.conf.Mesh.Call(ctx, row.Addr, methodNotice, &notice, &answer)
}

// findOwner returns the lease row of a notification's pool. An entry that has just started, or
// whose pool has just got its first owner, hasn't seen the lease yet. The owner would go on
// reporting a job as running whose cancellation was acknowledged, so for a cancellation the row is
// read.
func (n *Node) findOwner(ctx context.Context, notice intake.Notice) (gauge.LeaseRow, bool) {
	n.mu.Lock()
	row, ok := n.board.Holder(notice.Pool)
	n.mu.Unlock()
	if ok || !notice.Cancelled {
		return row, ok
	}
	rows, _, err := n.conf.Store.Range(ctx, gauge.TableLeases, notice.Pool, gauge.KeyOwner, gauge.KeyOwner+"\x00")
	if err != nil {
		n.conf.Logs.Info("lease not read", "pool", notice.Pool, "kind", gauge.KindOf(err), "error", err.Error())
		return row, false
	}
	n.applyLeaseRows(rows, false)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.board.Holder(notice.Pool)
}

// deliverLocally passes a notification to the pool's owner if that is this entry, and reports
// whether it was accepted.
func (n *Node) deliverLocally(notice intake.Notice) bool {
	n.mu.Lock()
	o := n.owners[notice.Pool]
	n.mu.Unlock()
	if o == nil {
		return false
	}
	if notice.Cancelled {
		o.Cancel(notice.ID, notice.Version)
		return true
	}
	return o.Adopt(notice.ID, notice.Queue, notice.Spec, notice.Row, notice.Version)
}

func (n *Node) handleNotice(_ context.Context, body []byte) (any, error) {
	var notice intake.Notice
	if err := frame.Decode(body, &notice); err != nil {
		return nil, err
	}
	if notice.Row == nil && !notice.Cancelled || notice.Spec == nil && !notice.Cancelled {
		return nil, gauge.Fail(gauge.KindInvalid, "notification of job %s without its specification or row", notice.ID)
	}
	if !n.deliverLocally(notice) {
		return nil, gauge.Fail(gauge.KindFenced, "this entry doesn't own pool %s", notice.Pool)
	}
	return noticeAnswer{}, nil
}
