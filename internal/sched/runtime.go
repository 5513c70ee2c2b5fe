package sched

import (
	"cmp"
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
	if !st.spec.Speculative || r.inherited || r.resumed {
		return
	}
	i, _ := slices.BinarySearchFunc(st.runTimes, took, func(rt runTime, took time.Duration) int { return cmp.Compare(rt.took, took) })
	st.runTimes = slices.Insert(st.runTimes, i, runTime{worker: r.worker, took: took})
}

// medianRunTime returns the median time of the step's runs that ended as done on other workers than
// the given one (nil: on any worker), and how many there are. It is called for each run of a step, so
// the times are kept in order.
func (st *stage) medianRunTime(except *worker) (time.Duration, int) {
	n := len(st.runTimes)
	if except != nil {
		n = st.countRunTimesElsewhere(except)
	}
	if n == 0 {
		return 0, 0
	}
	if n == len(st.runTimes) {
		return st.runTimes[n/2].took, n
	}
	before := 0
	for _, rt := range st.runTimes {
		if rt.worker == except {
			continue
		}
		if before == n/2 {
			return rt.took, n
		}
		before++
	}
	return 0, 0
}

func (st *stage) countRunTimesElsewhere(w *worker) int {
	n := 0
	for _, rt := range st.runTimes {
		if rt.worker != w {
			n++
		}
	}
	return n
}
