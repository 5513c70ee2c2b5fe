// Package sizer learns which services' and teams' "quick" requests are really long. The class
// that callers declare is often wrong, and long requests would fill the slots reserved for quick
// ones. It is a state machine without input or output.
package sizer

import gauge "sapphiregauge"

// Sizer keeps, for each service and team, a moving average of the share of quick requests that
// exceeded the service's bound. It holds at most maxShares of them and then starts from scratch,
// so that made-up team names can't fill the memory.
type Sizer struct {
	shares map[key]float64
}

type key struct{ service, team string }

const (
	maxShares = 4096
	weight    = 0.1 // of the newest outcome
	bound     = 0.5 // share above which "quick" is ignored
)

// New returns a Sizer that keeps every declared class.
func New() *Sizer { return &Sizer{shares: make(map[key]float64)} }

// Class returns the class that a request is treated as.
func (s *Sizer) Class(service, team string, declared gauge.Class) gauge.Class {
	if declared == gauge.ClassQuick && s.shares[key{service, team}] > bound {
		return gauge.ClassLong
	}
	return declared
}

// RecordEnd records whether a request that was declared quick exceeded the bound.
func (s *Sizer) RecordEnd(service, team string, exceeded bool) {
	k := key{service, team}
	if _, known := s.shares[k]; !known && len(s.shares) >= maxShares {
		s.shares = make(map[key]float64)
	}
	sample := 0.0
	if exceeded {
		sample = 1
	}
	s.shares[k] += weight * (sample - s.shares[k])
}
