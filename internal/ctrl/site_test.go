package ctrl_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/ctrl"
	"sapphiregauge/internal/lease"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/plan"
	"sapphiregauge/internal/revlog"
)

// machine is the true state of a host.
type machine struct {
	listed         gauge.ListedHost
	running        []int           // revisions that the sending entries had in force, one for each running task
	tokens         map[string]bool // one for each reboot
	bootsAtLeaving int             // boot count when it last began to leave for a wave
	down           bool
	booting        bool
}

// entry has its own view of the configuration in force, and a controller.
type entry struct {
	name  string
	state gauge.State
	list  gauge.HostList
	read  time.Time
	ctrl  *ctrl.Controller
	dead  bool
}

// site is a fleet with some entries on simulated time, advanced one step at a time.
type site struct {
	now        time.Time
	db         *memdb.DB
	table      *outageTable
	log        *revlog.Log
	machines   map[string]*machine
	entries    []*entry
	checked    gauge.State
	isAssigned func(e *entry, unit string) bool
}

// outageTable is a table that can be made unreachable.
type outageTable struct {
	gauge.Table
	unreachable bool
}

func (o *outageTable) Get(ctx context.Context, key string) (gauge.Row, error) {
	if o.unreachable {
		return gauge.Row{}, gauge.Errorf(gauge.KindOutage, "out")
	}
	return o.Table.Get(ctx, key)
}

func (o *outageTable) Commit(ctx context.Context, t gauge.Txn) error {
	if o.unreachable {
		return gauge.Errorf(gauge.KindOutage, "out")
	}
	return o.Table.Commit(ctx, t)
}

func newSite(entries, hosts, perRack int) *site {
	db := memdb.New()
	s := &site{now: time.Unix(1_000_000, 0), db: db, table: &outageTable{Table: db}, machines: make(map[string]*machine)}
	s.log = revlog.New(s.table)
	s.isAssigned = func(*entry, string) bool { return true }
	for i := range hosts {
		id := fmt.Sprintf("h%02d", i)
		s.machines[id] = &machine{tokens: make(map[string]bool), listed: gauge.ListedHost{
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
		Leases:       lease.New(lease.Config{Entry: name, Table: table, Lives: s.isAlive}),
		State:        func() gauge.State { return e.state },
		LastHostList: func() (gauge.HostList, time.Time) { return e.list, e.read },
		IsConfirmed:  s.isConfirmed, OwnsDuty: func(unit string) bool { return s.isAssigned(e, unit) },
		CatchUpTo: func(int64) {}, OnHostAdded: func(string) {}, Clock: func() time.Time { return s.now }, Logs: logr.Discard(),
	})
	s.entries = append(s.entries, e)
	return e
}

func (s *site) isAlive(name string) bool {
	for _, e := range s.entries {
		if e.name == name {
			return !e.dead
		}
	}
	return false
}

// isConfirmed covers all entries, also those that seem dead: they may only be paused, and package
// peers forgets them only when their member rows are stale.
func (s *site) isConfirmed(revision int64) bool {
	for _, e := range s.entries {
		if e.state.Revision < revision {
			return false
		}
	}
	return true
}

func (s *site) List(context.Context) (gauge.HostList, error) {
	var out gauge.HostList
	for _, m := range s.machines {
		listed := m.listed
		listed.Used = len(m.running)
		switch {
		case m.down:
			listed.Status = gauge.StatusGone
		case m.booting:
			listed.Status = gauge.StatusBooting
		}
		out = append(out, listed)
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

func (s *site) appendRecords(t assert.TestingT, records ...gauge.Record) {
	state, err := s.log.Load(context.Background())
	assert.NilError(t, err)
	_, err = s.log.Append(context.Background(), state.Revision, gauge.Change{Records: records})
	assert.NilError(t, err)
}

func pool(name string, hosts int, prefer gauge.Preference) gauge.Record {
	p := &gauge.Pool{Hosts: hosts, Prefer: prefer}
	p.SetDefaults()
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

func (s *site) readHostList(e *entry) { e.list, _ = s.List(context.Background()); e.read = s.now }

// spareHosts is how many serving hosts a pool has beyond its promise after losing its worst rack;
// negative if it has too few.
func spareHosts(st gauge.State, name string) int {
	counts, total, worst := make(map[string]int), 0, 0
	for _, h := range st.Hosts().InPool(name) {
		if h.IsServing() {
			total++
			counts[h.Rack]++
			worst = max(worst, counts[h.Rack])
		}
	}
	return total - worst - st.Pool(name).Hosts
}

// check checks each new revision against the promises.
func (s *site) check(t *rapid.T) {
	wasUnreachable := s.table.unreachable
	s.table.unreachable = false
	defer func() { s.table.unreachable = wasUnreachable }()
	for {
		c, err := s.log.Change(context.Background(), s.checked.Revision+1)
		if gauge.IsKind(err, gauge.KindNotFound) {
			return
		}
		assert.NilError(t, err)
		next, err := s.checked.Apply(c)
		assert.NilError(t, err)
		s.checkChange(t, s.checked, next, c)
		s.checked = next
	}
}

func (s *site) checkChange(t *rapid.T, before, after gauge.State, c gauge.Change) {
	taken, seen := make(map[string]bool), make(map[string]bool)
	for _, h := range c.Hosts {
		if seen[h.ID] {
			t.Fatalf("%s is changed twice by one revision", h.ID)
		}
		seen[h.ID] = true
		old := before.ByHost[h.ID]
		if old.IsServing() && h.State == gauge.HostLeaving {
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
		if h.WaveRevision != old.WaveRevision {
			s.machines[h.ID].bootsAtLeaving = s.machines[h.ID].listed.Boots
		}
		if h.LastDoneRevision != old.LastDoneRevision && s.machines[h.ID].listed.Boots <= s.machines[h.ID].bootsAtLeaving {
			t.Fatalf("%s counts as done for wave %s but was not rebooted", h.ID, h.Wave)
		}
		if h.State == gauge.HostRebooting && old.State != h.State && len(s.machines[h.ID].running) > 0 {
			t.Fatalf("%s is to reboot with tasks running", h.ID)
		}
	}
	for name := range taken {
		if after.Pool(name) != nil && spareHosts(after, name) < 0 {
			t.Fatalf("pool %s no longer keeps its promise: %d spare hosts", name, spareHosts(after, name))
		}
	}
}

// settle makes some rounds without disturbances.
func (s *site) settle(rounds int) {
	for range rounds {
		for _, m := range s.machines {
			if m.booting {
				m.booting = false
				m.listed.Boots++
			}
		}
		for _, e := range s.entries {
			s.adopt(e)
			s.now = s.now.Add(time.Second)
			s.readHostList(e)
			if !e.dead {
				e.ctrl.Round(context.Background())
			}
		}
	}
}

func (s *site) countDone(name, wave string) (done, all int) {
	st, _ := s.log.Load(context.Background())
	w := st.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: wave}]
	for _, h := range st.Hosts().InPool(name) {
		all++
		if !plan.IsDue(w, h) {
			done++
		}
	}
	return done, all
}
