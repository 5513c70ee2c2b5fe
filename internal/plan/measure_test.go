package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/naive"
	"sapphiregauge/internal/plan"
)

// planner is the interface of both planners.
type planner interface {
	Pool(in plan.Input, pool string) plan.Plan
	Fleet(in plan.Input) plan.Plan
}

// scenario is a fleet and its failure rates.
type scenario struct {
	name            string
	hosts, zones    int
	pools, promised int // number of pools, and hosts promised to each
	accelPools      int // pools that need accelerators
	prefer          gauge.Preference
	days            int
	tick            time.Duration
	failures        float64 // hosts that fail per day
	racks           float64 // racks that fail per day
}

// scenarios are two sites and a large fleet. The small sites lose a rack every ten days, far more
// often than in reality.
func scenarios() []scenario {
	return []scenario{
		{name: "wakala", hosts: 52, zones: 3, pools: 5, promised: 8, prefer: gauge.PreferBuffer, days: 21, tick: 5 * time.Minute, failures: 0.54, racks: 0.1},
		{name: "brandys", hosts: 60, zones: 3, pools: 5, promised: 8, prefer: gauge.PreferSpeed, days: 21, tick: 5 * time.Minute, failures: 0.62, racks: 0.1},
		{name: "large", hosts: 5900, zones: 16, pools: 117, promised: 44, accelPools: 40, prefer: gauge.PreferBuffer, days: 7, tick: 15 * time.Minute, failures: 61, racks: 1.0 / 7},
	}
}

const (
	hostsPerRack = 4
	meanRepair   = 6 * time.Hour // mean; a rack takes as long
	bootTime     = 10 * time.Minute
	meanDrain    = 30 * time.Minute
	maxLongDrain = 8 * time.Hour // of one host in twenty: an overnight run
	lostAfter    = 30 * time.Minute
	waveAt       = 24 * time.Hour // when the wave is declared
)

// simulation is a fleet in simulated time.
type simulation struct {
	scenario
	random      *rand.Rand
	now         time.Duration
	state       gauge.State
	wave        gauge.Record // declared after a day
	seen        map[string]gauge.ListedHost
	repairedAt  map[string]time.Duration // failed hosts: when they are repaired
	idleAt      map[string]time.Duration // leaving hosts: when their work ends
	bootAt      map[string]time.Duration
	failedAt    map[string]time.Duration
	buffer      float64 // host-ticks beyond the promise
	ticks       float64
	moves       int
	breaches    int // pool-ticks below the promise
	planTime    time.Duration
	plans       int
	rolloutTime time.Duration
}

func newSimulation(s scenario) *simulation {
	f := &simulation{
		scenario: s, random: rand.New(rand.NewPCG(7, 7)), seen: make(map[string]gauge.ListedHost),
		repairedAt: make(map[string]time.Duration), idleAt: make(map[string]time.Duration),
		bootAt: make(map[string]time.Duration), failedAt: make(map[string]time.Duration),
	}
	f.state = gauge.State{Records: make(map[gauge.RecordID]gauge.Record), ByHost: make(map[string]gauge.Host)}
	for i := range s.hosts {
		rack := i / hostsPerRack
		h := gauge.Host{
			ID: fmt.Sprintf("h%05d", i), Rack: fmt.Sprint("r", rack), Zone: fmt.Sprint("z", rack%s.zones),
			Cores: 16, Memory: 64, Slots: 8, State: gauge.HostFree,
		}
		if rack%2 == 0 && s.accelPools > 0 {
			h.Accels = 4
		}
		f.state.ByHost[h.ID] = h
		f.seen[h.ID] = gauge.ListedHost{
			ID: h.ID, Zone: h.Zone, Rack: h.Rack, Cores: 16, Memory: 64, Accels: h.Accels, Slots: 8, Status: gauge.StatusLive,
		}
	}
	var names []string
	for i := range s.pools {
		p := &gauge.Pool{Hosts: s.promised, Prefer: s.prefer}
		if i < s.accelPools {
			p.Accels = 4
		}
		p.SetDefaults()
		name := fmt.Sprintf("p%03d", i)
		names = append(names, name)
		f.state.Records[gauge.RecordID{Kind: gauge.RecordPool, Name: name}] = gauge.Record{Kind: gauge.RecordPool, Name: name, Pool: p}
	}
	f.state = f.state.WithIndex()
	f.wave = gauge.Record{Kind: gauge.RecordWave, Name: "w", Wave: &gauge.Wave{Pools: names}}
	return f
}

func (f *simulation) run(p planner) {
	declared := false
	for f.now = 0; f.now < time.Duration(f.days)*24*time.Hour; f.now += f.tick {
		if !declared && f.now >= waveAt {
			declared = true
			f.wave.FirstRevision = f.state.Revision + 1
			f.apply(gauge.Change{Records: []gauge.Record{f.wave}})
			f.moves = 0 // filling the pools for the first time doesn't count as moves
		}
		f.advance()
		f.plan(p)
		if f.now >= waveAt {
			f.measure()
		}
		if declared && f.rolloutTime == 0 && f.waveDone() {
			f.rolloutTime = f.now - waveAt
		}
	}
}

func (f *simulation) apply(c gauge.Change) {
	c.Revision = f.state.Revision + 1
	for i := range c.Hosts {
		c.Hosts[i].Epoch++
		c.Hosts[i].ChangedRevision = c.Revision
	}
	next, err := f.state.Apply(c)
	if err != nil {
		panic(err)
	}
	f.state = next
}

// advance lets hosts fail, get repaired, boot and finish their work.
func (f *simulation) advance() {
	share := f.tick.Hours() / 24
	for n := f.poisson(f.failures * share); n > 0; n-- {
		f.failHost(fmt.Sprintf("h%05d", f.random.IntN(f.hosts)))
	}
	for n := f.poisson(f.racks * share); n > 0; n-- {
		first := f.random.IntN(f.hosts/hostsPerRack) * hostsPerRack
		for i := range hostsPerRack {
			f.failHost(fmt.Sprintf("h%05d", first+i))
		}
	}
	for id, at := range f.repairedAt {
		if f.now >= at {
			delete(f.repairedAt, id)
			f.setStatus(id, gauge.StatusLive, f.seen[id].Used, f.seen[id].Boots+1)
		}
	}
	for id, at := range f.bootAt {
		if f.now >= at {
			delete(f.bootAt, id)
			if f.repairedAt[id] == 0 {
				f.setStatus(id, gauge.StatusLive, 0, f.seen[id].Boots+1)
			}
		}
	}
	for id, at := range f.idleAt {
		if f.now >= at {
			delete(f.idleAt, id)
			f.setStatus(id, f.seen[id].Status, 0, f.seen[id].Boots)
		}
	}
}

func (f *simulation) poisson(mean float64) int {
	n := 0
	for left := f.random.ExpFloat64(); left < mean; left += f.random.ExpFloat64() {
		n++
	}
	return n
}

func (f *simulation) failHost(id string) {
	f.repairedAt[id] = f.now + time.Duration(f.random.ExpFloat64()*float64(meanRepair))
	f.setStatus(id, gauge.StatusGone, 0, f.seen[id].Boots)
}

func (f *simulation) setStatus(id string, s gauge.Status, used, boots int) {
	seen := f.seen[id]
	seen.Status, seen.Used, seen.Boots = s, used, boots
	f.seen[id] = seen
}

func (f *simulation) plan(p planner) {
	list := make(gauge.HostList, 0, len(f.seen))
	for i := range f.hosts {
		list = append(list, f.seen[fmt.Sprintf("h%05d", i)])
	}
	in := plan.Input{
		State: f.state, List: list, ListByHost: f.seen,
		IsQuiesced: func(h gauge.Host) bool { _, busy := f.idleAt[h.ID]; return !busy },
		IsLost:     func(h gauge.Host) bool { return f.now-f.failedAt[h.ID] > lostAfter },
	}
	f.applyPlan(p.Fleet, in)
	for _, name := range in.State.RecordNames(gauge.RecordPool) {
		in.State = f.state
		f.applyPlan(func(in plan.Input) plan.Plan { return p.Pool(in, name) }, in)
	}
}

func (f *simulation) applyPlan(decide func(plan.Input) plan.Plan, in plan.Input) {
	began := time.Now()
	steps := decide(in).Steps
	f.planTime += time.Since(began)
	f.plans++
	var c gauge.Change
	for _, s := range steps {
		if s.Reboot && f.seen[s.Host.ID].Status == gauge.StatusLive {
			f.bootAt[s.Host.ID] = f.now + bootTime
			f.setStatus(s.Host.ID, gauge.StatusBooting, 0, f.seen[s.Host.ID].Boots)
		}
		if s.Reason == "" {
			continue
		}
		f.recordChange(f.state.ByHost[s.Host.ID], s.Host)
		c.Hosts = append(c.Hosts, s.Host)
	}
	if len(c.Hosts) > 0 {
		f.apply(c)
	}
}

func (f *simulation) recordChange(old, next gauge.Host) {
	if next.Pool != old.Pool && next.Pool != "" {
		f.moves++
	}
	if next.State == gauge.HostFailed {
		f.failedAt[next.ID] = f.now
	}
	if next.State == gauge.HostLeaving && old.State == gauge.HostServing {
		d := time.Duration(f.random.ExpFloat64() * float64(meanDrain))
		if f.random.IntN(20) == 0 {
			d = time.Duration(f.random.Float64() * float64(maxLongDrain))
		}
		f.idleAt[next.ID] = f.now + d
		f.setStatus(next.ID, f.seen[next.ID].Status, 1, f.seen[next.ID].Boots)
	}
}

func (f *simulation) measure() {
	f.ticks++
	for _, name := range f.state.RecordNames(gauge.RecordPool) {
		hosts, promised := f.state.InPool(name), f.state.Pool(name).Hosts
		working := 0
		for _, h := range hosts {
			if h.IsServing() && f.seen[h.ID].Status == gauge.StatusLive {
				working++
			}
		}
		if working < promised {
			f.breaches++
		}
		f.buffer += float64(len(hosts) - promised)
	}
}

func (f *simulation) waveDone() bool {
	for _, name := range f.state.RecordNames(gauge.RecordPool) {
		for _, h := range f.state.InPool(name) {
			if plan.IsDue(f.wave, h) && h.State != gauge.HostFailed {
				return false
			}
		}
	}
	return true
}

// BenchmarkPlanners runs both planners over three weeks of each small site and one week of the
// large one. It reports the buffer (hosts held beyond the promise, in percent), the rollout time
// (hours of one wave over all pools; 0: not completed), moves, breaches (pool-ticks below the
// promise) and the time of one planning round. The bounds hold for any planner: one spare host per
// pool covers a failure, and a wave takes at least the drains and boots of its hosts, as many at a
// time as the pool has beyond its promise.
func BenchmarkPlanners(b *testing.B) {
	for _, s := range scenarios() {
		for name, p := range map[string]planner{
			"plan": plan.New(plan.Config{}), "naive25": naive.New(naive.Config{SpareShare: 0.25}), "naive12": naive.New(naive.Config{SpareShare: 0.12}),
		} {
			b.Run(s.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					f := newSimulation(s)
					f.run(p)
					promised := float64(s.pools * s.promised)
					b.ReportMetric(100*f.buffer/f.ticks/promised, "buffer-%")
					b.ReportMetric(100/float64(s.promised), "buffer-bound-%")
					b.ReportMetric(f.rolloutTime.Hours(), "rollout-h")
					b.ReportMetric(float64(f.moves), "moves")
					b.ReportMetric(float64(f.breaches), "breach-pool-ticks")
					b.ReportMetric(f.planTime.Seconds()*1000/f.ticks, "ms/round")
				}
			})
		}
	}
}
