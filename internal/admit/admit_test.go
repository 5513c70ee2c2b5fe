package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/admit"
)

const cores = 100.0

// newJob returns a job of ten core-seconds with a chain of 0.5 s and an objective of 2 s.
func newJob(id string, change ...func(*admit.Job)) admit.Job {
	j := admit.Job{ID: id, Account: "garages", Priority: 1, Work: 10, Cores: 20, Chain: 500 * time.Millisecond, Objective: 2 * time.Second}
	for _, c := range change {
		c(&j)
	}
	return j
}

func beyond(j *admit.Job) { j.Beyond = true }

func none(string) bool { return false }

type load struct {
	group       admit.Group
	coreSeconds float64
	cores       float64
}

func newController(loads []load, now time.Duration) *admit.Controller {
	c := admit.New()
	c.SetWork(workOf(loads), none, now)
	return c
}

func workOf(loads []load) admit.Work {
	var w admit.Work
	for _, l := range loads {
		w.Add(l.group, l.coreSeconds, l.cores)
	}
	return w
}

// The job may wait 1.5 s to meet its objective, and 5.5 s to be worth anything.
func TestDecisionByLoad(t *testing.T) {
	timely, late, over := admit.Group{Priority: 1}, admit.Group{Priority: 1, Late: true}, admit.Group{Priority: 1, Beyond: true}
	short := func(g admit.Group, coreSeconds float64) load { return load{g, coreSeconds, coreSeconds} }
	for _, tt := range []struct {
		name   string
		loads  []load
		change func(*admit.Job)
		refuse bool
		retry  time.Duration
	}{
		{name: "idle pool"},
		{name: "timely work that leaves time to meet the objective", loads: []load{short(timely, 149)}},
		{name: "timely work that leaves time to be of use", loads: []load{short(timely, 549)}},
		{name: "burst of all accounts within their shares", loads: []load{short(timely, 700)}, refuse: true, retry: 2 * time.Second},
		{name: "late work after timely work", loads: []load{short(timely, 140), short(late, 5000)}},
		{name: "late work before work that is late itself", loads: []load{short(timely, 200), short(late, 400)}, refuse: true, retry: time.Second},
		{name: "burst of one account, seen by the others", loads: []load{short(over, 5000)}},
		{name: "burst of one account, seen by itself", loads: []load{short(over, 5000)}, change: beyond, refuse: true, retry: 30 * time.Second},
		{name: "beyond the share, objective met", loads: []load{short(timely, 149)}, change: beyond},
		{name: "beyond the share, objective missed", loads: []load{short(timely, 160)}, change: beyond, refuse: true, retry: time.Second},
		{name: "beyond the share, behind lower priority", loads: []load{short(admit.Group{Priority: 2}, 1000)}, change: beyond, refuse: true, retry: 9 * time.Second},
		{name: "queue of higher priority", loads: []load{short(admit.Group{Priority: 0}, 1000)}, refuse: true, retry: 5 * time.Second},
		{name: "late work of higher priority", loads: []load{short(admit.Group{Priority: 0, Late: true}, 1000)}, refuse: true, retry: 5 * time.Second},
		{name: "queue of lower priority", loads: []load{short(admit.Group{Priority: 2}, 1000)}},
		{name: "higher priority beyond a share", loads: []load{short(admit.Group{Beyond: true}, 1000)}},
		// A job that takes ten minutes on ten cores leaves ninety to the others.
		{name: "long runs on some of the cores", loads: []load{{timely, 6000, 10}}},
		{name: "long runs on some of the cores, beyond the share", loads: []load{{timely, 6000, 10}}, change: beyond},
		{name: "long runs on all cores", loads: []load{{timely, 6000, 120}}, refuse: true, retry: 30 * time.Second},
		{name: "long runs and a burst", loads: []load{{timely, 6000, 50}, short(timely, 400)}, refuse: true, retry: 3 * time.Second},
		{name: "chain longer than the objective, idle pool", change: func(j *admit.Job) { j.Chain, j.Beyond = time.Minute, true }},
		{name: "chain longer than the objective, full pool", loads: []load{short(timely, 120)}, change: func(j *admit.Job) { j.Chain = time.Minute }, refuse: true, retry: 2 * time.Second},
		{name: "large job, idle pool", change: func(j *admit.Job) { j.Work, j.Cores = 100_000, 10_000 }},
		{name: "large job, full pool", loads: []load{short(timely, 700)}, change: func(j *admit.Job) { j.Work, j.Cores = 100_000, 10_000 }, refuse: true, retry: 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			j := newJob("a")
			if tt.change != nil {
				tt.change(&j)
			}
			d := newController(tt.loads, 0).Decide(j, cores, 0)
			assert.Equal(t, d.Accepted, !tt.refuse)
			assert.Equal(t, d.RetryAfter, tt.retry)
		})
	}
}

// Hosts that are on their way count from the time that the fleet lease holder knows that the pool
// can have them: a burst at the start of a peak isn't refused.
func TestHostsOnTheirWayCount(t *testing.T) {
	loads := []load{{admit.Group{Priority: 1}, 700, 700}}
	assert.Assert(t, !newController(loads, 0).Decide(newJob("a"), cores, 0).Accepted)
	assert.Assert(t, newController(loads, 0).Decide(newJob("a"), 2*cores, 0).Accepted)
}

func TestUsableCoresLeaveRoomForPackingAndLongRunningTasks(t *testing.T) {
	c := admit.New()
	c.SetWork(admit.Work{LongRunningCores: 25}, none, 0)
	assert.Equal(t, c.Cores(150), 100.0)
	assert.Equal(t, c.Cores(20), 0.0)
}

// Guards against a burst that is accepted whole because the summary of the accepted work is taken
// only every 50 ms, and because jobs are adopted only once they are stored.
func TestAcceptedJobsCountBeforeTheyAreInTheSummary(t *testing.T) {
	c, now := newController(nil, 0), time.Duration(0)
	accepted := 0
	for i := range 200 {
		if i%50 == 49 {
			now += 50 * time.Millisecond
			assert.Assert(t, c.NeedsWork(now))
			c.SetWork(admit.Work{}, none, now)
		}
		if c.Decide(newJob(fmt.Sprint(i), func(j *admit.Job) { j.Cores = j.Work }), cores, now).Accepted {
			accepted++
		}
	}
	assert.Equal(t, accepted, 56, "as many as fit into 5.5 s on 100 cores, and one more")
}

func TestAdoptedJobsCountOnce(t *testing.T) {
	c := newController(nil, 0)
	assert.Assert(t, c.Decide(newJob("a", beyond), cores, 0).Accepted)
	assert.Equal(t, c.Unadopted("garages", 0), 1)
	assert.Equal(t, c.Unadopted("garages", time.Second), 0)
	assert.Equal(t, c.Unadopted("schools", 0), 0)
	c.MarkAdopted("a")
	c.MarkAdopted("a")
	assert.Equal(t, c.Unadopted("garages", 0), 0)
	assert.Assert(t, c.IsAdmitted("a"), "it isn't in the summary yet")
	full := workOf([]load{{admit.Group{Priority: 1}, 149, 149}})
	c.SetWork(full, func(id string) bool { return id == "a" }, 50*time.Millisecond)
	assert.Assert(t, !c.IsAdmitted("a"))
	assert.Assert(t, c.Decide(newJob("b", beyond), cores, 50*time.Millisecond).Accepted)
}

// Guards against the work of a job that could not be stored, which would count for ever.
func TestAdmittedJobThatIsNotStoredIsDropped(t *testing.T) {
	c := newController(nil, 0)
	assert.Assert(t, c.Decide(newJob("a", func(j *admit.Job) { j.Work, j.Cores = 10_000, 10_000 }), cores, 0).Accepted)
	c.SetWork(admit.Work{}, none, 2*time.Second)
	assert.Assert(t, !c.Decide(newJob("b"), cores, 2*time.Second).Accepted)
	c.SetWork(admit.Work{}, none, 4*time.Second)
	assert.Assert(t, c.Decide(newJob("b"), cores, 4*time.Second).Accepted)
	assert.Equal(t, c.Unadopted("garages", 0), 0)
}

// simulation is a pool that works off what it accepts on all its cores, and clients that come back
// when they are told.
type simulation struct {
	controller *admit.Controller
	backlog    map[bool]float64 // core-seconds, by whether they are beyond a share
	accepted   map[string]bool
	refused    map[string]int // by id: number of refusals
	returns    map[time.Duration][]admit.Job
	rounds     time.Duration // time between two ends of runs
}

func newSimulation() *simulation {
	return &simulation{
		controller: admit.New(), backlog: make(map[bool]float64), accepted: make(map[string]bool), refused: make(map[string]int), returns: make(map[time.Duration][]admit.Job), rounds: 10 * time.Millisecond,
	}
}

func (s *simulation) submit(j admit.Job, now time.Duration) {
	if s.controller.NeedsWork(now) {
		var w admit.Work
		for beyond, left := range s.backlog {
			w.Add(admit.Group{Priority: 1, Beyond: beyond}, left, left)
		}
		s.controller.SetWork(w, func(id string) bool { return s.accepted[id] }, now)
	}
	d := s.controller.Decide(j, cores, now)
	if d.Accepted {
		s.accepted[j.ID] = true
		s.backlog[j.Beyond] += j.Work
		return
	}
	s.refused[j.ID]++
	s.returns[now+d.RetryAfter] = append(s.returns[now+d.RetryAfter], j)
}

// run lets time pass, with the jobs that arrive at each round.
func (s *simulation) run(until time.Duration, arrive func(now time.Duration) []admit.Job) {
	for now := time.Duration(0); now < until; now += s.rounds {
		s.work()
		for _, j := range s.returns[now] {
			s.submit(j, now)
		}
		for _, j := range arrive(now) {
			s.submit(j, now)
		}
	}
}

// work does what the cores can do between two rounds; work beyond the shares comes last.
func (s *simulation) work() {
	can := cores * s.rounds.Seconds()
	for _, beyond := range []bool{false, true} {
		done := min(can, s.backlog[beyond])
		s.backlog[beyond] -= done
		can -= done
	}
}

func (s *simulation) maxRefusals() int {
	most := 0
	for _, n := range s.refused {
		most = max(most, n)
	}
	return most
}

// Guards against a second wave: refused clients that all come back at one moment, most of which are
// refused again.
func TestRefusedClientsAreAcceptedWhenTheyComeBack(t *testing.T) {
	for _, tt := range []struct {
		name   string
		jobs   int
		change func(i int, j *admit.Job)
		over   time.Duration // time over which the burst arrives
	}{
		{name: "burst of all", jobs: 250, change: func(int, *admit.Job) {}},
		{name: "burst of one account", jobs: 250, change: func(_ int, j *admit.Job) { j.Beyond = true }},
		{name: "burst over two seconds", jobs: 250, change: func(int, *admit.Job) {}, over: 2 * time.Second},
		{name: "burst of one account after that of another", jobs: 250, change: func(i int, j *admit.Job) { j.Beyond = i >= 150 }},
		{name: "burst over five seconds", jobs: 250, change: func(int, *admit.Job) {}, over: 5 * time.Second},
		{name: "jobs of different sizes", jobs: 200, change: func(i int, j *admit.Job) { j.Work = float64(1 + i%20) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation()
			next := 0
			s.run(time.Minute, func(now time.Duration) []admit.Job {
				var jobs []admit.Job
				for next < tt.jobs && (tt.over == 0 || time.Duration(next)*tt.over/time.Duration(tt.jobs) <= now) {
					j := newJob(fmt.Sprint(next), func(j *admit.Job) { tt.change(next, j) })
					jobs = append(jobs, j)
					next++
				}
				return jobs
			})
			assert.Assert(t, len(s.refused) > tt.jobs/4, "%d refused", len(s.refused))
			assert.Equal(t, len(s.accepted), tt.jobs)
			assert.Equal(t, s.maxRefusals(), 1)
		})
	}
}

// Returns are spread over the time that the pool needs for them.
func TestReturnsAreStaggered(t *testing.T) {
	c := newController([]load{{admit.Group{Priority: 1}, 550, 550}}, 0)
	told := make(map[time.Duration]int)
	var all []time.Duration
	for i := range 50 {
		j := newJob(fmt.Sprint(i))
		j.Work = 20
		if d := c.Decide(j, cores, 0); !d.Accepted {
			told[d.RetryAfter]++
			all = append(all, d.RetryAfter)
		}
	}
	assert.Assert(t, slices.IsSorted(all), "later refusals get later times: %v", all)
	assert.Assert(t, len(told) >= 9, "%v", told)
	for at, n := range told {
		assert.Assert(t, n <= 6, "%d return at %s, where five can be accepted: %v", n, at, told)
	}
}

// Guards against a pool that never accepts again those whose time it couldn't tell: what doesn't fit
// into 30 s comes back then.
func TestOverloadForLongerThanTheLongestWait(t *testing.T) {
	s := newSimulation()
	s.run(3*time.Minute, func(now time.Duration) []admit.Job {
		if now > 0 {
			return nil
		}
		var jobs []admit.Job
		for i := range 800 {
			jobs = append(jobs, newJob(fmt.Sprint(i)))
		}
		return jobs
	})
	assert.Equal(t, len(s.accepted), 800)
	assert.Assert(t, s.maxRefusals() <= 3, "%d refusals of one job", s.maxRefusals())
}

// Guards against promises to clients that never come back, which would make later ones wait for
// nothing.
func TestPromiseOfAClientThatStaysAwayExpires(t *testing.T) {
	group := admit.Group{Priority: 1}
	c := newController([]load{{group, 650, 650}}, 0)
	for i := range 100 {
		c.Decide(newJob(fmt.Sprint(i)), cores, 0)
	}
	now := 20 * time.Second
	c.SetWork(workOf([]load{{group, 650, 650}}), none, now)
	d := c.Decide(newJob("z"), cores, now)
	assert.Equal(t, d.RetryAfter, 2*time.Second)
}

// Returns of jobs within the shares aren't put behind those of jobs beyond them.
func TestPromisesBeyondTheShareDelayNobodyElse(t *testing.T) {
	c := newController([]load{{admit.Group{Priority: 1}, 650, 650}}, 0)
	for i := range 100 {
		c.Decide(newJob(fmt.Sprint(i), beyond), cores, 0)
	}
	assert.Equal(t, c.Decide(newJob("z"), cores, 0).RetryAfter, 2*time.Second)
}

func TestReturnIsReportedOnce(t *testing.T) {
	c := newController([]load{{admit.Group{Priority: 1}, 600, 600}}, 0)
	assert.Assert(t, !c.Decide(newJob("a"), cores, 0).Accepted)
	c.SetWork(admit.Work{}, none, time.Second)
	d := c.Decide(newJob("a"), cores, time.Second)
	assert.Assert(t, d.Accepted && d.Returned)
	assert.Assert(t, !c.Decide(newJob("b"), cores, time.Second).Returned)
}
