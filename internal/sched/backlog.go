package sched

import (
	"time"

	gauge "sapphiregauge"
)

// mark is up to where something had come when it was looked at, and when that was.
// It tells how long what was there then has waited, at no cost to whatever adds to it.
type mark struct {
	upTo int64
	at   time.Duration
}

// age tells how long what is between two counts has waited at least.
func (m *mark) age(settled, all int64, now time.Duration) time.Duration {
	if settled >= all {
		*m = mark{}
		return 0
	}
	if settled >= m.upTo {
		m.upTo, m.at = all, now
	}
	return now - m.at
}

// Backlog tells what waits at this owner. Ages are counted from the first call that
// saw something wait, so that it is to be called every so often.
func (p *Pool) Backlog(now time.Duration) gauge.Backlog {
	b := gauge.Backlog{}
	for _, j := range p.jobs {
		if j.dirty() {
			b.Changes++
		}
		b.ChangeAge = max(b.ChangeAge, j.mark.age(int64(j.saved), int64(j.changes), now))
	}
	for _, w := range p.workers {
		if w.listed {
			b.Workers++
			if w.silent {
				b.Silent++
			}
		}
		if !w.gone {
			b.Ends += int(w.ends - w.kept)
			b.EndAge = max(b.EndAge, w.mark.age(w.kept, w.ends, now))
		}
		for r := range w.runs {
			if r.phase == phaseSent {
				b.Starts++
				b.StartAge = max(b.StartAge, now-r.sent)
			}
		}
	}
	return b
}
