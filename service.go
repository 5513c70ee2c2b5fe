package sapphiregauge

import (
	"time"

	"sapphiregauge/internal/fill"
)

// Service is what callers send requests to. Its requests run on the hosts of one pool.
type Service struct {
	Pool       string        `json:"pool"`
	QuickLimit time.Duration `json:"quick"` // a quick request that runs longer counts as long
	MaxTimeout time.Duration `json:"limit"` // longest timeout that a caller may ask for
	MaxQueued  int           `json:"queue"` // requests that may wait at one entry
	MaxBody    int           `json:"body"`  // maximum bytes of a request or answer body
	MaxTries   int           `json:"tries"` // distinct workers on which a repeatable request is tried
}

const (
	defaultQuick = 2 * time.Second
	defaultLimit = time.Minute
	defaultQueue = 256
	defaultBody  = 1 << 20
	defaultTries = 3
	maxBody      = 16 << 20
	maxTries     = 8
	maxQueue     = 1 << 16
)

// SetDefaults sets the fields that an operator left out.
func (s *Service) SetDefaults() {
	fill.Zero(&s.QuickLimit, defaultQuick)
	fill.Zero(&s.MaxTimeout, defaultLimit)
	fill.Zero(&s.MaxQueued, defaultQueue)
	fill.Zero(&s.MaxBody, defaultBody)
	fill.Zero(&s.MaxTries, defaultTries)
}

func (s *Service) validate(fs *Faults) {
	if s.Pool == "" {
		fs.Add("pool", "is missing")
	}
	if s.QuickLimit <= 0 {
		fs.Add("quick", "is %s, must be above 0", s.QuickLimit)
	}
	if s.MaxTimeout < s.QuickLimit {
		fs.Add("limit", "is %s, must not be below quick (%s)", s.MaxTimeout, s.QuickLimit)
	}
	atLeast(fs, "queue", s.MaxQueued, 1)
	atMost(fs, "queue", s.MaxQueued, maxQueue)
	atLeast(fs, "body", s.MaxBody, 1)
	atMost(fs, "body", s.MaxBody, maxBody)
	atLeast(fs, "tries", s.MaxTries, 1)
	atMost(fs, "tries", s.MaxTries, maxTries)
}
