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
	detectionDelay = 100 * time.Millisecond
	// confirmedSilence separates a lost worker from a lost answer: heartbeats are repeated 0.2 s
	// after a failure.
	confirmedSilence = 700 * time.Millisecond
)

// tasksWithLikelierCause returns the tasks that were lost together with another job's task that is
// the likelier cause: one that had started less than proof.StartPhase before while they had not, or
// that has crashed more workers.
func (l *loss) tasksWithLikelierCause() map[*task]bool {
	tasks := make(map[*task]bool)
	for _, r := range l.runs {
		for _, o := range l.runs {
			if o.task.job == r.task.job {
				continue
			}
			if o.minRunTime < proof.StartPhase && r.minRunTime >= proof.StartPhase || o.task.suspectRuns().CrashCount() > r.task.suspectRuns().CrashCount() {
				tasks[r.task] = true
			}
		}
	}
	return tasks
}

// correlatedLosses holds the counts of what else was lost at about the time of a loss.
type correlatedLosses struct {
	ruledOut  bool // one was a worker with runs, none of which can be the cause
	idle      int  // workers without runs
	rackIdle  int  // of these, those on the same rack
	rackBusy  int  // workers with runs on the same rack
	rackAlive int  // workers of the rack that weren't lost
	lost      int  // workers lost in all
	alive     int  // workers that weren't lost
}

// add counts a lost worker.
func (c *correlatedLosses) add(sameRack, busy, ruledOut bool) {
	c.lost++
	c.ruledOut = c.ruledOut || ruledOut
	c.idle += boolToInt(!busy)
	c.rackIdle += boolToInt(sameRack && !busy)
	c.rackBusy += boolToInt(sameRack && busy)
}

func (p *Pool) countCorrelatedLosses(l *loss, now time.Duration) correlatedLosses {
	c := correlatedLosses{}
	for _, w := range p.workers {
		if !w.reported || w.dead || w.info.ID == l.incarnation.Worker || w.knownSince >= l.noticedAt || w.silent && w.isLeaving(w.silentSince) {
			continue
		}
		sameRack := l.rack != "" && w.info.Rack() == l.rack
		if p.wasLostWith(w, l, now) && !w.sharesTask(l) {
			c.add(sameRack, len(w.runs)+len(w.lostRuns) > 0, w.tasksRuledOut())
			continue
		}
		c.alive += boolToInt(w.listed)
		c.rackAlive += boolToInt(sameRack && w.listed)
	}
	for _, o := range p.losses {
		if o.isCorrelatedWith(l) {
			c.add(l.rack != "" && o.rack == l.rack, len(o.runs) > 0, o.tasksRuledOut)
		}
	}
	return c
}

// hasExternalCause reports whether a worker was lost for a cause other than its tasks, because it
// was lost together with others that no task can have crashed: then the cause was the rack, the
// power or a network partition. A single idle worker says nothing unless the whole rack is gone,
// because machines move to other pools all the time and their workers stay listed for seconds
// afterwards. Workers on which a task began recently say nothing, either: several tasks that crash
// their workers may come at once.
func (c correlatedLosses) hasExternalCause() bool {
	return c.ruledOut || c.idle > 1 || c.rackIdle > 0 && c.rackAlive == 0 || c.isMassLoss()
}

// massLosses is the number of workers lost with this one from which tasks are unlikely to be the
// cause; one fewer on the same rack suffices.
const massLosses = 3

// isMassLoss reports whether all of a rack, or nearly all workers, were lost at one moment: then
// the cause was the rack or the power. Several tasks may crash their workers at once, but are then
// started one by one in isolation.
func (c correlatedLosses) isMassLoss() bool {
	rack := c.rackIdle + c.rackBusy
	return rack >= massLosses-1 && c.rackAlive == 0 || c.lost >= massLosses && fewDivisor*c.alive <= c.lost
}

// isAmbiguous reports whether other workers were lost that may have the same cause: those with
// tasks on the rack, or most of the workers, as in a power failure. Then a crash doesn't show its
// cause, but it counts, since several tasks that crash their workers may come at once.
func (c correlatedLosses) isAmbiguous() bool { return c.rackBusy > 0 || c.lost > c.alive }

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// wasLostWith reports whether a worker stopped answering at about the time of a loss.
func (p *Pool) wasLostWith(w *worker, l *loss, now time.Duration) bool {
	return w.reported && w.silent && !w.isLeaving(w.silentSince) && now-w.silentSince >= confirmedSilence && l.overlaps(w.earliestLoss(p.conf.HeartbeatWait), w.silentSince)
}

// earliestLoss is the earliest time at which a silent worker can have been lost: shortly before its
// heartbeat broke, or at any time since its last answer if the heartbeat had been open longer than
// a worker delays one.
func (w *worker) earliestLoss(wait time.Duration) time.Duration {
	if w.silent && w.silentSince-w.answeredAt < wait {
		return max(w.answeredAt, w.silentSince-detectionDelay)
	}
	return w.answeredAt
}

// isCorrelatedWith reports whether two workers were lost together.
func (l *loss) isCorrelatedWith(o *loss) bool {
	return l != o && l.incarnation.Worker != o.incarnation.Worker && !l.planned && l.unreported == o.unreported && l.overlaps(o.earliest, o.noticedAt) &&
		!slices.ContainsFunc(l.runs, func(r lostRun) bool { return o.lostTask(r.task) })
}

// overlaps reports whether a worker that was lost in the given span may have been lost at the same
// moment.
func (l *loss) overlaps(from, at time.Duration) bool {
	return from <= l.noticedAt+detectionDelay && l.earliest <= at+detectionDelay
}

// lostTask reports whether a run of the task was lost.
func (l *loss) lostTask(t *task) bool {
	return slices.ContainsFunc(l.runs, func(r lostRun) bool { return r.task == t })
}

// sharesTask reports whether a task that was lost with a worker has a run on this one.
func (w *worker) sharesTask(l *loss) bool {
	for r := range w.runs {
		if l.lostTask(r.task) {
			return true
		}
	}
	return slices.ContainsFunc(w.lostRuns, func(r lostRun) bool { return l.lostTask(r.task) })
}
