// Package sizer learns whose "quick" requests are really long. Callers declare
// sizes that are far from the truth; taken at their word, long work would fill
// the slots kept for quick work. It is a state machine without input or output.
package sizer

import gauge "sapphiregauge"

// Sizer keeps, for each service and team, the share of quick requests that
// outlived the service's bound. It holds at most Most of them and then begins
// anew, so that made-up team names can't fill the memory.
type Sizer struct {
	shares map[key]float64
}

type key struct{ service, team string }

const (
	most   = 4096
	weight = 0.1 // of the newest outcome
	bound  = 0.5 // share from which "quick" is no longer believed
)

// New makes a Sizer that believes everybody.
func New() *Sizer { return &Sizer{shares: make(map[key]float64)} }

// Class returns the class that a request is treated as.
func (s *Sizer) Class(service, team string, declared gauge.Class) gauge.Class {
	if declared == gauge.ClassQuick && s.shares[key{service, team}] > bound {
		return gauge.ClassLong
	}
	return declared
}

// Ended notes whether a request that was declared quick outlived the bound.
func (s *Sizer) Ended(service, team string, outlived bool) {
	k := key{service, team}
	if _, known := s.shares[k]; !known && len(s.shares) >= most {
		s.shares = make(map[key]float64)
	}
	now := 0.0
	if outlived {
		now = 1
	}
	s.shares[k] += weight * (now - s.shares[k])
}
