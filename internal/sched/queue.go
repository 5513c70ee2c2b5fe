package sched

import "container/heap"

// candidateGroup holds the candidates whose order a start doesn't change: those of one client
// account, or all while accounts aren't ordered.
type candidateGroup struct {
	overuse float64       // level of the account while it is above its fair share; otherwise 0
	first   candidateHeap // those that are left
	all     candidateHeap // those of this plan, to be cleared after it
}

// candidateQueue orders the candidates of a plan: by class, priority, beyondShare and lateness, then
// those of accounts within their fair share before the others, and of these the account with the
// lower level first, then by the rest of their ranks.
//
// It is a heap of groups by their first candidates, as a start raises the level of one account and
// moves all of its candidates at once: ranking a thousand candidates of an account again at each
// start would cost more than the rest of the plan.
type candidateQueue struct {
	groups []*candidateGroup
	used   []*candidateGroup // the groups of this plan, to be cleared after it
	common candidateGroup    // of the candidates without an order between accounts
}

func (q *candidateQueue) Len() int { return len(q.groups) }
func (q *candidateQueue) Less(i, k int) bool {
	return q.groups[i].isBefore(q.groups[k], &q.groups[k].first[0])
}
func (q *candidateQueue) Swap(i, k int) { q.groups[i], q.groups[k] = q.groups[k], q.groups[i] }

// isBefore reports whether the first candidate of the group comes before one of another group.
func (g *candidateGroup) isBefore(o *candidateGroup, other *candidate) bool {
	first := &g.first[0]
	a, b := &first.rank, &other.rank
	sameKind := a.class == b.class && a.priority == b.priority && a.beyond == b.beyond && a.lateness == b.lateness
	if sameKind && g.overuse != o.overuse {
		return g.overuse < o.overuse
	}
	return first.isBefore(other)
}

// Push implements heap.Interface; nothing is added by it.
func (q *candidateQueue) Push(any) {}

// Pop implements heap.Interface. It returns nil, as only empty groups are removed.
func (q *candidateQueue) Pop() any {
	q.groups = q.groups[:len(q.groups)-1]
	return nil
}

// add adds a candidate to a group; nil: there is no order between accounts. It is not in order
// before init.
func (q *candidateQueue) add(g *candidateGroup, c candidate) {
	if g == nil {
		g = &q.common
	}
	if len(g.all) == 0 {
		q.groups, q.used = append(q.groups, g), append(q.used, g)
	}
	g.all = append(g.all, c)
}

// init puts the candidates in order.
func (q *candidateQueue) init() {
	for _, g := range q.groups {
		g.first = g.all
		heap.Init(&g.first)
	}
	heap.Init(q)
}

// hasNext reports whether a candidate is left, and puts the group in order whose candidate was taken
// last.
func (q *candidateQueue) hasNext() bool {
	if len(q.groups) == 0 {
		return false
	}
	if len(q.groups[0].first) == 0 {
		heap.Pop(q)
		return len(q.groups) > 0
	}
	heap.Fix(q, 0)
	return true
}

// next removes and returns the first candidate. It stays in the first group until hasNext, so that
// starts may change the level of its account meanwhile, but not of others.
func (q *candidateQueue) next() candidate { return q.groups[0].first.next() }

// precede reports whether another account's candidate comes before the one that next has returned.
func (q *candidateQueue) precede(c *candidate) bool {
	const children = 2 // of the first group in the heap: one of them holds the first of the others
	for _, g := range q.groups[1:min(1+children, len(q.groups))] {
		if g.isBefore(q.groups[0], c) {
			return true
		}
	}
	return false
}

// putBack adds the candidate again that next has returned.
func (q *candidateQueue) putBack(c candidate) {
	g := q.groups[0]
	g.first = append(g.first, c)
	heap.Fix(&g.first, len(g.first)-1)
}

// clear removes all candidates.
func (q *candidateQueue) clear() {
	for _, g := range q.used {
		clear(g.all)
		g.all, g.first = g.all[:0], nil
	}
	q.groups, q.used = q.groups[:0], q.used[:0]
}
