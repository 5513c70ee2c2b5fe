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
	settleSpan = time.Second
	// pauseThreshold without a tick, of which there are ten a second, means that this process stood
	// still and noticed no losses meanwhile.
	pausedSpan = 500 * time.Millisecond
	// lossRetention is how long a loss is remembered, to be compared with others.
	lossesFor = 10 * time.Second
)

// lostRun is a run that ended with its worker's incarnation or lease.
type lostRun struct {
	task   *task
	number int
	lived  time.Duration
	told   bool // its worker has reported it
	order  *run // its worker hasn't reported it, and the next incarnation may have received the order; else nil
}

// isNotLost reports whether the run turned out not to be lost.
func (l lostRun) spared() bool { return l.order != nil && l.order.spared }

// loss is a worker whose incarnation is dead.
type loss struct {
	life gauge.Life
	rack string
	from time.Duration // last time that it answered ...
	at   time.Duration // ... and when it no longer did: it was lost in between
	runs []lostRun
	// tasksRuledOut: it had runs, and none of them can be the cause.
	innocent bool
	planned  bool // it was leaving, or being drained
	alone    bool // only tasks of one job ran there
	judged   bool
	// unreported: it never reported to this owner, so the time of its loss isn't known.
	before bool
}

// lose ends a run together with its worker. The log line says how long the run lived at least and
// how many others were lost with it: a task that crashes its workers shows as runs that are lost
// soon after their starts, on one worker after the other.
func (p *Pool) lose(r *run, why string, with int, now time.Duration) {
	p.conf.Count(EventLost)
	p.conf.Logs.Info("run lost", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
		"addr", r.worker.info.Addr, "lived", r.lived(), "started", now-r.sent, "with", with, "reason", why)
	r.worker.leave(lostRun{task: r.task, number: r.number, lived: r.lived(), told: r.toldAt > 0})
	r.lost = true
	p.end(r, now)
}

// addLost keeps a lost run until it is known what became of the worker.
func (w *worker) leave(l lostRun) {
	l.task.adrift++
	w.lost = append(w.lost, l)
}

// expireRuns handles the expiry of a worker's lease: all runs that are known to have been there
// have ended.
func (p *Pool) lapsed(w *worker, now time.Duration) {
	var lost []*run
	for r := range w.runs {
		if !r.mayStillCome(now) {
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return
	}
	p.conf.Count(EventLapsed)
	p.conf.Logs.Info("worker lapsed", "pool", p.conf.Name, "worker", w.info.ID, "runs", len(lost), "unsure", len(w.runs)-len(lost), "listed", w.listed)
	for _, r := range lost {
		p.lose(r, "its worker's lease has run out", len(lost)-1, now)
	}
}

// lived is how long the run has lived at least, up to its worker's last report of it.
func (r *run) lived() time.Duration { return r.credit + max(0, r.toldAt-r.sent) }

// recordAtRisk records the runs on a worker that has stopped answering. Otherwise a successor would
// start their tasks again without knowing that the worker has crashed: an owner learns that only by
// the answer of the worker's next incarnation, seconds later.
func (p *Pool) watch(w *worker) {
	if w.watched || len(w.runs) == 0 || !p.fewSilent() {
		return
	}
	w.watched = true
	alone := w.oneJob()
	for r := range w.runs {
		if r.trial == nil && r.task.job.open() {
			p.try(r.task, gauge.Trial{Run: r.number, Worker: w.info.ID, Born: w.info.Born, Alone: alone && r.toldAt > 0, Lived: r.lived()})
		}
	}
}

// fewSilent reports whether only some workers don't answer. If most don't, the cause is this
// owner's network or the workers' power, and not a task.
func (p *Pool) fewSilent() bool {
	silent, all := 0, 0
	for _, w := range p.workers {
		if w.listed && !w.gone {
			all++
			if w.silent {
				silent++
			}
		}
	}
	return silent <= 1 || fewOf*silent <= all
}

// fewDivisor: at most a quarter of the workers count as few.
const fewOf = 4

// clearAtRisk takes back what was recorded for a worker that answers again: it hasn't crashed.
func (p *Pool) unwatch(w *worker) {
	if w.watched {
		for r := range w.runs {
			if r.trial == nil {
				p.acquit(r.task, r.number)
			}
		}
	}
	for _, l := range w.lost {
		l.task.adrift--
		p.acquit(l.task, l.number)
	}
	w.watched, w.lost = false, nil
}

// runsSingleJob reports whether only tasks of one job run on a worker.
func (w *worker) oneJob() bool {
	var one *job
	for r := range w.runs {
		if one != nil && r.task.job != one {
			return false
		}
		one = r.task.job
	}
	for _, l := range w.lost {
		if one != nil && l.task.job != one {
			return false
		}
		one = l.task.job
	}
	return one != nil && w.odd == 0
}

// tasksRuledOut reports whether a worker had runs, none of which can be the cause of its loss.
func (w *worker) innocent() bool {
	for r := range w.runs {
		if r.lived() < proof.Soon || r.trial != nil || r.task.trialTask().suspect {
			return false
		}
	}
	for _, l := range w.lost {
		if l.lived < proof.Soon || l.task.trialTask().suspect {
			return false
		}
	}
	return len(w.runs)+len(w.lost) > 0
}

// recordLoss records that a worker is dead, with the runs that were lost there. The loss is
// attributed a little later.
func (p *Pool) fell(w *worker, now time.Duration) {
	l := &loss{
		life: w.info.Life(), rack: w.info.Rack(), from: w.lostFrom(p.conf.Wait), at: w.silentAt, runs: w.lost, innocent: w.innocent(),
		alone: w.oneJob(),
	}
	if !w.silent {
		l.at = now
	}
	// Machines are ordered to leave only when they are empty.
	l.planned = w.info.Draining || len(l.runs) == 0 && w.leaving(l.at)
	for _, r := range l.runs {
		r.task.adrift--
		r.task.awaits++
		if !l.planned && !r.task.done && r.task.job.open() {
			// The successor has to know, should this owner not get to attribute the loss.
			p.try(r.task, gauge.Trial{Run: r.number, Worker: l.life.Worker, Born: l.life.Born, Alone: l.alone && r.told, Lived: r.lived})
		}
	}
	w.lost = nil
	p.losses = append(p.losses, l)
}

// isLeaving reports whether a worker was leaving, or being drained, when it stopped answering.
func (w *worker) leaving(at time.Duration) bool { return w.info.Draining || at < w.emptyUntil }

// attributeLosses finds the causes of losses, once they can be known.
func (p *Pool) judgeLosses(now time.Duration) {
	for _, l := range p.losses {
		if !l.judged && now >= max(l.at, p.resumed)+settleSpan {
			l.judged = true
			p.judgeLoss(l, now)
		}
	}
	p.losses = slices.DeleteFunc(p.losses, func(l *loss) bool { return l.judged && now > l.at+lossesFor })
}

func (p *Pool) judgeLoss(l *loss, now time.Duration) {
	toll := p.toll(l, now)
	together := toll.together()
	if len(l.runs) > 0 {
		p.conf.Count(EventCrashed)
		p.conf.Logs.Info("worker crashed", "pool", p.conf.Name, "worker", l.life.Worker, "born", l.life.Born, "runs", len(l.runs), "alone", l.alone,
			"together", together, "planned", l.planned, "age", now-l.at)
	}
	beside := l.beside()
	for _, r := range l.runs {
		r.task.awaits--
		if r.spared() {
			p.acquit(r.task, r.number)
			continue
		}
		if together || l.planned {
			p.excuse(r.task, r.number, r.lived)
			continue
		}
		if r.task.done || !r.task.job.open() {
			continue
		}
		p.try(r.task, gauge.Trial{
			Run: r.number, Worker: l.life.Worker, Born: l.life.Born, Crashed: true, Alone: !toll.unclear() && l.proves(r),
			Apart: !toll.unclear() && r.task.trials().Tried(r.number), Beside: beside[r.task], Lived: r.lived,
		})
		p.giveUp(r.task)
	}
}

// provesCrash reports whether nothing but the task can have crashed its worker: the run ended as
// soon after its start as those before, and no other job's task was there.
func (l *loss) proves(r lostRun) bool {
	return l.alone && r.told && r.lived < r.task.probation(r.number)
}

// lossOf is the loss of a worker that never reported to this owner.
func (p *Pool) lossOf(of gauge.Life, now time.Duration) *loss {
	for _, l := range p.losses {
		if l.life == of {
			return l
		}
	}
	return &loss{life: of, from: now, at: now, before: true}
}

// loseUnreported records that a worker of a previous owner, which has never reported to this one,
// can't run anything any more.
func (p *Pool) unheard(l gauge.Life, now time.Duration) {
	p.lostBefore = true
	if p.workers[l.Worker] == nil {
		p.losses = append(p.losses, &loss{life: l, from: now, at: now, judged: true, before: true})
	}
}

// loseReplaced records the loss of incarnations that were replaced before they reported to this
// owner. Why they were lost isn't known.
func (p *Pool) loseReplaced(now time.Duration) {
	for _, l := range p.replaced {
		p.losses = append(p.losses, &loss{life: l, from: now, at: now, judged: true, before: true})
	}
	p.replaced = nil
}

// unreportedWith counts the workers without a suspect that didn't report either: one may have left
// the pool meanwhile, several are a rack.
func (p *Pool) unheardWith(l *loss) int {
	n := 0
	for _, o := range p.losses {
		n += count(o.with(l) && !p.tried[o.life])
	}
	return n
}
