package sched

import (
	"time"

	"sapphiregauge/internal/admit"
)

// RecountWork computes the core-seconds of AcceptedWork task by task, and the cores of long-running
// tasks.
func (p *Pool) RecountWork(now time.Duration) (map[admit.Group]float64, float64) {
	work, longRunning := make(map[admit.Group]float64), 0.0
	for _, j := range p.jobs {
		if !j.isOpen() {
			continue
		}
		for _, o := range j.occurrences {
			left, lateness := 0.0, p.rank(j, o, o.steps[0], now).lateness
			for _, st := range o.steps {
				cores := float64(st.spec.Reservation().MilliCPU) / milliPerCore
				if st.spec.LongRunning && st.remaining > 0 {
					longRunning += cores * float64(st.spec.Count)
				}
				for _, t := range st.tasks {
					if lateness < 2 || len(t.runs) > 0 {
						left += cores * t.expectedRest(now).Seconds()
					}
				}
			}
			if left > 0 {
				g := admit.Group{Beyond: j.beyondShare, Late: lateness > 0}
				if q := p.site.QueueByName(j.queue); q != nil {
					g.Priority = q.Priority
				}
				work[g] += left
			}
		}
	}
	return work, longRunning
}

// expectedRest is the expected time that a task still takes.
func (t *task) expectedRest(now time.Duration) time.Duration {
	whole := t.stage.spec.Estimate
	switch {
	case t.done || t.stage.spec.LongRunning:
		return 0
	case len(t.runs) == 0:
		return whole
	}
	elapsed := now - t.runs[0].orderedAt
	return min(whole, max(whole-elapsed, elapsed/4))
}
