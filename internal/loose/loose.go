// Package loose is the baseline that leased slots (package hold) are compared with: each entry
// chooses workers by its own counts alone, the less loaded of two random ones. With several entries
// it overloads workers.
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

// Slots implements gauge.Slots without leases. It is not safe for concurrent use.
type Slots struct {
	conf  Config
	hosts []gauge.Host
	used  map[string]int
}

// New makes Slots over the hosts of a pool.
func New(c Config, hosts []gauge.Host) *Slots {
	return &Slots{conf: c, hosts: hosts, used: make(map[string]int)}
}

// Acquire returns a slot on the less loaded of two random hosts, by the counts of this entry alone.
// It reports false if that host has no free slot.
func (s *Slots) Acquire(_ time.Time, class gauge.Class, _ gauge.Attempts, _ func(string) bool) (*gauge.Slot, bool) {
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
	return &gauge.Slot{Pool: s.conf.Pool, Class: class, Target: a.Target()}, true
}

// Release releases a slot.
func (s *Slots) Release(slot *gauge.Slot) { s.used[slot.Target.Host]-- }

// CountAsLong does nothing, since the baseline doesn't distinguish classes.
func (s *Slots) CountAsLong(*gauge.Slot) {}
