package plan

import (
	gauge "sapphiregauge"
)

// availability counts a pool's available hosts by failure domain, to decide which may be taken out
// of service.
type availability struct {
	pool   *gauge.Pool
	counts map[string]int // available hosts by failure domain
	total  int
}

func newAvailability(p *gauge.Pool, hosts gauge.Hosts) *availability {
	a := &availability{pool: p, counts: make(map[string]int)}
	for _, h := range hosts {
		if h.IsServing() {
			a.counts[p.Domain.Of(h)]++
			a.total++
		}
	}
	return a
}

// largestDomain returns the most hosts that the failure of one domain takes down.
func (a *availability) largestDomain() int {
	n := 0
	for _, c := range a.counts {
		n = max(n, c)
	}
	return n
}

// spare returns how many hosts beyond the promise would be left after the worst failure; negative:
// the promise would break.
func (a *availability) spare() int { return a.total - a.largestDomain() - a.pool.Hosts }

// tryTake takes a host out of service if the promise then still holds after the loss of the worst
// failure domain, and reports whether it did.
func (a *availability) tryTake(h gauge.Host) bool {
	d := a.pool.Domain.Of(h)
	a.counts[d]--
	a.total--
	if a.spare() >= 0 {
		return true
	}
	a.counts[d]++
	a.total++
	return false
}
