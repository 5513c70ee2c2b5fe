package serve_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/desk"
	"sapphiregauge/internal/flaky"
	"sapphiregauge/internal/holds"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/serve"
	"sapphiregauge/internal/slots"
)

// worker is a fake at the dispatcher's interface. Each call fails in the way
// that is next in the list.
type worker struct {
	mu   sync.Mutex
	ways []string
	runs map[string]int
	took time.Duration
}

// The ways in which a dispatch ends.
const (
	wayOK      = "ok"
	wayConnect = "connect" // no connection: nothing was sent
	wayRefuse  = "refuse"  // the worker proves that it did not run it
	wayCut     = "cut"     // it ran, the answer is lost
	wayError   = "error"   // it ran and failed
	waySlow    = "slow"    // it runs past the deadline
)

func (w *worker) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ways) == 0 {
		return wayOK
	}
	way := w.ways[0]
	w.ways = w.ways[1:]
	return way
}

func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func (w *worker) Dispatch(ctx context.Context, t gauge.Target, r *gauge.Request) (gauge.Response, gauge.Attempt, error) {
	way := w.next()
	a := gauge.Attempt{Target: t, Sent: way != wayConnect, Refused: way == wayRefuse}
	if a.MayHaveRun() {
		w.mu.Lock()
		w.runs[r.ID]++
		w.mu.Unlock()
		time.Sleep(w.took)
	}
	switch way {
	case wayConnect:
		a.Kind = gauge.KindOutage
	case wayRefuse:
		a.Kind = gauge.KindFull
	case wayCut:
		a.Kind = gauge.KindUnknown
	case wayError:
		a.Kind = gauge.KindFailed
	case waySlow:
		<-ctx.Done()
		a.Kind = gauge.KindExpired
	default:
		return gauge.Response{Status: 200, Host: t.Host, Body: r.Body}, a, nil
	}
	return gauge.Response{}, a, gauge.Fail(a.Kind, "as told")
}

// rig is some entries over one table and one fake of the workers.
type rig struct {
	db     *memdb.DB
	worker *worker
	dead   map[string]bool
	mu     sync.Mutex
}

func newRig(ways ...string) *rig {
	return &rig{
		db: memdb.New(), dead: make(map[string]bool),
		worker: &worker{ways: ways, runs: make(map[string]int), took: time.Second},
	}
}

func (g *rig) lives(entry string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.dead[entry]
}

func (g *rig) kill(entry string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead[entry] = true
}

func state() gauge.State {
	svc, pool := &gauge.Service{Pool: "p", Tries: 3}, &gauge.Pool{Hosts: 1}
	svc.Defaults()
	pool.Defaults()
	return gauge.State{Revision: 1, Records: map[gauge.RecordID]gauge.Record{
		{Kind: gauge.RecordPool, Name: "p"}:    {Kind: gauge.RecordPool, Name: "p", Pool: pool},
		{Kind: gauge.RecordService, Name: "s"}: {Kind: gauge.RecordService, Name: "s", Service: svc},
	}}
}

// newDesk has slots leased for an hour.
func newDesk(name string) *desk.Desk {
	d := desk.New(desk.Config{
		Pool: "p", Name: name, Length: 100, Clock: time.Now,
		Random: rand.New(rand.NewPCG(1, 1)), Kick: func() {},
	})
	var hosts gauge.Hosts
	lease := slots.Grant{Pool: "p", Seq: 1, Full: true, Term: time.Hour, Free: 100}
	for i := range 4 {
		id := fmt.Sprintf("w%d", i)
		hosts = append(hosts, gauge.Host{ID: id, Rack: id, State: gauge.HostServing})
		lease.Lots = append(lease.Lots, slots.Lot{Host: id, Quick: 8, Long: 8})
	}
	d.Set(hosts, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = d.Acquire(ctx, gauge.ClassQuick, time.Now().Add(time.Hour), nil) // refused: nothing is leased yet
	return give(d, lease)
}

// give opens a full ask and answers it.
func give(d *desk.Desk, g slots.Grant) *desk.Desk {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		if p, err := d.Acquire(ctx, gauge.ClassQuick, time.Now().Add(time.Hour), nil); err == nil {
			d.Release(p)
		}
	}()
	synctest.Wait()
	d.Renew()
	d.Grant(g)
	<-done
	cancel()
	return d
}

func (g *rig) entry(name string, table gauge.Table) *serve.Path {
	d := newDesk(name)
	s := state()
	return serve.New(serve.Config{
		Clock: time.Now, Logs: logr.Discard(), State: func() gauge.State { return s },
		Desk: func(pool string) *desk.Desk {
			if pool != "p" {
				return nil
			}
			return d
		},
		Send:   g.worker,
		Claims: claim.New(claim.Config{Entry: name, Table: table, Objects: g.db, Clock: time.Now}),
		Meter:  meter.New(), Lives: g.lives,
		Burn: burn.New(time.Now), Holds: holds.New(time.Now),
	})
}

func request(key string, repeatable bool) *gauge.Request {
	return &gauge.Request{
		ID: key, Team: "t", Service: "s", Class: gauge.ClassQuick, Repeatable: repeatable,
		Body: []byte("of " + key), Deadline: time.Now().Add(20 * time.Second),
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// settle asks through an entry, again and again, until the answer is final.
func settle(t *testing.T, g *rig, p *serve.Path, key string) (gauge.Response, error) {
	t.Helper()
	for range 40 {
		before := g.worker.ran(key)
		resp, err := p.Serve(context.Background(), request(key, false))
		check(t, g, key, before, resp, err)
		if err == nil || !gauge.KindOf(err).Answer().Again {
			return resp, err
		}
		time.Sleep(5 * time.Second)
	}
	t.Fatal("no final answer")
	return gauge.Response{}, nil
}

// check holds one answer against the promises.
func check(t *testing.T, g *rig, key string, before int, resp gauge.Response, err error) {
	t.Helper()
	if err == nil {
		assert.Equal(t, string(resp.Body), "of "+key)
		return
	}
	if gauge.AsError(err).Ran() == gauge.RanNo {
		assert.Equal(t, g.worker.ran(key), before, "told not run: %v", err)
	}
}

// steps is more table calls than a request makes.
const steps = 7

// Symptom: a print job comes out twice, or never though it was told to be
// running.
// Sequence: a request that must not be repeated is sent through one entry, with
// each fault of the table at each of its calls and each way for the dispatch to
// end; then again through another entry until there is a final answer.
// Cause: a claim that is not confirmed, lost after it took effect, late, or
// held by an entry that was paused.
func TestAtMostOnceUnderEveryFault(t *testing.T) {
	for _, fault := range flaky.Faults() {
		for at := range steps {
			for _, way := range []string{wayOK, wayConnect, wayRefuse, wayCut, wayError, waySlow} {
				for _, again := range []time.Duration{0, 2 * flaky.LateBy} {
					t.Run(fmt.Sprintf("%s/%d/%s/%s", fault, at, way, again), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { atMostOnce(t, fault, at, way, again) })
					})
				}
			}
		}
	}
}

func atMostOnce(t *testing.T, fault flaky.Fault, at int, way string, again time.Duration) {
	g := newRig(way)
	a := g.entry("a/1", flaky.New(flaky.Config{Table: g.db, At: at, Fault: fault, Clock: time.Now}))
	b := g.entry("b/1", g.db)
	key := newKey()
	resp, err := a.Serve(context.Background(), request(key, false))
	check(t, g, key, 0, resp, err)
	time.Sleep(again)
	_, _ = settle(t, g, b, key)
	assert.Assert(t, g.worker.ran(key) <= 1, "ran %d times", g.worker.ran(key))
	drain(t, a, b)
	assert.Assert(t, g.worker.ran(key) <= 1, "ran %d times", g.worker.ran(key))
}

func drain(t *testing.T, ps ...*serve.Path) {
	t.Helper()
	for _, p := range ps {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		assert.NilError(t, p.Drain(ctx))
		cancel()
	}
	time.Sleep(2 * flaky.FrozenFor) // what was frozen in a shared commit goes on
}

// Symptom: an accepted overnight study never ends, or runs twice.
// Sequence: an entry accepts a run; at each of its calls to the table it meets
// each fault, and is taken for dead at some moment while it may only be paused;
// another entry takes over.
// Cause: a takeover that does not fence the first entry, or an acceptance that
// only the first entry knows of.
func TestAcceptedRunsAreNeitherLostNorDoubled(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		for _, fault := range append(flaky.Faults(), flaky.None) {
			for at := range steps {
				for _, dies := range []time.Duration{0, 500 * time.Millisecond, time.Minute} {
					name := fmt.Sprintf("repeatable=%t/%s/%d/%s", repeatable, fault, at, dies)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { takeover(t, repeatable, fault, at, dies) })
					})
				}
			}
		}
	}
}

func takeover(t *testing.T, repeatable bool, fault flaky.Fault, at int, dies time.Duration) {
	g := newRig()
	a := g.entry("a/1", flaky.New(flaky.Config{Table: g.db, At: at, Fault: fault, Clock: time.Now}))
	b := g.entry("b/1", g.db)
	key := newKey()
	r := request(key, repeatable)
	r.Async = true
	time.AfterFunc(dies, func() { g.kill("a/1") })
	ck, err := a.Accept(context.Background(), r)
	if err != nil {
		assert.Equal(t, gauge.AsError(err).Ran(), gauge.RanNo)
		drain(t, a, b)
		assert.Equal(t, g.worker.ran(key), 0, "told not run: %v", err)
		return
	}
	left := claim.New(claim.Config{Table: g.db, Objects: g.db, Clock: time.Now})
	var final error
	for range 60 {
		time.Sleep(5 * time.Second)
		entries, err := left.Entries(context.Background())
		assert.NilError(t, err)
		if !g.lives("a/1") && len(entries["a/1"]) > 0 {
			assert.DeepEqual(t, entries["a/1"], []gauge.ClaimKey{ck})
			assert.NilError(t, b.Takeover(context.Background(), ck))
		}
		var resp gauge.Response
		resp, final = b.Lookup(context.Background(), "t", key)
		if final == nil {
			assert.Equal(t, string(resp.Body), "of "+key)
		}
		if final == nil || !gauge.KindOf(final).Answer().Again {
			break
		}
	}
	drain(t, a, b)
	entries, err := left.Entries(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0, "a done run is still listed")
	runs := g.worker.ran(key)
	if !repeatable {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	if repeatable {
		assert.NilError(t, final)
	}
	assert.Assert(t, final == nil || gauge.Is(final, gauge.KindUnknown), "%v", final)
}

// Symptom: a caller is told to wait, or gets an error that says too little.
// Sequence: a request that may be repeated meets workers that fail.
// Cause: each row names the ways in which its dispatches end.
func TestRepeats(t *testing.T) {
	for _, tt := range []struct {
		name string
		ways []string
		kind gauge.Kind
		ran  gauge.Ran
		runs int
	}{
		{"first worker can't be reached", []string{wayConnect}, "", "", 1},
		{"first worker refuses", []string{wayRefuse}, "", "", 1},
		{"first worker cuts", []string{wayCut}, "", "", 2},
		{"two workers fail", []string{wayError, wayError}, "", "", 3},
		{"all workers fail", []string{wayError, wayError, wayError}, gauge.KindPoison, gauge.RanUnknown, 3},
		{"no worker can be reached", []string{wayConnect, wayConnect, wayConnect}, gauge.KindEmpty, gauge.RanNo, 0},
		{"too slow", []string{waySlow}, gauge.KindExpired, gauge.RanUnknown, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRig(tt.ways...)
				p := g.entry("a/1", g.db)
				_, err := p.Serve(context.Background(), request("id", true))
				assert.Equal(t, g.worker.ran("id"), tt.runs)
				if tt.kind == "" {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, gauge.KindOf(err), tt.kind)
				assert.Equal(t, gauge.AsError(err).Ran(), tt.ran)
			})
		})
	}
}

// Symptom: a caller gets an answer to another request.
// Sequence: a key is used again for another body.
// Cause: without the hash the stored answer of the first would be told.
func TestReusedKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig()
		p := g.entry("a/1", g.db)
		key := newKey()
		_, err := p.Serve(context.Background(), request(key, false))
		assert.NilError(t, err)
		synctest.Wait()
		other := request(key, false)
		other.Body = []byte("something else")
		_, err = p.Serve(context.Background(), other)
		assert.Equal(t, gauge.KindOf(err), gauge.KindReused)
		assert.Equal(t, g.worker.ran(key), 1)
	})
}

// Symptom: an accepted run is started a second time while the first goes on.
// Sequence: another entry looks for orphans while the run's entry lives.
// Cause: a takeover that does not ask whether the entry lives.
func TestTakeoverLeavesLiveEntriesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig()
		a, b := g.entry("a/1", g.db), g.entry("b/1", g.db)
		key := newKey()
		r := request(key, true)
		r.Async = true
		ck, err := a.Accept(context.Background(), r)
		assert.NilError(t, err)
		synctest.Wait()
		assert.NilError(t, b.Takeover(context.Background(), ck))
		drain(t, a, b)
		assert.Equal(t, g.worker.ran(key), 1)
	})
}
