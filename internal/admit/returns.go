package admit

import (
	"maps"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound what a refused client is told.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// returnMargin is added to the time of a return: the ends of runs are known a little after they
	// happened, and the summary of the accepted work is up to maxWorkAge old.
	returnMargin = 100 * time.Millisecond
	// returnGrace is how late a client may come back before its promise is dropped.
	returnGrace = 500 * time.Millisecond
	// slotWidth is the resolution of the promised times.
	slotWidth = 100 * time.Millisecond
	// slotMargin is by how much a slot may be too early or late: by its width, and by what the pool
	// has done since the summary, once at the promise and once when the client comes back.
	slotMargin = slotWidth + 2*maxWorkAge
	// maxPromises bounds the promises: jobs without expected work take up no time, so that any
	// number of them would fit.
	maxPromises = 20_000
	// pruneInterval is the pause between two searches for promises that have expired.
	pruneInterval = time.Second
)

// returns is the ledger of refused jobs whose clients were told when to come back. A promise counts
// as work before later returns until the client comes back, or is late by more than returnGrace.
type returns struct {
	promises map[string]promised         // by job id
	slots    map[Group]map[int64]float64 // core-seconds that are promised, by time in units of slotWidth
	prunedAt time.Duration               // last prune
	earliest int64                       // no promise is for an earlier slot
}

type promised struct {
	group  Group
	slot   int64
	work   float64
	backAt time.Duration // when the client was told to come back
}

func newReturns() returns {
	return returns{promises: make(map[string]promised), slots: make(map[Group]map[int64]float64)}
}

// slot returns the time until a job would be accepted if it came back then, after the returns that
// were promised for before.
func (r *returns) slot(j *Job, d drain, now time.Duration) time.Duration {
	wait := max(0, d.after(0))
	if len(r.promises) == 0 {
		return wait
	}
	others := 0.0
	for i := r.earliest; wait <= maxRetryAfter && i <= int64((now+wait)/slotWidth); i++ {
		others += r.before(j, i)
		wait = max(wait, d.after(others))
	}
	return wait
}

// before returns the core-seconds that are promised in a slot before a job.
func (r *returns) before(j *Job, slot int64) float64 {
	sum := 0.0
	for g, slots := range r.slots {
		if g.isBefore(j, false) {
			sum += slots[slot]
		}
	}
	return sum
}

// due returns the core-seconds before a job for which there is capacity by now, and whose clients
// haven't come back yet, as they were told whole seconds.
func (r *returns) due(j *Job, now time.Duration) float64 {
	if len(r.promises) == 0 {
		return 0
	}
	sum := 0.0
	for i := r.earliest; i <= int64((now+slotMargin)/slotWidth); i++ {
		sum += r.before(j, i)
	}
	return sum
}

// promise enters a job's return into the ledger and returns what its client is told, in whole
// seconds. A job that can't be accepted within maxRetryAfter is promised nothing.
func (r *returns) promise(j *Job, wait, now time.Duration) time.Duration {
	told := min(maxRetryAfter, max(minRetryAfter, ceilSeconds(wait+returnMargin)))
	if wait > maxRetryAfter || len(r.promises) >= maxPromises {
		return told
	}
	p := promised{group: j.group(), slot: int64((now + wait) / slotWidth), work: j.Work, backAt: now + told}
	if len(r.promises) == 0 || p.slot < r.earliest {
		r.earliest = p.slot
	}
	r.add(p)
	r.promises[j.ID] = p
	return told
}

func ceilSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}

// remove drops the promise for a job that is submitted again. It returns when its client was told to
// come back; false: there was no promise.
func (r *returns) remove(id string) (time.Duration, bool) {
	p, ok := r.promises[id]
	if !ok {
		return 0, false
	}
	delete(r.promises, id)
	r.slots[p.group][p.slot] -= p.work
	return p.backAt, true
}

// prune drops the promises whose clients haven't come back.
func (r *returns) prune(now time.Duration) {
	if now < r.prunedAt+pruneInterval {
		return
	}
	r.prunedAt = now
	maps.DeleteFunc(r.promises, func(_ string, p promised) bool { return now > p.backAt+returnGrace })
	clear(r.slots) // summed up again, as rounding errors would add up otherwise
	first := true
	for _, p := range r.promises {
		if first || p.slot < r.earliest {
			r.earliest, first = p.slot, false
		}
		r.add(p)
	}
}

func (r *returns) add(p promised) {
	if r.slots[p.group] == nil {
		r.slots[p.group] = make(map[int64]float64)
	}
	r.slots[p.group][p.slot] += p.work
}
