package sched

import (
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/proof"
)

const (
	// settleSpan after a worker was lost others that were lost with it have shown: till then
	// nobody knows what it was lost for, and what ran there waits.
	settleSpan = time.Second
	// pausedSpan without a tick, of which there are ten a second: this process stood still, and
	// heard of none of the losses meanwhile.
	pausedSpan = 500 * time.Millisecond
	// lossesFor is how long a loss is remembered, to be compared with others.
	lossesFor = 10 * time.Second
)

// lostRun is a run that ended with its worker's life, or its lease.
type lostRun struct {
	task   *task
	number int
	lived  time.Duration
	told   bool // its worker has told that it was there
	order  *run // its worker hasn't, and the next life may have had the order; else nil
}

// spared tells whether the run was not lost after all.
func (l lostRun) spared() bool { return l.order != nil && l.order.spared }

// loss is a worker whose life is over.
type loss struct {
	life gauge.Life
	rack string
	from time.Duration // it has answered till then ...
	at   time.Duration // ... and not since: it was lost in between
	runs []lostRun
	// innocent: there were runs, and none of them can be why it was lost.
	innocent bool
	planned  bool // it was to leave, or to be emptied
	alone    bool // tasks of one job were all that ran there
	judged   bool
	// before: this owner never heard it, so that nobody knows when it was lost.
	before bool
}

// lose ends a run together with its worker. The line tells how long the run surely lived and
// how many others were lost with it: a task that ends its workers shows by runs that are lost
// soon after their starts, one worker after the other.
func (p *Pool) lose(r *run, why string, with int, now time.Duration) {
	p.conf.Count(EventLost)
	p.conf.Logs.Info("run lost", "job", r.task.id.Job, "task", r.task.id.String(), "run", r.number, "worker", r.worker.info.ID,
		"addr", r.worker.info.Addr, "lived", r.lived(), "started", now-r.sent, "with", with, "reason", why)
	r.worker.leave(lostRun{task: r.task, number: r.number, lived: r.lived(), told: r.toldAt > 0})
	r.lost = true
	p.end(r, now)
}

// leave keeps a run that was lost until it is known what became of the worker.
func (w *worker) leave(l lostRun) {
	l.task.adrift++
	w.lost = append(w.lost, l)
}

// lapsed takes in that a worker's lease has run out: with it has all that is known to have run there.
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

// lived is how long the run has lived at the least: until its worker last told of it.
func (r *run) lived() time.Duration { return r.credit + max(0, r.toldAt-r.sent) }

// watch notes what runs on a worker that has stopped answering. A successor would otherwise
// start it again without knowing that its worker has crashed: an owner learns that by the
// answer of the worker's next life, seconds later.
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

// fewSilent tells whether only some workers don't answer: with most of them it is this
// owner's way to them, or their power, and no task's doing.
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

// fewOf: a quarter of the workers are few.
const fewOf = 4

// unwatch takes back what was noted of a worker that answers again: it hasn't crashed.
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

// oneJob tells whether tasks of one job are all that runs on a worker.
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

// innocent tells whether a worker had runs of which none can be why it was lost.
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

// fell takes in that a worker's life is over, with the runs that were lost there. What
// it was lost for is judged a little later.
func (p *Pool) fell(w *worker, now time.Duration) {
	l := &loss{
		life: w.info.Life(), rack: w.info.Rack(), from: w.lostFrom(p.conf.Wait), at: w.silentAt, runs: w.lost, innocent: w.innocent(),
		alone: w.oneJob(),
	}
	if !w.silent {
		l.at = now
	}
	// Only empty machines are ordered to leave.
	l.planned = w.info.Draining || len(l.runs) == 0 && w.leaving(l.at)
	for _, r := range l.runs {
		r.task.adrift--
		r.task.awaits++
		if !l.planned && !r.task.done && r.task.job.open() {
			// The next owner has to know, should this one not come to judge it.
			p.try(r.task, gauge.Trial{Run: r.number, Worker: l.life.Worker, Born: l.life.Born, Alone: l.alone && r.told, Lived: r.lived})
		}
	}
	w.lost = nil
	p.losses = append(p.losses, l)
}

// leaving tells whether a worker was to leave, or to be emptied, when it stopped answering.
func (w *worker) leaving(at time.Duration) bool { return w.info.Draining || at < w.emptyUntil }

// judgeLosses finds out what workers were lost for, once that can be known.
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

// proves tells whether nothing but a task can have ended its worker: it ended as soon after
// its start as those before, and nothing else was there.
func (l *loss) proves(r lostRun) bool {
	return l.alone && r.told && r.lived < r.task.probation(r.number)
}

// lossOf is the loss of a worker that this owner never heard.
func (p *Pool) lossOf(of gauge.Life, now time.Duration) *loss {
	for _, l := range p.losses {
		if l.life == of {
			return l
		}
	}
	return &loss{life: of, from: now, at: now, before: true}
}

// unheard takes in that a worker of an owner before can run nothing any more, and has never
// answered to this one.
func (p *Pool) unheard(l gauge.Life, now time.Duration) {
	p.lostBefore = true
	if p.workers[l.Worker] == nil {
		p.losses = append(p.losses, &loss{life: l, from: now, at: now, judged: true, before: true})
	}
}

// loseReplaced takes in the workers that have started again before this owner heard their lives
// before: what these were lost for it doesn't know, but which were lost.
func (p *Pool) loseReplaced(now time.Duration) {
	for _, l := range p.replaced {
		p.losses = append(p.losses, &loss{life: l, from: now, at: now, judged: true, before: true})
	}
	p.replaced = nil
}

// unheardWith counts the workers without a suspect that were not heard either: one may have
// left the pool meanwhile, several are a rack.
func (p *Pool) unheardWith(l *loss) int {
	n := 0
	for _, o := range p.losses {
		n += count(o.with(l) && !p.tried[o.life])
	}
	return n
}
