package sched

import (
	"slices"
	"time"
)

// runTime is how long a run took that ended as done, from its order to the report of its end.
type runTime struct {
	worker *worker
	took   time.Duration
}

// recordRunTime records the time of a run that ended as done. Times are kept for speculative steps
// only, in which runs of other tasks show how long a run should take. A run that a previous owner
// started, or that resumed from a checkpoint, shows nothing.
func (st *stage) recordRunTime(r *run, took time.Duration) {
	st.lastDoneAt = r.orderedAt + took
	if st.spec.Speculative && !r.inherited && !r.resumed {
		st.runTimes = append(st.runTimes, runTime{worker: r.worker, took: took})
	}
}

// medianRunTime returns the median time of the step's runs that ended as done on other workers than
// the given one (nil: on any worker), and how many there are.
func (st *stage) medianRunTime(except *worker) (time.Duration, int) {
	times := make([]time.Duration, 0, len(st.runTimes))
	for _, rt := range st.runTimes {
		if rt.worker != except {
			times = append(times, rt.took)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], len(times)
}
