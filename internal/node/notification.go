package node

import (
	"context"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/intake"
)

// methodNotice tells a pool's owner of a new or cancelled job.
const methodNotice = "job.notice"

// noticeAnswer is empty: the owner has taken the notice in.
type noticeAnswer struct{}

// notify tells the owner of a job's pool, in the background. If all tries fail
// the owner finds the job by its own scan. A cancel is told once before its caller
// gets the answer: the owner, asked for the job's state right after, would still
// say that it runs.
func (n *Node) notify(notice intake.Notice) {
	if n.deliver(notice) {
		return
	}
	if notice.Cancelled && n.sendNotice(notice, cancelWait) == nil {
		return
	}
	n.group.Go(func() {
		for try := range noticeTries {
			if try > 0 {
				pause(n.context(), retryPause)
			}
			if n.context().Err() != nil {
				return // the entry stops; the owner finds the job by its own scan
			}
			err := n.sendNotice(notice, noticeWait)
			if err == nil {
				return
			}
			n.conf.Logs.Info("notice not delivered", "job", notice.ID, "pool", notice.Pool, "try", try+1, "error", err.Error())
		}
	})
}

func (n *Node) sendNotice(notice intake.Notice, wait time.Duration) error {
	if n.deliver(notice) {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.context(), wait)
	defer cancel()
	row, ok := n.holderOf(ctx, notice)
	if !ok || row.Holder == n.holder {
		return gauge.Fail(gauge.KindOutage, "pool %s has no owner", notice.Pool)
	}
	var answer noticeAnswer
	return n.conf.Mesh.Call(ctx, row.Addr, methodNotice, &notice, &answer)
}

// holderOf finds the owner of a notice's pool. An entry that has just started, or whose
// pool has just got its first owner, hasn't seen the lease yet; the owner would go on
// telling that a job runs whose cancel was acknowledged, so that for a cancel the row is
// read.
func (n *Node) holderOf(ctx context.Context, notice intake.Notice) (gauge.LeaseRow, bool) {
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
	n.toldLeases(rows, false)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.board.Holder(notice.Pool)
}

// deliver hands a notice to the owner if that is here.
func (n *Node) deliver(notice intake.Notice) bool {
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
		return nil, gauge.Fail(gauge.KindInvalid, "notice of job %s without its content", notice.ID)
	}
	if !n.deliver(notice) {
		return nil, gauge.Fail(gauge.KindFenced, "this entry doesn't own pool %s", notice.Pool)
	}
	return noticeAnswer{}, nil
}
