// Package proof weighs what is held against a task whose workers crash: whether it may be the
// cause, whether it starts apart from others only, and whether it must be the cause, so that its
// job is given up. What goes in are the crashes and starts that a job's row tells of.
//
// Causes are guessed at, and a guess may be wrong; starts are counted. Each start of a task that
// didn't show that it lives counts, whatever it was lost for, and once few are left the task
// starts only where nothing else can be the cause.
package proof

import (
	"time"

	gauge "sapphiregauge"
)

const (
	// Soon is how long a worker tells of a run that doesn't end it by starting.
	Soon = time.Second
	// Calm is how long a run has to live to clear its task. It bounds how long a task is
	// kept apart, too.
	Calm = 30 * time.Second

	// suspectCrashes make any task a suspect, however long its runs lived.
	suspectCrashes = 2
	// aloneMost crashes with nothing else on the worker, as soon after the start as those before,
	// show that the task is the cause: one may come by chance.
	aloneMost = 2
	// aloneLasting is the same for a lasting task: with its job goes all of it that serves.
	aloneLasting = 3
	// soonMost crashes soon after its start are enough where it could not be told apart, or its
	// starts got no answer ...
	soonMost = 4
	// ... and so many crashes at any time. By the users' rules a task may be started twice
	// more after three crashes.
	crashesMost = 5
	// lastStarts of these have to prove something: the task starts apart only.
	lastStarts = 2
	// excusedMost: crashes that were excused, or were not seen, count towards crashesMost, but no
	// more than so many, unless one more came with the task apart from others. Else a sound task would be
	// given up for the loss of racks, or with too few crashes that are known.
	excusedMost = 2
)

// Case is what is known of a task's starts.
type Case struct {
	Trials gauge.Trials
	// Excused counts starts that ended before the task had shown that it lives, and are held
	// against nothing.
	Excused int
	// Lone counts those of them that were tried apart from other jobs' tasks.
	Lone  int
	Lasts bool
}

// Starts counts those after which nobody knows that the task lives.
func (c Case) Starts() int { return c.Trials.Crashes() + c.Excused }

// Suspect tells whether the task may be the cause of a crash.
func (c Case) Suspect() bool { return c.Trials.Soon(Soon) || c.Starts() >= suspectCrashes }

// Strong tells whether it has lost so many workers that others' losses don't excuse it.
func (c Case) Strong() bool { return c.Trials.Crashes() >= suspectCrashes }

// FewLeft tells whether few starts are left, with others that were lost lately and aren't judged yet.
func (c Case) FewLeft(lost int) bool { return c.Starts()+lost >= crashesMost-lastStarts }

// Cause tells whether the task must be the cause of crashes.
func (c Case) Cause() bool {
	alone := aloneMost
	if c.Lasts {
		alone = aloneLasting
	}
	soon := min(soonMost, crashesMost-min(c.Excused+c.Trials.Beside(Soon), excusedMost))
	return c.Trials.Alone() >= alone || c.Trials.LikelySoon(Soon) >= soon || c.Trials.Likely() >= crashesMost ||
		c.Starts() >= crashesMost && c.proved()
}

// proved tells whether the last starts leave no doubt: one at least was lost with the task apart from others,
// or all were, and two crashes had no likelier cause.
func (c Case) proved() bool {
	apart := c.Trials.Apart()
	return apart > 0 || c.Lone >= lastStarts && c.Trials.LikelySoon(Soon) >= suspectCrashes
}

// Probation is how long a run has to live until its worker is taken to survive it.
func (c Case) Probation() time.Duration { return min(2*c.Trials.Longest()+Soon, Calm) }
