// Package access decides whether an entry may take a call: from the call's queue and key, the
// configuration here, and how old that is.
//
// A withdrawn key must not be accepted for longer than a bound, also by an entry that is cut off
// from the table, has stood still or is slow. So a key is accepted only while it is proved that
// the configuration here was the newest one within that bound. An entry without that proof refuses
// the call instead of guessing; what it knows of queues and keys that are not there holds only while
// it certainly knows of all changes that are in force.
package access

import (
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Guard.
type Config struct {
	// MaxApplyDelay is how long after it was stored a configuration is in force everywhere.
	MaxApplyDelay time.Duration
	// MaxKeyDelay is how long after a configuration was stored a key that it withdraws may still be
	// accepted; 0: there is no such bound.
	MaxKeyDelay time.Duration
}

// Guard decides about calls.
type Guard struct{ conf Config }

// New returns a Guard.
func New(c Config) *Guard { return &Guard{conf: c} }

// View is what an entry knows of the configuration.
type View struct {
	Site *gauge.Site // nil: no configuration yet
	// Age is how long ago, at most, Site was certainly the newest configuration. It has to be
	// determined before Site is read.
	Age   time.Duration
	Known bool // Age is known
	// Unusable says that the newest configuration can't be used and Site is the one before. It may
	// withdraw any key.
	Unusable bool
}

// Call is a call as far as it decides about access.
type Call struct {
	Host, Path string
	Key        string // empty: it carries none
}

// Grant is a call that may be served.
type Grant struct {
	Queue   *gauge.Queue
	Rest    string // of the path, after the queue's prefix
	Account string // of the caller; empty: the queue is public
}

// keyMarginDivisor gives the part of MaxKeyDelay that is kept as a margin: clocks may differ by 2 %,
// and the rest of a call takes some time after the check.
const keyMarginDivisor = 10

// IsCurrent reports whether the view certainly has every change that has to be in force by now.
func (g *Guard) IsCurrent(v View) bool { return v.Known && v.Age <= g.conf.MaxApplyDelay }

// provesKeys reports whether the view is recent enough to accept a key that it has.
func (g *Guard) provesKeys(v View) bool {
	if v.Unusable {
		return false
	}
	if g.conf.MaxKeyDelay == 0 {
		return true
	}
	return v.Known && v.Age <= g.conf.MaxKeyDelay-g.conf.MaxKeyDelay/keyMarginDivisor
}

// Admit returns what a call may reach. Errors: KindNotFound: no queue matches; KindDenied: the key
// is missing or unknown; KindUnready: this entry can't know.
func (g *Guard) Admit(v View, c Call) (Grant, error) {
	if v.Site == nil {
		return Grant{}, gauge.Errorf(gauge.KindUnready, "no configuration yet")
	}
	q, rest, ok := v.Site.Match(c.Host, c.Path)
	switch {
	case !ok && !g.IsCurrent(v):
		// The queue may have been added since. A caller that gets a "not found" doesn't
		// retry, although all other entries would have served it.
		return Grant{}, gauge.Errorf(gauge.KindUnready, "whether there is such a queue isn't known at the moment")
	case !ok:
		return Grant{}, gauge.Errorf(gauge.KindNotFound, "no such queue")
	case q.Public || !v.Site.KeysRequired:
		return Grant{Queue: q, Rest: rest}, nil
	}
	a := v.Site.AccountByKey(gauge.DigestKey(c.Key))
	switch {
	case a == nil && (v.Unusable || !g.IsCurrent(v)):
		return Grant{}, gauge.Errorf(gauge.KindUnready, "whether there is such a key isn't known at the moment")
	case a == nil:
		return Grant{}, gauge.Errorf(gauge.KindDenied, "the key is missing or unknown")
	case !g.provesKeys(v):
		return Grant{}, gauge.Errorf(gauge.KindUnready, "whether the key is still valid isn't known at the moment")
	default:
		return Grant{Queue: q, Rest: rest, Account: a.Name}, nil
	}
}
