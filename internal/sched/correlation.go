package sched

import (
	"slices"
	"time"

	"sapphiregauge/internal/proof"
)

// Whether a worker was lost for what ran there or for another reason is told by what else was
// lost at the same moment.

const (
	// noticeSpan is how much later than it was an owner may notice a broken connection, where
	// a quota of processor time is used up.
	noticeSpan = 100 * time.Millisecond
	// surelySilent tells a worker that is lost from one whose answer was: holds are sent
	// again 0.2 s after one failed.
	surelySilent = 700 * time.Millisecond
)

// beside are the tasks that were lost with a likelier cause: a task of another job that began
// lately, where they did not, or one that has lost more workers.
func (l *loss) beside() map[*task]bool {
	tasks := make(map[*task]bool)
	for _, r := range l.runs {
		for _, o := range l.runs {
			if o.task.job == r.task.job {
				continue
			}
			if o.lived < proof.Soon && r.lived >= proof.Soon || o.task.trials().Crashes() > r.task.trials().Crashes() {
				tasks[r.task] = true
			}
		}
	}
	return tasks
}

// toll is what else was lost at about the time of a loss.
type toll struct {
	innocent  bool // a worker on which nothing can be the reason
	idle      int  // workers without runs
	rackIdle  int  // of these, on the same rack
	rackBusy  int  // workers with runs, on the same rack
	rackStays int  // workers of the rack that were not lost
	lost      int  // workers in all
	stays     int  // workers that were not lost
}

// add counts a worker that was lost.
func (x *toll) add(mate, busy, innocent bool) {
	x.lost++
	x.innocent = x.innocent || innocent
	x.idle += count(!busy)
	x.rackIdle += count(mate && !busy)
	x.rackBusy += count(mate && busy)
}

func (p *Pool) toll(l *loss, now time.Duration) toll {
	x := toll{}
	for _, w := range p.workers {
		if !w.heard || w.gone || w.info.ID == l.life.Worker || w.since >= l.at || w.silent && w.leaving(w.silentAt) {
			continue
		}
		mate := l.rack != "" && w.info.Rack() == l.rack
		if p.lostWith(w, l, now) && !w.sharesTask(l) {
			x.add(mate, len(w.runs)+len(w.lost) > 0, w.innocent())
			continue
		}
		x.stays += count(w.listed)
		x.rackStays += count(mate && w.listed)
	}
	for _, o := range p.losses {
		if o.with(l) {
			x.add(l.rack != "" && o.rack == l.rack, len(o.runs) > 0, o.innocent)
		}
	}
	return x
}

// together tells whether a worker was lost together with others that no task can have ended:
// then it was the rack, the power or a cut. A single idle worker says nothing, unless the whole
// rack is gone: machines move to other pools all the while, and their workers are listed for
// seconds after. Neither do workers on which a task began lately: tasks that end their workers
// may come together.
func (x toll) together() bool {
	return x.innocent || x.idle > 1 || x.rackIdle > 0 && x.rackStays == 0 || x.most()
}

// mostLost others that were lost at one moment, or one less on its rack, are more than tasks are
// likely to end then.
const mostLost = 3

// most tells whether all of a rack were lost at one moment, or nearly all workers: the power, or
// the rack. Tasks that end their workers may come in numbers, but are then tried one by one.
func (x toll) most() bool {
	rack := x.rackIdle + x.rackBusy
	return rack >= mostLost-1 && x.rackStays == 0 || x.lost >= mostLost && fewOf*x.stays <= x.lost
}

// unclear tells whether other workers were lost that may have the same cause: those with tasks on
// the rack, or most of them, as when the power goes. Then a crash proves nothing, but it counts:
// tasks that end their workers may come in numbers.
func (x toll) unclear() bool { return x.rackBusy > 0 || x.lost > x.stays }

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// lostWith tells whether a worker stopped answering at about the time of a loss.
func (p *Pool) lostWith(w *worker, l *loss, now time.Duration) bool {
	return w.heard && w.silent && !w.leaving(w.silentAt) && now-w.silentAt >= surelySilent && l.overlaps(w.lostFrom(p.conf.Wait), w.silentAt)
}

// lostFrom is when a worker that doesn't answer was lost at the earliest: shortly before its hold
// broke, or, if that was kept for longer than a worker keeps one, at any time since it answered.
func (w *worker) lostFrom(wait time.Duration) time.Duration {
	if w.silent && w.silentAt-w.heardAt < wait {
		return max(w.heardAt, w.silentAt-noticeSpan)
	}
	return w.heardAt
}

// with tells whether two workers were lost together.
func (l *loss) with(o *loss) bool {
	return l != o && l.life.Worker != o.life.Worker && !l.planned && l.before == o.before && l.overlaps(o.from, o.at) &&
		!slices.ContainsFunc(l.runs, func(r lostRun) bool { return o.had(r.task) })
}

// overlaps tells whether a worker that was lost in a span may have been so at the same moment.
func (l *loss) overlaps(from, at time.Duration) bool {
	return from <= l.at+noticeSpan && l.from <= at+noticeSpan
}

// had tells whether a run of a task was lost.
func (l *loss) had(t *task) bool {
	return slices.ContainsFunc(l.runs, func(r lostRun) bool { return r.task == t })
}

// sharesTask tells whether a task that was lost with a worker has a run on this one.
func (w *worker) sharesTask(l *loss) bool {
	for r := range w.runs {
		if l.had(r.task) {
			return true
		}
	}
	return slices.ContainsFunc(w.lost, func(r lostRun) bool { return l.had(r.task) })
}
