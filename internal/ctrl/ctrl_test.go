package ctrl_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fixed"
	"sapphiregauge/internal/flaky"
)

func TestMain(m *testing.M) { fixed.Flags{Checks: "200", Steps: "200"}.Main(m) }

// Guards against acting on outdated state, which may leave a pool with fewer hosts than promised,
// interrupt a task by a reboot, put a host into two pools or reboot a host twice. Controllers that
// all believe they are in charge, lagging entries, failing and returning hosts and racks, old host
// lists, table outages, and changing waves and pools come in any order.
func TestAnyEventOrderKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(3, 16, 4)
		s.appendRecords(t, pool("a", 3, gauge.PreferBuffer), pool("b", 2, gauge.PreferSpeed))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "i") }
		anyEntry := func() *entry { return s.entries[pick(len(s.entries))] }
		anyHost := func() *machine { return s.machines[fmt.Sprintf("h%02d", pick(16))] }
		waves := 0
		t.Repeat(map[string]func(*rapid.T){
			"round": func(*rapid.T) { anyEntry().ctrl.Round(context.Background()) },
			"smooth": func(*rapid.T) { // everything goes well for a while
				for range 4 {
					for _, e := range s.entries {
						s.adopt(e)
						s.now = s.now.Add(time.Second)
						s.readHostList(e)
						e.ctrl.Round(context.Background())
					}
				}
			},
			"adopt": func(*rapid.T) { s.adopt(anyEntry()) },
			"look":  func(*rapid.T) { s.readHostList(anyEntry()) },
			"pass":  func(*rapid.T) { s.now = s.now.Add(time.Duration(pick(20)) * time.Second) },
			"fail":  func(*rapid.T) { m := anyHost(); m.down, m.running = true, nil },
			"rack": func(*rapid.T) {
				rack := fmt.Sprint("r", pick(4))
				for _, m := range s.machines {
					if m.listed.Rack == rack {
						m.down, m.running = true, nil
					}
				}
			},
			"return": func(*rapid.T) {
				for _, m := range s.machines {
					if m.down {
						m.down = false
						m.listed.Boots++ // it was powered off and on
					}
				}
			},
			"booted": func(*rapid.T) {
				for _, m := range s.machines {
					if m.booting {
						m.booting = false
						m.listed.Boots++
					}
				}
			},
			"task": func(*rapid.T) {
				e := anyEntry()
				for id, m := range s.machines {
					if h := e.state.ByHost[id]; h.IsServing() && !m.down {
						m.running = append(m.running, int(e.state.Revision))
					}
				}
			},
			"end": func(*rapid.T) {
				for _, m := range s.machines {
					m.running = nil
				}
			},
			"dead": func(*rapid.T) { e := anyEntry(); e.dead = !e.dead },
			"out":  func(*rapid.T) { s.table.unreachable = !s.table.unreachable },
			"wave": func(t *rapid.T) {
				if !s.table.unreachable && waves < 3 {
					waves++
					s.appendRecords(t, wave(fmt.Sprint("w", waves), "a", "b"))
				}
			},
			"": s.check,
		})
		for id, m := range s.machines {
			if len(m.tokens) > waves {
				t.Fatalf("%s was rebooted %d times by %d waves", id, len(m.tokens), waves)
			}
		}
	})
}

// Guards against a wave that stops for good or covers a host twice, because an action wasn't
// written before it began or its result wasn't read back. The controller meets each fault at each
// of its calls to the table, and in half of the cases dies there, so that another one takes over.
func TestWaveCompletesAfterEachFault(t *testing.T) {
	const calls = 24
	for _, fault := range []flaky.Fault{flaky.Refused, flaky.ResponseLost, flaky.RequestLost, flaky.Outage} {
		for at := range calls {
			for _, dies := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/dies=%t", fault, at, dies), func(t *testing.T) {
					s := newSite(0, 8, 2)
					s.appendRecords(t, pool("a", 3, gauge.PreferSpeed), wave("w", "a"))
					faulty := flaky.New(flaky.Config{Table: s.table, FailAt: at, Fault: fault, Clock: func() time.Time { return s.now }})
					first := s.addEntry("e0", faulty)
					s.addEntry("e1", s.table)
					s.isAssigned = func(e *entry, _ string) bool { return first.dead || e == first }
					for range 60 {
						first.dead = first.dead || (dies && faulty.Calls() > at)
						s.settle(1)
					}
					done, all := s.countDone("a", "w")
					assert.Assert(t, all >= 5, "the pool has %d hosts", all)
					assert.Equal(t, done, all)
					for id, m := range s.machines {
						assert.Assert(t, len(m.tokens) <= 1, "%s was rebooted %d times", id, len(m.tokens))
					}
				})
			}
		}
	}
}

// Guards against a paused controller that changes hosts which another one controls by now. The
// first has the lease and is paused, the second takes the lease, and the first resumes and writes;
// its writes must fail, since they carry the old lease.
func TestPausedControllerIsFenced(t *testing.T) {
	s := newSite(2, 8, 2)
	s.appendRecords(t, pool("a", 2, gauge.PreferBuffer))
	first, second := s.entries[0], s.entries[1]
	s.isAssigned = func(e *entry, _ string) bool { return e == first }
	s.settle(4)
	first.dead = true
	s.isAssigned = func(*entry, string) bool { return true }
	s.settle(4)
	st, err := s.log.Load(context.Background())
	assert.NilError(t, err)
	s.appendRecords(t, wave("w", "a"))
	s.adopt(first)
	s.readHostList(first)
	before, _ := s.log.Head(context.Background())
	first.ctrl.Round(context.Background()) // resumes with the lease version that it had before
	after, _ := s.log.Head(context.Background())
	assert.Equal(t, after, before, "the paused controller wrote")
	assert.Assert(t, st.Revision < after)
	second.dead = false
	s.settle(20)
	done, all := s.countDone("a", "w")
	assert.Equal(t, done, all)
}

// leavingHost brings a host of a pool into the leaving state, while one entry hasn't learned of it.
func leavingHost(t *testing.T) (s *site, first, lagging *entry, host string) {
	s = newSite(2, 8, 2)
	s.appendRecords(t, pool("a", 2, gauge.PreferSpeed))
	first, lagging = s.entries[0], s.entries[1]
	s.isAssigned = func(e *entry, _ string) bool { return e == first }
	s.settle(6)
	s.appendRecords(t, wave("w", "a"))
	s.adopt(first)
	s.adopt(lagging)
	s.readHostList(first)
	first.ctrl.Round(context.Background())
	s.adopt(first)
	for _, h := range first.state.Hosts() {
		if h.State == gauge.HostLeaving {
			return s, first, lagging, h.ID
		}
	}
	t.Fatal("no host leaves")
	return nil, nil, nil, ""
}

func (s *site) state(host string) gauge.HostState {
	st, _ := s.log.Load(context.Background())
	return st.ByHost[host].State
}

// Guards against a task that is interrupted by a reboot because a host was idle and was believed to
// get no more tasks. A host leaves, and a lagging entry still sends to it after the controller has
// seen it idle.
func TestLeavingWaitsForLaggingEntry(t *testing.T) {
	s, first, lagging, host := leavingHost(t)
	for range 5 {
		s.now = s.now.Add(time.Second)
		s.readHostList(first)
		assert.Assert(t, lagging.state.ByHost[host].IsServing())
		first.ctrl.Round(context.Background())
		assert.Equal(t, s.state(host), gauge.HostLeaving)
	}
	s.adopt(lagging)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.readHostList(first)
		s.adopt(first)
		first.ctrl.Round(context.Background())
	}
	assert.Equal(t, s.state(host), gauge.HostRebooting)
}

// Guards against a task that is interrupted by a reboot because the host list was older than the
// last confirmation. The list is read, then an entry sends a task and adopts the revision, and the
// controller finds all entries confirmed while it has the list from before.
func TestOldHostListDoesNotProveIdle(t *testing.T) {
	s, first, lagging, host := leavingHost(t)
	s.now = s.now.Add(time.Second)
	s.readHostList(first)
	s.machines[host].running = []int{int(lagging.state.Revision)}
	s.now = s.now.Add(time.Second)
	s.adopt(lagging)
	for range 3 {
		first.ctrl.Round(context.Background())
		assert.Equal(t, s.state(host), gauge.HostLeaving)
	}
}
