package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

const (
	// attributionDelay is the time after a worker's loss until others that were lost with it are
	// known. Before, the loss can't be attributed, and the lost tasks wait.
	attributionDelay = time.Second
	// pauseThreshold is the time without a tick after which this process counts as having been
	// suspended, so that it noticed no losses meanwhile. There are ten ticks a second.
	pauseThreshold = 500 * time.Millisecond
	// lossRetention is how long a loss is remembered, to be compared with others: what became of a
	// worker that was lost at the same moment may be known up to goneAfter later.
	lossRetention = goneAfter + 10*time.Second
	// goneAfter is how long a worker must have been silent, and no longer be listed, to count as lost.
	// The platform also drops workers that are cut off, or that can't reach it.
	goneAfter = 30 * time.Second
)

// lostRun is a run that ended with its worker's incarnation or lease.
type lostRun struct {
	task       *task
	number     int
	minRunTime time.Duration
	reported   bool // its worker has confirmed it
	inherited  bool // a previous owner recorded it, and this one hasn't heard of it
	// passedOn is the run itself if it was passed on to the next incarnation, which may have
	// received its order, because its worker hadn't reported it; else nil.
	passedOn *run
}

// isRevoked reports whether the run turned out not to be lost with its worker.
func (l lostRun) isRevoked() bool { return l.passedOn != nil && l.passedOn.lossRevoked }

// loss is the loss of a worker's incarnation: it is dead, or has been silent and unlisted for long.
type loss struct {
	incarnation gauge.Incarnation
	rack        string
	earliest    time.Duration // last time that it answered ...
	noticedAt   time.Duration // ... and when it no longer did: it was lost in between
	runs        []lostRun
	// tasksRuledOut: it had runs, and none of them can be the cause.
	tasksRuledOut bool
	planned       bool // it was leaving, or being drained
	singleJob     bool // only tasks of one job ran there
	attributed    bool
	// unreported: it never reported to this owner, so the time of its loss isn't known.
	unreported bool
	gone       bool // it isn't known to be over: it is silent, and no longer listed
	late       bool // it was replaced after its runs' leases had expired
}

// evidence returns how it is known that the worker crashed while it had a run.
func (l *loss) evidence(r lostRun) gauge.CrashEvidence {
	switch {
	case l.gone:
		return gauge.EvidenceGone
	case r.inherited:
		return gauge.EvidenceInherited
	case !r.reported:
		return gauge.EvidenceUnanswered
	case l.late:
		return gauge.EvidenceLapsed
	default:
		return gauge.EvidenceConfirmed
	}
}

// lose ends a run together with its worker. The log line says how long the run lasted at least and
// how many others were lost with it: a task that crashes its workers shows as runs that are lost
// soon after their starts, on one worker after the other.
func (p *Pool) lose(r *run, reason string, others int, now time.Duration) {
	p.conf.CountEvent(EventLost)
	p.conf.Logs.Info("run lost", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
		"addr", r.worker.info.Addr, "lived", r.minRunTime(), "started", now-r.orderedAt, "with", others, "reason", reason)
	r.worker.addLost(lostRun{task: r.task, number: r.number, minRunTime: r.minRunTime(), reported: r.reportedAt > 0})
	r.lost = true
	r.task.lostAt = now
	p.endRun(r, now)
}

// addLost keeps a lost run until it is known what became of the worker.
func (w *worker) addLost(l lostRun) {
	l.task.unclearRuns++
	w.lostRuns = append(w.lostRuns, l)
}

// expireRuns handles the expiry of a worker's lease: all runs that are known to have been there
// have ended.
func (p *Pool) expireRuns(w *worker, now time.Duration) {
	var lost []*run
	for r := range w.runs {
		if !p.mayRunUnseen(r, now) {
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return
	}
	p.conf.CountEvent(EventLeaseExpired)
	p.conf.Logs.Info("worker lapsed", "pool", p.conf.Name, "worker", w.info.ID, "born", w.info.StartedAt, "lease", p.leaseEnd-now, "runs", len(lost), "unsure", len(w.runs)-len(lost), "listed", w.listed)
	for _, r := range lost {
		p.lose(r, "its worker's lease expired", len(lost)-1, now)
	}
}

// minRunTime returns how long the run has lasted at least, up to its worker's last report of it.
func (r *run) minRunTime() time.Duration { return r.priorRunTime + max(0, r.reportedAt-r.orderedAt) }

// runsSingleJob reports whether only tasks of one job run on a worker.
func (w *worker) runsSingleJob() bool {
	var only *job
	for r := range w.runs {
		if only != nil && r.task.job != only {
			return false
		}
		only = r.task.job
	}
	for _, l := range w.lostRuns {
		if only != nil && l.task.job != only {
			return false
		}
		only = l.task.job
	}
	return only != nil && w.orphanCount == 0
}

// tasksRuledOut reports whether a worker had runs, none of which can be the cause of its loss.
func (w *worker) tasksRuledOut() bool {
	for r := range w.runs {
		if r.minRunTime() < proof.StartPhase || r.isolatedFor != nil || r.task.leadTask().isSuspect {
			return false
		}
	}
	for _, l := range w.lostRuns {
		if l.minRunTime < proof.StartPhase || l.task.leadTask().isSuspect {
			return false
		}
	}
	return len(w.runs)+len(w.lostRuns) > 0
}

// recordLoss records the loss of a worker, with the runs that were lost there. The loss is
// attributed a little later.
func (p *Pool) recordLoss(w *worker, now time.Duration) {
	l := &loss{
		incarnation: w.info.Incarnation(), rack: w.info.Rack(), earliest: w.earliestLoss(p.conf.HeartbeatWait), noticedAt: w.silentSince, runs: w.lostRuns, tasksRuledOut: w.tasksRuledOut(),
		singleJob: w.runsSingleJob(), gone: !w.dead,
		late: w.silent && now-w.silentSince > p.conf.LeaseExtension,
	}
	if !w.silent {
		l.noticedAt = now
	}
	// Machines are ordered to leave only when they are empty.
	l.planned = w.mayBeTaken(l.noticedAt) || len(l.runs) == 0 && w.isLeaving(l.noticedAt)
	for _, r := range l.runs {
		r.task.unclearRuns--
		r.task.pendingLosses++
		if !l.planned && !r.task.done && r.task.job.isOpen() {
			// The successor has to know, should this owner not get to attribute the loss.
			record := w.newSuspectRun(r.number)
			record.SoleJob, record.RunTime = l.singleJob && r.reported, r.minRunTime
			p.recordSuspectRun(r.task, record)
		}
	}
	w.lostRuns = nil
	p.losses = append(p.losses, l)
}

// isGone reports whether a worker has been silent, and not listed, for so long that it counts as lost.
func (w *worker) isGone(now time.Duration) bool {
	return w.silent && !w.listed && now >= max(w.silentSince, w.unlistedAt)+goneAfter
}

// rememberIdleLoss keeps the loss of a worker without runs, to be compared with others.
func (p *Pool) rememberIdleLoss(w *worker) {
	if w.silent && !w.dead && w.reported {
		p.losses = append(p.losses, &loss{
			incarnation: w.info.Incarnation(), rack: w.info.Rack(), earliest: w.earliestLoss(p.conf.HeartbeatWait), noticedAt: w.silentSince,
			attributed: true, planned: w.isLeaving(w.silentSince), gone: true,
		})
	}
}

// isLeaving reports whether a worker was leaving, or being drained, when it stopped answering.
func (w *worker) isLeaving(at time.Duration) bool { return w.info.Draining || at < w.drainUntil }

// mayBeTaken reports whether a worker was leaving when it stopped answering, or its machine may have been
// moved, or its maintenance begun, by an order that was carried out late.
func (w *worker) mayBeTaken(at time.Duration) bool { return w.info.Draining || at < w.releasedUntil }

// attributeLosses finds the causes of losses, once they can be known.
func (p *Pool) attributeLosses(now time.Duration) {
	for _, l := range p.losses {
		if !l.attributed && now >= max(l.noticedAt, p.resumedAt)+attributionDelay {
			l.attributed = true
			p.attributeLoss(l, now)
		}
	}
	p.losses = slices.DeleteFunc(p.losses, func(l *loss) bool { return l.attributed && now > l.noticedAt+lossRetention })
}

func (p *Pool) attributeLoss(l *loss, now time.Duration) {
	others := p.countCorrelatedLosses(l, now)
	externalCause := others.hasExternalCause()
	if len(l.runs) > 0 {
		p.conf.CountEvent(EventCrashed)
		p.conf.Logs.Info("worker crashed", "pool", p.conf.Name, "worker", l.incarnation.Worker, "born", l.incarnation.StartedAt, "runs", len(l.runs), "alone", l.singleJob,
			"together", externalCause, "planned", l.planned, "gone", l.gone, "age", now-l.noticedAt)
	}
	likelierCause := l.tasksWithLikelierCause()
	for _, r := range l.runs {
		r.task.pendingLosses--
		if r.isRevoked() {
			p.dropUnconfirmed(r.task, r.number)
			continue
		}
		if externalCause || l.planned {
			p.recordUnattributed(r.task, r.number, r.minRunTime, !l.planned && !l.gone)
			continue
		}
		if r.task.done || !r.task.job.isOpen() {
			continue
		}
		p.recordSuspectRun(r.task, gauge.SuspectRun{
			Run: r.number, Worker: l.incarnation.Worker, StartedAt: l.incarnation.StartedAt, Crashed: true, SoleJob: !others.isAmbiguous() && l.provesCrash(r),
			Isolated: !others.isAmbiguous() && r.task.suspectRuns().HasUnresolvedIsolatedRun(r.number), LikelierCause: likelierCause[r.task], RunTime: r.minRunTime,
			Evidence: l.evidence(r),
		})
		if l.gone {
			p.unsettled[l.incarnation] = append(p.unsettled[l.incarnation], unsettledRun{r.task, r.number})
		}
		p.failIfCause(r.task)
	}
}

// reportMisjudgedLoss logs that an incarnation answers whose loss was attributed to its tasks.
func (p *Pool) reportMisjudgedLoss(w *worker) {
	for _, l := range p.losses {
		if l.incarnation == w.info.Incarnation() && l.attributed && len(l.runs) > 0 {
			p.conf.CountEvent(EventMisjudged)
			p.conf.Logs.Info("crashed worker answers", "pool", p.conf.Name, "worker", w.info.ID, "born", w.info.StartedAt, "runs", len(l.runs), "gone", l.gone)
		}
	}
}

// provesCrash reports whether nothing but the task can have crashed its worker: the run ended
// within its probation, and no other job's task was there.
func (l *loss) provesCrash(r lostRun) bool {
	return l.singleJob && r.reported && r.minRunTime < r.task.probation(r.number)
}

// lossOf returns the recorded loss of an incarnation, or else one as of now that counts as
// unreported.
func (p *Pool) lossOf(incarnation gauge.Incarnation, now time.Duration) *loss {
	for _, l := range p.losses {
		if l.incarnation == incarnation {
			return l
		}
	}
	return &loss{incarnation: incarnation, earliest: now, noticedAt: now, unreported: true}
}

// loseUnreported records that a worker of a previous owner, which has never reported to this one,
// can't run anything any more.
func (p *Pool) loseUnreported(incarnation gauge.Incarnation, now time.Duration) {
	p.lostUnreported = true
	if p.workers[incarnation.Worker] == nil {
		p.losses = append(p.losses, &loss{incarnation: incarnation, earliest: now, noticedAt: now, attributed: true, unreported: true})
	}
}

// loseReplaced records the loss of incarnations that were replaced before they reported to this
// owner. Why they were lost isn't known.
func (p *Pool) loseReplaced(now time.Duration) {
	for _, incarnation := range p.replacedUnreported {
		p.losses = append(p.losses, &loss{incarnation: incarnation, earliest: now, noticedAt: now, attributed: true, unreported: true})
	}
	p.replacedUnreported = nil
}

// countUnreportedWith counts the workers without a suspect that didn't report either: a single one
// may have left the pool meanwhile; several were probably lost together, as with a rack.
func (p *Pool) countUnreportedWith(l *loss) int {
	n := 0
	for _, o := range p.losses {
		n += boolToInt(o.isCorrelatedWith(l) && !p.suspectWorkers[o.incarnation])
	}
	return n
}
