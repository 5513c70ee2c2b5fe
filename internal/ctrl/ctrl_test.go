package ctrl_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/ctrl"
	"sapphiregauge/internal/fixed"
	"sapphiregauge/internal/flaky"
	"sapphiregauge/internal/lease"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/plan"
	"sapphiregauge/internal/revlog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed.Run{Checks: "200", Steps: "200"}.Set()
	os.Exit(m.Run())
}

// machine is a host as it really is.
type machine struct {
	seen    gauge.Sighting
	running []int           // revision that the entry had in force when it sent the task
	tokens  map[string]bool // one for each reboot
	boots   int             // when it last began to leave for a wave
	down    bool
	booting bool
}

// entry is an entry with its own view of what is in force, and a controller.
type entry struct {
	name  string
	state gauge.State
	list  gauge.Sightings
	read  time.Time
	ctrl  *ctrl.Controller
	dead  bool
}

// site is a fleet with some entries on made-up time, one step at a time.
type site struct {
	now      time.Time
	db       *memdb.DB
	table    *outs
	log      *revlog.Log
	machines map[string]*machine
	entries  []*entry
	last     gauge.State
	mine     func(e *entry, unit string) bool
}

// outs is a table that can be out.
type outs struct {
	gauge.Table
	out bool
}

func (o *outs) Get(ctx context.Context, key string) (gauge.Row, error) {
	if o.out {
		return gauge.Row{}, gauge.Fail(gauge.KindOutage, "out")
	}
	return o.Table.Get(ctx, key)
}

func (o *outs) Commit(ctx context.Context, t gauge.Txn) error {
	if o.out {
		return gauge.Fail(gauge.KindOutage, "out")
	}
	return o.Table.Commit(ctx, t)
}

func newSite(entries, hosts, perRack int) *site {
	db := memdb.New()
	s := &site{now: time.Unix(1_000_000, 0), db: db, table: &outs{Table: db}, machines: make(map[string]*machine)}
	s.log = revlog.New(s.table)
	s.mine = func(*entry, string) bool { return true }
	for i := range hosts {
		id := fmt.Sprintf("h%02d", i)
		s.machines[id] = &machine{tokens: make(map[string]bool), seen: gauge.Sighting{
			ID: id, Zone: "z", Rack: fmt.Sprint("r", i/perRack), Slots: 8, Status: gauge.StatusLive,
		}}
	}
	for i := range entries {
		s.addEntry(fmt.Sprintf("e%d", i), s.table)
	}
	return s
}

func (s *site) addEntry(name string, table gauge.Table) *entry {
	e := &entry{name: name}
	log := revlog.New(table)
	e.ctrl = ctrl.New(ctrl.Config{
		Log: log, Platform: s, Planner: plan.New(plan.Config{}),
		Leases:    lease.New(lease.Config{Entry: name, Table: table, Lives: s.lives}),
		State:     func() gauge.State { return e.state },
		Sighted:   func() (gauge.Sightings, time.Time) { return e.list, e.read },
		Confirmed: s.confirmed, Mine: func(unit string) bool { return s.mine(e, unit) },
		Wake: func(int64) {}, Clock: func() time.Time { return s.now }, Logs: logr.Discard(),
	})
	s.entries = append(s.entries, e)
	return e
}

func (s *site) lives(name string) bool {
	for _, e := range s.entries {
		if e.name == name {
			return !e.dead
		}
	}
	return false
}

// confirmed asks all entries, also those taken for dead: they may only be
// paused, and package peers forgets them only after the term.
func (s *site) confirmed(revision int64) bool {
	for _, e := range s.entries {
		if e.state.Revision < revision {
			return false
		}
	}
	return true
}

func (s *site) List(context.Context) (gauge.Sightings, error) {
	var out gauge.Sightings
	for _, m := range s.machines {
		seen := m.seen
		seen.Used = len(m.running)
		switch {
		case m.down:
			seen.Status = gauge.StatusGone
		case m.booting:
			seen.Status = gauge.StatusBooting
		}
		out = append(out, seen)
	}
	return out, nil
}

func (s *site) Reboot(_ context.Context, host, token string) error {
	m := s.machines[host]
	if m.tokens[token] {
		return nil
	}
	m.tokens[token] = true
	m.booting = true
	return nil
}

func (s *site) records(t assert.TestingT, records ...gauge.Record) {
	state, err := s.log.Load(context.Background())
	assert.NilError(t, err)
	_, err = s.log.Append(context.Background(), state.Revision, gauge.Change{Records: records})
	assert.NilError(t, err)
}

func pool(name string, hosts int, prefer gauge.Prefer) gauge.Record {
	p := &gauge.Pool{Hosts: hosts, Prefer: prefer}
	p.Defaults()
	return gauge.Record{Kind: gauge.RecordPool, Schema: 1, Name: name, Pool: p}
}

func wave(name string, pools ...string) gauge.Record {
	return gauge.Record{Kind: gauge.RecordWave, Schema: 1, Name: name, Wave: &gauge.Wave{Pools: pools}}
}

func (s *site) adopt(e *entry) {
	if next, err := s.log.CatchUp(context.Background(), e.state); err == nil {
		e.state = next
	}
}

func (s *site) look(e *entry) { e.list, _ = s.List(context.Background()); e.read = s.now }

// spare is how many serving hosts a pool has over its promise after the worst
// rack is lost; negative if it has too few.
func spare(st gauge.State, name string) int {
	counts, total, worst := make(map[string]int), 0, 0
	for _, h := range st.Hosts().InPool(name) {
		if h.Serves() {
			total++
			counts[h.Rack]++
			worst = max(worst, counts[h.Rack])
		}
	}
	return total - worst - st.Pool(name).Hosts
}

// check holds each new revision against the promises.
func (s *site) check(t *rapid.T) {
	out := s.table.out
	s.table.out = false
	defer func() { s.table.out = out }()
	for {
		c, err := s.log.Change(context.Background(), s.last.Revision+1)
		if gauge.Is(err, gauge.KindMissing) {
			return
		}
		assert.NilError(t, err)
		next, err := s.last.Apply(c)
		assert.NilError(t, err)
		s.checkChange(t, s.last, next, c)
		s.last = next
	}
}

func (s *site) checkChange(t *rapid.T, before, after gauge.State, c gauge.Change) {
	taken, once := make(map[string]bool), make(map[string]bool)
	for _, h := range c.Hosts {
		if once[h.ID] {
			t.Fatalf("%s is changed twice by one revision", h.ID)
		}
		once[h.ID] = true
		old := before.ByHost[h.ID]
		if old.Serves() && h.State == gauge.HostLeaving {
			taken[old.Pool] = true
		}
		if old.Pool != "" && old.Pool != h.Pool {
			if old.State == gauge.HostServing {
				t.Fatalf("%s left pool %s while it served there", h.ID, old.Pool)
			}
			if old.State == gauge.HostLeaving && len(s.machines[h.ID].running) > 0 {
				t.Fatalf("%s left pool %s with tasks running", h.ID, old.Pool)
			}
		}
		if h.Begun != old.Begun {
			s.machines[h.ID].boots = s.machines[h.ID].seen.Boots
		}
		if h.Waved != old.Waved && s.machines[h.ID].seen.Boots <= s.machines[h.ID].boots {
			t.Fatalf("%s counts as done for wave %s but was not rebooted", h.ID, h.Wave)
		}
		if h.State == gauge.HostRebooting && old.State != h.State && len(s.machines[h.ID].running) > 0 {
			t.Fatalf("%s is to reboot with tasks running", h.ID)
		}
	}
	for name := range taken {
		if after.Pool(name) != nil && spare(after, name) < 0 {
			t.Fatalf("pool %s keeps its promise no more: spare %d", name, spare(after, name))
		}
	}
}

// Symptom: a pool has less than it promised, a task is cut off by a reboot, a
// host is in two pools, or a host is rebooted twice.
// Sequence: any order of rounds by controllers that all think they are in
// charge, entries that lag behind, hosts and racks that fail and come back, an
// old host list, a table that is out, waves and pools that change.
// Cause: acting on what is no longer so.
func TestAnyOrderKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(3, 16, 4)
		s.records(t, pool("a", 3, gauge.PreferBuffer), pool("b", 2, gauge.PreferSpeed))
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
						s.look(e)
						e.ctrl.Round(context.Background())
					}
				}
			},
			"adopt": func(*rapid.T) { s.adopt(anyEntry()) },
			"look":  func(*rapid.T) { s.look(anyEntry()) },
			"pass":  func(*rapid.T) { s.now = s.now.Add(time.Duration(pick(20)) * time.Second) },
			"fail":  func(*rapid.T) { m := anyHost(); m.down, m.running = true, nil },
			"rack": func(*rapid.T) {
				rack := fmt.Sprint("r", pick(4))
				for _, m := range s.machines {
					if m.seen.Rack == rack {
						m.down, m.running = true, nil
					}
				}
			},
			"return": func(*rapid.T) {
				for _, m := range s.machines {
					if m.down {
						m.down = false
						m.seen.Boots++ // it was powered off and on
					}
				}
			},
			"booted": func(*rapid.T) {
				for _, m := range s.machines {
					if m.booting {
						m.booting = false
						m.seen.Boots++
					}
				}
			},
			"task": func(*rapid.T) {
				e := anyEntry()
				for id, m := range s.machines {
					if h := e.state.ByHost[id]; h.Serves() && !m.down {
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
			"out":  func(*rapid.T) { s.table.out = !s.table.out },
			"wave": func(t *rapid.T) {
				if !s.table.out && waves < 3 {
					waves++
					s.records(t, wave(fmt.Sprint("w", waves), "a", "b"))
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

// settle lets everything go well until nothing changes any more.
func (s *site) settle(rounds int) {
	for range rounds {
		for _, m := range s.machines {
			if m.booting {
				m.booting = false
				m.seen.Boots++
			}
		}
		for _, e := range s.entries {
			s.adopt(e)
			s.now = s.now.Add(time.Second)
			s.look(e)
			if !e.dead {
				e.ctrl.Round(context.Background())
			}
		}
	}
}

func (s *site) done(name, wave string) (done, all int) {
	st, _ := s.log.Load(context.Background())
	w := st.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: wave}]
	for _, h := range st.Hosts().InPool(name) {
		all++
		if !plan.Due(w, h) {
			done++
		}
	}
	return done, all
}

// Symptom: a wave stops for good, or goes over a host twice.
// Sequence: the controller meets each fault at each of its calls to the table,
// and is gone for good at some; another takes over.
// Cause: an action that was not written before it was begun, or not read back.
func TestWaveGoesOnAfterEachFault(t *testing.T) {
	const calls = 24
	for _, fault := range []flaky.Fault{flaky.Down, flaky.Lost, flaky.Gone, flaky.Outage} {
		for at := range calls {
			for _, dies := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/dies=%t", fault, at, dies), func(t *testing.T) {
					s := newSite(0, 8, 2)
					s.records(t, pool("a", 3, gauge.PreferSpeed), wave("w", "a"))
					bad := flaky.New(flaky.Config{Table: s.table, At: at, Fault: fault, Clock: func() time.Time { return s.now }})
					first := s.addEntry("e0", bad)
					s.addEntry("e1", s.table)
					s.mine = func(e *entry, _ string) bool { return first.dead || e == first }
					for range 60 {
						first.dead = first.dead || (dies && bad.Calls() > at)
						s.settle(1)
					}
					done, all := s.done("a", "w")
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

// Symptom: a controller that was paused changes hosts that another controls.
// Sequence: the first has the lease and is paused; the second takes it; the
// first wakes and writes.
// Cause: writes that don't carry the lease.
func TestPausedControllerIsFenced(t *testing.T) {
	s := newSite(2, 8, 2)
	s.records(t, pool("a", 2, gauge.PreferBuffer))
	first, second := s.entries[0], s.entries[1]
	s.mine = func(e *entry, _ string) bool { return e == first }
	s.settle(4)
	first.dead = true
	s.mine = func(*entry, string) bool { return true }
	s.settle(4)
	st, err := s.log.Load(context.Background())
	assert.NilError(t, err)
	s.records(t, wave("w", "a"))
	s.adopt(first)
	s.look(first)
	before, _ := s.log.Head(context.Background())
	first.ctrl.Round(context.Background()) // wakes with what it held
	after, _ := s.log.Head(context.Background())
	assert.Equal(t, after, before, "the paused controller wrote")
	assert.Assert(t, st.Revision < after)
	second.dead = false
	s.settle(20)
	done, all := s.done("a", "w")
	assert.Equal(t, done, all)
}

// leavingHost brings a host of a pool into leaving, with an entry that does not
// know it yet.
func leavingHost(t *testing.T) (s *site, first, lagging *entry, host string) {
	s = newSite(2, 8, 2)
	s.records(t, pool("a", 2, gauge.PreferSpeed))
	first, lagging = s.entries[0], s.entries[1]
	s.mine = func(e *entry, _ string) bool { return e == first }
	s.settle(6)
	s.records(t, wave("w", "a"))
	s.adopt(first)
	s.adopt(lagging)
	s.look(first)
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

// Symptom: a task is cut off by a reboot.
// Sequence: a host leaves; an entry that lags behind still sends to it, after
// the controller has seen it idle.
// Cause: taking the host's idleness for the end of its work.
func TestLeavingWaitsForTheLastEntry(t *testing.T) {
	s, first, lagging, host := leavingHost(t)
	for range 5 {
		s.now = s.now.Add(time.Second)
		s.look(first)
		assert.Assert(t, lagging.state.ByHost[host].Serves())
		first.ctrl.Round(context.Background())
		assert.Equal(t, s.state(host), gauge.HostLeaving)
	}
	s.adopt(lagging)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.look(first)
		s.adopt(first)
		first.ctrl.Round(context.Background())
	}
	assert.Equal(t, s.state(host), gauge.HostRebooting)
}

// Symptom: a task is cut off by a reboot.
// Sequence: the list is read; an entry sends a task, then adopts the revision;
// the controller finds all confirmed and looks at the list from before.
// Cause: a list that is older than the last confirmation.
func TestOldListDoesNotProveIdleness(t *testing.T) {
	s, first, lagging, host := leavingHost(t)
	s.now = s.now.Add(time.Second)
	s.look(first)
	s.machines[host].running = []int{int(lagging.state.Revision)}
	s.now = s.now.Add(time.Second)
	s.adopt(lagging)
	for range 3 {
		first.ctrl.Round(context.Background())
		assert.Equal(t, s.state(host), gauge.HostLeaving)
	}
}
