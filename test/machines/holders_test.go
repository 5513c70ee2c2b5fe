package machines_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/tenure"
	"sapphiregauge/platform"
)

// silentHolder is an entry that renews leases and answers nobody.
type silentHolder struct {
	s        *site
	table    *platform.Table
	addr     string
	versions map[string]int64 // of the lease rows
}

const silentHolderName = "silent/1"

// newSilentHolder claims leases for an entry whose host accepts connections and never answers on them.
func newSilentHolder(s *site, pools ...string) *silentHolder {
	l := s.listen()
	accepted := make(chan net.Conn, 100) // they stay open
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	g := &silentHolder{s: s, addr: l.Addr().String(), versions: make(map[string]int64)}
	g.table = platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), ReadTimeout: waitTimeout, CommitTimeout: waitTimeout, Clock: time.Now})
	s.t.Cleanup(func() { _ = l.Close(); g.table.Close() })
	for _, pool := range pools {
		g.commit(pool, true)
	}
	return g
}

// commit writes the row of a lease, and the rows beside it if the lease is claimed.
func (g *silentHolder) commit(pool string, claim bool) {
	key := gauge.RowKey{Table: gauge.TableLeases, Partition: pool, Key: gauge.KeyOwner}
	_, position, err := g.table.Range(g.s.t.Context(), key.Table, key.Partition, key.Key, "")
	assert.NilError(g.s.t, err)
	writes, err := tenure.RowWrites(key, &gauge.LeaseRow{Holder: silentHolderName, Addr: g.addr, RenewedAt: position.Now.Milliseconds()})
	assert.NilError(g.s.t, err)
	if !claim {
		writes = writes[:1]
	}
	position, _, err = g.table.Commit(g.s.t.Context(), gauge.PartitionTxn{Checks: []gauge.RowCheck{{RowKey: key, Version: g.versions[pool]}}, Writes: writes})
	assert.NilError(g.s.t, err)
	g.versions[pool] = position.Version
}

// renew renews all leases.
func (g *silentHolder) renew() {
	for pool := range g.versions {
		g.commit(pool, false)
	}
}

// Guards against calls to the table that grow with entries times pools: each entry followed the
// renewals of all leases. And against pools without an owner for good, now that none does: the only
// holder loses its power, so that its connections don't end, and no other holder is left to notice.
func TestEntryWithoutLeaseNoticesADeadHolderAndFollowsNoRenewals(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	g := newSilentHolder(s, poolName, fleetLease)
	proxyAddr, calls := newCallCounter(t, s.table.Addr())
	s.startAt("e-0", proxyAddr)
	reads := func() int { return calls.total(gauge.TableLeases, "rows-feed", "rows-parts") }
	since, last := time.Now(), 0
	s.waitFor("the entry doesn't follow the leases any more", func() bool {
		g.renew()
		if n := reads(); n != last {
			since, last = time.Now(), n
		}
		return last > 0 && time.Since(since) > 1500*time.Millisecond
	})
	assert.Equal(t, s.countLogged("lease taken"), 0)
	s.waitLeasesHeldBy("e-0")
	assert.Assert(t, s.countLogged("lease may be free") > 0)
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	s.checkNoViolations()
}

// Guards against a stopping owner that finds no successor, as the entries that don't follow the
// leases can't tell that they reach the table.
func TestEntryThatFollowsNoLeasesTakesAnOffer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	holder := s.startOn("e-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-0")
	proxyAddr, calls := newCallCounter(t, s.table.Addr())
	s.startOn("weak-0", proxyAddr, host{capacity: smallHostCores})
	s.waitFor("the other entry is known", func() bool {
		return s.countLogged("entry known", `"entry"="e-0"`, `"peer"="weak-0"`) == 1
	})
	since, last := time.Now(), 0
	s.waitFor("it doesn't follow the leases any more", func() bool {
		if n := calls.total(gauge.TableLeases, "rows-feed", "rows-parts"); n != last {
			since, last = time.Now(), n
		}
		return last > 0 && time.Since(since) > 1500*time.Millisecond
	})
	holder.node.Release(t.Context(), time.Second)
	s.waitFor("both leases are taken", func() bool { return s.countLogged("lease offered", `"entry"="e-0"`, `"taken"=true`) == 2 })
	assert.Equal(t, s.countLogged("lease offered", `"entry"="e-0"`), 2, "at the first try")
	s.waitLeasesHeldBy("weak-0")
	s.checkNoViolations()
}

// Guards against a lease that is taken with an old handover: an offer that was delayed on its way reaches an entry
// after the holder has lost the lease and taken it again.
func TestOfferOfAnEarlierTermIsNotTaken(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	holder := s.startOn("e-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("e-0")
	other := s.startOn("e-1", s.table.Addr(), host{capacity: smallHostCores})
	s.waitReady()
	offer := map[string]any{"p": poolName, "h": "e-0/1", "v": 1, "r": gauge.LeaseRow{Holder: "e-0/1", Term: 7}}
	var answer any
	assert.NilError(t, holder.mesh.Call(t.Context(), other.peerAddr, "lease.offer", &offer, &answer))
	s.waitFor("the offer is refused by the table", func() bool { return s.countLogged("lease not taken", `"entry"="e-1"`) == 1 })
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	assert.Equal(t, s.countLogged("lease taken", `"entry"="e-1"`), 0)
	s.checkNoViolations()
}

// Guards against a pool without an owner for the rest of an outage: a stopping owner offered it to
// an entry to which the table seemed to answer, as the feeds that it had held back since before the
// outage were answered.
func TestAnswersToHeldFeedsAreNoProofThatTheTableIsReachable(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.waitReady()
	var away atomic.Bool
	addr := startProxy(t, s.table.Addr(), func(w http.ResponseWriter, _ *http.Request) bool {
		if !away.Load() {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	e := s.startAt("e-1", addr)
	s.waitFor("the entry accepts leases", func() bool { return s.acceptsLeases(e) })
	away.Store(true)
	began := time.Now()
	s.waitFor("the last call that got through is old", func() bool { return time.Since(began) > 900*time.Millisecond })
	accepted := false
	s.waitFor("held feeds were answered", func() bool {
		accepted = accepted || s.acceptsLeases(e)
		return accepted || time.Since(began) > 2500*time.Millisecond
	})
	assert.Assert(t, !accepted, "after %s", time.Since(began))
}
