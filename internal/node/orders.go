package node

import (
	"context"
	"strings"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
	"sapphiregauge/internal/turns"
	"sapphiregauge/internal/waves"
)

// Which machines the fleet's holder may order, and what its successor is told of it:
// two holders must not order one machine within the bound between them.

// turnFrom is when this holder may order its first machine. If the one before gave
// the lease up or offered it, or announced its orders, it told which machines it had
// ordered, and only those wait. Else it may have ordered any for orderSpan after its
// last renewal.
func (n *Node) turnFrom(h *held) time.Duration {
	now := n.conf.Now()
	if h.before.Holder == "" || h.before.Announced || n.wasMine(&h.before) {
		return now // given up, or known, or this holder itself before a restart
	}
	since := time.Duration(n.clock()-h.before.Renewed)*time.Millisecond - renewedMargin
	return now + max(0, n.conf.TurnGap+grantMargin+orderSpan-since)
}

// wasMine tells whether a lease's holder was this entry, in an earlier process.
func (n *Node) wasMine(row *gauge.LeaseRow) bool {
	name, _, _ := strings.Cut(row.Holder, "/")
	return name == n.conf.Name
}

// handOn has a claim's row tell on what was ordered before: if this process ends before
// its first renewal, the next one has only that row. It announces what it orders.
func (n *Node) handOn(row, before *gauge.LeaseRow) {
	row.Kept = before.Kept
	row.Announced = before.Announced || before.Holder == ""
	lists := turns.Lists{Own: before.Ordered, Earlier: before.Earlier}.HandedOn(n.wasMine(before))
	row.Ordered, row.Earlier = lists.Own, lists.Earlier
}

// renewedMargin is how far the table's clock, as two entries know it, may be off:
// each takes readings only from answers that took less than a tenth of a second.
const renewedMargin = 300 * time.Millisecond

// mayOrder tells whether a machine may be ordered now: the lease was renewed
// lately, and the holder before has not just ordered that machine. A yes is noted
// for the successor.
func (f *fleet) mayOrder(machine string) bool {
	f.gate.Lock()
	defer f.gate.Unlock()
	now := f.node.conf.Now()
	if f.over || now >= f.held.lease.Until()-leaseTerm+orderSpan {
		return false
	}
	return f.turns.Order(machine, f.node.clock(), now)
}

// orderSpan is how long after a renewal the fleet's holder orders machines: two
// renewals may fail. The shorter, the sooner a successor may begin.
const orderSpan = 1200 * time.Millisecond

// end lets no order out any more: what a successor is told then is complete.
func (f *fleet) end() {
	f.gate.Lock()
	defer f.gate.Unlock()
	f.over = true
}

// row is written by a holder that goes on. It names what may be ordered before the
// next write.
func (f *fleet) row(announced map[string]bool) gauge.LeaseRow {
	lists := f.turns.Ahead(announced, orderSpan, f.node.clock())
	return gauge.LeaseRow{
		Ordered: lists.Own, Earlier: lists.Earlier, Announced: true, Kept: f.sizer.Kept(f.node.conf.Now()).Milliseconds(),
	}
}

// announce has the lease's row name the machines that may be ordered from now on.
func (f *fleet) announce(ctx context.Context, machines map[string]bool) {
	if f.turns.Narrow(machines) && f.commitRow(ctx, f.row(machines), gauge.PartTxn{}) {
		f.turns.Announce(machines)
	}
}

// grantMargin covers the difference between two entries' steady clocks.
const grantMargin = 200 * time.Millisecond

// ordered lists the machines that are about to be ordered.
func ordered(steps waves.Steps, moves []sizing.Move) map[string]bool {
	machines := make(map[string]bool)
	for _, b := range steps.Begins {
		machines[b.Machine] = true
	}
	for _, m := range moves {
		if m.Empty {
			machines[m.Machine] = true
		}
	}
	return machines
}

// orderedBefore tells whether a holder before has ordered a machine just now.
func (f *fleet) orderedBefore(machine string) bool {
	return f.turns.Before(machine, f.node.clock())
}
