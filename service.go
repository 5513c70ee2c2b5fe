package sapphiregauge

import (
	"time"

	"sapphiregauge/internal/fill"
)

// Service is what callers send requests to. Its requests run on the hosts of one pool.
type Service struct {
	Pool  string        `json:"pool"`
	Quick time.Duration `json:"quick"` // a quick request that runs longer counts as long
	Limit time.Duration `json:"limit"` // longest timeout that a caller may ask for
	Queue int           `json:"queue"` // requests that may wait at one entry
	Body  int           `json:"body"`  // maximum bytes of a request or answer body
	Tries int           `json:"tries"` // distinct workers on which a repeatable request is tried
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

// Defaults sets the fields that an operator left out.
func (s *Service) Defaults() {
	fill.Zero(&s.Quick, defaultQuick)
	fill.Zero(&s.Limit, defaultLimit)
	fill.Zero(&s.Queue, defaultQueue)
	fill.Zero(&s.Body, defaultBody)
	fill.Zero(&s.Tries, defaultTries)
}

func (s *Service) validate(fs *Faults) {
	if s.Pool == "" {
		fs.Add("pool", "is missing")
	}
	if s.Quick <= 0 {
		fs.Add("quick", "is %s, must be above 0", s.Quick)
	}
	if s.Limit < s.Quick {
		fs.Add("limit", "is %s, must not be below quick (%s)", s.Limit, s.Quick)
	}
	atLeast(fs, "queue", s.Queue, 1)
	atMost(fs, "queue", s.Queue, maxQueue)
	atLeast(fs, "body", s.Body, 1)
	atMost(fs, "body", s.Body, maxBody)
	atLeast(fs, "tries", s.Tries, 1)
	atMost(fs, "tries", s.Tries, maxTries)
}
