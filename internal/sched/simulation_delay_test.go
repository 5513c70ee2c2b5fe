package sched_test

import (
	"pgregory.net/rapid"

	"sapphiregauge/internal/sched"
)

// maxStartDelay is how long workers leave a start queued at most.
const maxStartDelay = queueSpan

// mayBeQueued reports whether a start of the present owner may still be on its way.
func (w *simulation) mayBeQueued(o sched.Order) bool {
	return o.Kind == sched.OrderStart && o.Start.Fence >= w.fence && w.now <= w.startSentAt[startKey{o.Start.Task, o.Start.Run}]+maxStartDelay
}

// carryOutDelayedStarts has a worker carry out the starts of the present owner that are on their way
// to it.
func (w *simulation) carryOutDelayedStarts(id string) {
	var others []sched.Order
	for _, o := range w.delayedOrders {
		if o.Worker.ID == id && w.mayBeQueued(o) {
			_ = w.executeOrder(o)
		} else {
			others = append(others, o)
		}
	}
	w.delayedOrders = others
}

// executeDelayed has workers execute delayed orders. Of the starts that may be queued for longer one in
// stay + 1 is executed.
func (w *simulation) executeDelayed(stay int) {
	var queued []sched.Order
	for _, o := range w.delayedOrders {
		if w.mayBeQueued(o) && rapid.IntRange(0, stay).Draw(w.t, "still queued") > 0 {
			queued = append(queued, o)
			continue
		}
		_ = w.executeOrder(o)
	}
	w.delayedOrders = queued
}
