package limit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

const account = "garages"

func cores(n int) gauge.Resources { return gauge.Resources{MilliCPU: n} }

// newSite returns a configuration with one account, whose jobs run in some pools.
func newSite(bound, pools int, version int64) *gauge.Site {
	s := &gauge.Site{Version: version, Accounts: []gauge.ClientAccount{{Name: account, Limit: cores(bound)}}}
	for i := range pools {
		s.Pools = append(s.Pools, gauge.PoolConfig{Name: poolName(i)})
		s.Queues = append(s.Queues, gauge.Queue{Name: fmt.Sprint("q", i), Pool: poolName(i)})
	}
	s.Queues = append(s.Queues, gauge.Queue{Name: "public", Pool: "other", Public: true})
	return s
}

func poolName(i int) string { return fmt.Sprint("pool", i) }

// table holds the account's row, and writes that may still be carried out.
type table struct {
	row     gauge.LimitRow
	version int64
	late    []limit.Write
}

// commit carries a write out if its condition holds.
func (b *table) commit(w limit.Write) bool {
	if w.Version != b.version {
		return false
	}
	b.row, b.version = w.Row, b.version+1
	b.row = b.copyRow()
	return true
}

func (b *table) copyRow() gauge.LimitRow {
	return gauge.LimitRow{Parts: maps.Clone(b.row.Parts), Limit: b.row.Limit, Version: b.row.Version}
}

// pool is a pool with its present owner and all that runs there.
type pool struct {
	parts   *limit.Parts
	fence   gauge.FencingToken
	bound   int   // limit in the configuration that its owner has
	version int64 // of that configuration
	runs    []run // of this owner and of previous ones
}

type run struct {
	cores    int
	fence    gauge.FencingToken // of the owner that started it
	reported bool               // its worker has told the present owner of it
}

func (p *pool) use(waiting int) limit.Use {
	var u limit.Use
	for _, r := range p.runs {
		switch {
		case r.fence == p.fence:
			u.Started = u.Started.Plus(cores(r.cores))
		case r.reported:
			u.Inherited = u.Inherited.Plus(cores(r.cores))
		}
	}
	u.Waiting = cores(waiting)
	return u
}

func (p *pool) total() int {
	sum := 0
	for _, r := range p.runs {
		sum += r.cores
	}
	return sum
}

// world is several pools, and a table that loses answers and carries writes out late.
type world struct {
	random  *rand.Rand
	table   table
	pools   []*pool
	fences  gauge.FencingToken
	now     time.Duration
	version int64 // of the newest configuration
	bounds  []int // limit by version of the configuration; the first version is 1
}

func newWorld(seed uint64, pools, bound int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, version: 1, bounds: []int{0, bound}}
	for range pools {
		w.pools = append(w.pools, &pool{bound: bound})
	}
	for i := range pools {
		w.takeOver(i, bound)
	}
	return w
}

// takeOver replaces a pool's owner. Its successor knows of no run before the workers have reported.
func (w *world) takeOver(i, bound int) {
	p := w.pools[i]
	first := p.parts == nil
	w.fences++
	p.fence, p.bound, p.version = w.fences, bound, w.version
	p.parts = limit.New(limit.Config{Pool: poolName(i), Fence: p.fence, First: first, Logs: logr.Discard()})
	p.parts.Configure(newSite(bound, len(w.pools), w.version))
	for k := range p.runs {
		p.runs[k].reported = false
	}
}

func (w *world) read(p *pool) {
	rows, versions := map[string]gauge.LimitRow{}, map[string]int64{}
	if w.table.version > 0 {
		rows[account], versions[account] = w.table.copyRow(), w.table.version
	}
	p.parts.SetRows(rows, versions)
}

// update has an owner write its part. The write may be refused, lost, or carried out without an
// answer, at once or later.
func (w *world) update(p *pool, waiting int, reliable bool) {
	for _, write := range p.parts.Update(map[string]limit.Use{account: p.use(waiting)}, w.now) {
		outcome := w.random.IntN(7)
		if reliable {
			outcome = 6
		}
		switch {
		case outcome == 0:
			p.parts.Unanswered([]limit.Write{write})
		case outcome == 1:
			w.table.late = append(w.table.late, write)
			p.parts.Unanswered([]limit.Write{write})
		case outcome == 2:
			w.table.commit(write)
			p.parts.Unanswered([]limit.Write{write})
		case outcome == 3: // refused since another account's row has changed
			w.refuse(p, write)
		case w.table.commit(write):
			p.parts.Written([]limit.Write{write}, w.table.version)
		default:
			w.refuse(p, write)
		}
	}
}

func (w *world) refuse(p *pool, write limit.Write) {
	p.parts.Conflicted([]limit.Write{write}, map[string]gauge.LimitRow{account: w.table.copyRow()}, map[string]int64{account: w.table.version})
}

func (w *world) start(p *pool, need int) bool {
	if !p.parts.Allows(account, cores(need), p.use(need)) {
		return false
	}
	p.runs = append(p.runs, run{cores: need, fence: p.fence})
	return true
}

func (w *world) endRun(p *pool) {
	if len(p.runs) > 0 {
		i := w.random.IntN(len(p.runs))
		p.runs = append(p.runs[:i], p.runs[i+1:]...)
	}
}

// report has workers tell the owner of runs of previous owners.
func (w *world) report(p *pool) {
	unseen := 0
	for i := range p.runs {
		p.runs[i].reported = p.runs[i].reported || w.random.IntN(2) == 0
		if !p.runs[i].reported && p.runs[i].fence != p.fence {
			unseen += p.runs[i].cores
		}
	}
	if unseen > 0 {
		unseen += w.random.IntN(10) // the workers have room for more
	}
	p.parts.SetUnseen(limit.Unseen{Capacity: cores(unseen), Known: w.random.IntN(4) > 0})
}

// step does one thing that may happen.
func (w *world) step(bounds []int) {
	w.now += time.Duration(w.random.IntN(200)) * time.Millisecond
	i := w.random.IntN(len(w.pools))
	p := w.pools[i]
	if w.random.IntN(40) == 0 {
		w.bounds = append(w.bounds, bounds[w.random.IntN(len(bounds))])
		w.version++
	}
	switch w.random.IntN(20) {
	case 0:
		w.takeOver(i, w.bounds[w.version])
	case 1:
		p.bound, p.version = w.bounds[w.version], w.version
		p.parts.Configure(newSite(p.bound, len(w.pools), p.version))
	case 2:
		if n := len(w.table.late); n > 0 {
			w.table.commit(w.table.late[n-1])
			w.table.late = w.table.late[:n-1]
		}
	case 3, 4:
		w.report(p)
	case 5, 6, 7:
		w.endRun(p)
	case 8, 9, 10, 11:
		if p.parts.NeedsRead() {
			w.read(p)
		}
		w.update(p, w.random.IntN(30), false)
	default:
		w.start(p, 1+w.random.IntN(5))
	}
}

func (w *world) running() int {
	sum := 0
	for _, p := range w.pools {
		sum += p.total()
	}
	return sum
}

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

// Guards against starts within a part that a write of less, without an answer, has made another pool's.
func TestPartCountsAsSmallerOnceItsWriteIsSent(t *testing.T) {
	w := newWorld(1, 1, 40)
	p := w.pools[0]
	w.settle([]int{30})
	p.runs = nil
	var writes []limit.Write
	for range 5 {
		w.now += time.Second
		writes = append(writes, p.parts.Update(map[string]limit.Use{account: {}}, w.now)...)
		if len(writes) > 0 {
			break
		}
	}
	assert.Equal(t, len(writes), 1, "less is wanted")
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
	var writes []limit.Write
	for range 5 {
		w.now += time.Second
		writes = append(writes, p.parts.Update(map[string]limit.Use{account: {}}, w.now)...)
		if len(writes) > 0 {
			break
		}
	}
	assert.Equal(t, len(writes), 1, "less is wanted")
	w.refuse(p, writes[0])
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
