package sched

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// slowDownShare is the share of its latency target above which a serving task's tail has the
	// best-effort tasks beside it slowed down, well before the target is exceeded.
	paceDown = 0.8
	// speedUpShare is the share below which they speed up again, a little at a time.
	paceUp   = 0.5
	paceStep = 10
	// paceUnknown: the last change of pace failed, so the current pace isn't known.
	unpaced = -1
)

// pace slows best-effort tasks down where a serving task beside them is near its latency target,
// and speeds them up where it is far from it.
func (p *Pool) pace(now time.Duration) {
	for _, w := range p.byID() {
		if w.gone || w.silent || w.fills == 0 {
			continue
		}
		worst := w.worstTail()
		for r := range w.runs {
			if !r.task.stage.spec.Fills || r.stop || r.pacing || r.phase != phaseLive {
				continue
			}
			want := pacedTo(r.paced, worst)
			if want == r.paced {
				continue
			}
			r.pacing = true
			p.orders = append(p.orders, Order{
				Kind: OrderPace, Worker: w.info, run: r,
				Pace: gauge.PaceCall{Fence: p.fence(w), Task: r.task.id, Run: r.number, Percent: want},
			})
			p.conf.Logs.Info("run paced", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
				"worker", w.info.ID, "from", r.paced, "to", want, "tail", worst)
			r.paced = want
		}
	}
}

// worstTail is the largest share of its target that the tail latency of a serving task on the
// worker takes.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for r := range w.runs {
		spec := r.task.stage.spec
		if spec.Fills || spec.TailTarget <= 0 || r.phase != phaseLive {
			continue
		}
		worst = max(worst, float64(r.load)/float64(spec.TailTarget/time.Millisecond))
	}
	return worst
}

func pacedTo(percent int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= paceDown:
		return max(percent, 0) / 2
	case worst < paceUp:
		return min(fullSpeed, max(percent, 0)+paceStep)
	default:
		return percent
	}
}
