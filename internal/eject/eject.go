// Package eject decides which workers get no work for a while because their requests fail. A
// failing worker answers fast and has idle slots, so it would attract most of the work. It is a
// state machine without input or output.
package eject

import (
	"time"

	"sapphiregauge/internal/fill"
)

// Config sets up an Ejector.
type Config struct {
	MinOutcomes  int           // outcomes needed before a worker is ejected; default 5
	FailureRatio float64       // ratio of failures from which a worker is ejected; default 0.5
	Initial      time.Duration // first ejection, doubled with each further one; default 5 s
	Max          time.Duration // longest ejection; default 2 min
}

const (
	defaultMinOutcomes  = 5
	defaultFailureRatio = 0.5
	defaultInitial      = 5 * time.Second
	defaultMax          = 2 * time.Minute
	// decay is the factor by which the weight of older outcomes is multiplied at each new one.
	decay = 0.9
	// peersFactor is the factor by which a worker's failure ratio must exceed that of the others:
	// if all fail alike, the requests or the network are at fault, not the workers.
	peersFactor = 2
)

// Ejector tracks the outcomes at the workers of one pool.
type Ejector struct {
	conf       Config
	hosts      map[string]*score
	maxEjected int
}

// score holds the outcomes at one host. Older outcomes weigh less.
type score struct {
	total     float64
	failures  float64
	until     time.Time // end of the ejection
	ejections int       // ejections in a row
	probing   bool      // one request is in flight to find out whether the host works again
}

// New returns an Ejector without recorded outcomes.
func New(c Config) *Ejector {
	fill.Zero(&c.MinOutcomes, defaultMinOutcomes)
	fill.Zero(&c.FailureRatio, defaultFailureRatio)
	fill.Zero(&c.Initial, defaultInitial)
	fill.Zero(&c.Max, defaultMax)
	return &Ejector{conf: c, hosts: make(map[string]*score)}
}

// SetLimit sets how many workers may be ejected at once, so that ejections take no more capacity
// than the pool can spare: the hosts beyond the promised number, at most a third of those serving,
// but at least one unless there is only one.
func (e *Ejector) SetLimit(serving, promised int) {
	const third = 3
	e.maxEjected = max(1, min(serving-promised, serving/third))
	if serving <= 1 {
		e.maxEjected = 0
	}
}

// IsBlocked reports whether a host is to get no work now. After an ejection a single request is let
// through as a probe, and its outcome decides.
func (e *Ejector) IsBlocked(now time.Time, host string) bool {
	sc := e.hosts[host]
	if sc == nil || sc.ejections == 0 {
		return false
	}
	return now.Before(sc.until) || sc.probing
}

// RecordStart records that a request is sent to a host.
func (e *Ejector) RecordStart(now time.Time, host string) {
	sc := e.hosts[host]
	if sc != nil && sc.ejections > 0 && !now.Before(sc.until) {
		sc.probing = true
	}
}

// RecordOutcome records how a request at a host ended. It reports whether the host is ejected as a
// result.
func (e *Ejector) RecordOutcome(now time.Time, host string, failed bool) bool {
	sc := e.hosts[host]
	if sc == nil {
		sc = &score{}
		e.hosts[host] = sc
	}
	wasProbing := sc.probing
	sc.probing = false
	sc.total = sc.total*decay + 1
	sc.failures *= decay
	if failed {
		sc.failures++
	}
	if wasProbing && !failed {
		*sc = score{}
		return false
	}
	if !failed || now.Before(sc.until) {
		return false
	}
	if wasProbing || e.isOutlier(host, sc) {
		return e.eject(now, sc)
	}
	return false
}

func (sc *score) failureRatio() float64 {
	if sc.total == 0 {
		return 0
	}
	return sc.failures / sc.total
}

// isOutlier reports whether a worker fails often, both absolutely and compared with the others.
// The weights of outcomes sum to at most 1/(1-decay) = 10, so MinOutcomes must be below that. The
// first 5 weigh 4.1, just above 5*decay*decay.
func (e *Ejector) isOutlier(host string, sc *score) bool {
	if sc.total < float64(e.conf.MinOutcomes)*decay*decay || sc.failureRatio() < e.conf.FailureRatio {
		return false
	}
	var total, failures float64
	for other, o := range e.hosts {
		if other != host && o.ejections == 0 {
			total += o.total
			failures += o.failures
		}
	}
	return total == 0 || sc.failureRatio() >= peersFactor*failures/total
}

// eject ejects the host and reports whether it did; the first ejection is subject to maxEjected.
func (e *Ejector) eject(now time.Time, sc *score) bool {
	if sc.ejections == 0 && e.countEjected() >= e.maxEjected {
		return false
	}
	duration := e.conf.Initial << min(sc.ejections, 16) // 16 keeps the shift from overflowing
	sc.ejections++
	sc.until = now.Add(min(duration, e.conf.Max))
	sc.total, sc.failures = 0, 0
	return true
}

// countEjected counts the workers that are ejected, or whose probe hasn't succeeded yet.
func (e *Ejector) countEjected() int {
	n := 0
	for _, sc := range e.hosts {
		if sc.ejections > 0 {
			n++
		}
	}
	return n
}

// Ejected lists the hosts whose ejection lasts at now.
func (e *Ejector) Ejected(now time.Time) []string {
	var out []string
	for host, sc := range e.hosts {
		if sc.ejections > 0 && now.Before(sc.until) {
			out = append(out, host)
		}
	}
	return out
}

// Retain drops the hosts that are no longer in the pool.
func (e *Ejector) Retain(isMember func(host string) bool) {
	for host := range e.hosts {
		if !isMember(host) {
			delete(e.hosts, host)
		}
	}
}
