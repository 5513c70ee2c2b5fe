package sched

import (
	"slices"
	"time"

	"sapphiregauge/internal/proof"
)

// Whether a worker was lost because of its runs or for another reason is inferred from what else
// was lost at the same moment.

const (
	// detectionDelay is how late an owner may notice a broken connection when its quota of
	// processor time is used up.
	noticeSpan = 100 * time.Millisecond
	// confirmedSilence separates a lost worker from a lost answer: heartbeats are repeated 0.2 s
	// after a failure.
	surelySilent = 700 * time.Millisecond
)

// tasksWithLikelierCause are the tasks that were lost next to a likelier cause: a task of another
// job that had begun recently, when they had not, or one that has lost more workers.
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

// correlatedLosses counts what else was lost at about the time of a loss.
type toll struct {
	innocent  bool // one was a worker with runs, none of which can be the cause
	idle      int  // workers without runs
	rackIdle  int  // of these, those on the same rack
	rackBusy  int  // workers with runs on the same rack
	rackStays int  // workers of the rack that weren't lost
	lost      int  // workers lost in all
	stays     int  // workers that weren't lost
}

// add counts a lost worker.
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

// areCorrelated reports whether a worker was lost together with others that no task can have
// crashed: then the cause was the rack, the power or a network partition. A single idle worker says
// nothing unless the whole rack is gone, because machines move to other pools all the time and
// their workers stay listed for seconds afterwards. Workers on which a task began recently say
// nothing, either: several tasks that crash their workers may come at once.
func (x toll) together() bool {
	return x.innocent || x.idle > 1 || x.rackIdle > 0 && x.rackStays == 0 || x.most()
}

// massLosses other workers lost at one moment, or one fewer on the same rack, are more than tasks
// are likely to crash at once.
const mostLost = 3

// isMassLoss reports whether all of a rack, or nearly all workers, were lost at one moment: then
// the cause was the rack or the power. Several tasks may crash their workers at once, but are then
// started one by one in isolation.
func (x toll) most() bool {
	rack := x.rackIdle + x.rackBusy
	return rack >= mostLost-1 && x.rackStays == 0 || x.lost >= mostLost && fewOf*x.stays <= x.lost
}

// isAmbiguous reports whether other workers were lost that may have the same cause: those with
// tasks on the rack, or most of the workers, as in a power failure. Then a crash proves nothing,
// but it counts, since several tasks that crash their workers may come at once.
func (x toll) unclear() bool { return x.rackBusy > 0 || x.lost > x.stays }

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// lostWith reports whether a worker stopped answering at about the time of a loss.
func (p *Pool) lostWith(w *worker, l *loss, now time.Duration) bool {
	return w.heard && w.silent && !w.leaving(w.silentAt) && now-w.silentAt >= surelySilent && l.overlaps(w.lostFrom(p.conf.Wait), w.silentAt)
}

// earliestLoss is the earliest time at which a silent worker can have been lost: shortly before its
// heartbeat broke, or at any time since its last answer if the heartbeat had been open longer than
// a worker delays one.
func (w *worker) lostFrom(wait time.Duration) time.Duration {
	if w.silent && w.silentAt-w.heardAt < wait {
		return max(w.heardAt, w.silentAt-noticeSpan)
	}
	return w.heardAt
}

// isCorrelatedWith reports whether two workers were lost together.
func (l *loss) with(o *loss) bool {
	return l != o && l.life.Worker != o.life.Worker && !l.planned && l.before == o.before && l.overlaps(o.from, o.at) &&
		!slices.ContainsFunc(l.runs, func(r lostRun) bool { return o.had(r.task) })
}

// overlaps reports whether a worker that was lost in the given span may have been lost at the same
// moment.
func (l *loss) overlaps(from, at time.Duration) bool {
	return from <= l.at+noticeSpan && l.from <= at+noticeSpan
}

// lostTask reports whether a run of the task was lost.
func (l *loss) had(t *task) bool {
	return slices.ContainsFunc(l.runs, func(r lostRun) bool { return r.task == t })
}

// sharesTask reports whether a task that was lost with a worker has a run on this one.
func (w *worker) sharesTask(l *loss) bool {
	for r := range w.runs {
		if l.had(r.task) {
			return true
		}
	}
	return slices.ContainsFunc(w.lost, func(r lostRun) bool { return l.had(r.task) })
}
