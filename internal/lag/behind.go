package lag

import "time"

// Said is a change of an owner's state that is to be logged. Its value is the log message.
type Said string

// The values of Said.
const (
	SaidNothing  Said = ""
	SaidBehind   Said = "owner behind"
	SaidCaughtUp Said = "owner caught up"
)

// BeliefConfig sets up a Belief.
type BeliefConfig struct {
	Behind time.Duration // an owner whose oldest work has waited at least this long is behind
	Again  time.Duration // SaidBehind is repeated at this interval while the owner is behind
}

// Belief tracks whether an owner is behind with its work, by the age of its oldest work. It is
// not safe for concurrent use.
type Belief struct {
	conf        BeliefConfig
	behind      bool
	behindSince time.Duration // when the owner last fell behind
	lastReport  time.Duration // when SaidBehind was last returned
}

// NewBelief makes a Belief of an owner that is not behind.
func NewBelief(c BeliefConfig) *Belief { return &Belief{conf: c} }

// See records how long the oldest work has waited, and returns what is to be logged now. An owner
// has caught up when its oldest work is less than half as old as the threshold: the hysteresis
// keeps an owner near the threshold from changing its state all the time.
func (b *Belief) See(oldest, now time.Duration) Said {
	switch {
	case !b.behind && oldest >= b.conf.Behind:
		b.behind, b.behindSince, b.lastReport = true, now, now
		return SaidBehind
	case b.behind && 2*oldest < b.conf.Behind:
		b.behind = false
		return SaidCaughtUp
	case b.behind && now-b.lastReport >= b.conf.Again:
		b.lastReport = now
		return SaidBehind
	default:
		return SaidNothing
	}
}

// Lasted returns the time since the owner last fell behind.
func (b *Belief) Lasted(now time.Duration) time.Duration { return now - b.behindSince }
