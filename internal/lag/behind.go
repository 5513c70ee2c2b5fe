package lag

import "time"

// Said is what there is to tell of an owner.
type Said string

// What there is to tell.
const (
	SaidNothing  Said = ""
	SaidBehind   Said = "owner behind"
	SaidCaughtUp Said = "owner caught up"
)

// BeliefConfig sets up a Belief.
type BeliefConfig struct {
	Behind time.Duration // an owner whose oldest work has waited so long is behind
	Again  time.Duration // this is told again, as long as it lasts, after so long
}

// Belief is whether an owner is behind, by the age of its oldest work. It is not safe
// for concurrent use.
type Belief struct {
	conf   BeliefConfig
	behind bool
	since  time.Duration
	told   time.Duration
}

// NewBelief makes a Belief that the owner is not behind.
func NewBelief(c BeliefConfig) *Belief { return &Belief{conf: c} }

// See takes in how long the oldest work has waited, and returns what there is to
// tell now. An owner has caught up at half the age at which it is behind, so that one
// near the bound isn't told of all the time.
func (b *Belief) See(oldest, now time.Duration) Said {
	switch {
	case !b.behind && oldest >= b.conf.Behind:
		b.behind, b.since, b.told = true, now, now
		return SaidBehind
	case b.behind && 2*oldest < b.conf.Behind:
		b.behind = false
		return SaidCaughtUp
	case b.behind && now-b.told >= b.conf.Again:
		b.told = now
		return SaidBehind
	default:
		return SaidNothing
	}
}

// Lasted is the time since the owner was last seen to get behind.
func (b *Belief) Lasted(now time.Duration) time.Duration { return now - b.since }
