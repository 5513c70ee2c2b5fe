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

// settle sends the request through an entry until the answer is final.
func settle(t *testing.T, h *harness, s *serve.Server, key string) (gauge.Response, error) {
	t.Helper()
	for range 40 {
		runsBefore := h.worker.runCount(key)
		resp, err := s.Serve(context.Background(), request(key, false))
		check(t, h, key, runsBefore, resp, err)
		if err == nil || !gauge.KindOf(err).Answer().Retryable {
			return resp, err
		}
		time.Sleep(5 * time.Second)
	}
	t.Fatal("no final answer")
	return gauge.Response{}, nil
}

// check fails the test if a successful answer belongs to another request, or if an error says
// that the request did not run although it did.
func check(t *testing.T, h *harness, key string, runsBefore int, resp gauge.Response, err error) {
	t.Helper()
	if err == nil {
		assert.Equal(t, string(resp.Body), "of "+key)
		return
	}
	if gauge.AsError(err).Ran() == gauge.RanNo {
		assert.Equal(t, h.worker.runCount(key), runsBefore, "reported as not run: %v", err)
	}
}

// steps is above the number of table calls that a request makes.
const steps = 7

// Guards against a request that is not repeatable and runs twice, or never although its caller
// was told that it is running. Such a request goes through one entry, with each fault of the
// table at each of its calls and each outcome of the dispatch, and then through another entry
// until there is a final answer. The claim may be unconfirmed, lost after it took effect, late,
// or held by an entry that was paused.
func TestAtMostOnceUnderEveryFault(t *testing.T) {
	for _, fault := range flaky.Faults() {
		for at := range steps {
			for _, outcome := range []string{outcomeOK, outcomeNoConnection, outcomeRefused, outcomeAnswerLost, outcomeError, outcomeSlow} {
				for _, pause := range []time.Duration{0, 2 * flaky.DoneLaterDelay} {
					t.Run(fmt.Sprintf("%s/%d/%s/%s", fault, at, outcome, pause), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { atMostOnce(t, fault, at, outcome, pause) })
					})
				}
			}
		}
	}
}

func atMostOnce(t *testing.T, fault flaky.Fault, at int, outcome string, pause time.Duration) {
	h := newHarness(outcome)
	first := h.entry("a/1", flaky.New(flaky.Config{Table: h.db, FailAt: at, Fault: fault, Clock: time.Now}))
	second := h.entry("b/1", h.db)
	key := newKey()
	resp, err := first.Serve(context.Background(), request(key, false))
	check(t, h, key, 0, resp, err)
	time.Sleep(pause)
	_, _ = settle(t, h, second, key)
	assert.Assert(t, h.worker.runCount(key) <= 1, "ran %d times", h.worker.runCount(key))
	drain(t, first, second)
	assert.Assert(t, h.worker.runCount(key) <= 1, "ran %d times", h.worker.runCount(key))
}

func drain(t *testing.T, servers ...*serve.Server) {
	t.Helper()
	for _, s := range servers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		assert.NilError(t, s.Drain(ctx))
		cancel()
	}
	time.Sleep(2 * flaky.PauseDuration) // calls that were frozen in a shared commit continue
}

// Guards against an accepted request that never ends, or runs twice. One entry accepts it and
// meets each fault at each of its calls to the table; it is declared dead at some moment,
// although it may only be paused, and another entry takes over. A takeover that doesn't fence
// the first entry, or an acceptance that only the first entry has recorded, fails here.
func TestAcceptedRequestRunsOnceAcrossTakeover(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		for _, fault := range append(flaky.Faults(), flaky.None) {
			for at := range steps {
				for _, diesAfter := range []time.Duration{0, 500 * time.Millisecond, time.Minute} {
					name := fmt.Sprintf("repeatable=%t/%s/%d/%s", repeatable, fault, at, diesAfter)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { takeover(t, repeatable, fault, at, diesAfter) })
					})
				}
			}
		}
	}
}

func takeover(t *testing.T, repeatable bool, fault flaky.Fault, at int, diesAfter time.Duration) {
	h := newHarness()
	first := h.entry("a/1", flaky.New(flaky.Config{Table: h.db, FailAt: at, Fault: fault, Clock: time.Now}))
	second := h.entry("b/1", h.db)
	key := newKey()
	r := request(key, repeatable)
	r.Async = true
	time.AfterFunc(diesAfter, func() { h.kill("a/1") })
	claimKey, err := first.Accept(context.Background(), r)
	if err != nil {
		assert.Equal(t, gauge.AsError(err).Ran(), gauge.RanNo)
		drain(t, first, second)
		assert.Equal(t, h.worker.runCount(key), 0, "reported as not run: %v", err)
		return
	}
	reader := claim.New(claim.Config{Table: h.db, Objects: h.db, Clock: time.Now})
	var final error
	for range 60 {
		time.Sleep(5 * time.Second)
		entries, err := reader.UnfinishedByEntry(context.Background())
		assert.NilError(t, err)
		if !h.isAlive("a/1") && len(entries["a/1"]) > 0 {
			assert.DeepEqual(t, entries["a/1"], []gauge.ClaimKey{claimKey})
			assert.NilError(t, second.Takeover(context.Background(), claimKey))
		}
		var resp gauge.Response
		resp, final = second.Lookup(context.Background(), "t", key)
		if final == nil {
			assert.Equal(t, string(resp.Body), "of "+key)
		}
		if final == nil || !gauge.KindOf(final).Answer().Retryable {
			break
		}
	}
	drain(t, first, second)
	entries, err := reader.UnfinishedByEntry(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0, "a finished request is still listed")
	runs := h.worker.runCount(key)
	if !repeatable {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	if repeatable {
		assert.NilError(t, final)
	}
	assert.Assert(t, final == nil || gauge.IsKind(final, gauge.KindUnknown), "%v", final)
}

// Guards against a repeatable request whose caller is asked to wait, or gets an error that
// doesn't say whether the request ran. Each row lists the outcomes of its dispatches.
func TestRepeatableRequestIsRetried(t *testing.T) {
	for _, tt := range []struct {
		name     string
		outcomes []string
		kind     gauge.Kind
		ran      gauge.Ran
		runs     int
	}{
		{"first worker can't be reached", []string{outcomeNoConnection}, "", "", 1},
		{"first worker refuses", []string{outcomeRefused}, "", "", 1},
		{"first worker's answer is lost", []string{outcomeAnswerLost}, "", "", 2},
		{"two workers fail", []string{outcomeError, outcomeError}, "", "", 3},
		{"all workers fail", []string{outcomeError, outcomeError, outcomeError}, gauge.KindPoison, gauge.RanUnknown, 3},
		{"no worker can be reached", []string{outcomeNoConnection, outcomeNoConnection, outcomeNoConnection}, gauge.KindNoWorker, gauge.RanNo, 0},
		{"too slow", []string{outcomeSlow}, gauge.KindExpired, gauge.RanUnknown, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(tt.outcomes...)
				s := h.entry("a/1", h.db)
				_, err := s.Serve(context.Background(), request("id", true))
				assert.Equal(t, h.worker.runCount("id"), tt.runs)
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

// Guards against a caller that gets the answer to another request: a key is used again with
// another body, and without the hash the stored answer to the first would be returned.
func TestReusedKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		s := h.entry("a/1", h.db)
		key := newKey()
		_, err := s.Serve(context.Background(), request(key, false))
		assert.NilError(t, err)
		synctest.Wait()
		other := request(key, false)
		other.Body = []byte("something else")
		_, err = s.Serve(context.Background(), other)
		assert.Equal(t, gauge.KindOf(err), gauge.KindKeyReused)
		assert.Equal(t, h.worker.runCount(key), 1)
	})
}

// Guards against an accepted request that is started a second time while the first run goes
// on: another entry looks for orphaned claims and takes the request over without checking
// whether the first entry is alive.
func TestTakeoverSkipsLiveEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		first, second := h.entry("a/1", h.db), h.entry("b/1", h.db)
		key := newKey()
		r := request(key, true)
		r.Async = true
		claimKey, err := first.Accept(context.Background(), r)
		assert.NilError(t, err)
		synctest.Wait()
		assert.NilError(t, second.Takeover(context.Background(), claimKey))
		drain(t, first, second)
		assert.Equal(t, h.worker.runCount(key), 1)
	})
}
