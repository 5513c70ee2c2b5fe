package limit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

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
