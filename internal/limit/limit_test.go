package limit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

// Guards against more running for an account than its limit, over pools whose owners are replaced, lose answers and have
// their writes carried out late.
func TestPartsNeverAddUpToMoreThanTheLimit(t *testing.T) {
	const bound, schedules, steps = 40, 1000, 400
	for seed := range uint64(schedules) {
		w := newWorld(seed, 3, bound)
		for step := range steps {
			w.step([]int{bound})
			assert.Assert(t, w.running() <= bound, "seed %d, step %d: %d cores run", seed, step, w.running())
		}
	}
}

// oldestVersion returns the oldest configuration that an owner still has.
func (w *world) oldestVersion() int64 {
	oldest := w.version
	for _, p := range w.pools {
		oldest = min(oldest, p.version)
	}
	return oldest
}

// Guards against starts beyond a limit that was lowered: the highest of the configurations that owners may have counts.
func TestNothingStartsBeyondALoweredLimit(t *testing.T) {
	const schedules, steps = 1000, 400
	for seed := range uint64(schedules) {
		w := newWorld(seed, 3, 40)
		for step := range steps {
			before := w.running()
			w.step([]int{40, 25, 10})
			highest := slices.Max(w.bounds[w.oldestVersion():])
			assert.Assert(t, w.running() <= max(before, highest), "seed %d, step %d: %d cores run", seed, step, w.running())
		}
	}
}

// settle lets all owners read, write and start until nothing changes any more.
func (w *world) settle(wants []int) {
	for range 40 {
		w.now += 300 * time.Millisecond
		for i, p := range w.pools {
			if p.parts.NeedsRead() {
				w.read(p)
			}
			w.update(p, wants[i]-p.total(), true)
			for p.total() < wants[i] && w.start(p, 1) {
			}
		}
	}
}

// Guards against starts that are held back although the account has room: each pool in its turn wants most of the limit, and
// the others give back what they had.
func TestPartsFollowDemandFromPoolToPool(t *testing.T) {
	const bound = 80
	w := newWorld(1, 4, bound)
	for turn := range 8 {
		wants := make([]int, len(w.pools))
		wants[turn%len(w.pools)] = bound / 2
		for _, p := range w.pools {
			p.runs = nil
		}
		w.settle(wants)
		assert.Equal(t, w.pools[turn%len(w.pools)].total(), bound/2, "turn %d", turn)
	}
}

// giveBack waits until a pool that runs nothing writes a smaller part.
func (w *world) giveBack(t *testing.T, p *pool) limit.Write {
	t.Helper()
	for range 5 {
		w.now += time.Second
		if writes := p.parts.Update(map[string]limit.Use{account: {}}, w.now); len(writes) > 0 {
			return writes[0]
		}
	}
	t.Fatal("the part stays as it is")
	return limit.Write{}
}

// Guards against starts within a part that a write of less, without an answer, has made another pool's.
func TestPartCountsAsSmallerOnceItsWriteIsSent(t *testing.T) {
	w := newWorld(1, 1, 40)
	p := w.pools[0]
	w.settle([]int{30})
	p.runs = nil
	writes := []limit.Write{w.giveBack(t, p)}
	assert.Assert(t, !w.start(p, 30), "while the write is under way")
	p.parts.Unanswered(writes)
	assert.Assert(t, !w.start(p, 30), "while it may still take effect")
	w.read(p)
	assert.Assert(t, !w.start(p, 30), "it hasn't yet")
}

// Guards against a part that stays unusable after a write of less was refused for the row of another account.
func TestRefusedWriteLeavesThePartUsable(t *testing.T) {
	w := newWorld(1, 1, 40)
	p := w.pools[0]
	w.settle([]int{30})
	p.runs = nil
	w.refuse(p, w.giveBack(t, p))
	assert.Assert(t, w.start(p, 30))
}

// Guards against a gang that waits for ever since a part grows by less than it needs.
func TestPartGrowsToWhatALargeStartNeeds(t *testing.T) {
	w := newWorld(1, 1, 40)
	w.settle([]int{0})
	p := w.pools[0]
	assert.Assert(t, !w.start(p, 38))
	w.update(p, 38, true)
	assert.Assert(t, w.start(p, 38))
}

// Guards against an account that can never use all of its limit because pools without any of its work keep a part.
func TestIdlePoolsGiveBackAllOfTheirParts(t *testing.T) {
	const bound = 80
	w := newWorld(1, 4, bound)
	wants := []int{bound, 0, 0, 0}
	for range 3 {
		w.settle(wants)
	}
	assert.Equal(t, w.pools[0].total(), bound)
}

// Guards against a limit that shrinks for good with each pool that is removed.
func TestPartOfARemovedPoolComesBack(t *testing.T) {
	const bound = 80
	w := newWorld(1, 2, bound)
	w.settle([]int{20, 40})
	p := w.pools[0]
	w.pools = w.pools[:1]
	p.parts.Configure(newSite(bound, 1, w.version))
	w.settle([]int{bound})
	assert.Assert(t, p.total() < bound, "what ran there may still run")
	w.now += 5 * time.Minute
	w.settle([]int{bound})
	assert.Equal(t, p.total(), bound)
}

// Guards against an outage of the table that holds up starts within a part, since a write of the part got no answer.
func TestStartsGoOnWithinThePartDuringAnOutage(t *testing.T) {
	w := newWorld(1, 1, 40)
	p := w.pools[0]
	w.settle([]int{10})
	for _, write := range p.parts.Update(map[string]limit.Use{account: p.use(20)}, w.now) {
		p.parts.Unanswered([]limit.Write{write})
	}
	assert.Assert(t, w.start(p, 1))
}

// Guards against a successor that counts on what its predecessor's part leaves while that one's runs aren't known.
func TestSuccessorCountsItsPredecessorsPartUntilAllRunsAreKnown(t *testing.T) {
	w := newWorld(1, 1, 40)
	p := w.pools[0]
	w.settle([]int{36})
	w.takeOver(0, 40)
	w.settle([]int{40})
	assert.Assert(t, p.total() <= 40)
	assert.Assert(t, !w.start(p, 10))
	p.runs = nil
	p.parts.SetUnseen(limit.Unseen{Known: true})
	w.settle([]int{10})
	assert.Equal(t, p.total(), 10)
}

// Guards against a successor that starts nothing of an account while a few workers are silent: no more than they hold can run there.
func TestSuccessorCountsNoMoreThanSilentWorkersHold(t *testing.T) {
	w := newWorld(1, 1, 40)
	p := w.pools[0]
	w.settle([]int{30})
	w.takeOver(0, 40)
	p.runs = p.runs[:4]
	p.parts.SetUnseen(limit.Unseen{Capacity: cores(4), Known: true})
	w.settle([]int{36})
	assert.Equal(t, p.total(), 36)
	assert.Assert(t, !w.start(p, 5))
}

// Guards against an owner that goes on starting after a newer one has written its pool's part.
func TestReplacedOwnerStartsNothing(t *testing.T) {
	w := newWorld(1, 1, 40)
	old := *w.pools[0]
	w.settle([]int{4})
	w.takeOver(0, 40)
	w.settle([]int{4})
	old.parts.Unanswered(nil)
	w.read(&old)
	assert.Assert(t, !old.parts.Allows(account, cores(1), limit.Use{}))
	assert.Equal(t, len(old.parts.Update(nil, w.now)), 0)
}

func TestAccountsWithoutALimitAreNotHeldBack(t *testing.T) {
	p := limit.New(limit.Config{Pool: "p", Fence: 1, Logs: logr.Discard()})
	site := newSite(0, 1, 1)
	site.Accounts = append(site.Accounts, gauge.ClientAccount{Name: "schools", Limit: gauge.Resources{MemoryMB: 5}})
	p.Configure(site)
	assert.Assert(t, p.Allows(account, cores(1e6), limit.Use{}))
	assert.Assert(t, p.Allows("unknown", cores(1e6), limit.Use{}))
	assert.Assert(t, !p.Allows("schools", cores(1), limit.Use{}), "before its row is written")
	p.SetRows(nil, nil)
	writes := p.Update(nil, time.Second)
	assert.Equal(t, len(writes), 1)
	p.Written(writes, 1)
	assert.Assert(t, p.Allows("schools", gauge.Resources{MilliCPU: 1e6, MemoryMB: 2}, limit.Use{}), "only memory is bounded")
	assert.Assert(t, !p.Allows("schools", gauge.Resources{MemoryMB: 6}, limit.Use{}))
}
