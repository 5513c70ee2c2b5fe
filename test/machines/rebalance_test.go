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
	strongHost = 0.8 // cores
	weakHost   = 0.1
)

// holderOf is the entry that the table names for a lease; empty: none.
func (s *site) holderOf(pool string) string {
	row, err := gauge.DecodeLeaseRow(s.table.Value(gauge.TableLeases, pool, gauge.KeyOwner))
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(row.Holder, "/")
	return name
}

// fleetLease is the lease of which the holder moves machines.
const fleetLease = ""

// held waits until all leases are held by entries whose names begin alike.
func (s *site) held(by string) {
	s.t.Helper()
	s.waitFor("leases held by "+by, func() bool {
		return strings.HasPrefix(s.holderOf(poolName), by) && strings.HasPrefix(s.holderOf(fleetLease), by)
	})
}

// Symptom: a pool falls behind on a weak host and breaks promises, while strong
// hosts have nothing to do.
// Sequence: weak hosts are up first and own all leases; a strong one comes; jobs run
// and are handed in all the time.
// Cause: leases stayed wherever they were taken first.
func TestLeasesEndAtTheHostsThatCanCarryThem(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	for n := range 3 {
		s.startOn(fmt.Sprintf("weak-%d", n), s.table.Addr(), host{capacity: weakHost})
	}
	s.ready()
	s.held("weak")
	assert.Assert(t, s.submit(0, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.1", 0)) == 1 })
	s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	var jobs []int
	s.waitFor("leases at the strong host", func() bool {
		if n := len(jobs) + 1; n <= 60 && s.submit(n, twoSteps(20)) {
			jobs = append(jobs, n)
		}
		return s.holderOf(poolName) == "strong-0" && s.holderOf(fleetLease) == "strong-0"
	})
	// The table shows a lease as taken before its holder has the answer.
	s.waitFor("it was taken by an offer", func() bool {
		return s.logged("lease taken", `"entry"="strong-0"`, `"pool"="`+poolName+`"`, `"from"="weak-`) >= 1
	})
	s.completed(jobs)
	assert.Equal(t, s.state(0), "running")
	assert.Equal(t, s.journal.Starts(fmt.Sprintf("%016x.0.0.1", 0)), 1)
	s.clean()
}

// Symptom: nobody serves a pool for long after the strong hosts are gone.
// Sequence: a strong host owns all leases; its process is killed.
// Cause: weak hosts leave leases to a host that is known but gone.
func TestWeakHostsTakeOverFromStrongOnesThatAreKilled(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	killed := s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("strong")
	for n := range 2 {
		s.startOn(fmt.Sprintf("weak-%d", n), s.table.Addr(), host{capacity: weakHost})
	}
	s.ready()
	s.waitFor("the strong host is known", func() bool { return s.logged("entry known", `"peer"="strong-0"`, `"entry"="weak-`) == 2 })
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	assert.Equal(t, s.holderOf(poolName), "strong-0")
	killed.kill()
	<-killed.done
	killed.mesh.Close()
	s.entries = s.entries[1:]
	s.held("weak")
	// The table shows a lease as taken before its holder has the answer.
	s.waitFor("it was taken from the one that was killed", func() bool {
		return s.logged("lease taken", `"pool"="`+poolName+`"`, `"before"="strong-0/1"`) == 1
	})
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.completed([]int{1, 2})
	s.clean()
}

// Symptom: an owner that stops has its pool taken by a weak host beside a strong one.
// Sequence: a strong host owns all leases, others are weak but for one; it stops.
// Cause: the successor was the one with the fewest leases, whatever it can carry.
func TestOwnerThatStopsHandsItsPoolToAHostThatCanCarryIt(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("strong-0")
	for n := range 6 {
		s.startOn(fmt.Sprintf("weak-%d", n), s.table.Addr(), host{capacity: weakHost})
	}
	s.startOn("strong-1", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.waitFor("all are known to the owner and can take leases", func() bool {
		return !slices.ContainsFunc(s.entries[1:], func(e *entry) bool {
			return s.logged("entry known", `"entry"="strong-0"`, e.peer) == 0 || !s.takes(e)
		})
	})
	first.node.Release(t.Context(), 0)
	s.entries = s.entries[1:]
	s.held("strong-1")
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	s.clean()
}

// Symptom: a strong host that is free gets the pools of many weak ones at once.
// Sequence: several owners see at the same time that it has no lease, and each hands
// it one.
// Cause: what an entry says it has doesn't count the leases that are on their way.
func TestAnEntryIsGivenOneLeaseAtATimeToSpreadThem(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	now := new(atomic.Int64)
	now.Store(int64(time.Second))
	e := s.startOn("e-0", s.table.Addr(), host{capacity: strongHost, now: func() time.Duration { return time.Duration(now.Load()) }})
	s.ready()
	// The entry's time passes only here.
	s.waitFor("it takes leases", func() bool {
		now.Add(int64(10 * time.Millisecond))
		return s.takes(e)
	})
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	keepsPlace := func() bool {
		answer := make(map[string]any)
		assert.NilError(t, caller.Call(t.Context(), e.peer, "lease.probe", map[string]any{"p": true}, &answer))
		return answer["r"] == true
	}
	assert.Assert(t, keepsPlace())
	assert.Assert(t, !keepsPlace(), "it is kept for another")
	assert.Assert(t, s.takes(e), "an owner that stops is not turned away")
	s.waitFor("a place that isn't used is free again", func() bool {
		now.Add(int64(10 * time.Millisecond))
		return keepsPlace()
	})
}

// Symptom: an entry serves nothing, or fills its log, because of one row.
// Sequence: an entry's row isn't one, as one of an older start or a foreign hand.
// Cause: what others have written is taken for well formed.
func TestMalformedEntryRowIsLoggedAndLeftAside(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 2)
	s.table.Put(gauge.TableEntries, "e-9", "10.0.0.1:7060")
	s.start("e-0")
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	s.waitFor("its own row read", func() bool { return s.logged("entry known", `"peer"="e-0"`) == 1 })
	assert.Equal(t, s.logged("entry row not read"), 1)
	s.clean()
}

// peer is an entry that the others know, of which the test gives the answers.
type peer struct {
	mesh     *mesh.Node
	answered chan struct{} // closed when it has answered once
	offers   atomic.Int32
}

// startPeer has a peer join that is ready for any lease, and has some already. It
// answers after something was closed; nil: at once.
func (s *site) startPeer(name string, capacity float64, leases int, after <-chan struct{}) *peer {
	p := &peer{mesh: mesh.New(mesh.Config{}), answered: make(chan struct{})}
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
	table := platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), Read: patience, Commit: patience, Clock: time.Now})
	defer table.Close()
	_, _, err = table.Commit(s.t.Context(), gauge.PartTxn{Writes: []gauge.RowWrite{{
		RowKey: gauge.RowKey{Table: gauge.TableEntries, Key: name}, Value: value,
	}}})
	assert.NilError(s.t, err)
	return p
}

// Symptom: an owner that stops has its pool taken by a weak host that says it is
// ready at the same time as a strong one.
// Sequence: the strong one has three leases, the weak one none; an owner stops.
// Cause: of those that are ready the one with the fewest leases was chosen.
func TestSuccessorIsTheLeastBurdenedOfThoseThatAreReady(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 1)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("strong-0")
	strong := s.startPeer("strong-1", strongHost, 3, nil)
	weak := s.startPeer("weak-0", weakHost, 0, strong.answered)
	s.waitFor("both are known", func() bool {
		return s.logged("entry known", `"peer"="strong-1"`) == 1 && s.logged("entry known", `"peer"="weak-0"`) == 1
	})
	first.node.Release(t.Context(), 0)
	s.waitFor("both leases offered", func() bool { return strong.offers.Load()+weak.offers.Load() == 2 })
	assert.Equal(t, strong.offers.Load(), int32(2))
}

// Symptom: an entry that stops has its pools taken only after their leases are over.
// Sequence: dozens of strong hosts have lost power, and answer nothing; they are the least
// burdened that the entry knows.
// Cause: they were asked four at a time, and each four waited for.
func TestSilentHostsAreNotWaitedForWhenAnEntryStops(t *testing.T) {
	t.Parallel()
	const (
		silent = 60
		// stopSpan is the entry's time for its stop: a third of what it takes to wait for
		// each four, and twice what it takes not to.
		stopSpan = 3 * time.Second
	)
	s := newSite(t, 0, 1)
	first := s.startOn("strong-0", s.table.Addr(), host{capacity: strongHost})
	s.ready()
	s.held("strong-0")
	for n := range silent {
		s.startPeer(fmt.Sprintf("silent-%02d", n), strongHost, 0, make(chan struct{}))
	}
	weak := s.startPeer("weak-0", weakHost, 0, nil)
	s.waitFor("all are known", func() bool {
		return s.logged("entry known", `"peer"="silent-`) == silent && s.logged("entry known", `"peer"="weak-0"`) == 1
	})
	ctx, cancel := context.WithTimeout(t.Context(), stopSpan)
	defer cancel()
	first.node.Release(ctx, 0)
	assert.Assert(t, weak.offers.Load() > 0)
}
