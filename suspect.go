package sapphiregauge

import (
	"slices"
	"time"
)

// Trial is a run of a task that may have crashed its worker. It is written to the table before the
// task starts again, so that the next owner also knows how often that has happened.
type Trial struct {
	Run    int    `msgpack:"r"`
	Worker string `msgpack:"w"`
	Born   int64  `msgpack:"n,omitempty"` // start of the worker's incarnation, see Life
	// Crashed says that the worker is dead; else its fate is still unknown.
	Crashed bool `msgpack:"x,omitempty"`
	// Alone says that no other job had a task on the worker, so none of those is the cause.
	Alone bool `msgpack:"o,omitempty"`
	// Apart says that the run was recorded before it started, on a worker that was closed to other
	// jobs' tasks.
	Apart bool `msgpack:"p,omitempty"`
	// Routine says that the run was recorded as any run is, without a suspicion against its task.
	Routine bool `msgpack:"u,omitempty"`
	// Beside says that another job's task on the worker is the likelier cause.
	Beside bool          `msgpack:"b,omitempty"`
	Lived  time.Duration `msgpack:"l,omitempty"` // run time, at the least
}

// Life returns the incarnation of the worker.
func (t *Trial) Life() Life { return Life{Worker: t.Worker, Born: t.Born} }

// Trials are the runs of one task that may have crashed their workers. A run of a gang on several
// workers has one entry for each of them, all with the same run number.
type Trials []Trial

// Crashes counts the runs whose workers crashed.
func (t Trials) Crashes() int { return t.count(func(r Trial) bool { return r.Crashed }) }

// Alone counts those of the crashed runs that shared their worker with no other job.
func (t Trials) Alone() int { return t.count(func(r Trial) bool { return r.Crashed && r.Alone }) }

// Apart counts those of the crashed runs that were isolated from other jobs' tasks.
func (t Trials) Apart() int { return t.count(func(r Trial) bool { return r.Crashed && r.Apart }) }

// Likely counts those of the crashed runs for which nothing on the worker was a likelier cause.
func (t Trials) Likely() int { return t.count(func(r Trial) bool { return r.Crashed && !r.Beside }) }

// Beside counts the crashed runs that ended within a span from their start and for which another
// task on the worker was a likelier cause.
func (t Trials) Beside(span time.Duration) int {
	return t.count(func(r Trial) bool { return r.Crashed && r.Beside && r.Lived < span })
}

// LikelySoon counts the crashed runs that ended within a span from their start and for which
// nothing on the worker was a likelier cause.
func (t Trials) LikelySoon(span time.Duration) int {
	return t.count(func(r Trial) bool { return r.Crashed && !r.Beside && r.Lived < span })
}

func (t Trials) count(matches func(r Trial) bool) int {
	numbers := make(map[int]bool)
	for _, r := range t {
		if matches(r) {
			numbers[r.Run] = true
		}
	}
	return len(numbers)
}

// Tried reports whether a run was recorded as isolated and its worker's fate is unknown.
func (t Trials) Tried(run int) bool {
	return slices.ContainsFunc(t, func(r Trial) bool { return r.Run == run && r.Apart && !r.Crashed })
}

// Without returns the runs except for those with one number.
func (t Trials) Without(run int) Trials {
	return slices.DeleteFunc(slices.Clone(t), func(r Trial) bool { return r.Run == run })
}

// Longest returns the run time of the longest of these runs.
func (t Trials) Longest() time.Duration {
	longest := time.Duration(0)
	for _, r := range t {
		longest = max(longest, r.Lived)
	}
	return longest
}

// Soon reports whether one of the runs ended, or may have ended, within a span from its start.
func (t Trials) Soon(span time.Duration) bool {
	for _, r := range t {
		if r.Lived < span {
			return true
		}
	}
	return false
}
