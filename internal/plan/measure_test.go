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

// planner is what both planners do.
type planner interface {
	Pool(in plan.Input, pool string) plan.Plan
	Fleet(in plan.Input) plan.Plan
}

// shape is a fleet and how it fails.
type shape struct {
	name         string
	hosts, zones int
	pools, each  int // pools, and hosts promised to each
	accelPools   int // pools that need accelerators
	prefer       gauge.Prefer
	days         int
	tick         time.Duration
	failures     float64 // hosts that fail a day
	racks        float64 // racks that fail a day
}

// shapes are the two sites of today and letter 1's size. The small ones lose a
// rack every ten days, far more than they would.
func shapes() []shape {
	return []shape{
		{name: "wakala", hosts: 52, zones: 3, pools: 5, each: 8, prefer: gauge.PreferBuffer, days: 21, tick: 5 * time.Minute, failures: 0.54, racks: 0.1},
		{name: "brandys", hosts: 60, zones: 3, pools: 5, each: 8, prefer: gauge.PreferSpeed, days: 21, tick: 5 * time.Minute, failures: 0.62, racks: 0.1},
		{name: "letter", hosts: 5900, zones: 16, pools: 117, each: 44, accelPools: 40, prefer: gauge.PreferBuffer, days: 7, tick: 15 * time.Minute, failures: 61, racks: 1.0 / 7},
	}
}

const (
	racksOf   = 4
	repair    = 6 * time.Hour // mean; a rack takes as long
	boot      = 10 * time.Minute
	drainMean = 30 * time.Minute
	drainLong = 8 * time.Hour // of one host in twenty: an overnight run
	patience  = 30 * time.Minute
	waveDay   = 24 * time.Hour // the wave is declared after a day
)

// fake is a fleet on made-up time.
type fake struct {
	shape
	random  *rand.Rand
	now     time.Duration
	state   gauge.State
	wave    gauge.Record // declared after a day
	seen    map[string]gauge.Sighting
	upAt    map[string]time.Duration // failed hosts: when they are repaired
	idleAt  map[string]time.Duration // leaving hosts: when their work ends
	bootAt  map[string]time.Duration
	failed  map[string]time.Duration
	buffer  float64 // host-ticks over the promise
	ticks   float64
	moves   int
	breach  int // pool-ticks below the promise
	planned time.Duration
	plans   int
	done    time.Duration
}

func newFake(s shape) *fake {
	f := &fake{
		shape: s, random: rand.New(rand.NewPCG(7, 7)), seen: make(map[string]gauge.Sighting),
		upAt: make(map[string]time.Duration), idleAt: make(map[string]time.Duration),
		bootAt: make(map[string]time.Duration), failed: make(map[string]time.Duration),
	}
	f.state = gauge.State{Records: make(map[gauge.RecordID]gauge.Record), ByHost: make(map[string]gauge.Host)}
	for i := range s.hosts {
		rack := i / racksOf
		h := gauge.Host{
			ID: fmt.Sprintf("h%05d", i), Rack: fmt.Sprint("r", rack), Zone: fmt.Sprint("z", rack%s.zones),
			Cores: 16, Memory: 64, Slots: 8, State: gauge.HostFree,
		}
		if rack%2 == 0 && s.accelPools > 0 {
			h.Accels = 4
		}
		f.state.ByHost[h.ID] = h
		f.seen[h.ID] = gauge.Sighting{
			ID: h.ID, Zone: h.Zone, Rack: h.Rack, Cores: 16, Memory: 64, Accels: h.Accels, Slots: 8, Status: gauge.StatusLive,
		}
	}
	var names []string
	for i := range s.pools {
		p := &gauge.Pool{Hosts: s.each, Prefer: s.prefer}
		if i < s.accelPools {
			p.Accels = 4
		}
		p.Defaults()
		name := fmt.Sprintf("p%03d", i)
		names = append(names, name)
		f.state.Records[gauge.RecordID{Kind: gauge.RecordPool, Name: name}] = gauge.Record{Kind: gauge.RecordPool, Name: name, Pool: p}
	}
	f.state = f.state.Indexed()
	f.wave = gauge.Record{Kind: gauge.RecordWave, Name: "w", Wave: &gauge.Wave{Pools: names}}
	return f
}

func (f *fake) run(p planner) {
	declared := false
	for f.now = 0; f.now < time.Duration(f.days)*24*time.Hour; f.now += f.tick {
		if !declared && f.now >= waveDay {
			declared = true
			f.wave.Born = f.state.Revision + 1
			f.apply(gauge.Change{Records: []gauge.Record{f.wave}})
			f.moves = 0 // the first filling of the pools is no move
		}
		f.happen()
		f.plan(p)
		if f.now >= waveDay {
			f.measure()
		}
		if declared && f.done == 0 && f.waveDone() {
			f.done = f.now - waveDay
		}
	}
}

func (f *fake) apply(c gauge.Change) {
	c.Revision = f.state.Revision + 1
	for i := range c.Hosts {
		c.Hosts[i].Epoch++
		c.Hosts[i].Since = c.Revision
	}
	next, err := f.state.Apply(c)
	if err != nil {
		panic(err)
	}
	f.state = next
}

// happen lets hosts fail, be repaired, boot, and end their work.
func (f *fake) happen() {
	share := f.tick.Hours() / 24
	for n := f.poisson(f.failures * share); n > 0; n-- {
		f.fail(fmt.Sprintf("h%05d", f.random.IntN(f.hosts)))
	}
	for n := f.poisson(f.racks * share); n > 0; n-- {
		first := f.random.IntN(f.hosts/racksOf) * racksOf
		for i := range racksOf {
			f.fail(fmt.Sprintf("h%05d", first+i))
		}
	}
	for id, at := range f.upAt {
		if f.now >= at {
			delete(f.upAt, id)
			f.status(id, gauge.StatusLive, f.seen[id].Used, f.seen[id].Boots+1)
		}
	}
	for id, at := range f.bootAt {
		if f.now >= at {
			delete(f.bootAt, id)
			if f.upAt[id] == 0 {
				f.status(id, gauge.StatusLive, 0, f.seen[id].Boots+1)
			}
		}
	}
	for id, at := range f.idleAt {
		if f.now >= at {
			delete(f.idleAt, id)
			f.status(id, f.seen[id].Status, 0, f.seen[id].Boots)
		}
	}
}

func (f *fake) poisson(mean float64) int {
	n := 0
	for left := f.random.ExpFloat64(); left < mean; left += f.random.ExpFloat64() {
		n++
	}
	return n
}

func (f *fake) fail(id string) {
	f.upAt[id] = f.now + time.Duration(f.random.ExpFloat64()*float64(repair))
	f.status(id, gauge.StatusGone, 0, f.seen[id].Boots)
}

func (f *fake) status(id string, s gauge.Status, used, boots int) {
	seen := f.seen[id]
	seen.Status, seen.Used, seen.Boots = s, used, boots
	f.seen[id] = seen
}

func (f *fake) plan(p planner) {
	list := make(gauge.Sightings, 0, len(f.seen))
	for i := range f.hosts {
		list = append(list, f.seen[fmt.Sprintf("h%05d", i)])
	}
	in := plan.Input{
		State: f.state, List: list, Seen: f.seen,
		Quit: func(h gauge.Host) bool { _, busy := f.idleAt[h.ID]; return !busy },
		Lost: func(h gauge.Host) bool { return f.now-f.failed[h.ID] > patience },
	}
	f.take(p.Fleet, in)
	for _, name := range in.State.Names(gauge.RecordPool) {
		in.State = f.state
		f.take(func(in plan.Input) plan.Plan { return p.Pool(in, name) }, in)
	}
}

func (f *fake) take(decide func(plan.Input) plan.Plan, in plan.Input) {
	began := time.Now()
	steps := decide(in).Steps
	f.planned += time.Since(began)
	f.plans++
	var c gauge.Change
	for _, s := range steps {
		if s.Reboot && f.seen[s.Host.ID].Status == gauge.StatusLive {
			f.bootAt[s.Host.ID] = f.now + boot
			f.status(s.Host.ID, gauge.StatusBooting, 0, f.seen[s.Host.ID].Boots)
		}
		if s.Why == "" {
			continue
		}
		f.note(f.state.ByHost[s.Host.ID], s.Host)
		c.Hosts = append(c.Hosts, s.Host)
	}
	if len(c.Hosts) > 0 {
		f.apply(c)
	}
}

func (f *fake) note(old, next gauge.Host) {
	if next.Pool != old.Pool && next.Pool != "" {
		f.moves++
	}
	if next.State == gauge.HostFailed {
		f.failed[next.ID] = f.now
	}
	if next.State == gauge.HostLeaving && old.State == gauge.HostServing {
		d := time.Duration(f.random.ExpFloat64() * float64(drainMean))
		if f.random.IntN(20) == 0 {
			d = time.Duration(f.random.Float64() * float64(drainLong))
		}
		f.idleAt[next.ID] = f.now + d
		f.status(next.ID, f.seen[next.ID].Status, 1, f.seen[next.ID].Boots)
	}
}

func (f *fake) measure() {
	f.ticks++
	for _, name := range f.state.Names(gauge.RecordPool) {
		hosts, promised := f.state.InPool(name), f.state.Pool(name).Hosts
		working := 0
		for _, h := range hosts {
			if h.Serves() && f.seen[h.ID].Status == gauge.StatusLive {
				working++
			}
		}
		if working < promised {
			f.breach++
		}
		f.buffer += float64(len(hosts) - promised)
	}
}

func (f *fake) waveDone() bool {
	for _, name := range f.state.Names(gauge.RecordPool) {
		for _, h := range f.state.InPool(name) {
			if plan.Due(f.wave, h) && h.State != gauge.HostFailed {
				return false
			}
		}
	}
	return true
}

// BenchmarkPlanners runs both planners over three weeks of each shape: buffer
// (hosts held over the promise, percent), roll-out (hours of one wave over all
// pools; 0: not done), moves, breaches (pool-ticks below the promise), and the
// time of one round of planning. The bounds are of any planner: one spare host
// a pool covers a failure; a wave takes at least the drains and boots of its
// hosts, as many at a time as the pool has over its promise.
func BenchmarkPlanners(b *testing.B) {
	for _, s := range shapes() {
		for name, p := range map[string]planner{
			"plan": plan.New(plan.Config{}), "naive25": naive.New(naive.Config{Spare: 0.25}), "naive12": naive.New(naive.Config{Spare: 0.12}),
		} {
			b.Run(s.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					f := newFake(s)
					f.run(p)
					promised := float64(s.pools * s.each)
					b.ReportMetric(100*f.buffer/f.ticks/promised, "buffer-%")
					b.ReportMetric(100/float64(s.each), "buffer-bound-%")
					b.ReportMetric(f.done.Hours(), "rollout-h")
					b.ReportMetric(float64(f.moves), "moves")
					b.ReportMetric(float64(f.breach), "breach-pool-ticks")
					b.ReportMetric(f.planned.Seconds()*1000/f.ticks, "ms/round")
				}
			})
		}
	}
}
