// Package eject decides which workers get no work for a while because they
// fail what they are given. Such a worker answers fast and has idle slots, so
// it would draw most of the work. It is a state machine without input or
// output.
package eject

import (
	"time"

	"sapphiregauge/internal/fill"
)

// Config sets up an Ejector.
type Config struct {
	Least int           // outcomes needed to judge a worker; default 5
	Share float64       // share of failures from which a worker is ejected; default 0.5
	First time.Duration // length of the first ejection, doubled each time; default 5 s
	Most  time.Duration // longest ejection; default 2 min
}

const (
	defaultLeast = 5
	defaultShare = 0.5
	defaultFirst = 5 * time.Second
	defaultMost  = 2 * time.Minute
	// decay is what an older outcome weighs when one more comes.
	decay = 0.9
	// peersFactor is how much worse than the others a worker must be: if all
	// fail alike, the requests or the network are at fault, not the workers.
	peersFactor = 2
)

// Ejector judges the workers of one pool.
type Ejector struct {
	conf  Config
	hosts map[string]*score
	cap   int
}

type score struct {
	total    float64
	failures float64
	until    time.Time // ejected so long
	times    int       // ejections in a row
	probing  bool      // one request is out to see whether it works again
}

// New makes an Ejector without judgements.
func New(c Config) *Ejector {
	fill.Zero(&c.Least, defaultLeast)
	fill.Zero(&c.Share, defaultShare)
	fill.Zero(&c.First, defaultFirst)
	fill.Zero(&c.Most, defaultMost)
	return &Ejector{conf: c, hosts: make(map[string]*score)}
}

// Cap sets how many workers may be ejected at once, so that ejecting never
// takes more capacity than the pool can spare.
func (e *Ejector) Cap(serving, promised int) {
	const third = 3
	e.cap = max(1, min(serving-promised, serving/third))
	if serving <= 1 {
		e.cap = 0
	}
}

// Skip tells whether a host is to get no work now. After an ejection one single
// request is let through as a probe; its outcome decides.
func (e *Ejector) Skip(now time.Time, host string) bool {
	s := e.hosts[host]
	if s == nil || s.times == 0 {
		return false
	}
	return now.Before(s.until) || s.probing
}

// Sent notes that a request goes to a host.
func (e *Ejector) Sent(now time.Time, host string) {
	s := e.hosts[host]
	if s != nil && s.times > 0 && !now.Before(s.until) {
		s.probing = true
	}
}

// Outcome notes how a request at a host ended. It returns true if the host is
// ejected for it.
func (e *Ejector) Outcome(now time.Time, host string, failed bool) bool {
	s := e.hosts[host]
	if s == nil {
		s = &score{}
		e.hosts[host] = s
	}
	probed := s.probing
	s.probing = false
	s.total = s.total*decay + 1
	s.failures *= decay
	if failed {
		s.failures++
	}
	if probed && !failed {
		*s = score{}
		return false
	}
	if !failed || now.Before(s.until) {
		return false
	}
	if probed || e.guilty(host, s) {
		return e.eject(now, s)
	}
	return false
}

func (s *score) share() float64 {
	if s.total == 0 {
		return 0
	}
	return s.failures / s.total
}

// guilty compares a worker with the others. The weights of outcomes sum to at
// most 1/(1-decay) = 10, so Least must be below that.
func (e *Ejector) guilty(host string, s *score) bool {
	if s.total < float64(e.conf.Least)*decay*decay || s.share() < e.conf.Share {
		return false
	}
	var total, failures float64
	for other, o := range e.hosts {
		if other != host && o.times == 0 {
			total += o.total
			failures += o.failures
		}
	}
	return total == 0 || s.share() >= peersFactor*failures/total
}

func (e *Ejector) eject(now time.Time, s *score) bool {
	if s.times == 0 && e.out() >= e.cap {
		return false
	}
	length := e.conf.First << min(s.times, 16)
	s.times++
	s.until = now.Add(min(length, e.conf.Most))
	s.total, s.failures = 0, 0
	return true
}

// out counts the workers that are ejected or on probation.
func (e *Ejector) out() int {
	n := 0
	for _, s := range e.hosts {
		if s.times > 0 {
			n++
		}
	}
	return n
}

// Ejected lists the hosts that get no work now.
func (e *Ejector) Ejected(now time.Time) []string {
	var out []string
	for host, s := range e.hosts {
		if s.times > 0 && now.Before(s.until) {
			out = append(out, host)
		}
	}
	return out
}

// Keep forgets hosts that are no longer in the pool.
func (e *Ejector) Keep(in func(host string) bool) {
	for host := range e.hosts {
		if !in(host) {
			delete(e.hosts, host)
		}
	}
}
