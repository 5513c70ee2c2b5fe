package admit_test

import (
	"fmt"
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
