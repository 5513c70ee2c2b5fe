package soak_test

import (
	"slices"
	"strings"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/platform/fakes"
)

// orderedRun is a run of a task, with the owner that ordered it.
type orderedRun struct {
	fakes.RunHistory
	Holder  string    `json:"holder"` // of the lease with the run's fencing token
	Term    int       `json:"term"`
	Written time.Time `json:"written"` // when the lease's row got this token
	Renewed time.Time `json:"renewed"` // when that holder had last renewed the lease before the start
	// By the start: the lease's last holder, and when it had first written the row.
	LastHolder string    `json:"lastHolder"`
	Since      time.Time `json:"since"`
}

// listOrderedRuns returns the runs of a task, the first one first.
func listOrderedRuns(table *fakes.Table, journal *fakes.Journal, task string) []orderedRun {
	var runs []orderedRun
	for _, h := range journal.Runs() {
		if h.Task == task {
			runs = append(runs, orderedRun{RunHistory: h})
		}
	}
	slices.SortFunc(runs, func(a, b orderedRun) int { return a.Started.Compare(b.Started) })
	for i := range runs {
		runs[i].addHolders(table.Writes(gauge.TableLeases))
	}
	return runs
}

func (o *orderedRun) addHolders(writes []fakes.Write) {
	renewed := make(map[string]time.Time) // by holder
	for _, w := range writes {
		row, err := gauge.DecodeLeaseRow(w.Value)
		if err != nil || w.Partition != poolName || w.At.After(o.Started) {
			continue
		}
		if row.Holder != o.LastHolder {
			o.LastHolder, o.Since = row.Holder, w.At
		}
		renewed[row.Holder] = w.At
		if w.Version == o.Fence {
			o.Holder, o.Term, o.Written = row.Holder, row.Term, w.At
		}
	}
	o.Renewed = renewed[o.Holder]
}

// logFaults prints who ordered the runs of the tasks that the fakes complain of, and what was logged
// of the first one.
func (s *soak) logFaults(faults []string) {
	seen := make(map[string]bool)
	for _, fault := range faults {
		task, _, _ := strings.Cut(fault, ":")
		if seen[task] {
			continue
		}
		s.logOrderedRuns(task)
		if len(seen) == 0 {
			id, _, _ := strings.Cut(task, ".")
			s.logJob(id)
		}
		seen[task] = true
	}
}

func (s *soak) logOrderedRuns(task string) {
	var runs []orderedRun
	s.platform.get("/runs?task="+task, &runs)
	for _, o := range runs {
		s.t.Logf("seed %d: run %d of %s on %s: started %s, %q %s, unacknowledged %t; ordered by %s, term %d, token %d of %s, lease renewed %s; the lease was last held by %q, since %s",
			s.seed, o.Number, task, gauge.Incarnation{Worker: o.Worker, StartedAt: o.Born}, clock(o.Started), o.Ending, clock(o.Ended), o.Unacknowledged,
			o.Holder, o.Term, o.Fence, clock(o.Written), clock(o.Renewed), o.LastHolder, clock(o.Since))
	}
}
