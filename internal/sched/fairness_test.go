package sched_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

const (
	garages, schools, clinics = "garages", "schools", "clinics"
	// ampleWeight is far more jobs per second than the tests submit, so that none is beyond its
	// account's weight and only the shares of the pool decide.
	ampleWeight = 1000
)

// newSharingSite returns a configuration in which accounts of equal weight share the pools.
func newSharingSite() *gauge.Site {
	s := &gauge.Site{
		Version: 1, KeysRequired: true, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2}},
		Accounts: []gauge.ClientAccount{{Name: garages, Weight: ampleWeight}, {Name: schools, Weight: ampleWeight}, {Name: clinics, Weight: ampleWeight}},
	}
	s.Index()
	return s
}

// sharedPool is a pool of eight cores that accounts share, and what its workers run.
type sharedPool struct {
	*harness
	running map[string][]gauge.RunReport // by worker
}

func newSharedPool(t *testing.T, options ...option) *sharedPool {
	t.Helper()
	g := newHarness(t, options...)
	g.pool.Configure(newSharingSite())
	g.listWorkers("w1", "w2")
	g.report("w1", nil)
	g.report("w2", nil)
	return &sharedPool{harness: g, running: make(map[string][]gauge.RunReport)}
}

// start plans, has the workers carry out the starts and returns these.
func (s *sharedPool) start() []sched.Order {
	starts := s.planStarts()
	s.confirm(starts)
	for _, o := range starts {
		s.running[o.Worker.ID] = append(s.running[o.Worker.ID], runReport(o))
	}
	return starts
}

// startedJobs returns the jobs of the starts that follow, in order.
func (s *sharedPool) startedJobs() []string {
	var jobs []string
	for _, o := range s.start() {
		jobs = append(jobs, o.Start.Task.Job)
	}
	return jobs
}

// end has the worker of a start report its run as done.
func (s *sharedPool) end(o sched.Order) {
	id := o.Worker.ID
	s.running[id] = slices.DeleteFunc(s.running[id], func(r gauge.RunReport) bool { return r == runReport(o) })
	s.report(id, s.running[id], s.endReport(id, o.Start.Task, o.Start.Run, gauge.EndDone))
}

// Guards against a burst of one account that delays another one, which is within its share. The pattern: a full pool in
// which one account has all the earliest objectives. Where accounts don't share the pool, the order is that of objectives.
func TestAccountWithinItsShareStartsBeforeABurst(t *testing.T) {
	for _, tt := range []struct {
		name     string
		disabled gauge.Disabled
		change   func(*gauge.Site)
		want     int // job that starts when a run ends
	}{
		{"in force", nil, func(*gauge.Site) {}, 100},
		{"disabled", gauge.Disabled{gauge.MechanismFair}, func(*gauge.Site) {}, 9},
		{"without keys", nil, func(s *gauge.Site) { s.KeysRequired = false }, 9},
		{"no account has a weight", nil, func(s *gauge.Site) { clear(s.Accounts) }, 9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newSharedPool(t, func(c *sched.Config) { c.Disabled = tt.disabled })
			site := newSharingSite()
			tt.change(site)
			g.pool.Configure(site)
			for n := 1; n <= 20; n++ {
				g.adoptFor(n, garages, newStep(1))
			}
			starts := g.start()
			assert.Equal(t, len(starts), 8)
			g.advance(100 * time.Millisecond)
			g.adoptFor(100, schools, newStep(1))
			assert.Equal(t, len(g.planStarts()), 0)
			g.end(starts[0])
			assert.DeepEqual(t, g.startedJobs(), []string{jobID(tt.want)})
		})
	}
}

// Guards against an account whose runs aren't known when a new configuration lets accounts share the pool.
func TestSharesCountRunsFromBeforeTheyAreInForce(t *testing.T) {
	g := newSharedPool(t)
	g.pool.Configure(&gauge.Site{})
	g.adoptFor(1, garages, newStep(20))
	starts := g.start()
	g.pool.Configure(newSharingSite())
	g.advance(time.Millisecond)
	g.adoptFor(2, schools, newStep(1))
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(2)})
}

// Guards against one plan that gives an account more than its share, and against room that isn't used. The pattern: a pool
// that is free at once, and waiting work of several accounts, of which the first has the earliest objectives. An account
// exactly at its share is still within it, and starts one more.
func TestOnePlanDividesThePool(t *testing.T) {
	gang := newStep(5)
	gang.Gang = true
	large := newStep(4)
	large.Needs = gauge.Resources{MilliCPU: 2000, MemoryMB: 100}
	for _, tt := range []struct {
		name  string
		steps [3][]gauge.Step // one job each of garages, schools, clinics
		want  [3]int          // starts of each
	}{
		{"two jobs with many tasks", [3][]gauge.Step{{newStep(20)}, {newStep(20)}}, [3]int{5, 3}},
		{"one needs less", [3][]gauge.Step{{newStep(20)}, {newStep(2)}}, [3]int{6, 2}},
		{"one alone", [3][]gauge.Step{{newStep(20)}}, [3]int{8}},
		{"three", [3][]gauge.Step{{newStep(20)}, {newStep(20)}, {newStep(20)}}, [3]int{3, 3, 2}},
		{"large and small tasks", [3][]gauge.Step{{large}, {newStep(20)}}, [3]int{3, 2}},
		{"many steps of a job", [3][]gauge.Step{{newStep(2), newStep(2), newStep(2), newStep(2)}, {newStep(20)}}, [3]int{5, 3}},
		{"a gang, which starts whole", [3][]gauge.Step{{gang, newStep(9)}, {newStep(20)}}, [3]int{5, 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newSharedPool(t)
			for i, steps := range tt.steps {
				if len(steps) > 0 {
					g.adoptFor(i+1, []string{garages, schools, clinics}[i], steps...)
				}
			}
			var got [3]int
			for _, id := range g.startedJobs() {
				got[slices.Index([]string{jobID(1), jobID(2), jobID(3)}, id)]++
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// Guards against an account far above its share that starts before one that is less so, because its jobs can still
// meet their objectives. The pattern: a full pool in which only accounts above their shares have work that fits.
func TestLowerLevelStartsFirstAboveTheShares(t *testing.T) {
	g := newSharedPool(t)
	nowhere := newStep(1)
	nowhere.Label = "nowhere"
	g.adoptFor(2, garages, newStep(5))
	starts := g.start()
	g.adoptFor(3, schools, newStep(9))
	assert.Equal(t, len(starts)+len(g.start()), 8)
	g.adoptFor(1, clinics, nowhere)
	g.advance(1800 * time.Millisecond)
	g.adoptFor(4, garages, newStep(1))
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(3)})
}

// Guards against a successor that gives a burst the pool again: it hasn't seen the starts, but what it knows from reports
// orders the accounts alike.
func TestSuccessorOrdersAccountsAlike(t *testing.T) {
	adopt := func(g *harness, inherited bool) {
		for n, account := range map[int]string{1: garages, 2: schools, 3: clinics} {
			g.pool.Adopt(sched.AcceptedJob{
				ID: jobID(n), Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(20)}, Account: account},
				Row: &gauge.JobRow{State: gauge.JobPending, Pool: poolName}, Version: int64(fence + n), Inherited: inherited,
			}, g.now)
		}
	}
	first := newSharedPool(t)
	adopt(first.harness, false)
	starts := first.start()
	first.advance(time.Second)

	second := &sharedPool{harness: newHarness(t, withPredecessor("w1", "w2")), running: make(map[string][]gauge.RunReport)}
	second.now = first.now
	second.pool.Configure(newSharingSite())
	adopt(second.harness, true)
	second.listWorkers("w1", "w2")
	for id, running := range first.running {
		second.running[id] = slices.Clone(running)
		second.report(id, running)
	}
	for i, o := range starts {
		var jobs [2][]string
		for k, s := range []*sharedPool{first, second} {
			s.advance(10 * time.Millisecond)
			s.end(o)
			jobs[k] = s.startedJobs()
		}
		assert.Equal(t, len(jobs[0]), 1)
		assert.Equal(t, len(jobs[1]), 1)
		assert.Equal(t, jobs[0][0], jobs[1][0], "end %d", i)
	}
}

// Guards against waits that grow for an account within its share while another one submits ten times what the pool can
// run. Without the order, the account waits for what came before it.
func TestBurstDoesNotDelayAnAccountWithinItsShare(t *testing.T) {
	const longest = time.Second // until a run of the burst ends
	assert.Assert(t, longestWaitBesideBurst(t, nil) <= longest)
	assert.Assert(t, longestWaitBesideBurst(t, gauge.Disabled{gauge.MechanismFair}) > 5*longest)
}

// longestWaitBesideBurst plays 20 s of a pool of eight cores to which one account submits 80 jobs of one core second every
// second, and another one 2, and returns how long the latter's waited at most.
func longestWaitBesideBurst(t *testing.T, disabled gauge.Disabled) time.Duration {
	const (
		step  = 50 * time.Millisecond
		steps = 400
	)
	g := newSharedPool(t, func(c *sched.Config) { c.Disabled = disabled })
	arrived := make(map[string]time.Duration)
	running := make(map[string]sched.Order)
	startedAt := make(map[string]time.Duration)
	for i := range steps {
		g.advance(step)
		for k := range 4 {
			g.adoptFor(10*i+k, garages, newStep(1))
		}
		if i%10 == 0 {
			arrived[g.adoptFor(10*i+9, schools, newStep(1))] = g.now
		}
		for _, id := range slices.Sorted(maps.Keys(running)) {
			if g.now-startedAt[id] >= time.Second {
				g.end(running[id])
				delete(running, id)
			}
		}
		for _, o := range g.start() {
			running[o.Start.Task.Job], startedAt[o.Start.Task.Job] = o, g.now
		}
	}
	var longest time.Duration
	for id, at := range arrived {
		started, ok := startedAt[id]
		if !ok {
			started = g.now
		}
		longest = max(longest, started-at)
	}
	return longest
}

// Guards against crossings of a share that operators can't see, and against a log that they fill. The pattern: an account
// that crosses its share several times within a second.
func TestCrossingsOfAShareAreCountedAndLogged(t *testing.T) {
	var lines []string
	events := 0
	log := funcr.NewJSON(func(line string) {
		if strings.Contains(line, `"account share"`) {
			lines = append(lines, line)
		}
	}, funcr.Options{})
	g := newSharedPool(t, func(c *sched.Config) {
		c.Logs = log
		c.CountEvent = func(event string) {
			if event == sched.EventBeyondPart {
				events++
			}
		}
	})
	g.adoptFor(1, garages, newStep(100))
	last := g.start()[0]
	for n := 2; n < 8; n++ {
		g.advance(50 * time.Millisecond)
		id := g.adoptFor(n, schools, newStep(1)) // halves the share of garages while it waits
		g.end(last)
		last = g.start()[0]
		assert.Equal(t, last.Start.Task.Job, id)
		g.end(last)
		last = g.start()[0]
		assert.Equal(t, last.Start.Task.Job, jobID(1))
	}
	assert.Equal(t, events, 6)
	assert.Equal(t, len(lines), 1, "%v", lines)
	for _, field := range []string{`"account":"garages"`, `"share":0.875`, `"part":0.5`, `"level":`, `"waiting":92`} {
		assert.Assert(t, strings.Contains(lines[0], field), "%s without %s", lines[0], field)
	}
	g.advance(time.Second)
	g.end(last)
	last = g.start()[0]
	assert.Equal(t, len(lines), 2, "it has been within its share since, alone in the pool")
}
