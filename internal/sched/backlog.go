package sched

import (
	"time"

	gauge "sapphiregauge"
)

// ageTracker remembers the value of a growing counter at one moment. From that it derives how long
// items have waited, at no cost to whatever adds them.
type ageTracker struct {
	count int64
	at    time.Duration
}

// age returns a lower bound on how long the oldest unsettled item has waited. All counts the items
// so far, and settled those of them that no longer wait.
func (m *ageTracker) age(settled, all int64, now time.Duration) time.Duration {
	if settled >= all {
		*m = ageTracker{}
		return 0
	}
	if settled >= m.count {
		m.count, m.at = all, now
	}
	return now - m.at
}

// Backlog returns what waits at this owner. Ages are counted from the first call that saw something
// wait, so it has to be called regularly.
func (p *Pool) Backlog(now time.Duration) gauge.Backlog {
	b := gauge.Backlog{}
	for _, j := range p.jobs {
		if j.isDirty() {
			b.UnwrittenChanges++
		}
		b.ChangeAge = max(b.ChangeAge, j.changeAge.age(int64(j.savedRevision), int64(j.revision), now))
	}
	for _, w := range p.workers {
		if w.listed {
			b.Workers++
			if w.silent {
				b.SilentWorkers++
			}
		}
		if !w.dead {
			b.UnacknowledgedEnds += int(w.lastEnd - w.lastStoredEnd)
			b.EndAge = max(b.EndAge, w.endAge.age(w.lastStoredEnd, w.lastEnd, now))
		}
		for r := range w.runs {
			if r.phase == phaseSent {
				b.UnansweredStarts++
				b.StartAge = max(b.StartAge, now-r.orderedAt)
			}
		}
	}
	return b
}
