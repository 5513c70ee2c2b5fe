package sched

import (
	"container/heap"
	"time"

	gauge "sapphiregauge"
)

// turn is a stage with tasks that may start, and its rank.
type turn struct {
	job   *job
	stage *stage
	rank  rank
	// advice of its queue, nil if it has none
	advice *gauge.Advice
}

// rank orders turns: the lower one starts first.
type rank struct {
	lasting  int // 0: lasting tasks, which are few and earn all the time
	priority int
	late     int // 0: it can meet its objective; 1: it can't; 2: long past it
	due      time.Duration
}

// before tells whether the turn comes before another. It is asked some thousand
// times a plan: what decides is looked at first, and nothing after it.
func (t *turn) before(o *turn) bool {
	a, b := &t.rank, &o.rank
	switch {
	case a.lasting != b.lasting:
		return a.lasting < b.lasting
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.late != b.late:
		return a.late < b.late
	case a.due != b.due:
		return a.due < b.due
	default:
		return t.job.id < o.job.id
	}
}

// turns is a heap, the first turn on top: of a thousand that wait only the few are
// put in order for which there is room.
type turns []turn

func (t turns) Len() int           { return len(t) }
func (t turns) Less(i, k int) bool { return t[i].before(&t[k]) }
func (t turns) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }

// Push is of heap.Interface; nothing is put in later.
func (t *turns) Push(any) {}

// Pop is of heap.Interface. What it returns has been read already.
func (t *turns) Pop() any {
	*t = (*t)[:len(*t)-1]
	return nil
}

// next takes the first turn out.
func (t *turns) next() turn {
	first := (*t)[0]
	heap.Pop(t)
	return first
}

// turns ranks the stages that wait and that the freest worker could take.
func (p *Pool) turns(most gauge.Resources, now time.Duration) turns {
	if len(p.counts.waiting) == 0 || !most.Holds(p.counts.least) {
		return nil
	}
	list := p.turned[:0]
	p.counts.sift(func(st *stage, need gauge.Resources) {
		if most.Holds(need) {
			list = append(list, turn{job: st.job, stage: st, rank: p.rank(st.job, st.occ, st, now), advice: p.advice(st.job)})
		}
	})
	p.turned = list
	heap.Init(&list)
	return list
}

// policy is the configuration of a job's queue, nil if it has none. It is looked up
// once in a configuration.
func (p *Pool) policy(j *job) *gauge.Queue {
	if j.site == p.site {
		return j.policy
	}
	j.site, j.policy = p.site, p.site.QueueByName(j.queue)
	stretch, target := float64(defaultStretch), time.Duration(0)
	if j.policy != nil {
		stretch, target = j.policy.Stretch, j.policy.Target
	}
	j.objective = time.Duration(stretch*float64(j.chain)) + target
	return j.policy
}

// advice is the policy of a job's queue, nil if it has none.
func (p *Pool) advice(j *job) *gauge.Advice {
	if q := p.policy(j); q != nil {
		return q.Advice
	}
	return nil
}

// defaultStretch is used for a queue that the configuration no longer has.
const defaultStretch = 2

// lateFactor: up to three times the objective a late job is still worth
// something to its caller.
const lateFactor = 3

func (p *Pool) rank(j *job, o *occurrence, st *stage, now time.Duration) rank {
	r := rank{lasting: 1}
	if st.spec.Lasts {
		r.lasting = 0
		if st.spec.Fills {
			r.lasting = 1
		}
	}
	if q := p.policy(j); q != nil {
		r.priority = q.Priority
	}
	r.due = j.arrived + j.objective
	left := r.due - now
	if p.conf.Without.Has(gauge.MechanismDeadline) {
		r.due = j.arrived
	}
	switch {
	case p.conf.Without.Has(gauge.MechanismTimely):
	case left < -j.objective*(lateFactor-1):
		r.late = 2
	case left < o.chain()/2:
		r.late = 1
	}
	return r
}
