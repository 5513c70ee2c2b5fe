package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/intake"
)

// methodNotification notifies a pool's owner of a new or cancelled job.
const methodNotification = "job.notice"

// notificationAnswer is empty: the owner has accepted the notification.
type notificationAnswer struct{}

// notify notifies the owner of a job's pool in the background. If all attempts fail, the owner
// finds the job by its own scan. A cancellation is sent once before its caller gets the answer,
// since an owner that is asked for the job's state right afterwards would otherwise still report it
// as running.
func (n *Node) notify(notification intake.Notification) {
	if n.deliverLocally(notification) {
		return
	}
	if notification.Cancelled && n.sendNotification(notification, cancelNotificationTimeout) == nil {
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
			err := n.sendNotification(notification, notificationTimeout)
			if err == nil {
				return
			}
			n.conf.Logs.Info("notice not delivered", "job", notification.ID, "pool", notification.Pool, "try", try+1, "error", err.Error())
		}
	})
}

func (n *Node) sendNotification(notification intake.Notification, wait time.Duration) error {
	if n.deliverLocally(notification) {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.runContext(), wait)
	defer cancel()
	row, ok := n.findOwner(ctx, notification)
	if !ok || row.Holder == n.holder {
		return gauge.Errorf(gauge.KindOutage, "pool %s has no owner", notification.Pool)
	}
	var answer notificationAnswer
	return n.conf.Mesh.Call(ctx, row.Addr, methodNotification, &notification, &answer)
}

// findOwner returns the lease row of a notification's pool. A lease that was only just created, or
// that an entry which has just started hasn't read, isn't known here yet. For a cancellation the
// row is then read from the table: without a notification the owner would go on reporting a job as
// running whose cancellation was acknowledged.
func (n *Node) findOwner(ctx context.Context, notification intake.Notification) (gauge.LeaseRow, bool) {
	n.mu.Lock()
	row, ok := n.leaseView.Lease(notification.Pool)
	n.mu.Unlock()
	if ok || !notification.Cancelled {
		return row, ok
	}
	rows, _, err := n.conf.Store.Range(ctx, gauge.TableLeases, notification.Pool, gauge.KeyOwner, gauge.KeyOwner+"\x00")
	if err != nil {
		n.conf.Logs.Info("lease not read", "pool", notification.Pool, "kind", gauge.KindOf(err), "error", err.Error())
		return row, false
	}
	n.applyLeaseRows(rows)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaseView.Lease(notification.Pool)
}

// deliverLocally passes a notification to the pool's owner if that is this entry, and reports
// whether it was accepted.
func (n *Node) deliverLocally(notification intake.Notification) bool {
	n.mu.Lock()
	o := n.owners[notification.Pool]
	n.mu.Unlock()
	if o == nil {
		return false
	}
	if notification.Cancelled {
		o.Cancel(notification.ID, notification.Version)
		return true
	}
	return o.Adopt(notification.ID, notification.Queue, notification.Spec, notification.Row, notification.Version)
}

func (n *Node) handleNotification(_ context.Context, body []byte) (any, error) {
	var notification intake.Notification
	if err := frame.Decode(body, &notification); err != nil {
		return nil, err
	}
	if notification.Row == nil && !notification.Cancelled || notification.Spec == nil && !notification.Cancelled {
		return nil, gauge.Errorf(gauge.KindInvalid, "notification of job %s without its specification or row", notification.ID)
	}
	if !n.deliverLocally(notification) {
		return nil, gauge.Errorf(gauge.KindFenced, "this entry doesn't own pool %s", notification.Pool)
	}
	return notificationAnswer{}, nil
}
