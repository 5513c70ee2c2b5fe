package plan

import (
	"cmp"
	"slices"

	gauge "sapphiregauge"
)

// Fleet plans across pools: hosts that are new on the platform's list get a row, and pools that are
// short get hosts, with as few moves as possible.
func (p *Planner) Fleet(in Input) Plan {
	var out Plan
	out.Steps = newHostSteps(in)
	out.Steps = append(out.Steps, leavingSteps(in)...)
	moved := make(map[string]bool)
	for _, s := range out.Steps {
		moved[s.Host.ID] = true
	}
	a := newAssignment(in, moved)
	for _, pool := range a.poolsShort() {
		for a.shortfall(pool) > 0 {
			chain := a.findChain(pool)
			if chain == nil {
				break
			}
			a.applyChain(chain)
		}
	}
	out.Steps = append(out.Steps, a.steps...)
	return out
}

// newHostSteps creates a row for each listed host that has none, and updates the rows of free hosts
// that have changed. Only the row assigns a host: the list lags behind and decides nothing.
func newHostSteps(in Input) []Step {
	var out []Step
	for _, s := range in.List {
		h, known := in.State.ByHost[s.ID]
		if known && h.State == gauge.HostFree && s.Status == gauge.StatusLive && hasChanged(h, s) {
			out = append(out, Step{Host: withListedAttributes(h, s), Reason: "has changed"})
		}
		if known || s.Status != gauge.StatusLive {
			continue
		}
		h = withListedAttributes(gauge.Host{ID: s.ID, State: gauge.HostFree}, s)
		out = append(out, Step{Host: h, Reason: "is new"})
	}
	return out
}

func hasChanged(h gauge.Host, s gauge.ListedHost) bool { return h != withListedAttributes(h, s) }

func withListedAttributes(h gauge.Host, s gauge.ListedHost) gauge.Host {
	h.Addr, h.Zone, h.Rack = s.Addr, s.Zone, s.Rack
	h.Cores, h.Memory, h.Accels = s.Cores, s.Memory, s.Accels
	h.Slots, h.Conns, h.Boots = s.Slots, s.Conns, s.Boots
	return h
}

// leavingSteps takes hosts out of pools that are no longer declared.
func leavingSteps(in Input) []Step {
	var out []Step
	for _, h := range in.State.Hosts() {
		if h.State == gauge.HostServing && in.State.Pool(h.Pool) == nil {
			h.State, h.Goal, h.NextPool = gauge.HostLeaving, gauge.GoalMove, ""
			out = append(out, Step{Host: h, Reason: "its pool is gone"})
		}
	}
	return out
}

// assignment tracks which pool has which hosts while the plan assigns hosts to pools.
type assignment struct {
	in        Input
	live      map[string]bool
	pools     map[string]*gauge.Pool
	members   map[string]gauge.Hosts // by pool, including hosts on their way to it
	free      gauge.Hosts
	wanted    map[string]int
	poolNames []string
	hasStep   map[string]bool // hosts with a step; a plan has at most one for each host
	steps     []Step
}

func newAssignment(in Input, moved map[string]bool) *assignment {
	a := &assignment{
		in: in, live: make(map[string]bool), pools: make(map[string]*gauge.Pool),
		members: make(map[string]gauge.Hosts), wanted: make(map[string]int),
		poolNames: in.State.RecordNames(gauge.RecordPool), hasStep: moved,
	}
	for id, s := range in.ListByHost {
		a.live[id] = s.Status == gauge.StatusLive
	}
	for _, h := range in.State.Hosts() {
		switch {
		case moved[h.ID]:
		case h.State == gauge.HostLeaving && h.Goal == gauge.GoalMove:
			a.members[h.NextPool] = append(a.members[h.NextPool], h)
		case h.State == gauge.HostFree && a.live[h.ID]:
			a.free = append(a.free, h)
		case h.Pool != "":
			a.members[h.Pool] = append(a.members[h.Pool], h)
		}
	}
	for _, name := range a.poolNames {
		pool := in.State.Pool(name)
		a.pools[name] = pool
		a.wanted[name] = WantedHosts(in.State, name, a.members[name])
	}
	return a
}

// WantedHosts returns how many hosts a pool should have: the sum of the promised number, the number
// in its largest failure domain with the present spread, and a reserve for waves: one more domain
// if speed is preferred, otherwise one host while an unpaused wave has hosts of the pool left to
// reboot. It is 0 if none are promised.
func WantedHosts(s gauge.State, pool string, members gauge.Hosts) int {
	rec := s.Pool(pool)
	worst := max(1, largestDomain(rec, members))
	want := rec.Hosts + worst
	switch {
	case rec.Hosts == 0:
		return 0
	case rec.Prefer == gauge.PreferSpeed:
		want += worst
	case isUnderWave(s, pool, members):
		want++
	}
	return want
}

func largestDomain(p *gauge.Pool, members gauge.Hosts) int {
	counts := make(map[string]int)
	n := 0
	for _, h := range members {
		d := p.Domain.Of(h)
		counts[d]++
		n = max(n, counts[d])
	}
	return n
}

func isUnderWave(s gauge.State, pool string, members gauge.Hosts) bool {
	for _, w := range wavesCovering(s, pool) {
		if !w.Wave.Paused && len(dueHosts(w, members)) > 0 {
			return true
		}
	}
	return false
}

// shortfall returns how many hosts a pool lacks. A failed host counts as a member until the pool
// gives it up, so that a host that is briefly down causes no move. It doesn't count if the next
// failure would then break the promise.
func (a *assignment) shortfall(pool string) int {
	members, serving := 0, 0
	for _, h := range a.members[pool] {
		members++
		if h.State != gauge.HostFailed {
			serving++
		}
	}
	if a.pools[pool].Hosts == 0 {
		return 0
	}
	worst := max(1, largestDomain(a.pools[pool], a.members[pool]))
	return max(a.wanted[pool]-members, a.pools[pool].Hosts+worst-serving)
}

// poolsShort lists the pools that lack hosts, those that lack the largest part of their promise
// first.
func (a *assignment) poolsShort() []string {
	var out []string
	for _, name := range a.poolNames {
		if a.shortfall(name) > 0 {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Compare(a.shortfall(y)*max(1, a.pools[x].Hosts), a.shortfall(x)*max(1, a.pools[y].Hosts))
	})
	return out
}

// surplus returns how many hosts a pool has beyond those it should have; negative: it lacks some.
func (a *assignment) surplus(pool string) int {
	return len(a.members[pool]) - a.wanted[pool]
}

// move is the assignment of one host to one pool.
type move struct {
	host gauge.Host
	to   string
}

// findChain finds the shortest sequence of moves that gives a pool one more host: a free host, one
// of a pool with a surplus, or one of a pool that is refilled by a further move. It is a
// breadth-first search, so the first chain found is a shortest one.
func (a *assignment) findChain(pool string) []move {
	type node struct {
		pool string
		path []move // from the pool that is short back to the first move
	}
	queue := []node{{pool: pool}}
	visited := map[string]bool{pool: true}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		if h, ok := a.bestHost(n.pool, a.free); ok {
			return append(n.path, move{h, n.pool})
		}
		for _, other := range a.poolNames {
			if visited[other] {
				continue
			}
			h, ok := a.bestHost(n.pool, a.movableHosts(other))
			if !ok {
				continue
			}
			visited[other] = true
			path := append(slices.Clone(n.path), move{h, n.pool})
			if a.surplus(other) > 0 && newAvailability(a.pools[other], a.members[other]).tryTake(h) {
				return path
			}
			queue = append(queue, node{other, path})
		}
	}
	return nil
}

// movableHosts lists a pool's hosts that may be moved to another pool.
func (a *assignment) movableHosts(pool string) gauge.Hosts {
	var out gauge.Hosts
	for _, h := range a.members[pool] {
		if h.IsServing() && h.Pool == pool && a.live[h.ID] && !a.hasStep[h.ID] {
			out = append(out, h)
		}
	}
	return out
}

// bestHost picks, of the hosts that fit, one with the fewest accelerators, so that scarce ones stay
// for the pools that need them; of these, one in the failure domain in which the pool has the
// fewest hosts.
func (a *assignment) bestHost(pool string, from gauge.Hosts) (gauge.Host, bool) {
	rec := a.pools[pool]
	counts := make(map[string]int)
	for _, h := range a.members[pool] {
		counts[rec.Domain.Of(h)]++
	}
	var best gauge.Host
	found := false
	for _, h := range from {
		if !rec.Fits(h) {
			continue
		}
		if !found || a.isBetter(rec, counts, h, best) {
			best, found = h, true
		}
	}
	return best, found
}

func (a *assignment) isBetter(rec *gauge.Pool, counts map[string]int, x, y gauge.Host) bool {
	return cmp.Or(
		cmp.Compare(x.Accels, y.Accels),
		cmp.Compare(counts[rec.Domain.Of(x)], counts[rec.Domain.Of(y)]),
		cmp.Compare(x.Memory, y.Memory),
		cmp.Compare(x.Cores, y.Cores),
		cmp.Compare(x.ID, y.ID),
	) < 0
}

// applyChain adds the steps of a chain of moves.
func (a *assignment) applyChain(chain []move) {
	for _, m := range chain {
		a.remove(m.host)
		a.hasStep[m.host.ID] = true
		h := m.host
		why := "goes to pool " + m.to
		if h.State == gauge.HostFree {
			h.State, h.Pool = gauge.HostServing, m.to
		} else {
			h.State, h.Goal, h.NextPool = gauge.HostLeaving, gauge.GoalMove, m.to
		}
		a.members[m.to] = append(a.members[m.to], h)
		a.steps = append(a.steps, Step{Host: h, Reason: why})
		a.wanted[m.to] = WantedHosts(a.in.State, m.to, a.members[m.to])
	}
}

func (a *assignment) remove(h gauge.Host) {
	same := func(o gauge.Host) bool { return o.ID == h.ID }
	a.free = slices.DeleteFunc(a.free, same)
	if h.Pool != "" {
		a.members[h.Pool] = slices.DeleteFunc(a.members[h.Pool], same)
		a.wanted[h.Pool] = WantedHosts(a.in.State, h.Pool, a.members[h.Pool])
	}
}
