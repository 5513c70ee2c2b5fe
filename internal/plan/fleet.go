package plan

import (
	"cmp"
	"slices"

	gauge "sapphiregauge"
)

// Fleet plans across pools: hosts that are new on the platform's list get a
// row, and pools that are short get hosts, with as few moves as possible.
func (p *Planner) Fleet(in Input) Plan {
	var out Plan
	out.Steps = enrol(in)
	out.Steps = append(out.Steps, freed(in)...)
	moved := make(map[string]bool)
	for _, s := range out.Steps {
		moved[s.Host.ID] = true
	}
	a := newAssign(in, moved)
	for _, pool := range a.short() {
		for a.missing(pool) > 0 {
			chain := a.chain(pool)
			if chain == nil {
				break
			}
			a.follow(chain)
		}
	}
	out.Steps = append(out.Steps, a.steps...)
	return out
}

// enrol gives a row to hosts that have none. A listed host belongs to nobody
// until then: the list lags and decides nothing.
func enrol(in Input) []Step {
	var out []Step
	for _, s := range in.List {
		h, known := in.State.ByHost[s.ID]
		if known && h.State == gauge.HostFree && s.Status == gauge.StatusLive && changed(h, s) {
			out = append(out, Step{Host: describe(h, s), Why: "has changed"})
		}
		if known || s.Status != gauge.StatusLive {
			continue
		}
		h = describe(gauge.Host{ID: s.ID, State: gauge.HostFree}, s)
		out = append(out, Step{Host: h, Why: "is new"})
	}
	return out
}

func changed(h gauge.Host, s gauge.Sighting) bool { return h != describe(h, s) }

func describe(h gauge.Host, s gauge.Sighting) gauge.Host {
	h.Addr, h.Zone, h.Rack = s.Addr, s.Zone, s.Rack
	h.Cores, h.Memory, h.Accels = s.Cores, s.Memory, s.Accels
	h.Slots, h.Conns, h.Boots = s.Slots, s.Conns, s.Boots
	return h
}

// freed takes hosts out of pools that are no longer declared.
func freed(in Input) []Step {
	var out []Step
	for _, h := range in.State.Hosts() {
		if h.State == gauge.HostServing && in.State.Pool(h.Pool) == nil {
			h.State, h.Goal, h.Next = gauge.HostLeaving, gauge.GoalMove, ""
			out = append(out, Step{Host: h, Why: "its pool is gone"})
		}
	}
	return out
}

// assign holds who has what while hosts are given out.
type assign struct {
	in      Input
	live    map[string]bool
	pools   map[string]*gauge.Pool
	members map[string]gauge.Hosts // by pool, those on their way there included
	free    gauge.Hosts
	want    map[string]int
	names   []string
	moved   map[string]bool // hosts with a step: one a plan
	steps   []Step
}

func newAssign(in Input, moved map[string]bool) *assign {
	a := &assign{
		in: in, live: make(map[string]bool), pools: make(map[string]*gauge.Pool),
		members: make(map[string]gauge.Hosts), want: make(map[string]int),
		names: in.State.Names(gauge.RecordPool), moved: moved,
	}
	for id, s := range in.Seen {
		a.live[id] = s.Status == gauge.StatusLive
	}
	for _, h := range in.State.Hosts() {
		switch {
		case moved[h.ID]:
		case h.State == gauge.HostLeaving && h.Goal == gauge.GoalMove:
			a.members[h.Next] = append(a.members[h.Next], h)
		case h.State == gauge.HostFree && a.live[h.ID]:
			a.free = append(a.free, h)
		case h.Pool != "":
			a.members[h.Pool] = append(a.members[h.Pool], h)
		}
	}
	for _, name := range a.names {
		pool := in.State.Pool(name)
		a.pools[name] = pool
		a.want[name] = Want(in.State, name, a.members[name])
	}
	return a
}

// Want is how many hosts a pool should have: its promise, what its worst
// failure domain takes with the hosts spread as they are, and what a wave needs
// on top: a whole domain where speed is preferred, else one host, only while a
// wave goes over the pool.
func Want(s gauge.State, pool string, members gauge.Hosts) int {
	rec := s.Pool(pool)
	worst := max(1, worstOf(rec, members))
	want := rec.Hosts + worst
	switch {
	case rec.Hosts == 0:
		return 0
	case rec.Prefer == gauge.PreferSpeed:
		want += worst
	case underWave(s, pool, members):
		want++
	}
	return want
}

func worstOf(p *gauge.Pool, members gauge.Hosts) int {
	counts := make(map[string]int)
	n := 0
	for _, h := range members {
		d := p.Domain.Of(h)
		counts[d]++
		n = max(n, counts[d])
	}
	return n
}

func underWave(s gauge.State, pool string, members gauge.Hosts) bool {
	for _, w := range wavesOver(s, pool) {
		if !w.Wave.Paused && len(dueIn(w, members)) > 0 {
			return true
		}
	}
	return false
}

// missing is how many hosts a pool lacks. A failed host counts as there until
// it is given up, so that a host that is briefly away moves nothing; but not if
// the next failure would then break the promise.
func (a *assign) missing(pool string) int {
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
	worst := max(1, worstOf(a.pools[pool], a.members[pool]))
	return max(a.want[pool]-members, a.pools[pool].Hosts+worst-serving)
}

// short lists the pools that lack hosts, those that lack the largest part of
// their promise first.
func (a *assign) short() []string {
	var out []string
	for _, name := range a.names {
		if a.missing(name) > 0 {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Compare(a.missing(y)*max(1, a.pools[x].Hosts), a.missing(x)*max(1, a.pools[y].Hosts))
	})
	return out
}

// surplus is how many hosts a pool has over what it should have, counted by
// those that serve.
func (a *assign) surplus(pool string) int {
	return len(a.members[pool]) - a.want[pool]
}

// move is one host going to one pool.
type move struct {
	host gauge.Host
	to   string
}

// chain finds the fewest moves that give a pool one more host: a free host, or
// one of a pool with a surplus, or one of a pool that can be made good by a
// further move. The search goes by length, so the first found is shortest.
func (a *assign) chain(pool string) []move {
	type node struct {
		pool string
		path []move // from this pool's need back to the first
	}
	queue := []node{{pool: pool}}
	visited := map[string]bool{pool: true}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		if h, ok := a.best(n.pool, a.free); ok {
			return append(n.path, move{h, n.pool})
		}
		for _, other := range a.names {
			if visited[other] {
				continue
			}
			h, ok := a.best(n.pool, a.movable(other))
			if !ok {
				continue
			}
			visited[other] = true
			path := append(slices.Clone(n.path), move{h, n.pool})
			if a.surplus(other) > 0 && newRoom(a.pools[other], a.members[other]).take(h) {
				return path
			}
			queue = append(queue, node{other, path})
		}
	}
	return nil
}

// movable lists a pool's hosts that may be moved away.
func (a *assign) movable(pool string) gauge.Hosts {
	var out gauge.Hosts
	for _, h := range a.members[pool] {
		if h.Serves() && h.Pool == pool && a.live[h.ID] && !a.moved[h.ID] {
			out = append(out, h)
		}
	}
	return out
}

// best picks the host that spreads the pool most: from the domain of which it
// has fewest hosts. A host that asks least over the pool's needs goes first, so
// that scarce ones stay for the pools that need them.
func (a *assign) best(pool string, from gauge.Hosts) (gauge.Host, bool) {
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
		if !found || a.better(rec, counts, h, best) {
			best, found = h, true
		}
	}
	return best, found
}

func (a *assign) better(rec *gauge.Pool, counts map[string]int, x, y gauge.Host) bool {
	return cmp.Or(
		cmp.Compare(x.Accels, y.Accels),
		cmp.Compare(counts[rec.Domain.Of(x)], counts[rec.Domain.Of(y)]),
		cmp.Compare(x.Memory, y.Memory),
		cmp.Compare(x.Cores, y.Cores),
		cmp.Compare(x.ID, y.ID),
	) < 0
}

// follow makes the moves of a chain.
func (a *assign) follow(chain []move) {
	for _, m := range chain {
		a.remove(m.host)
		a.moved[m.host.ID] = true
		h := m.host
		why := "goes to pool " + m.to
		if h.State == gauge.HostFree {
			h.State, h.Pool = gauge.HostServing, m.to
		} else {
			h.State, h.Goal, h.Next = gauge.HostLeaving, gauge.GoalMove, m.to
		}
		a.members[m.to] = append(a.members[m.to], h)
		a.steps = append(a.steps, Step{Host: h, Why: why})
		a.want[m.to] = Want(a.in.State, m.to, a.members[m.to])
	}
}

func (a *assign) remove(h gauge.Host) {
	same := func(o gauge.Host) bool { return o.ID == h.ID }
	a.free = slices.DeleteFunc(a.free, same)
	if h.Pool != "" {
		a.members[h.Pool] = slices.DeleteFunc(a.members[h.Pool], same)
		a.want[h.Pool] = Want(a.in.State, h.Pool, a.members[h.Pool])
	}
}
