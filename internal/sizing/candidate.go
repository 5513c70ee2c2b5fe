package sizing

import (
	"cmp"
	"container/heap"

	gauge "sapphiregauge"
)

// candidate is a machine that may leave its pool, and what runs on it.
type candidate struct {
	machine gauge.Machine
	load    gauge.WorkerLoad
	pending bool // a maintenance wave will take it
}

// isLessDisruptive reports whether moving a machine disrupts less than moving another one: one that
// no wave will take comes first, then the one with less work left, then the one with fewer runs,
// then the lower ID.
func (c candidate) isLessDisruptive(o candidate) bool {
	if c.pending != o.pending {
		return o.pending
	}
	return cmp.Or(cmp.Compare(c.load.RemainingTime, o.load.RemainingTime), cmp.Compare(c.load.Runs, o.load.Runs), cmp.Compare(c.machine.ID, o.machine.ID)) < 0
}

// candidates is a heap with the least disruptive candidate on top. Searching all machines of a pool
// for each one that is chosen takes a time that grows with the square of the pool.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return c[i].isLessDisruptive(c[j]) }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *candidates) Push(x any)        { *c = append(*c, x.(candidate)) }
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// nextCandidate takes the machine of a pool that takes the least work to drain. Machines with
// long-running tasks don't qualify: these tasks would have to move, and their users would notice.
func (s *Sizer) nextCandidate(pool string, isTaken func(string) bool) (gauge.Machine, bool) {
	c := s.index.candidates[pool]
	if c == nil {
		c = s.candidatesOf(pool, isTaken)
		s.index.candidates[pool] = c
	}
	if c.Len() == 0 {
		return gauge.Machine{}, false
	}
	return heap.Pop(c).(candidate).machine, true
}

func (s *Sizer) candidatesOf(pool string, isTaken func(string) bool) *candidates {
	workers := s.loads[pool].workers
	c := make(candidates, 0, len(s.index.machines[pool]))
	for _, m := range s.index.machines[pool] {
		if m.State != gauge.MachineUp || s.moves[m.ID] != nil || isTaken(m.ID) {
			continue
		}
		if load := workers[m.Worker]; load.LongRunning == 0 {
			c = append(c, candidate{machine: m, load: load, pending: s.isPending(m.ID)})
		}
	}
	heap.Init(&c)
	return &c
}
