package owner_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// newSharingHarness returns an owner of a site that shares its capacity between accounts. Its pool can
// have 125 thousandths of a core, of which 100 are usable.
func newSharingHarness(t *testing.T, change ...func(*gauge.Site)) *harness {
	t.Helper()
	g := newHarness(t)
	s := &gauge.Site{
		Version: 1, KeysRequired: true, Contended: true, Accounts: []gauge.ClientAccount{{Name: "garages", Weight: 1000}, {Name: "schools", Weight: 1}},
		Queues: []gauge.Queue{{Name: queueName, Pool: "p", MaxAttempts: 2, Stretch: 2}},
	}
	for _, c := range change {
		c(s)
	}
	s.Index()
	g.owner.Configure(s)
	g.owner.SetReachable(125)
	return g
}

// admit submits jobs of 0.1 core-seconds, with an objective of 2 s and a chain of 1 s, and returns
// how many are admitted and the last refusal.
func (g *harness) admit(prefix, account string, count int) (int, *gauge.Error) {
	q := &gauge.Queue{Name: queueName, Pool: "p", Stretch: 2}
	spec := &gauge.JobSpec{Account: account, Steps: []gauge.Step{{Count: 10, Needs: gauge.Resources{MilliCPU: 10, MemoryMB: 1}, Estimate: time.Second}}}
	admitted, refusal := 0, (*gauge.Error)(nil)
	for i := range count {
		err := g.owner.Admit(q, fmt.Sprint(prefix, i), spec)
		if err == nil {
			admitted++
		}
		errors.As(err, &refusal)
	}
	return admitted, refusal
}

// The load pattern: a burst within 50 ms. Jobs may wait 5 s on the 0.1 cores that are usable.
func TestBurstIsRefusedInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSharingHarness(t)
		defer g.end()
		admitted, refusal := g.admit("a", "garages", 20)
		assert.Equal(t, admitted, 6)
		assert.Equal(t, refusal.Kind, gauge.KindNoSlot)
		assert.Assert(t, refusal.RetryAfter >= time.Second && refusal.RetryAfter <= 30*time.Second)
		admitted, refusal = g.admit("b", "schools", 20)
		assert.Equal(t, admitted, 0)
		assert.Equal(t, refusal.Kind, gauge.KindNoSlot, "the account's own jobs weren't admitted, so it is within its weight")
		g.mu.Lock()
		defer g.mu.Unlock()
		logged := strings.Join(g.logs, "\n")
		for _, key := range []string{"job not admitted", "reason", "ahead", "cores", "chain", "objective", "account", "beyond", "retry"} {
			assert.Assert(t, strings.Contains(logged, `"`+key+`"`), "%s isn't logged", key)
		}
	})
}

// The load pattern: one account at many times its weight in a pool that is otherwise idle.
func TestBurstOfOneAccountIsRefusedForItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSharingHarness(t)
		defer g.end()
		admitted, refusal := g.admit("a", "schools", 20)
		assert.Equal(t, admitted, 2, "the objective is met by those that wait for at most 1 s")
		assert.Equal(t, refusal.Kind, gauge.KindQuota)
		admitted, _ = g.admit("b", "garages", 3)
		assert.Equal(t, admitted, 3)
	})
}

// Guards against refusals where the owner doesn't know enough, or isn't asked to refuse.
func TestAllJobsAreAdmitted(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*gauge.Site)
		then   func(g *harness)
	}{
		{name: "no keys", change: func(s *gauge.Site) { s.KeysRequired = false }},
		{name: "no competition by the settings", change: func(s *gauge.Site) { s.Contended = false }},
		{name: "no weights", change: func(s *gauge.Site) { s.Accounts[0].Weight, s.Accounts[1].Weight = 0, 0 }},
		{name: "reachable cores are old", then: func(g *harness) { g.advance(2100 * time.Millisecond) }},
		{name: "reachable cores are old, and others told without them", then: func(g *harness) {
			g.advance(2100 * time.Millisecond)
			g.owner.SetReachable(0)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var changes []func(*gauge.Site)
				if tt.change != nil {
					changes = append(changes, tt.change)
				}
				g := newSharingHarness(t, changes...)
				defer g.end()
				if tt.then != nil {
					tt.then(g)
				}
				admitted, _ := g.admit("a", "garages", 20)
				assert.Equal(t, admitted, 20)
			})
		})
	}
}

func TestJobsThatAreKnownScheduledOrLongRunningAreAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSharingHarness(t)
		defer g.end()
		admitted, _ := g.admit("a", "garages", 20)
		assert.Equal(t, admitted, 6)
		admitted, _ = g.admit("a", "garages", 6)
		assert.Equal(t, admitted, 6, "they may be in progress")
		g.adopt(t, 0, 1)
		q := &gauge.Queue{Name: queueName, Pool: "p", Stretch: 2}
		step := gauge.Step{Count: 10, Needs: gauge.Resources{MilliCPU: 10}, Estimate: time.Second}
		lasting := step
		lasting.LongRunning = true
		assert.NilError(t, g.owner.Admit(q, fmt.Sprintf("%016x", firstJob), &gauge.JobSpec{Steps: []gauge.Step{step}}))
		assert.NilError(t, g.owner.Admit(q, "b", &gauge.JobSpec{Steps: []gauge.Step{step}, Repeats: 2}))
		assert.NilError(t, g.owner.Admit(q, "c", &gauge.JobSpec{Steps: []gauge.Step{lasting}}))
		assert.Assert(t, g.owner.Admit(q, "d", &gauge.JobSpec{Steps: []gauge.Step{step}}) != nil)
	})
}
