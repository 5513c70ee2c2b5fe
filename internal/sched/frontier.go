package sched

import (
	"slices"

	gauge "sapphiregauge"
)

// frontier holds the largest amounts that are free on one worker: each worker's free capacity is
// within one of them, and none is within another. In a full pool what is left on the workers is
// uneven: some have processors and no memory, others the reverse. The maximum of each resource alone
// would admit thousands of waiting tasks that fit on no worker, and each would be tried on all of
// them in every plan.
type frontier []gauge.Resources

// add returns the frontier with one more worker's free capacity.
func (f frontier) add(free gauge.Resources) frontier {
	if free.MilliCPU < 0 || free.MemoryMB < 0 || free.Accels < 0 || f.contains(free) {
		return f
	}
	f = slices.DeleteFunc(f, free.Contains)
	return append(f, free)
}

// contains reports whether an amount is free on one worker.
func (f frontier) contains(need gauge.Resources) bool {
	for _, free := range f {
		if free.Contains(need) {
			return true
		}
	}
	return false
}
