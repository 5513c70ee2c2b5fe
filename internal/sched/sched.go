// Package sched decides for one pool which task starts on which worker, and
// which runs stop. It is a state machine without input or output: what happens
// goes in with its time, orders come out. Its promises: a task never has two
// runs at once, room is never exceeded, no task starts before those it waits
// for, and no end is forgotten at a worker before the table has it.
//
// Times are readings of one steady clock that counts suspensions.
package sched

import (
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
	Logs  logr.Logger
	Count func(event string) // counts what an operator should see; nil: nobody counts

	// Earlier are the workers that the owner before this one may have given
	// orders to, and Doubt is when everything has surely ended that it ordered.
	Earlier []string
	Doubt   time.Duration
}

// Pool is the state of one pool at its owner. It is not safe for concurrent use.
type Pool struct {
	conf    Config
	site    *gauge.Site
	limit   time.Duration // no grant reaches beyond this
	jobs    map[string]*job
	past    map[string]past // jobs that ended here
	workers map[string]*worker
	earlier map[string]bool // workers of the owner before that haven't been heard
	partial bool            // jobs may be missing: some could not be read yet
	orders  []Order
	halts   map[*run]bool // runs that are to end
	arrived float64       // core-seconds of all jobs adopted so far
}

// OrderKind is what is ordered.
type OrderKind string

// The orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
	OrderLook  OrderKind = "look" // what runs there now?
	// OrderAdvise asks the advice service. Its outcome is to be told by Advised.
	OrderAdvise OrderKind = "advise"
)

// Order is one call to a worker. Its outcome is to be told by Answered.
type Order struct {
	Kind   OrderKind
	Worker gauge.Worker
	Start  gauge.StartCall
	Stop   gauge.StopCall
	Pace   gauge.PaceCall
	Look   gauge.HoldCall
	Step   string   // asked about
	About  []string // workers
	stage  *stage
	valid  time.Duration
	run    *run
}

// Events that are counted, beside the ends of runs by how they came. The first
// three are signs of a promise in danger.
const (
	EventSurplus  = "surplus run"      // a task had two runs; the surplus one is stopped
	EventVanished = "run vanished"     // a worker lost a run without an end
	EventOdd      = "run of ended job" // a run of a job that is not open; stopped
	EventLapsed   = "worker lapsed"    // a silent worker's lease ran out with runs there
	EventFailed   = "job failed"
	EventDone     = "job completed"
)

// New makes a Pool without jobs and workers.
func New(c Config) *Pool {
	if c.Count == nil {
		c.Count = func(string) {}
	}
	p := &Pool{
		conf: c, jobs: make(map[string]*job), past: make(map[string]past), halts: make(map[*run]bool), workers: make(map[string]*worker),
		earlier: make(map[string]bool), site: &gauge.Site{},
	}
	for _, id := range c.Earlier {
		p.earlier[id] = true
	}
	return p
}

// Configure takes in a configuration.
func (p *Pool) Configure(s *gauge.Site) { p.site = s }

// Limit sets the time beyond which no grant may reach: until then no other owner
// can have taken over.
func (p *Pool) Limit(t time.Duration) { p.limit = t }

// Workers takes in the platform's list. It returns those that are new.
func (p *Pool) Workers(list []gauge.Worker) []gauge.Worker {
	seen := make(map[string]bool, len(list))
	var fresh []gauge.Worker
	for _, info := range list {
		if info.Pool != p.conf.Name {
			continue
		}
		seen[info.ID] = true
		w := p.workers[info.ID]
		if w == nil {
			w = &worker{runs: make(map[*run]bool)}
			p.workers[info.ID] = w
			fresh = append(fresh, info)
			p.conf.Logs.Info("worker listed", "pool", p.conf.Name, "worker", info.ID, "addr", info.Addr)
		}
		if info.Draining && !w.info.Draining {
			p.conf.Logs.Info("worker drains", "pool", p.conf.Name, "worker", info.ID, "leaves", info.Leaves)
		}
		w.info = info
		w.listed = true
	}
	for id, w := range p.workers {
		if w.listed && !seen[id] {
			w.listed = false
			p.conf.Logs.Info("worker unlisted", "pool", p.conf.Name, "worker", id, "runs", len(w.runs))
		}
	}
	return fresh
}

// Known lists the workers that this owner may have given orders to, for the
// lease row.
func (p *Pool) Known() []string {
	ids := make([]string, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	for id := range p.earlier {
		if p.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// Noted tells that the lease row in the table names these workers.
func (p *Pool) Noted(ids []string) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.noted = true
		}
	}
}

// Adopt takes in a job that the table has. Arrived is when it was accepted.
// Inherited: it was there before this owner took over, so that runs of it may
// exist. A job that is known already is left as it is.
//
// A notice of a job may come late: after the job has ended here, or from before
// this owner took over, when the job is one that was read from the table or has
// ended. Taken in then, the job would run a second time.
func (p *Pool) Adopt(id, queue string, spec *gauge.JobSpec, row *gauge.JobRow, version int64, arrived, now time.Duration, inherited bool) {
	if p.Knows(id) || (!inherited && version <= int64(p.conf.Fence)) {
		return
	}
	j := &job{
		id: id, queue: queue, spec: spec, row: *row, version: version, arrived: arrived, inherited: inherited,
		occs: make(map[int]*occurrence), next: row.Over, chain: longest(spec),
	}
	p.jobs[id] = j
	p.arrived += work(spec)
	if inherited {
		j.begun = len(row.Done) > 0 || row.Over > 0
	}
	if !spec.Timed() {
		j.occurrence(0, now)
		j.next = 1
	}
	if inherited && p.conf.Term > 0 {
		j.skipNumbers(p.conf.Term)
	}
	p.conf.Logs.Info("job adopted", "job", id, "queue", queue, "pool", p.conf.Name, "version", version,
		"state", row.State, "inherited", inherited, "age", now-arrived)
}

// numbersPerTerm is how many run numbers each owner has to itself for jobs that
// it inherits, so that a run of an earlier owner that nobody heard of is never
// mistaken for one of this owner's.
const numbersPerTerm = 1000

func (j *job) skipNumbers(term int) {
	for _, o := range j.occs {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				t.lastRun = max(t.lastRun, term*numbersPerTerm)
			}
		}
	}
}

// Partial tells that jobs may be missing, as some of the table can't be read. What
// runs of jobs that aren't known is left alone until they are, and ends of theirs
// stay with the workers.
func (p *Pool) Partial(missing bool) { p.partial = missing }

// Rehear makes inherited tasks wait until every worker has been heard anew, or can
// run nothing any more: what they told so far of jobs that are to be adopted now
// was left aside.
func (p *Pool) Rehear(now time.Duration) {
	p.conf.Doubt = max(p.conf.Doubt, now)
	for id, w := range p.workers {
		if !w.gone {
			p.earlier[id] = true
			p.conf.Doubt = max(p.conf.Doubt, w.expiry)
		}
	}
}

// Knows tells whether a job has been adopted, also if it has ended since.
func (p *Pool) Knows(id string) bool {
	_, past := p.past[id]
	return past || p.jobs[id] != nil
}

// past is what is remembered of a job that has ended and is in the table so.
type past struct {
	queue string
	state gauge.JobState
	ended time.Duration
}

// pastFor is how long it is remembered that a job has ended here: well beyond
// the last try to deliver a notice of it, and any reading of the table that was
// under way.
const pastFor = time.Minute

// Cancel takes in that a job's row says it is cancelled, as of a version.
func (p *Pool) Cancel(id string, version int64) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	if version > j.version {
		j.version = version
	}
	p.conf.Logs.Info("job cancelled", "job", id, "pool", p.conf.Name, "version", version)
	j.cancel()
	p.haltJob(j)
}

// halt has a run end.
func (p *Pool) halt(r *run) {
	r.stop = true
	p.halts[r] = true
}

// haltJob has all runs of a job end that is over.
func (p *Pool) haltJob(j *job) {
	for _, r := range j.live() {
		p.halt(r)
	}
}

// State tells how far a job of a queue is; false if it isn't known here.
func (p *Pool) State(queue, id string) (gauge.JobState, bool) {
	if old, ok := p.past[id]; ok && old.queue == queue {
		return old.state, true
	}
	j := p.jobs[id]
	if j == nil || j.queue != queue {
		return "", false
	}
	if j.row.State.Final() && j.row.State != gauge.JobCancelled && j.dirty() {
		return gauge.JobRunning, true // not told before the table has it; a cancel it has
	}
	if j.begun && !j.row.State.Final() {
		return gauge.JobRunning, true
	}
	return j.row.State, true
}

// Depths counts by queue the jobs of which no task has started.
func (p *Pool) Depths() map[string]int {
	d := make(map[string]int)
	for _, j := range p.jobs {
		if !j.begun && j.open() {
			d[j.queue]++
		}
	}
	return d
}

// attempts is how often a task of the job may fail.
func (p *Pool) attempts(j *job) int {
	if q := p.site.QueueByName(j.queue); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultAttempts
}

// defaultAttempts is used for a queue that the configuration no longer has.
const defaultAttempts = 2

// Holding returns the next hold for a worker, false if there is none: the
// worker is over.
func (p *Pool) Holding(id string, now time.Duration) (gauge.Worker, gauge.HoldCall, bool) {
	w := p.workers[id]
	if w == nil || w.gone {
		return gauge.Worker{}, gauge.HoldCall{}, false
	}
	c := gauge.HoldCall{Fence: p.conf.Fence, LastSeen: w.kept}
	if !w.silent && w.heard {
		// A worker that doesn't answer gets no extension: what runs there has
		// to end some time, so that it can start elsewhere.
		c.Until = w.grant(now, min(p.conf.Hold, p.limit-now))
		c.Wait = p.conf.Wait
	}
	return w.info, c, true
}

// HoldFailed takes in that a hold got no answer.
func (p *Pool) HoldFailed(id string, err error, now time.Duration) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if gauge.Is(err, gauge.KindReplaced) {
		p.over(w, "another life answers at its address", now)
		return
	}
	if !w.silent {
		p.conf.Logs.Info("worker silent", "pool", p.conf.Name, "worker", id, "runs", len(w.runs),
			"expires", w.expiry-now, "error", err.Error())
	}
	w.silent = true
}

// over takes in that a worker's life has ended: nothing runs there.
func (p *Pool) over(w *worker, why string, now time.Duration) {
	if w.gone {
		return
	}
	w.gone = true
	p.conf.Logs.Info("worker over", "pool", p.conf.Name, "worker", w.info.ID, "runs", len(w.runs), "reason", why)
	for r := range w.runs {
		p.end(r, now)
	}
	delete(p.earlier, w.info.ID)
}

// end takes a run off all lists: it is over, and can't begin any more.
func (p *Pool) end(r *run, now time.Duration) {
	r.worker.remove(r)
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
	for id, w := range p.workers {
		if now > w.expiry && (w.silent || !w.listed) && len(w.runs) > 0 {
			p.conf.Count(EventLapsed)
			p.conf.Logs.Info("worker lapsed", "pool", p.conf.Name, "worker", id, "runs", len(w.runs))
			for r := range w.runs {
				p.end(r, now)
			}
		}
		if !w.listed && now > w.expiry && (w.silent || w.gone) {
			delete(p.workers, id)
		}
	}
	for _, j := range p.jobs {
		j.occur(wall, now)
	}
	if now > p.conf.Doubt {
		clear(p.earlier)
	}
	for id, j := range p.past {
		if now > j.ended+pastFor {
			delete(p.past, id)
		}
	}
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

// doubtful tells whether runs of a task may exist that this owner hasn't heard
// of: the owner before it may have started them on a worker that hasn't answered
// yet.
func (p *Pool) doubtful() bool { return len(p.earlier) > 0 }
