package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sapphiregauge/platform/fakes"
)

// outcome is what a caller knows of its job.
type outcome string

const (
	accepted  outcome = "accepted"
	cancelled outcome = "cancelled" // accepted, and its cancel was acknowledged
	refused   outcome = "refused"   // told that it never runs
	unknown   outcome = "unknown"   // no clear answer before the caller left
)

// callers hand jobs in, over connections that they keep as long as these live.
type callers struct {
	entries []*entry
	client  http.Client

	mu   sync.Mutex
	jobs map[string]outcome
}

const (
	callWait = 4 * time.Second
	tries    = 5
	retryGap = 300 * time.Millisecond
	pace     = 40 * time.Millisecond
)

func newCallers(entries []*entry) *callers {
	return &callers{
		entries: entries, jobs: make(map[string]outcome),
		client: http.Client{Timeout: callWait, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (c *callers) call(e *entry, method, path string, body any) (int, map[string]any) {
	var b bytes.Buffer
	if body != nil {
		_ = json.NewEncoder(&b).Encode(body)
	}
	req, err := http.NewRequest(method, "http://"+e.front()+path, &b) //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out
}

// work hands jobs in until ctx ends.
func (c *callers) work(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%012x", number, n)
		o := c.handIn(ctx, id, random)
		if o == accepted && random.IntN(8) == 0 && c.cancel(ctx, id, random) {
			o = cancelled
		}
		c.mu.Lock()
		c.jobs[id] = o
		c.mu.Unlock()
		rest(ctx, pace)
	}
}

// handIn hands a job in as clients do: again after no answer, 502 or 504.
func (c *callers) handIn(ctx context.Context, id string, random *rand.Rand) outcome {
	job := oneJob(random)
	for range tries {
		status, _ := c.call(c.any(random), http.MethodPost, prefix+id, job)
		switch status {
		case http.StatusOK:
			return accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return refused
		}
		rest(ctx, retryGap)
	}
	return unknown
}

func (c *callers) cancel(ctx context.Context, id string, random *rand.Rand) bool {
	for range tries {
		if status, _ := c.call(c.any(random), http.MethodDelete, prefix+id, nil); status == http.StatusOK {
			return true
		}
		rest(ctx, retryGap)
	}
	return false
}

func (c *callers) any(random *rand.Rand) *entry { return c.entries[random.IntN(len(c.entries))] }

// oneJob has two steps of tasks that take some tenths of a second.
func oneJob(random *rand.Rand) map[string]any {
	millis := 50 + random.IntN(300)
	spec := fakes.Work{Millis: millis, CPU: 300}.Payload()
	first := map[string]any{"count": 1 + random.IntN(3), "cpu": 300, "memMb": 100, "estimateMs": millis}
	second := map[string]any{"count": 1 + random.IntN(3), "cpu": 300, "memMb": 100, "estimateMs": millis, "after": []int{0}}
	return map[string]any{"spec": spec, "steps": []any{first, second}}
}

// lastingJob has two tasks that run until it is cancelled.
func lastingJob() map[string]any {
	return map[string]any{
		"spec": fakes.Work{CPU: 300}.Payload(),
		"steps": []any{map[string]any{
			"count": 2, "cpu": 300, "memMb": 100, "longRunning": true, "maxUnavailable": 1, "antiAffinity": 1,
		}},
	}
}

func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
