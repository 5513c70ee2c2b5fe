package sched_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

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
		{"no competition by the settings", nil, func(s *gauge.Site) { s.Contended = false }, 9},
		{"no account has a weight", nil, func(s *gauge.Site) { clear(s.Accounts) }, 9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newSharedPool(t, func(c *sched.Config) { c.Disabled = tt.disabled })
			site := newSharingSite()
			tt.change(site)
			g.configure(site)
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
	g.configure(newSharingSite())
	g.advance(time.Millisecond)
	g.adoptFor(2, schools, newStep(1))
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(2)})
}

// Guards against one plan that gives an account more than its share, or leaves capacity unused. Load pattern: a pool that
// is free at once. An account exactly at its share is still within it, and starts one more.
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

// Guards against an account far above its share that starts before one that is less so, because its jobs have earlier
// objectives. The pattern: an overloaded pool in which only accounts above their shares have work that fits.
func TestLowerLevelStartsFirstAboveTheShares(t *testing.T) {
	g := newSharedPool(t)
	nowhere := newStep(1)
	nowhere.Label = "nowhere"
	g.adoptFor(2, garages, newStep(5))
	starts := g.start()
	g.advance(100 * time.Millisecond)
	g.adoptFor(3, schools, newStep(9))
	assert.Equal(t, len(starts)+len(g.start()), 8)
	g.adoptFor(1, clinics, nowhere)
	g.pool.Adopt(sched.AcceptedJob{
		ID: jobID(4), Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{newStep(1)}, Account: garages},
		Row: &gauge.JobRow{State: gauge.JobPending, Pool: poolName, Account: garages}, Version: fence + 4,
	}, g.now)
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(3)})
}

// Guards against jobs that become late, account by account, behind late ones: what an account within its share has missed
// already can wait for what others can still have in time.
func TestTimelyJobsStartBeforeLateOnesWhateverTheShares(t *testing.T) {
	g := newSharedPool(t)
	nowhere := newStep(1)
	nowhere.Label = "nowhere"
	g.adoptFor(2, garages, newStep(8))
	starts := g.start()
	g.adoptFor(1, clinics, nowhere)
	g.adoptFor(3, schools, newStep(1))
	g.advance(1500 * time.Millisecond)
	g.adoptFor(4, garages, newStep(1))
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(4)})
	g.end(starts[1])
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
	second.configure(newSharingSite())
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

// Guards against work beyond an account's weight that starts before what others submit within theirs, because its account
// uses nothing of the pool at the moment.
func TestWorkBeyondTheWeightStartsLastWhateverTheShares(t *testing.T) {
	g := newSharedPool(t)
	site := newSharingSite()
	site.Accounts[1].Weight = 1
	g.configure(site)
	g.adoptFor(1, garages, newStep(9))
	starts := g.start()
	nowhere := newStep(1)
	nowhere.Label = "nowhere"
	g.adoptFor(2, schools, nowhere)
	g.adoptFor(3, schools, newStep(1)) // the second in a second
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(1)})
	g.end(starts[1])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(3)})
}

// Guards against jobs of a small account that wait behind others' later objectives although all could be in time: with its
// first job the account is above its share. The pattern: a pool that is full for a moment.
func TestObjectivesDecideWhileThePoolIsNotOverloaded(t *testing.T) {
	g := newSharedPool(t)
	g.harness.advance(time.Millisecond)
	g.adoptFor(1, garages, newStep(20))
	starts := g.start()
	g.harness.advance(time.Millisecond)
	g.adoptFor(2, schools, newStep(1))
	g.end(starts[0])
	assert.DeepEqual(t, g.startedJobs(), []string{jobID(1)})
}

// Guards against a pool that counts as overloaded for a peak that hosts relieve, or for a job that waits for a worker that it
// never gets.
func TestOverloadIsLateWorkThatLasts(t *testing.T) {
	g := newSharedPool(t)
	nowhere := newStep(1)
	nowhere.Label = "nowhere"
	g.adoptFor(1, garages, nowhere) // late after 0.9 s, hopeless after 4.9 s
	for _, tt := range []struct {
		at   time.Duration
		want bool
	}{{800 * time.Millisecond, false}, {time.Second, false}, {2900 * time.Millisecond, false}, {3100 * time.Millisecond, true}, {5 * time.Second, false}} {
		g.harness.advance(tt.at - g.now)
		assert.Equal(t, g.pool.IsOverloaded(), tt.want, "%v", tt.at)
	}
}
