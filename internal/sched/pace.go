package sched

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// slowDownShare is the share of a serving task's tail-latency target from which best-effort
	// tasks on the same worker are slowed down, well before the target is exceeded.
	slowDownShare = 0.8
	// speedUpShare is the share below which they speed up again, a little at a time.
	speedUpShare   = 0.5
	speedUpPercent = 10
	// paceUnknown: the last change of pace failed, so the current pace isn't known.
	paceUnknown = -1
)

// adjustPaces slows best-effort tasks down where a serving task beside them is near its latency
// target, and speeds them up where it is far from it.
func (p *Pool) adjustPaces(now time.Duration) {
	for _, w := range p.workersByID() {
		if w.dead || w.silent || w.bestEffort == 0 {
			continue
		}
		worst := w.worstTail()
		for r := range w.runs {
			if !r.task.stage.spec.BestEffort || r.toStop || r.paceInFlight || r.phase != phaseLive {
				continue
			}
			want := nextPace(r.pace, worst)
			if want == r.pace {
				continue
			}
			r.paceInFlight = true
			p.orders = append(p.orders, Order{
				Kind: OrderPace, Worker: w.info, run: r,
				Pace: gauge.PaceCall{Fence: p.fence(w), Task: r.task.id, Run: r.number, Percent: want},
			})
			p.conf.Logs.Info("run paced", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number,
				"worker", w.info.ID, "from", r.pace, "to", want, "tail", worst)
			r.pace = want
		}
	}
}

// worstTail is the largest share of its target that the tail latency of a serving task on the
// worker takes.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for r := range w.runs {
		spec := r.task.stage.spec
		if spec.BestEffort || spec.TailTarget <= 0 || r.phase != phaseLive {
			continue
		}
		worst = max(worst, float64(r.load)/float64(spec.TailTarget/time.Millisecond))
	}
	return worst
}

func nextPace(percent int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= slowDownShare:
		return max(percent, 0) / 2
	case worst < speedUpShare:
		return min(fullSpeed, max(percent, 0)+speedUpPercent)
	default:
		return percent
	}
}
