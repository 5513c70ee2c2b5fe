package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
)

// An end report is acknowledged once the table has it. While a start of its task may still be
// carried out late, see latestart.go, that isn't enough: a task must not start again after an
// acknowledged end, but may if its worker crashed with an end that wasn't acknowledged.

const (
	// maxAckDelay bounds how long the acknowledgement of an end report waits for late starts while
	// most workers hold ends: four fifths of all ends have to be acknowledged within 4 s, as the
	// users specify.
	maxAckDelay = 2500 * time.Millisecond
	// fewHolding is the number of workers that may hold ends for longer in a pool of any size.
	fewHolding = 3
)

// heldEnd is an end report that isn't acknowledged yet, as starts of its task may be carried out
// late.
type heldEnd struct {
	number int64
	runs   []*run // that may be started late
	since  time.Duration
}

// waits reports whether one of the starts may still be carried out.
func (h *heldEnd) waits(now time.Duration) bool {
	return slices.ContainsFunc(h.runs, func(r *run) bool { return r.mayStartLate(now) })
}

// holdEnd has the acknowledgement of an end wait for late starts, if the task must not start again
// after an acknowledged end of this kind. The run is nil if it isn't known.
func (w *worker) holdEnd(t *task, r *run, e gauge.EndReport, now time.Duration) {
	h := heldEnd{number: e.Number, runs: slices.Concat(t.runs, t.lateStarts), since: now}
	if r != nil {
		h.runs = append(h.runs, r)
	}
	if (e.Ending == gauge.EndDone || e.Ending == gauge.EndFailed) && h.waits(now) {
		w.heldEnds = append(w.heldEnds, h)
	}
}

// releaseEnds drops the held ends that no longer wait for late starts, those that have waited for
// long enough while most workers hold ends, and those after which a worker could soon list no more.
func (p *Pool) releaseEnds(w *worker, now time.Duration) {
	for len(w.heldEnds) > 0 {
		h := &w.heldEnds[0]
		listed := w.lastEnd - h.number
		if h.waits(now) && listed < maxEndsListed/2 && (now < h.since+maxAckDelay || !p.isHoldingWidely()) {
			return
		}
		w.heldEnds = w.heldEnds[1:]
	}
}

// isHoldingWidely reports whether so many workers hold ends that most ends would be acknowledged
// late.
func (p *Pool) isHoldingWidely() bool {
	holding, all := 0, 0
	for _, w := range p.workers {
		if w.listed && !w.dead {
			all++
			holding += boolToInt(len(w.heldEnds) > 0)
		}
	}
	return holding > fewHolding && 2*holding > all
}

// lastAcknowledgeable is the number up to which a worker's end reports may be acknowledged: the
// table has them, and none of them waits for late starts.
func (p *Pool) lastAcknowledgeable(w *worker, now time.Duration) int64 {
	p.releaseEnds(w, now)
	if w.backUnproved {
		return 0
	}
	if len(w.heldEnds) > 0 {
		return min(w.lastStoredEnd, w.heldEnds[0].number-1)
	}
	return w.lastStoredEnd
}

// HoldsEnds reports whether end reports of a worker aren't acknowledged although the table has
// them: a heartbeat is answered at once then.
func (p *Pool) HoldsEnds(incarnation gauge.Incarnation, now time.Duration) bool {
	w := p.current(incarnation)
	return w != nil && p.lastAcknowledgeable(w, now) < w.lastStoredEnd
}
