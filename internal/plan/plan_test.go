package plan_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fixed"
	"sapphiregauge/internal/plan"
)

func TestMain(m *testing.M) { fixed.Flags{Checks: "1500"}.Main(m) }

// smallFleet draws a fleet of a few hosts, each in a rack of its own.
func smallFleet(t *rapid.T) (gauge.State, gauge.HostList) {
	s := gauge.State{Records: make(map[gauge.RecordID]gauge.Record), ByHost: make(map[string]gauge.Host)}
	pools := rapid.IntRange(1, 3).Draw(t, "pools")
	for i := range pools {
		p := &gauge.Pool{Hosts: rapid.IntRange(0, 2).Draw(t, "promised"), Accels: rapid.IntRange(0, 1).Draw(t, "needs")}
		p.SetDefaults()
		name := fmt.Sprint("p", i)
		s.Records[gauge.RecordID{Kind: gauge.RecordPool, Name: name}] = gauge.Record{Kind: gauge.RecordPool, Name: name, Pool: p}
	}
	var list gauge.HostList
	for i := range rapid.IntRange(1, 7).Draw(t, "hosts") {
		h := gauge.Host{ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i), Accels: rapid.IntRange(0, 1).Draw(t, "accels"), State: gauge.HostFree}
		if at := rapid.IntRange(-1, pools-1).Draw(t, "at"); at >= 0 {
			name := fmt.Sprint("p", at)
			if s.Pool(name).Fits(h) {
				h.Pool, h.State = name, gauge.HostServing
			}
		}
		s.ByHost[h.ID] = h
		list = append(list, gauge.ListedHost{ID: h.ID, Rack: h.Rack, Accels: h.Accels, Status: gauge.StatusLive})
	}
	return s, list
}

// shortfall returns how many hosts are missing over all pools, given the pool of each host.
func shortfall(s gauge.State, at map[string]string) int {
	n := 0
	for _, name := range s.RecordNames(gauge.RecordPool) {
		p, have := s.Pool(name), 0
		for id, pool := range at {
			if pool == name && p.Fits(s.ByHost[id]) {
				have++
			}
		}
		if p.Hosts > 0 {
			n += max(0, p.Hosts+1-have) // one rack may fail
		}
	}
	return n
}

// optimum tries every assignment and returns the smallest shortfall and the fewest moves that reach
// it.
func optimum(s gauge.State, hosts gauge.Hosts, at map[string]string, moved int) (missing, moves int) {
	if len(hosts) == 0 {
		return shortfall(s, at), moved
	}
	h, rest := hosts[0], hosts[1:]
	missing, moves = 1<<30, 1<<30
	for _, pool := range append(s.RecordNames(gauge.RecordPool), "") {
		step := 0
		if pool != h.Pool {
			step = 1
			if pool == "" {
				continue // freeing a host never helps
			}
		}
		at[h.ID] = pool
		m, n := optimum(s, rest, at, moved+step)
		if m < missing || (m == missing && n < moves) {
			missing, moves = m, n
		}
	}
	return missing, moves
}

// Compares plans with an exhaustive search: a plan lacks no more hosts than necessary, and where
// none is lacking it makes no more moves than necessary.
func TestMovesAgainstExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, list := smallFleet(t)
		at := make(map[string]string)
		for id, h := range s.ByHost {
			at[id] = h.Pool
		}
		before := shortfall(s, at)
		missing, moves := optimum(s, s.Hosts(), make(map[string]string), 0)
		p := plan.New(plan.Config{}).Fleet(plan.Input{
			State: s.WithIndex(), List: list, ListByHost: list.ByID(),
			IsQuiesced: func(gauge.Host) bool { return true }, IsLost: func(gauge.Host) bool { return false },
		})
		for _, st := range p.Steps {
			at[st.Host.ID] = st.Host.Pool
			if st.Host.State == gauge.HostLeaving {
				at[st.Host.ID] = st.Host.NextPool
			}
		}
		if missing > 0 {
			if shortfall(s, at) > before {
				t.Fatalf("the plan lacks %d hosts, before it %d", shortfall(s, at), before)
			}
			return
		}
		if shortfall(s, at) > 0 {
			t.Fatalf("the plan lacks %d hosts, it could have all", shortfall(s, at))
		}
		if len(p.Steps) > moves {
			t.Fatalf("the plan makes %d moves, %d would do", len(p.Steps), moves)
		}
	})
}

// Guards against hosts that move back and forth between pools. A host fails briefly again and
// again; its pool was given another host at once although it could spare the failed one.
func TestBrieflyFailedHostMovesNothing(t *testing.T) {
	s := gauge.State{Records: make(map[gauge.RecordID]gauge.Record), ByHost: make(map[string]gauge.Host)}
	p := &gauge.Pool{Hosts: 2, Prefer: gauge.PreferSpeed}
	p.SetDefaults()
	s.Records[gauge.RecordID{Kind: gauge.RecordPool, Name: "p"}] = gauge.Record{Kind: gauge.RecordPool, Name: "p", Pool: p}
	var list gauge.HostList
	for i := range 6 {
		h := gauge.Host{ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i), State: gauge.HostFree}
		if i < 4 {
			h.Pool, h.State = "p", gauge.HostServing
		}
		if i == 0 {
			h.State = gauge.HostFailed
		}
		s.ByHost[h.ID] = h
		list = append(list, gauge.ListedHost{ID: h.ID, Rack: h.Rack, Status: gauge.StatusLive})
	}
	in := plan.Input{
		State: s, List: list, ListByHost: list.ByID(),
		IsQuiesced: func(gauge.Host) bool { return true }, IsLost: func(gauge.Host) bool { return false },
	}
	assert.Equal(t, len(plan.New(plan.Config{}).Fleet(in).Steps), 0)
}
