package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/admit"
)

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

// Guards against clients that come back at once, time and again, and so take the room of others.
func TestClientThatComesBackEarlyIsNotPreferred(t *testing.T) {
	group := admit.Group{Priority: 1}
	c := newController([]load{{group, 640, 640}}, 0)
	assert.Equal(t, c.Decide(newJob("a"), cores, 0).RetryAfter, time.Second)
	assert.Equal(t, c.Decide(newJob("b"), cores, 0).RetryAfter, 2*time.Second)
	now := 800 * time.Millisecond
	c.SetWork(workOf([]load{{group, 560, 560}}), none, now)
	assert.Assert(t, !c.Decide(newJob("b"), cores, now).Accepted)
	now = time.Second
	c.SetWork(workOf([]load{{group, 545, 545}}), none, now)
	assert.Assert(t, !c.Decide(newJob("c"), cores, now).Accepted, "the room is promised")
	assert.Assert(t, c.Decide(newJob("a"), cores, now).Accepted)
}
