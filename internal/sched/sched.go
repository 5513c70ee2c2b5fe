// Package sched decides for one pool which task starts on which worker, and
// which runs stop. It is a state machine without input or output: what happens
// goes in with its time, orders come out. Its promises: a task never has two
// runs at once, room is never exceeded, no task starts before those it waits
// for, and no end is forgotten at a worker before the table has it.
//
// Times are readings of one steady clock that counts suspensions.
package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up a Pool.
type Config struct {
	Name  string
	Fence gauge.Fence   // this owner's fencing token
	Term  int           // owners before this one
	Hold  time.Duration // how far a worker's lease is extended at a time
	Start time.Duration // a start that arrives later than this is refused
	Wait  time.Duration // how long a worker may keep a hold waiting
	// Window is how many starts may be without an answer at a time; 0: any number.
	Window int
	Lane   int // the same, at one worker; not for gangs
	Logs   logr.Logger
	// Without names what is switched off.
	Without gauge.Without
	Count   func(event string) // counts what an operator should see; nil: nobody counts

	// Earlier are the workers that the owner before this one may have given
	// orders to, and Doubt is when everything has surely ended that it ordered.
	Earlier []gauge.Life
	Doubt   time.Duration
	// Over is when that is for workers of which the owner before knew: those that didn't
	// answer it. Without this each owner would wait anew for the same silent workers.
	Over map[gauge.Life]time.Duration
	// Unnoted is how many owners lately may have lost workers of which the table has no crash.
	Unnoted int
	// Emptied are the workers, by id, that the owner before kept empty, and until when.
	Emptied map[string]time.Duration
	// Longest is the longest lease that a worker grants. One that has started again may have one
	// that was meant for its life before, by another clock.
	Longest time.Duration
}

// Pool is the state of one pool at its owner. It is not safe for concurrent use.
type Pool struct {
	conf    Config
	site    *gauge.Site
	limit   time.Duration // no grant reaches beyond this
	jobs    map[string]*job
	past    map[string]past       // jobs that ended here
	workers map[string]*worker    // by id, as there is one life at a time
	earlier map[string]gauge.Life // workers of the owner before that haven't been heard
	unheld  []gauge.Worker        // lives that no hold is kept at yet
	written gauge.Fence           // version of the newest write of the lease's row
	// hearings are those that aren't over, newest the one that began last.
	hearings []*hearing
	newest   *hearing
	partial  bool // jobs may be missing: some could not be read yet
	orders   []Order
	halts    map[*run]bool // runs that are to end
	odds     map[*oddRun]bool
	suspects map[*task]bool       // tasks that may end their workers
	losses   []*loss              // workers that were lost lately
	replaced []gauge.Life         // over before this owner heard them, and not among the losses yet
	tried    map[gauge.Life]bool  // workers on which owners before this one tried suspects
	cancels  map[string]cancelled // of jobs that aren't known
	ticked   time.Duration        // when time was last told
	resumed  time.Duration        // when it was, after a pause of this process
	arrived  float64              // core-seconds of all jobs adopted so far
	came     int                  // how many these are
	doubts   bool                 // inherited tasks wait, in this round of starts
	flying   int                  // starts that have no answer yet
	counts   counts
	swept    time.Duration // when ended jobs were last forgotten

	lostBefore bool // workers were lost before this owner heard them

	sorted []*worker // workers by id; nil: to be sorted anew
	taking []*worker // memory for the next plan's rooms ...
	turned turns     // ... and for its turns
}

// New makes a Pool without jobs and workers.
func New(c Config) *Pool {
	if c.Count == nil {
		c.Count = func(string) {}
	}
	p := &Pool{
		conf: c, jobs: make(map[string]*job), past: make(map[string]past), halts: make(map[*run]bool), workers: make(map[string]*worker),
		earlier: make(map[string]gauge.Life), site: &gauge.Site{}, counts: newCounts(), odds: make(map[*oddRun]bool), cancels: make(map[string]cancelled),
		suspects: make(map[*task]bool), tried: make(map[gauge.Life]bool),
	}
	for _, l := range c.Earlier {
		if !l.Before(p.earlier[l.Worker]) {
			p.earlier[l.Worker] = l
		}
	}
	return p
}

// Configure takes in a configuration.
func (p *Pool) Configure(s *gauge.Site) { p.site = s }

// Limit sets the time beyond which no grant may reach: until then no other owner
// can have taken over.
func (p *Pool) Limit(t time.Duration) { p.limit = t }

// Workers takes in the platform's list.
func (p *Pool) Workers(list []gauge.Worker) {
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		if info.Pool != p.conf.Name {
			p.elsewhere(info)
			continue
		}
		w := p.listedAs(info)
		if w == nil {
			continue
		}
		seen[info.ID] = true
		if !w.listed {
			p.conf.Logs.Info("worker listed", "pool", p.conf.Name, "worker", info.ID, "born", info.Born, "addr", info.Addr)
		}
		if info.Draining && !w.info.Draining {
			p.conf.Logs.Info("worker drains", "pool", p.conf.Name, "worker", info.ID, "leaves", info.Leaves)
			w.leaves = p.ticked + info.Leaves
		}
		w.info = info
		w.listed, w.known = true, true
	}
	for id, w := range p.workers {
		if w.listed && !seen[id] {
			w.listed = false
			p.conf.Logs.Info("worker unlisted", "pool", p.conf.Name, "worker", id, "born", w.info.Born, "runs", len(w.runs))
		}
	}
}

// inherited is when the grants of the owners before to a worker have surely run out. A
// worker's lease is one for all that runs there and never gets shorter, so that theirs
// also covers what this owner starts.
func (p *Pool) inherited(l gauge.Life) time.Duration {
	if p.conf.Term == 0 {
		return 0
	}
	return p.doubtedUntil(l)
}

// doubtedUntil is when everything has surely ended on a worker that owners before this
// one ordered.
func (p *Pool) doubtedUntil(l gauge.Life) time.Duration {
	if over, ok := p.conf.Over[l]; ok {
		return min(over, p.conf.Doubt)
	}
	return p.conf.Doubt
}

// Left tells how much longer anything may run on the workers that don't answer.
func (p *Pool) Left(now time.Duration) map[gauge.Life]time.Duration {
	left := make(map[gauge.Life]time.Duration)
	for _, l := range p.earlier {
		left[l] = max(0, p.doubtedUntil(l)-now)
	}
	for _, w := range p.workers {
		if l := w.info.Life(); w.silent && !w.gone {
			left[l] = max(0, w.expiry-now, left[l])
		}
	}
	return left
}

// Name lists the workers for the lease row: those that this owner, or an earlier
// one that it hasn't heard about, may have given orders to. A successor asks all of
// them before it starts anything again that was there before it.
//
// Workers that run nothing and take nothing, and whose ends are in the table, are
// left out, and get no start before they are named again. Machines change pools several times a minute: named until
// their leases are over, workers of machines that have left would have a successor
// wait for them for seconds, with the whole pool's work.
func (p *Pool) Name() []gauge.Life {
	lives := make([]gauge.Life, 0, len(p.workers))
	awaited := p.awaited()
	for _, w := range p.byID() {
		if w.done() && !awaited[w.info.ID] {
			w.noted = false
			continue
		}
		lives = append(lives, w.info.Life())
	}
	for id := range awaited {
		if p.workers[id] == nil {
			lives = append(lives, p.earlierLife(id))
		}
	}
	return lives
}

// earlierLife is the life of a worker that isn't listed, as owners before knew it.
func (p *Pool) earlierLife(id string) gauge.Life {
	if l, ok := p.earlier[id]; ok {
		return l
	}
	return gauge.Life{Worker: id}
}

// Noted tells that the lease row in the table names these lives, as of a version.
func (p *Pool) Noted(lives []gauge.Life, version int64) {
	p.written = max(p.written, gauge.Fence(version))
	for _, w := range p.workers {
		if w.unfenced {
			p.raise(w)
		}
	}
	for _, l := range lives {
		w := p.current(l)
		if w != nil {
			w.noted = true
		}
	}
}

// Holding returns the next hold for a life of a worker, false if there is none: it is over.
func (p *Pool) Holding(l gauge.Life, now time.Duration) (gauge.Worker, gauge.HoldCall, bool) {
	w := p.current(l)
	if w == nil || w.gone {
		return gauge.Worker{}, gauge.HoldCall{}, false
	}
	c := gauge.HoldCall{Fence: p.fence(w)}
	if !w.silent && w.heard {
		// One that doesn't answer may have started again, and would forget its ends by the
		// numbers of those of its life before.
		c.LastSeen = w.kept
		// A worker that doesn't answer gets no extension: what runs there has
		// to end some time, so that it can start elsewhere.
		c.Until = w.grant(now, min(p.conf.Hold, p.limit-now))
		c.Wait = p.conf.Wait
	}
	return w.info, c, true
}

// HoldFailed takes in that a hold at a life of a worker got no answer.
func (p *Pool) HoldFailed(l gauge.Life, err error, now time.Duration) {
	w := p.current(l)
	if w == nil {
		return
	}
	if gauge.Is(err, gauge.KindReplaced) {
		p.over(w, "another life answers at its address", now)
		return
	}
	if !w.silent {
		p.conf.Logs.Info("worker silent", "pool", p.conf.Name, "worker", l.Worker, "born", l.Born, "runs", len(w.runs),
			"expires", w.expiry-now, "error", err.Error())
		w.silentAt = now
	} else {
		p.watch(w) // not at once: often it is the answer that was lost
	}
	w.silent = true
	p.raise(w)
	for r := range w.runs {
		p.land(r)
	}
}

// Silent tells whether the last hold at a life of a worker got no answer, or the life is over.
func (p *Pool) Silent(l gauge.Life) bool {
	w := p.current(l)
	return w == nil || w.silent
}

// over takes in that a worker's life has ended, and none of the same worker answers at its
// address: nothing runs there.
func (p *Pool) over(w *worker, why string, now time.Duration) {
	if w.gone {
		return
	}
	p.die(w, why, now)
	p.heard(w.info.ID)
}

// die ends a worker's life, with what runs there.
func (p *Pool) die(w *worker, why string, now time.Duration) {
	if w.gone {
		return
	}
	w.gone = true
	p.conf.Logs.Info("worker over", "pool", p.conf.Name, "worker", w.info.ID, "born", w.info.Born, "runs", len(w.runs), "reason", why)
	lost := len(w.runs)
	for r := range w.runs {
		p.lose(r, why, lost-1, now)
	}
	p.fell(w, now)
	p.forgetOdds(w)
}

// end takes a run off all lists: it is over, and can't begin any more.
func (p *Pool) end(r *run, now time.Duration) {
	r.worker.remove(r)
	p.land(r)
	p.endTrial(r)
	if !r.lost {
		p.acquit(r.task, r.number) // its worker has outlived it
	}
	delete(p.halts, r)
	r.task.detach(r)
	r.task.readyAt = now
	if len(r.task.runs) == 0 {
		r.task.awaySince = now
	}
}

// Tick takes in that time has passed: leases that ran out, occurrences that are
// due.
func (p *Pool) Tick(now time.Duration, wall time.Time) {
	if p.ticked > 0 && now-p.ticked > pausedSpan {
		p.resumed = now
	}
	p.ticked = now
	p.forgetCancels(now)
	for id, w := range p.workers {
		if w.silent && now > max(w.expiry, p.conf.Doubt) {
			p.forgetOdds(w) // whoever ordered them, their leases have run out
		}
		if now > w.expiry && (w.silent || !w.listed) {
			p.lapsed(w, now)
		}
		if len(w.lost) > 0 && w.silent && !w.listed {
			p.fell(w, now) // no row says any more that it lives
		}
		if !w.listed && now > w.expiry && len(w.runs) == 0 && (w.gone || w.silent && w.kept == w.ends) {
			p.forgetOdds(w)
			delete(p.workers, id)
			p.sorted = nil
		}
	}
	p.counts.occur(wall, now)
	p.lapse(now)
	p.judgeLosses(now)
	p.forget(now)
}

// sweepGap is the pause between two looks for ended jobs that may be forgotten: a
// minute of a large pool's are some ten thousand.
const sweepGap = time.Second

// forget drops what is remembered of jobs that ended long ago.
func (p *Pool) forget(now time.Duration) {
	if now < p.swept+sweepGap {
		return
	}
	p.swept = now
	for id, j := range p.past {
		if now > j.ended+pastFor {
			delete(p.past, id)
		}
	}
}

// byID lists the workers in a fixed order.
func (p *Pool) byID() []*worker {
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return p.sorted
}

// occur makes the occurrences that are due.
func (j *job) occur(wall time.Time, now time.Duration) {
	if !j.spec.Timed() || !j.open() {
		return
	}
	for j.next < j.spec.Occurrences() && !wall.Before(j.spec.DueAt(j.next)) {
		j.occurrence(j.next, now)
		j.next++
	}
}

// doubtful tells whether runs or ends of a task may exist that this owner hasn't
// heard of: the owner before it may have started it on a worker that hasn't answered
// yet, or that has ends left to tell.
func (p *Pool) doubtful(now time.Duration) bool {
	if len(p.earlier) > 0 {
		return true
	}
	for _, w := range p.workers {
		if w.held && !w.gone && (!w.silent || now <= w.expiry) {
			return true
		}
	}
	return false
}
