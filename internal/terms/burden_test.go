package terms_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/terms"
)

const (
	large = 0.8 // cores of a large host
	small = 0.1 // cores of a small host
)

// otherHosts has the capacities of other hosts by the addresses of their entries.
type otherHosts map[string]float64

func newLeaseViewWith(self string, capacity float64, known otherHosts) *terms.LeaseView {
	v := terms.New(terms.Config{
		Holder: self, Addr: "10.0.0.9:1", Capacity: capacity, LeaseDuration: leaseDuration, ClaimSpread: spread, DelayPerLease: delayPerLease, GracePeriod: gracePeriod,
	})
	for addr, c := range known {
		v.SetEntry("at "+addr, gauge.EntryRow{Addr: addr, Capacity: c})
	}
	v.MarkTableRead()
	return v
}

// claimDelay returns how long an entry with so many leases waits before it claims a pool without an
// owner.
func claimDelay(v *terms.LeaseView, leases int) time.Duration {
	now := time.Duration(0)
	for len(v.DueClaims([]string{"p"}, leases, now)) == 0 {
		now += time.Millisecond
	}
	return now
}

// Guards against a pool that falls behind and is handed over again and again, during which its
// waiting jobs aren't counted and its long-running tasks don't run. If all hosts waited alike
// before they claim a free pool, a host with an eighth of the processor of others could be the
// first.
func TestLargerHostsClaimFirst(t *testing.T) {
	const most = 500 * time.Millisecond
	for _, tt := range []struct {
		name     string
		capacity float64
		known    otherHosts
		leases   int
		want     time.Duration // beyond the delay that differs by entry
	}{
		{"large among small", large, otherHosts{"a": small, "b": small}, 0, 0},
		{"large with two leases", large, otherHosts{"a": small}, 2, 2 * delayPerLease},
		{"equal", small, otherHosts{"a": small}, 0, 0},
		{"equal with a lease", small, otherHosts{"a": small}, 1, delayPerLease},
		{"half as large", large / 2, otherHosts{"a": large}, 0, delayPerLease},
		{"half as large with a lease", large / 2, otherHosts{"a": large, "b": small}, 1, 3 * delayPerLease},
		{"small beside large", small, otherHosts{"a": large}, 0, most},
		{"small beside large, with a lease", small, otherHosts{"a": large}, 1, delayPerLease + most},
		{"small, no other host known", small, nil, 0, most},
		{"large, no other host known", large, nil, 0, 0},
		{"own capacity unknown", 0, nil, 1, delayPerLease},
	} {
		t.Run(tt.name, func(t *testing.T) {
			least := claimDelay(newLeaseViewWith("me", large, otherHosts{"a": large}), 0)
			got := claimDelay(newLeaseViewWith("me", tt.capacity, tt.known), tt.leases)
			assert.Equal(t, got-least, tt.want)
		})
	}
}

// The entry's own row, also that of an earlier start, says nothing about other hosts.
func TestEntryIsNotComparedWithItself(t *testing.T) {
	v := newLeaseViewWith("me", small, nil)
	v.SetEntry("me", gauge.EntryRow{Addr: "10.0.0.9:1", Capacity: small})
	assert.Assert(t, claimDelay(v, 0) >= 500*time.Millisecond)
	assert.Equal(t, len(v.Peers("p")), 0)
}

func addrs(peers []terms.Peer) []string {
	var a []string
	for _, p := range peers {
		a = append(a, p.Addr)
	}
	return a
}

// holdLeases sets leases of pools whose holder is at an address.
func holdLeases(v *terms.LeaseView, addr string, pools ...string) {
	for _, pool := range pools {
		v.SetLease(pool, gauge.LeaseRow{Holder: addr + "/1", Addr: addr}, 5, 0, 0)
	}
}

func TestPeersAreOrderedByLoad(t *testing.T) {
	v := newLeaseViewWith("me", small, otherHosts{"small": small, "large": large, "middle": large / 2})
	assert.DeepEqual(t, addrs(v.Peers("p")), []string{"large", "middle", "small"})
	holdLeases(v, "large", "q", "r")
	assert.DeepEqual(t, addrs(v.Peers("p")), []string{"middle", "large", "small"})
	holdLeases(v, "middle", "s", "t", "u", "v")
	holdLeases(v, "small", "w")
	assert.DeepEqual(t, addrs(v.Peers("p")), []string{"large", "middle", "small"})

	same := newLeaseViewWith("me", small, otherHosts{"a": small, "b": small, "c": small})
	holdLeases(same, "a", "q")
	assert.Equal(t, addrs(same.Peers("p"))[2], "a", "the one of equal hosts that has more leases is last")
}

// An address that only a lease row names is that of a host of unknown capacity.
func TestPeersIncludeHoldersWithoutAnEntryRow(t *testing.T) {
	v := newLeaseViewWith("me", small, otherHosts{"a": small})
	holdLeases(v, "b", "q")
	assert.DeepEqual(t, addrs(v.Peers("p")), []string{"a", "b"})
}

// Guards against a pool that stays for good on a host that is too small for it: large hosts started
// later than small ones, or were down for a while, and a lease moved only when its holder failed.
func TestLeaseMovesToALessLoadedHost(t *testing.T) {
	for _, tt := range []struct {
		name          string
		capacity      float64
		leases        int
		otherCapacity float64
		otherLeases   int
		want          bool
	}{
		{"equal hosts, two against none", small, 2, small, 0, true},
		{"equal hosts, two against one", small, 2, small, 1, false},
		{"equal hosts, one against none", small, 1, small, 0, false},
		{"equal hosts, three against none", small, 3, small, 0, true},
		{"equal hosts, three against one", large, 3, large, 1, false},
		{"equal hosts, five against one", large, 5, large, 1, true},
		{"small with one, large with none", small, 1, large, 0, true},
		{"small with one, large with two", small, 1, large, 2, true},
		{"small with one, large with three", small, 1, large, 3, true},
		{"small with one, large with four", small, 1, large, 4, false},
		{"large with many, small with none", large, 8, small, 0, false},
		{"half as large, one against none", large / 2, 1, large, 0, true},
		{"half as large, two against none", large / 2, 2, large, 0, true},
		{"no leases", small, 0, large, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			here, there := terms.HostLoad{Leases: tt.leases, Capacity: tt.capacity}, terms.HostLoad{Leases: tt.otherLeases, Capacity: tt.otherCapacity}
			assert.Equal(t, here.ShouldMoveTo(there), tt.want)
			if tt.want {
				here.Leases--
				there.Leases++
				assert.Assert(t, !there.ShouldMoveTo(here), "the lease must not move back")
			}
		})
	}
}
