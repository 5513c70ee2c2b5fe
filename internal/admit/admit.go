// Package admit decides at a job's submission whether its pool can serve it in time. It compares
// the work that is accepted and not done with the cores that the pool can use, and tells a refused
// client when to come back. It reads no clock and makes no calls.
package admit

import "time"

// Job is a job that is submitted, as far as the decision needs it.
type Job struct {
	ID        string
	Account   string
	Priority  int           // 0 is the highest
	Beyond    bool          // its account requests more than its share
	Work      float64       // expected core-seconds
	Cores     float64       // most cores that it can use at a time
	Chain     time.Duration // expected time of its longest chain of steps
	Objective time.Duration // time from its arrival by which it should be done
}

func (j *Job) group() Group { return Group{Priority: j.Priority, Beyond: j.Beyond} }

// Decision is the answer to a submission.
type Decision struct {
	Accepted   bool
	Returned   bool          // it was refused before, and the client has come back when told
	Ahead      float64       // core-seconds before the job; 0 if it is accepted
	RetryAfter time.Duration // whole seconds; 0 if it is accepted
}

// Controller decides for one pool. It is not safe for concurrent use.
type Controller struct {
	work      Work
	workAt    time.Duration
	workKnown bool
	accepted  map[string]*acceptedJob // jobs that the summary doesn't include yet, by id
	unadopted map[arrivalSecond]int   // of these, the jobs that the scheduler hasn't counted
	returns   returns
}

// acceptedJob is a job whose submission was admitted, and that is being stored or has just been
// adopted.
type acceptedJob struct {
	Job
	at      time.Duration
	adopted bool
}

// arrivalSecond is the second in which an account's jobs are counted together.
type arrivalSecond struct {
	account string
	at      time.Duration
}

const (
	// lateFactor is the multiple of its objective up to which a late job is worth something to its
	// client.
	lateFactor = 3
	// minWait is the wait that every job may have: a job whose own chain takes too long is accepted
	// where hardly anything is before it, as no later time would suit it better.
	minWait = 100 * time.Millisecond
	// maxWorkAge is the age from which a summary of the accepted work is replaced.
	maxWorkAge = 50 * time.Millisecond
	// storeTimeout is how long an admitted job that isn't adopted counts as accepted: a submission
	// waits for at most 2 s until it is stored, or isn't.
	storeTimeout = 3 * time.Second
	// headroom is the ratio of a pool's cores to those that tasks can use at once: tasks don't pack
	// exactly. Package sizing asks for machines by the same ratio.
	headroom = 1.25
)

// New returns a Controller that has no summary of the accepted work yet.
func New() *Controller {
	return &Controller{
		accepted: make(map[string]*acceptedJob), unadopted: make(map[arrivalSecond]int), returns: newReturns(),
	}
}

// NeedsWork reports whether the summary of the accepted work is missing or too old.
func (c *Controller) NeedsWork(now time.Duration) bool {
	return !c.workKnown || now-c.workAt >= maxWorkAge
}

// SetWork replaces the summary of the accepted work. Jobs that were admitted and that isAdopted
// reports are part of it; the others are added.
func (c *Controller) SetWork(w Work, isAdopted func(id string) bool, now time.Duration) {
	c.work, c.workAt, c.workKnown = w, now, true
	for id, j := range c.accepted {
		if isAdopted(id) || now-j.at > storeTimeout {
			c.MarkAdopted(id)
			delete(c.accepted, id)
			continue
		}
		c.work.Add(j.group(), j.Work, j.Cores)
	}
	c.returns.prune(now)
}

// MarkAdopted records that the scheduler knows an admitted job and has counted it for its account.
func (c *Controller) MarkAdopted(id string) {
	j := c.accepted[id]
	if j == nil || j.adopted {
		return
	}
	j.adopted = true
	key := arrivalSecond{j.Account, j.at.Truncate(time.Second)}
	if c.unadopted[key]--; c.unadopted[key] == 0 {
		delete(c.unadopted, key)
	}
}

// Unadopted returns how many jobs of an account were admitted in the present second and aren't
// adopted yet.
func (c *Controller) Unadopted(account string, now time.Duration) int {
	return c.unadopted[arrivalSecond{account, now.Truncate(time.Second)}]
}

// IsAdmitted reports whether a job was admitted a short time ago, so that it may be in progress.
func (c *Controller) IsAdmitted(id string) bool { return c.accepted[id] != nil }

// Cores returns the cores that can be used for jobs that end, of the cores that the pool can have.
func (c *Controller) Cores(reachable float64) float64 {
	return max(0, reachable-c.work.LongRunningCores) / headroom
}

// Decide decides on a job that is submitted now, with the given cores that the pool can use. Capacity
// that was promised to clients who are about to come back isn't given to others: otherwise these
// clients would be refused again and again.
func (c *Controller) Decide(j Job, cores float64, now time.Duration) Decision {
	backAt, returned := c.returns.remove(j.ID)
	options := optionsFor(&j)
	if c.fits(&j, options, cores, returned && now >= backAt, now) {
		c.accept(j, now)
		return Decision{Accepted: true, Returned: returned}
	}
	return c.refuse(&j, options, cores, now)
}

// refuse promises a job capacity at the earliest time at which one of the options would be open to it.
func (c *Controller) refuse(j *Job, options []option, cores float64, now time.Duration) Decision {
	earliest, total := time.Duration(0), 0.0
	for i, o := range options {
		a := c.work.ahead(j, o)
		wait := c.returns.slot(j, a.drain(cores), now)
		if i == 0 || wait < earliest {
			earliest = wait
		}
		total = a.total
	}
	return Decision{Ahead: total, RetryAfter: c.returns.promise(j, earliest, now)}
}

// fits reports whether the pool can serve a job. A job that is back as promised has a little more
// time to start, and the promises to others don't count.
func (c *Controller) fits(j *Job, options []option, cores float64, promised bool, now time.Duration) bool {
	due := 0.0
	if !promised {
		due = c.returns.due(j, now)
	}
	for _, o := range options {
		if promised {
			o.wait += slotMargin
		}
		if c.work.ahead(j, o).with(due).within(cores) {
			return true
		}
	}
	return false
}

// accept counts a job as accepted work until the scheduler reports it.
func (c *Controller) accept(j Job, now time.Duration) {
	if c.accepted[j.ID] != nil {
		return
	}
	c.accepted[j.ID] = &acceptedJob{Job: j, at: now}
	c.unadopted[arrivalSecond{j.Account, now.Truncate(time.Second)}]++
	c.work.Add(j.group(), j.Work, j.Cores)
}

// option is one way in which a job can be served in time.
type option struct {
	wait time.Duration // longest time until it starts
	late bool          // it starts after its objective can't be met any more
}

// optionsFor returns the ways in which a job can be served in time. A job within its account's share
// may start while it can meet its objective, which puts it before late work, or after that, as late
// work itself. A job beyond the share must meet its objective.
func optionsFor(j *Job) []option {
	timely := option{wait: max(minWait, j.Objective-j.Chain)}
	if j.Beyond {
		return []option{timely}
	}
	return []option{timely, {wait: max(minWait, lateFactor*j.Objective-j.Chain), late: true}}
}
