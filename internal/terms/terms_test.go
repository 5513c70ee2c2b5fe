package terms_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/terms"
)

const (
	term   = 2 * time.Second
	spread = 200 * time.Millisecond
	held   = 150 * time.Millisecond
	regain = 800 * time.Millisecond
)

func newBoard(self string) *terms.LeaseView {
	b := terms.New(terms.Config{Holder: self, Addr: "10.0.0.9:1", LeaseDuration: term, ClaimSpread: spread, DelayPerLease: held, GracePeriod: regain})
	b.MarkTableRead()
	return b
}

func rowOf(holder string) gauge.LeaseRow { return gauge.LeaseRow{Holder: holder, Addr: "10.0.0.1:1"} }

// dueClaims asks for claims until the longest delay has passed.
func dueClaims(b *terms.LeaseView, now time.Duration, pools ...string) []terms.Claim {
	if c := b.DueClaims(pools, 0, now); len(c) > 0 {
		return c
	}
	return b.DueClaims(pools, 0, now+spread+held)
}

// Guards against a pool that stands still, or a fleet in which no machine moves, for two seconds
// and more. The holder's host loses power, so that its connections don't end, and nothing but the
// end of the lease would show that it is dead.
func TestLeaseOfAnUnresponsiveHolderIsClaimedEarly(t *testing.T) {
	const suspect = time.Second
	addr := rowOf("other").Addr
	for _, tt := range []struct {
		name    string
		prepare func(b *terms.LeaseView)
		want    bool
	}{
		{"holder was not probed", func(*terms.LeaseView) {}, false},
		{"holder didn't answer", func(b *terms.LeaseView) { b.MarkUnanswered(addr, 1050*time.Millisecond) }, true},
		{"another holder didn't answer", func(b *terms.LeaseView) { b.MarkUnanswered("10.0.0.2:1", 1050*time.Millisecond) }, false},
		{"holder has renewed since", func(b *terms.LeaseView) {
			b.MarkUnanswered(addr, 1050*time.Millisecond)
			b.SetLease("p", rowOf("other"), 6, 1100*time.Millisecond, 0)
		}, false},
		{"the table is just reachable again", func(b *terms.LeaseView) {
			b.MarkUnanswered(addr, 1050*time.Millisecond)
			b.StartGracePeriod(1300 * time.Millisecond)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := terms.New(terms.Config{Holder: "self", Addr: "10.0.0.9:1", LeaseDuration: term, ClaimSpread: spread, DelayPerLease: held, GracePeriod: regain, ProbeAfter: suspect})
			b.MarkTableRead()
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			assert.Equal(t, len(b.OverdueAddrs(suspect)), 0)
			assert.DeepEqual(t, b.OverdueAddrs(1050*time.Millisecond), []string{addr})
			tt.prepare(b)
			claims := dueClaims(b, 1400*time.Millisecond, "p")
			assert.Equal(t, len(claims) > 0, tt.want)
			if tt.want {
				assert.Assert(t, claims[0].PreviousLeaseLeft > 0, "the holder may continue for this long")
			}
		})
	}
}

func TestLeaseClaims(t *testing.T) {
	for _, tt := range []struct {
		name string
		tell func(b *terms.LeaseView)
		now  time.Duration
		want bool
	}{
		{"no row", func(*terms.LeaseView) {}, 0, true},
		{"given up", func(b *terms.LeaseView) { b.SetLease("p", rowOf(""), 5, 0, 0) }, 0, true},
		{"held by another entry", func(b *terms.LeaseView) { b.SetLease("p", rowOf("other"), 5, 0, 0) }, time.Second, false},
		{"not renewed for a term", func(b *terms.LeaseView) { b.SetLease("p", rowOf("other"), 5, 0, 0) }, term + 200*time.Millisecond, true},
		{"renewed meanwhile", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			b.SetLease("p", rowOf("other"), 6, time.Second, 0)
		}, term + 200*time.Millisecond, false},
		// A row version that is read again is no renewal.
		{"the same row again", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			b.SetLease("p", rowOf("other"), 5, time.Second, 0)
		}, term + 200*time.Millisecond, true},
		{"renewed long ago by the table's clock", func(b *terms.LeaseView) {
			r := rowOf("other")
			r.RenewedAt = 1000
			b.SetLease("p", r, 5, 0, 1000+2500)
		}, 0, true},
		{"renewed lately by the table's clock", func(b *terms.LeaseView) {
			r := rowOf("other")
			r.RenewedAt = 1000
			b.SetLease("p", r, 5, 0, 1000+1800)
		}, 100 * time.Millisecond, false},
		{"held by an earlier start of this entry", func(b *terms.LeaseView) {
			b.SetLease("p", gauge.LeaseRow{Holder: "me/1", Addr: "10.0.0.9:1"}, 5, 0, 0)
		}, 0, true},
		{"not renewed during a table outage, holder silent", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			b.StartGracePeriod(term + time.Second)
		}, term + time.Second, true},
		{"not renewed during a table outage, holder answered", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			b.MarkAlive("other", term)
			b.StartGracePeriod(term + time.Second)
		}, term + time.Second, false},
		{"not renewed within the grace period after an outage", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			b.MarkAlive("other", term)
			b.StartGracePeriod(term + time.Second)
		}, term + time.Second + regain, true},
		{"held by a process that has exited", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other"), 5, 0, 0)
			b.MarkExited("other")
		}, 0, true},
		{"held by the next start of a process that has exited", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf("other/2"), 5, 0, 0)
			b.MarkExited("other/1")
		}, 0, false},
		{"given up before a table outage", func(b *terms.LeaseView) {
			b.SetLease("p", rowOf(""), 5, 0, 0)
			b.StartGracePeriod(term)
		}, term, true},
		// The claim got no answer but was executed: no process runs the pool.
		{"held by this entry after an unanswered claim", func(b *terms.LeaseView) {
			b.MarkClaimUnanswered("p")
			b.SetLease("p", gauge.LeaseRow{Holder: "me", Addr: "10.0.0.9:1"}, 5, 0, 0)
		}, 0, true},
		{"held by another entry after an unanswered claim", func(b *terms.LeaseView) {
			b.MarkClaimUnanswered("p")
			b.SetLease("p", rowOf("other"), 5, 0, 0)
		}, 0, false},
		{"held by this entry", func(b *terms.LeaseView) {
			b.SetLease("p", gauge.LeaseRow{Holder: "me", Addr: "10.0.0.9:1"}, 5, 0, 0)
		}, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBoard("me")
			tt.tell(b)
			assert.Equal(t, len(dueClaims(b, tt.now, "p")) == 1, tt.want)
		})
	}
}

func TestNoClaimsBeforeTheTableWasRead(t *testing.T) {
	b := terms.New(terms.Config{Holder: "me", LeaseDuration: term})
	assert.Equal(t, len(dueClaims(b, time.Hour, "p")), 0)
}

// Entries that see a pool free at the same time claim it one after the other, and those that have
// pools claim it later than others.
func TestClaimsAreStaggered(t *testing.T) {
	first := make(map[time.Duration]bool)
	for _, self := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		b := newBoard(self)
		for now := time.Duration(0); ; now += time.Millisecond {
			if len(b.DueClaims([]string{"p"}, 0, now)) > 0 {
				first[now] = true
				break
			}
		}
	}
	assert.Assert(t, len(first) >= 5, "%v", first)

	b := newBoard("a")
	assert.Equal(t, len(b.DueClaims([]string{"p"}, 3, 0)), 0)
	assert.Equal(t, len(b.DueClaims([]string{"p"}, 3, 3*held-time.Millisecond)), 0)
}
