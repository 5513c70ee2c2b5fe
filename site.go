package sapphiregauge

import (
	"strings"
	"time"
)

// Queue takes jobs of one kind from callers.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // of the path
	Pool        string // whose workers run its tasks
	Priority    int    // 0 comes first
	MaxAttempts int    // a task that failed so often has failed for good
	Stretch     float64
	Target      time.Duration // the objective is Stretch times the longest chain, and this
	Timeout     time.Duration // of a call
	Advice      *Advice
}

// Advice is the policy of a queue on which only some workers may run a step.
type Advice struct {
	Decision time.Duration // time of one question
	PerName  time.Duration // more for each worker named
	Valid    time.Duration // of a ticket
}

// PoolConf is a pool of workers as the operator has configured it.
type PoolConf struct {
	Name    string
	Guarded bool // its workers refuse what doesn't fit
	Standby bool // its machines are off, a reserve for other pools
}

// Site is the operator's configuration of queues and pools, whole. Versions
// only grow.
type Site struct {
	Version int64
	Queues  []Queue
	Pools   []PoolConf
	MaxBody int // bytes of a call's body

	byName map[string]int   // places in Queues; nil without an index
	byHost map[string][]int // the same, by the host in lower case
}

// Index prepares the look-ups of queues. Each plan of a pool looks up the queue of
// every job that waits, and each call its own: a walk over 1,650 queues takes 2.6 µs
// and 20 µs, with an index 0.02 and 0.5.
func (s *Site) Index() {
	s.byName, s.byHost = make(map[string]int, len(s.Queues)), make(map[string][]int)
	for i := range s.Queues {
		q := &s.Queues[i]
		s.byName[q.Name] = i
		host := strings.ToLower(q.Host)
		s.byHost[host] = append(s.byHost[host], i)
	}
}

// Match finds the queue of a call and what follows the prefix. The longest
// prefix wins.
func (s *Site) Match(host, path string) (*Queue, string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for _, q := range s.ofHost(host) {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}

// ofHost lists the queues of a host.
func (s *Site) ofHost(host string) []*Queue {
	var qs []*Queue
	if s.byHost != nil {
		for _, i := range s.byHost[strings.ToLower(host)] {
			qs = append(qs, &s.Queues[i])
		}
		return qs
	}
	for i := range s.Queues {
		if strings.EqualFold(s.Queues[i].Host, host) {
			qs = append(qs, &s.Queues[i])
		}
	}
	return qs
}

// QueueByName looks a queue up; nil if there is none.
func (s *Site) QueueByName(name string) *Queue {
	if s.byName != nil {
		if i, ok := s.byName[name]; ok {
			return &s.Queues[i]
		}
		return nil
	}
	for i := range s.Queues {
		if s.Queues[i].Name == name {
			return &s.Queues[i]
		}
	}
	return nil
}

// PoolByName looks a pool up; nil if there is none.
func (s *Site) PoolByName(name string) *PoolConf {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// UpkeepOrder asks that machines get their upkeep within a time.
type UpkeepOrder struct {
	Wave     int64
	Machines []string
	Within   time.Duration
	AtOnce   int
}
