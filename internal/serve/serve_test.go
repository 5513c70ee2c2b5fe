package serve_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/flaky"
	"sapphiregauge/internal/serve"
)

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
