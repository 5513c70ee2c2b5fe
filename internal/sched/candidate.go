package sched

import (
	"container/heap"
	"time"

	gauge "sapphiregauge"
)

// candidate is a stage with tasks that may start, and its rank.
type candidate struct {
	job   *job
	stage *stage
	rank  rank
	// advice policy of its queue, nil if it has none
	advice *gauge.Advice
}

// candidateHeap is a heap with the first candidate on top. Of a thousand candidates only the few
// for which there is room are put in order.
type candidateHeap []candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(i, k int) bool { return h[i].isBefore(&h[k]) }
func (h candidateHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface; nothing is added by it.
func (h *candidateHeap) Push(any) {}

// Pop implements heap.Interface. It returns nil: next reads the first element before it calls Pop.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// next removes and returns the first candidate.
func (h *candidateHeap) next() candidate {
	first := (*h)[0]
	heap.Pop(h)
	return first
}

// candidates ranks the waiting stages for which a worker has room.
func (p *Pool) candidates(round *placementRound, now time.Duration) *candidateQueue {
	q, f := &p.queue, &p.index.fair
	if len(p.index.waiting) == 0 || !round.longRunningRoom.contains(p.index.minNeed) {
		return q
	}
	f.reset()
	p.index.pruneWaiting(func(st *stage, need gauge.Resources) {
		g := f.addWaiting(st)
		if round.hasRoom(st, need) {
			q.add(g, candidate{job: st.job, stage: st, rank: p.rank(st.job, st.occ, st, now), advice: p.advice(st.job)})
		}
	})
	p.rankAccounts(now)
	q.init()
	return q
}
