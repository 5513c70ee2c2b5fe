package node

import (
	"context"
	"slices"
	"strings"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizing"
	"sapphiregauge/internal/turns"
	"sapphiregauge/internal/waves"
)

// An order asks the machine service to move a machine or to start its maintenance. These methods
// decide which machines the fleet lease holder may order, and what its successor learns about
// earlier orders: two holders must not order the same machine within the minimum order interval.

// firstOrderTime returns when this holder may order its first machine. If the previous holder gave
// up the lease, offered it or announced its orders, the ordered machines are known and only those
// have to wait. Otherwise it may have ordered any machine for orderWindow after its last renewal.
func (n *Node) firstOrderTime(l *takenLease) time.Duration {
	now := n.conf.Now()
	if l.previousRow.Holder == "" || l.previousRow.OrdersAnnounced || n.wasOwnLease(&l.previousRow) {
		return now // given up, or orders known, or held by this entry before a restart
	}
	since := time.Duration(n.tableClock()-l.previousRow.RenewedAt)*time.Millisecond - clockReadingMargin
	return now + max(0, n.conf.MinOrderInterval+monotonicClockMargin+orderWindow-since)
}

// wasOwnLease reports whether a lease was held by this entry, in an earlier process.
func (n *Node) wasOwnLease(row *gauge.LeaseRow) bool {
	name, _, _ := strings.Cut(row.Holder, "/")
	return name == n.conf.Name
}

// carryOverOrders copies the orders of earlier holders into the row of a claim. If this process
// ends before its first renewal, its successor has only that row. OrdersAnnounced stays set, or is
// set if the lease was given up: this holder announces its own orders before it sends them.
func (n *Node) carryOverOrders(row, before *gauge.LeaseRow) {
	row.Retention = before.Retention
	row.OrdersAnnounced = before.OrdersAnnounced || before.Holder == ""
	lists := turns.RecentOrders{Own: before.OwnOrders, Previous: before.PreviousOrders}.Inherited(n.wasOwnLease(before))
	row.OwnOrders, row.PreviousOrders = lists.Own, lists.Previous
}

// clockReadingMargin covers the difference between two entries' readings of the table's clock: each
// uses only readings from answers that took less than a tenth of a second.
const clockReadingMargin = 300 * time.Millisecond

// allowOrder reports whether a machine may be ordered now: the lease was renewed recently, and no
// previous holder has just ordered that machine. A permitted order is recorded for the successor.
func (f *fleet) allowOrder(machine string) bool {
	f.orderMu.Lock()
	defer f.orderMu.Unlock()
	now := f.node.conf.Now()
	if f.ordersEnded || now >= f.held.lease.Until()-leaseDuration+orderWindow {
		return false
	}
	return f.orderGuard.TryOrder(machine, f.node.tableClock(), now)
}

// orderWindow is how long after a renewal the fleet lease holder may order machines: two renewals
// may fail. The shorter it is, the sooner a successor may order.
const orderWindow = 1200 * time.Millisecond

// endOrders permits no more orders, so that what a successor learns afterwards is complete.
func (f *fleet) endOrders() {
	f.orderMu.Lock()
	defer f.orderMu.Unlock()
	f.ordersEnded = true
}

// leaseRow returns the row with which this holder renews its lease. It includes the announced
// machines, which may be ordered before the next write.
func (f *fleet) leaseRow(announced map[string]bool) gauge.LeaseRow {
	lists := f.orderGuard.RecentAndPlanned(announced, orderWindow, f.node.tableClock())
	return gauge.LeaseRow{
		OwnOrders: lists.Own, PreviousOrders: lists.Previous, OrdersAnnounced: true, Retention: f.sizer.Retention(f.node.conf.Now()).Milliseconds(),
	}
}

// orderQuotaMargin covers the different times that orders take to the machine service, which counts
// them by the second.
const orderQuotaMargin = 50 * time.Millisecond

// limitOrders leaves out the orders that the machine service would refuse, as it takes only so many
// in a second. A refused machine would be chosen anew, and the lease row would name machines that
// aren't ordered.
func (f *fleet) limitOrders(starts []waves.MaintenanceStart, moves []sizing.Move) ([]waves.MaintenanceStart, []sizing.Move) {
	now := f.node.conf.Now()
	mayOrder := func(call string) bool { return f.calls.isRunning(call) || f.orderQuota.Take(now) }
	starts = slices.DeleteFunc(starts, func(s waves.MaintenanceStart) bool { return !mayOrder(maintenanceCall(s.Machine)) })
	moves = slices.DeleteFunc(moves, func(m sizing.Move) bool {
		if !m.Drained || mayOrder(moveCall(m.Machine)) {
			return false
		}
		f.sizer.Postpone(m.Machine)
		return true
	})
	return starts, moves
}

// maintenanceCall and moveCall return the names of the background calls that order a machine.
func maintenanceCall(machine string) string { return "upkeep " + machine }
func moveCall(machine string) string        { return "move " + machine }

// announceOrders writes into the lease row which machines may be ordered from now on.
func (f *fleet) announceOrders(ctx context.Context, machines map[string]bool) {
	if f.orderGuard.RetainAnnounced(machines) && f.commitRow(ctx, f.leaseRow(machines), gauge.PartitionTxn{}) {
		f.orderGuard.Announce(machines)
	}
}

// monotonicClockMargin covers the difference between two entries' monotonic clocks.
const monotonicClockMargin = 200 * time.Millisecond

// machinesToOrder returns the machines that are about to be ordered.
func machinesToOrder(steps waves.Steps, moves []sizing.Move) map[string]bool {
	machines := make(map[string]bool)
	for _, s := range steps.Starts {
		machines[s.Machine] = true
	}
	for _, m := range moves {
		if m.Drained {
			machines[m.Machine] = true
		}
	}
	return machines
}

// wasOrderedBefore reports whether a previous holder has just ordered a machine.
func (f *fleet) wasOrderedBefore(machine string) bool {
	return f.orderGuard.WasOrderedBefore(machine, f.node.tableClock())
}
