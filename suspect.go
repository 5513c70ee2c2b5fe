package sapphiregauge

import (
	"slices"
	"time"
)

// Trial is a run of a task that may have ended its worker. It is in the table before the
// task starts again, so that also the next owner knows how often that has happened.
type Trial struct {
	Run    int    `msgpack:"r"`
	Worker string `msgpack:"w"`
	Born   int64  `msgpack:"n,omitempty"` // which life of it
	// Crashed tells that the worker is over; else nobody knows yet what became of it.
	Crashed bool `msgpack:"x,omitempty"`
	// Alone tells that no other job had a task there, so that none of those is the cause.
	Alone bool `msgpack:"o,omitempty"`
	// Apart tells that it was noted before it started, on a worker that was closed to other jobs' tasks.
	Apart bool `msgpack:"p,omitempty"`
	// Routine tells that it was noted like any other's, with nothing held against its task.
	Routine bool `msgpack:"u,omitempty"`
	// Beside tells that another job's task there is likelier to be the cause.
	Beside bool          `msgpack:"b,omitempty"`
	Lived  time.Duration `msgpack:"l,omitempty"` // the run, at the least
}

// Life is that of the worker.
func (t *Trial) Life() Life { return Life{Worker: t.Worker, Born: t.Born} }

// Trials are those of one task. Members of a gang that ran on several workers have one for
// each of these, with one run's number.
type Trials []Trial

// Crashes counts the runs whose workers crashed.
func (t Trials) Crashes() int { return t.runs(func(r Trial) bool { return r.Crashed }) }

// Alone counts those of them that nothing else can have caused.
func (t Trials) Alone() int { return t.runs(func(r Trial) bool { return r.Crashed && r.Alone }) }

// Apart counts those of them that were tried apart from other jobs' tasks.
func (t Trials) Apart() int { return t.runs(func(r Trial) bool { return r.Crashed && r.Apart }) }

// Likely counts those of them for which nothing on the worker was a likelier cause.
func (t Trials) Likely() int { return t.runs(func(r Trial) bool { return r.Crashed && !r.Beside }) }

// Beside counts those for which something there was, and that ended within a span from their start.
func (t Trials) Beside(span time.Duration) int {
	return t.runs(func(r Trial) bool { return r.Crashed && r.Beside && r.Lived < span })
}

// LikelySoon counts those for which nothing was, and that ended within a span from their start.
func (t Trials) LikelySoon(span time.Duration) int {
	return t.runs(func(r Trial) bool { return r.Crashed && !r.Beside && r.Lived < span })
}

func (t Trials) runs(holds func(r Trial) bool) int {
	numbers := make(map[int]bool)
	for _, r := range t {
		if holds(r) {
			numbers[r.Run] = true
		}
	}
	return len(numbers)
}

// Tried tells whether a run was noted as tried apart, and nobody knows what became of it.
func (t Trials) Tried(run int) bool {
	return slices.ContainsFunc(t, func(r Trial) bool { return r.Run == run && r.Apart && !r.Crashed })
}

// Without leaves out those of one run.
func (t Trials) Without(run int) Trials {
	return slices.DeleteFunc(slices.Clone(t), func(r Trial) bool { return r.Run == run })
}

// Longest is how long the longest of these runs has lived.
func (t Trials) Longest() time.Duration {
	longest := time.Duration(0)
	for _, r := range t {
		longest = max(longest, r.Lived)
	}
	return longest
}

// Soon tells whether one of them ended, or may have, within a span from its start.
func (t Trials) Soon(span time.Duration) bool {
	for _, r := range t {
		if r.Lived < span {
			return true
		}
	}
	return false
}
