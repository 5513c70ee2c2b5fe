package plan

import (
	gauge "sapphiregauge"
)

// room counts a pool's available hosts by failure domain, to tell what may be
// taken out of service.
type room struct {
	pool   *gauge.Pool
	counts map[string]int // available, by domain
	total  int
}

func newRoom(p *gauge.Pool, hosts gauge.Hosts) *room {
	r := &room{pool: p, counts: make(map[string]int)}
	for _, h := range hosts {
		if h.Serves() {
			r.counts[p.Domain.Of(h)]++
			r.total++
		}
	}
	return r
}

// worst is the most hosts that one domain's failure takes.
func (r *room) worst() int {
	n := 0
	for _, c := range r.counts {
		n = max(n, c)
	}
	return n
}

// spare is how many hosts would be over the promise after the worst failure;
// negative: the promise would break.
func (r *room) spare() int { return r.total - r.worst() - r.pool.Hosts }

// take takes a host out if the promise then still holds through the loss of
// the worst domain.
func (r *room) take(h gauge.Host) bool {
	d := r.pool.Domain.Of(h)
	r.counts[d]--
	r.total--
	if r.spare() >= 0 {
		return true
	}
	r.counts[d]++
	r.total++
	return false
}
