// Package loose is the naive way to share workers: each entry picks by its own
// counts alone, the less loaded of two at random. With several entries it
// overfills workers. It stays as the baseline that package hold is measured
// against.
package loose

import (
	"math/rand/v2"
	"time"

	gauge "sapphiregauge"
)

// Config sets up Slots.
type Config struct {
	Pool   string
	Random *rand.Rand
}

// Slots implements gauge.Slots.
type Slots struct {
	conf  Config
	hosts []gauge.Host
	used  map[string]int
}

// New makes Slots over the hosts of a pool.
func New(c Config, hosts []gauge.Host) *Slots {
	return &Slots{conf: c, hosts: hosts, used: make(map[string]int)}
}

// Take returns a place on the less loaded of two random hosts, as this entry
// alone sees it.
func (s *Slots) Take(_ time.Time, class gauge.Class, _ gauge.Attempts, _ func(string) bool) (*gauge.Place, bool) {
	if len(s.hosts) == 0 {
		return nil, false
	}
	a := s.hosts[s.conf.Random.IntN(len(s.hosts))]
	b := s.hosts[s.conf.Random.IntN(len(s.hosts))]
	if s.used[b.ID] < s.used[a.ID] {
		a = b
	}
	if s.used[a.ID] >= a.Slots {
		return nil, false
	}
	s.used[a.ID]++
	return &gauge.Place{Pool: s.conf.Pool, Class: class, Target: a.Target()}, true
}

// Done gives a place back.
func (s *Slots) Done(p *gauge.Place) { s.used[p.Target.Host]-- }

// Turn does nothing: the naive way knows no classes.
func (s *Slots) Turn(*gauge.Place) {}
