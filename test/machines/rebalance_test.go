package machines_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/platform"
)

const (
	// entries named strong-N run on large hosts, weak-N on small ones
	largeHostCores = 0.8 // cores
	smallHostCores = 0.1
)

// leaseHolder returns the name of the entry that holds a lease according to the table; empty: none.
func (s *site) leaseHolder(pool string) string {
	row, err := gauge.DecodeLeaseRow(s.table.Value(gauge.TableLeases, pool, gauge.KeyOwner))
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(row.Holder, "/")
	return name
}

// fleetLease is the fleet lease, whose holder moves machines between pools.
const fleetLease = ""

// waitLeasesHeldBy waits until all leases are held by entries whose names begin with a prefix.
func (s *site) waitLeasesHeldBy(prefix string) {
	s.t.Helper()
	s.waitFor("leases held by "+prefix, func() bool {
		return strings.HasPrefix(s.leaseHolder(poolName), prefix) && strings.HasPrefix(s.leaseHolder(fleetLease), prefix)
	})
}

// Guards against a pool that falls behind on a small host and misses its objectives while large
// hosts are idle: leases stayed wherever they were taken first. Small hosts are up first and own
// all leases; then a large one starts, while jobs run and are submitted.
func TestLeasesMoveToLargeHosts(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	for n := range 3 {
		s.startOn(fmt.Sprintf("weak-%d", n), s.table.Addr(), host{capacity: smallHostCores})
	}
	s.waitReady()
	s.waitLeasesHeldBy("weak")
	assert.Assert(t, s.submit(0, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 0)) == 1 })
	s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	var jobs []int
	s.waitFor("leases at the large host", func() bool {
		if n := len(jobs) + 1; n <= 60 && s.submit(n, twoSteps(20)) {
			jobs = append(jobs, n)
		}
		return s.leaseHolder(poolName) == "strong-0" && s.leaseHolder(fleetLease) == "strong-0"
	})
	// The table shows a lease as taken before its holder has the answer.
	s.waitFor("the lease was taken by an offer", func() bool {
		return s.countLogged("lease taken", `"entry"="strong-0"`, `"pool"="`+poolName+`"`, `"from"="weak-`) >= 1
	})
	s.waitCompleted(jobs)
	assert.Equal(t, s.jobState(0), "running")
	assert.Equal(t, s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 0)), 1)
	s.checkNoViolations()
}

// Guards against a pool that nobody serves for long after the process of a large host with all
// leases was killed, as small hosts leave leases to a host that is known but dead.
func TestSmallHostsTakeOverFromKilledLargeHost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	killed := s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("strong")
	for n := range 2 {
		s.startOn(fmt.Sprintf("weak-%d", n), s.table.Addr(), host{capacity: smallHostCores})
	}
	s.waitReady()
	s.waitFor("the large host is known", func() bool { return s.countLogged("entry known", `"peer"="strong-0"`, `"entry"="weak-`) == 2 })
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	assert.Equal(t, s.leaseHolder(poolName), "strong-0")
	killed.kill()
	<-killed.done
	killed.mesh.Close()
	s.entries = s.entries[1:]
	s.waitLeasesHeldBy("weak")
	// The table shows a lease as taken before its holder has the answer.
	s.waitFor("the lease was taken from the killed entry", func() bool {
		return s.countLogged("lease taken", `"pool"="`+poolName+`"`, `"before"="strong-0/1"`) == 1
	})
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.waitCompleted([]int{1, 2})
	s.checkNoViolations()
}

// Guards against a stopping owner that hands its pool to a small host although a large one is
// there: the entry with the fewest leases became the successor, whatever its capacity.
func TestStoppingOwnerHandsItsPoolToLargeHost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("strong-0")
	for n := range 6 {
		s.startOn(fmt.Sprintf("weak-%d", n), s.table.Addr(), host{capacity: smallHostCores})
	}
	s.startOn("strong-1", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitFor("all are known to the owner and can take leases", func() bool {
		return !slices.ContainsFunc(s.entries[1:], func(e *entry) bool {
			return s.countLogged("entry known", `"entry"="strong-0"`, e.peerAddr) == 0 || !s.acceptsLeases(e)
		})
	})
	first.node.Release(t.Context(), 0)
	s.entries = s.entries[1:]
	s.waitLeasesHeldBy("strong-1")
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	s.checkNoViolations()
}

// Guards against an idle large host that gets the pools of many small ones at once: several
// owners see at the same time that it has no lease, and each hands it one. The number of leases
// that an entry reports doesn't include those that are on their way.
func TestEntryReservesOneLeaseAtATimeForRebalancing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	now := new(atomic.Int64)
	now.Store(int64(time.Second))
	e := s.startOn("e-0", s.table.Addr(), host{capacity: largeHostCores, now: func() time.Duration { return time.Duration(now.Load()) }})
	s.waitReady()
	// The entry's clock advances only here.
	s.waitFor("the entry takes leases", func() bool {
		now.Add(int64(10 * time.Millisecond))
		return s.acceptsLeases(e)
	})
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	reserve := func() bool {
		answer := make(map[string]any)
		assert.NilError(t, caller.Call(t.Context(), e.peerAddr, "lease.probe", map[string]any{"p": true}, &answer))
		return answer["r"] == true
	}
	assert.Assert(t, reserve())
	assert.Assert(t, !reserve(), "the reservation is held for another lease")
	assert.Assert(t, s.acceptsLeases(e), "an owner that stops is not refused")
	s.waitFor("a reservation that isn't used expires", func() bool {
		now.Add(int64(10 * time.Millisecond))
		return reserve()
	})
}

// Guards against an entry that serves nothing, or fills its log, because of one malformed row,
// such as one written by an older version or by something else: rows written by others must not
// be trusted to be well formed.
func TestMalformedEntryRowIsLoggedAndIgnored(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 2)
	s.table.PutIn(gauge.TableEntries, gauge.PartitionEntries, "e-9", "10.0.0.1:7060")
	s.start("e-0")
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	s.waitFor("its own row is read", func() bool { return s.countLogged("entry known", `"peer"="e-0"`) == 1 })
	assert.Equal(t, s.countLogged("entry row not read"), 1)
	s.checkNoViolations()
}

// fakePeer is an entry that the others know, whose answers the test gives.
type fakePeer struct {
	mesh     *mesh.Node
	answered chan struct{} // closed when it has answered for the first time
	offers   atomic.Int32
}

// startFakePeer starts a peer that accepts any lease and reports that it holds some already. It
// answers probes once the channel after is closed; nil: at once.
func (s *site) startFakePeer(name string, capacity float64, leases int, after <-chan struct{}) *fakePeer {
	p := &fakePeer{mesh: mesh.New(mesh.Config{}), answered: make(chan struct{})}
	answer := map[string]any{"r": true, "h": name + "/1", "n": leases, "c": capacity}
	var once sync.Once
	p.mesh.Handle("lease.probe", func(ctx context.Context, _ []byte) (any, error) {
		if after != nil {
			select {
			case <-after:
			case <-ctx.Done():
			}
		}
		once.Do(func() { close(p.answered) })
		return answer, nil
	})
	p.mesh.Handle("lease.offer", func(context.Context, []byte) (any, error) {
		p.offers.Add(1)
		return answer, nil
	})
	l := s.listen()
	go func() { _ = p.mesh.Serve(s.t.Context(), l) }()
	s.t.Cleanup(p.mesh.Close)
	row := gauge.EntryRow{Addr: l.Addr().String(), Capacity: capacity}
	value, err := row.Encode()
	assert.NilError(s.t, err)
	table := platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), ReadTimeout: waitTimeout, CommitTimeout: waitTimeout, Clock: time.Now})
	defer table.Close()
	_, _, err = table.Commit(s.t.Context(), gauge.PartitionTxn{Writes: []gauge.RowWrite{{
		RowKey: gauge.RowKey{Table: gauge.TableEntries, Partition: gauge.PartitionEntries, Key: name}, Value: value,
	}}})
	assert.NilError(s.t, err)
	return p
}

// Guards against a stopping owner that hands its pool to a small host that reports ready at the
// same time as a large one. The large one has three leases, the small one none; of those that are
// ready, the one with the fewest leases was chosen instead of the one with the lowest load.
func TestSuccessorIsLeastLoadedReadyEntry(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("strong-0")
	large := s.startFakePeer("strong-1", largeHostCores, 3, nil)
	small := s.startFakePeer("weak-0", smallHostCores, 0, large.answered)
	s.waitFor("both are known", func() bool {
		return s.countLogged("entry known", `"peer"="strong-1"`) == 1 && s.countLogged("entry known", `"peer"="weak-0"`) == 1
	})
	first.node.Release(t.Context(), 0)
	s.waitFor("both leases offered", func() bool { return large.offers.Load()+small.offers.Load() == 2 })
	assert.Equal(t, large.offers.Load(), int32(2))
}

// Guards against pools of a stopping entry that are taken only after their leases have expired.
// Dozens of large hosts have lost power and answer nothing; they are the least loaded that the
// entry knows. The entry asked four hosts at a time and waited for each group of four.
func TestStoppingEntryDoesNotWaitForSilentHosts(t *testing.T) {
	t.Parallel()
	const (
		silent = 60
		// stopTimeout is the time that the entry has to stop: a third of what it would take to wait
		// for each group of four hosts, and twice what it takes without waiting.
		stopTimeout = 3 * time.Second
	)
	s := newSite(t, 0, 1)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: largeHostCores})
	s.waitReady()
	s.waitLeasesHeldBy("strong-0")
	for n := range silent {
		s.startFakePeer(fmt.Sprintf("silent-%02d", n), largeHostCores, 0, make(chan struct{}))
	}
	small := s.startFakePeer("weak-0", smallHostCores, 0, nil)
	s.waitFor("all are known", func() bool {
		return s.countLogged("entry known", `"peer"="silent-`) == silent && s.countLogged("entry known", `"peer"="weak-0"`) == 1
	})
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	first.node.Release(ctx, 0)
	assert.Assert(t, small.offers.Load() > 0)
}
