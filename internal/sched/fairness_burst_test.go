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
		Version: 1, KeysRequired: true, Contended: true, Queues: []gauge.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 2}},
		Accounts: []gauge.ClientAccount{{Name: garages, Weight: ampleWeight}, {Name: schools, Weight: ampleWeight}, {Name: clinics, Weight: ampleWeight}},
	}
	s.Index()
	return s
}

// sharedPool is an overloaded pool of eight cores that accounts share, and what its workers run.
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
	g.pool.AssumeOverload()
	return &sharedPool{harness: g, running: make(map[string][]gauge.RunReport)}
}

// configure sets the configuration of the overloaded pool.
func (s *sharedPool) configure(site *gauge.Site) {
	s.pool.Configure(site)
	s.pool.AssumeOverload()
}

// advance lets time pass in the overloaded pool.
func (s *sharedPool) advance(d time.Duration) {
	s.harness.advance(d)
	s.pool.AssumeOverload()
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

// Guards against waits that grow for an account within its share while another one submits ten times what the pool can
// run. Until the pool counts as overloaded, the account's jobs are in time only.
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
		// Jobs are late 0.9 s after they came, and the pool is overloaded 2 s after that.
		overloadedAt = 4 * time.Second
	)
	g := newSharedPool(t, func(c *sched.Config) { c.Disabled = disabled })
	arrived := make(map[string]time.Duration)
	running := make(map[string]sched.Order)
	startedAt := make(map[string]time.Duration)
	for i := range steps {
		g.harness.advance(step)
		for k := range 4 {
			g.adoptFor(10*i+k, garages, newStep(1))
		}
		if i%10 == 0 && g.now >= overloadedAt {
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
