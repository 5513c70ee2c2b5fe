package terms_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/terms"
)

const (
	leaseDuration = 2 * time.Second
	spread        = 200 * time.Millisecond
	delayPerLease = 150 * time.Millisecond
	gracePeriod   = 800 * time.Millisecond
)

func newLeaseView(self string) *terms.LeaseView {
	v := terms.New(terms.Config{Holder: self, Addr: "10.0.0.9:1", LeaseDuration: leaseDuration, ClaimSpread: spread, DelayPerLease: delayPerLease, GracePeriod: gracePeriod})
	v.MarkTableRead()
	return v
}

func rowOf(holder string) gauge.LeaseRow { return gauge.LeaseRow{Holder: holder, Addr: "10.0.0.1:1"} }

// dueClaims asks for claims until the longest delay has passed.
func dueClaims(v *terms.LeaseView, now time.Duration, pools ...string) []terms.Claim {
	if c := v.DueClaims(pools, 0, now); len(c) > 0 {
		return c
	}
	return v.DueClaims(pools, 0, now+spread+delayPerLease)
}

// Guards against a pool that starts nothing, or a fleet in which no machine moves, for two seconds
// and more. The holder's host loses power, so that its connections don't end, and nothing but the
// end of the lease would show that it is dead.
func TestLeaseOfAnUnresponsiveHolderIsClaimedEarly(t *testing.T) {
	const probeAfter = time.Second
	addr := rowOf("other").Addr
	for _, tt := range []struct {
		name    string
		prepare func(v *terms.LeaseView)
		want    bool
	}{
		{"holder was not probed", func(*terms.LeaseView) {}, false},
		{"holder didn't answer", func(v *terms.LeaseView) { v.MarkUnanswered(addr, 1050*time.Millisecond) }, true},
		{"another holder didn't answer", func(v *terms.LeaseView) { v.MarkUnanswered("10.0.0.2:1", 1050*time.Millisecond) }, false},
		{"holder has renewed since", func(v *terms.LeaseView) {
			v.MarkUnanswered(addr, 1050*time.Millisecond)
			v.SetLease("p", rowOf("other"), 6, 1100*time.Millisecond, 0)
		}, false},
		{"the table is just reachable again", func(v *terms.LeaseView) {
			v.MarkUnanswered(addr, 1050*time.Millisecond)
			v.StartGracePeriod(1300 * time.Millisecond)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := terms.New(terms.Config{Holder: "self", Addr: "10.0.0.9:1", LeaseDuration: leaseDuration, ClaimSpread: spread, DelayPerLease: delayPerLease, GracePeriod: gracePeriod, ProbeAfter: probeAfter})
			v.MarkTableRead()
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			assert.Equal(t, len(v.OverdueAddrs(probeAfter)), 0)
			assert.DeepEqual(t, v.OverdueAddrs(1050*time.Millisecond), []string{addr})
			tt.prepare(v)
			claims := dueClaims(v, 1400*time.Millisecond, "p")
			assert.Equal(t, len(claims) > 0, tt.want)
			if tt.want {
				assert.Assert(t, claims[0].PreviousLeaseLeft > 0, "the holder may continue for this long")
			}
		})
	}
}

// Guards against tasks that run twice, and against leases that are taken again and again: connections to a
// holder that is alive are refused, and it is taken for exited.
func TestHolderWhoseAddressRefusesConnectionsMayBeAlive(t *testing.T) {
	v := newLeaseView("self")
	v.SetLease("p", rowOf("other"), 5, 0, 0)
	v.MarkRefused("other", 100*time.Millisecond)
	claims := dueClaims(v, 200*time.Millisecond, "p")
	assert.Equal(t, len(claims), 1)
	assert.Assert(t, claims[0].PreviousLeaseLeft > 0, "the holder may continue for this long")

	before := rowOf("other")
	before.RenewedAt = 1000
	v.SetLease("p", before, 6, 300*time.Millisecond, before.RenewedAt+250)
	assert.Equal(t, len(dueClaims(v, 300*time.Millisecond, "p")), 1, "that renewal was sent before")

	v.SetLease("p", rowOf("other"), 7, 300*time.Millisecond, 0)
	assert.Equal(t, len(dueClaims(v, 400*time.Millisecond, "p")), 0, "the holder has renewed its lease since")
}

func TestLeaseClaims(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(v *terms.LeaseView)
		now     time.Duration
		want    bool
	}{
		{"no row", func(*terms.LeaseView) {}, 0, true},
		{"given up", func(v *terms.LeaseView) { v.SetLease("p", rowOf(""), 5, 0, 0) }, 0, true},
		{"held by another entry", func(v *terms.LeaseView) { v.SetLease("p", rowOf("other"), 5, 0, 0) }, time.Second, false},
		{"not renewed for the lease duration", func(v *terms.LeaseView) { v.SetLease("p", rowOf("other"), 5, 0, 0) }, leaseDuration + 200*time.Millisecond, true},
		{"renewed meanwhile", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			v.SetLease("p", rowOf("other"), 6, time.Second, 0)
		}, leaseDuration + 200*time.Millisecond, false},
		// A row version that is read again is no renewal.
		{"the same row again", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			v.SetLease("p", rowOf("other"), 5, time.Second, 0)
		}, leaseDuration + 200*time.Millisecond, true},
		{"renewed long ago by the table's clock", func(v *terms.LeaseView) {
			r := rowOf("other")
			r.RenewedAt = 1000
			v.SetLease("p", r, 5, 0, 1000+2500)
		}, 0, true},
		{"renewed lately by the table's clock", func(v *terms.LeaseView) {
			r := rowOf("other")
			r.RenewedAt = 1000
			v.SetLease("p", r, 5, 0, 1000+1800)
		}, 100 * time.Millisecond, false},
		{"held by an earlier start of this entry", func(v *terms.LeaseView) {
			v.SetLease("p", gauge.LeaseRow{Holder: "me/1", Addr: "10.0.0.9:1"}, 5, 0, 0)
		}, 0, true},
		{"not renewed during a table outage, holder silent", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			v.StartGracePeriod(leaseDuration + time.Second)
		}, leaseDuration + time.Second, true},
		{"not renewed during a table outage, holder answered", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			v.MarkAlive("other", leaseDuration)
			v.StartGracePeriod(leaseDuration + time.Second)
		}, leaseDuration + time.Second, false},
		{"not renewed within the grace period after an outage", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			v.MarkAlive("other", leaseDuration)
			v.StartGracePeriod(leaseDuration + time.Second)
		}, leaseDuration + time.Second + gracePeriod, true},
		{"held by a process that has exited", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other"), 5, 0, 0)
			v.MarkExited("other")
		}, 0, true},
		{"held by the next start of a process that has exited", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf("other/2"), 5, 0, 0)
			v.MarkExited("other/1")
		}, 0, false},
		{"given up before a table outage", func(v *terms.LeaseView) {
			v.SetLease("p", rowOf(""), 5, 0, 0)
			v.StartGracePeriod(leaseDuration)
		}, leaseDuration, true},
		// The claim got no answer but was executed: no process runs the pool.
		{"held by this entry after an unanswered claim", func(v *terms.LeaseView) {
			v.MarkClaimUnanswered("p")
			v.SetLease("p", gauge.LeaseRow{Holder: "me", Addr: "10.0.0.9:1"}, 5, 0, 0)
		}, 0, true},
		{"held by another entry after an unanswered claim", func(v *terms.LeaseView) {
			v.MarkClaimUnanswered("p")
			v.SetLease("p", rowOf("other"), 5, 0, 0)
		}, 0, false},
		{"held by this entry", func(v *terms.LeaseView) {
			v.SetLease("p", gauge.LeaseRow{Holder: "me", Addr: "10.0.0.9:1"}, 5, 0, 0)
		}, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := newLeaseView("me")
			tt.prepare(v)
			assert.Equal(t, len(dueClaims(v, tt.now, "p")) == 1, tt.want)
		})
	}
}

func TestNoClaimsBeforeTheTableWasRead(t *testing.T) {
	v := terms.New(terms.Config{Holder: "me", LeaseDuration: leaseDuration})
	assert.Equal(t, len(dueClaims(v, time.Hour, "p")), 0)
}

// Entries that see a pool free at the same time claim it one after the other, and those that have
// pools claim it later than others.
func TestClaimsAreStaggered(t *testing.T) {
	first := make(map[time.Duration]bool)
	for _, self := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		v := newLeaseView(self)
		for now := time.Duration(0); ; now += time.Millisecond {
			if len(v.DueClaims([]string{"p"}, 0, now)) > 0 {
				first[now] = true
				break
			}
		}
	}
	assert.Assert(t, len(first) >= 5, "%v", first)

	v := newLeaseView("a")
	assert.Equal(t, len(v.DueClaims([]string{"p"}, 3, 0)), 0)
	assert.Equal(t, len(v.DueClaims([]string{"p"}, 3, 3*delayPerLease-time.Millisecond)), 0)
}
