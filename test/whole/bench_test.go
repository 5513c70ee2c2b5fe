package whole_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"sapphiregauge/internal/apply"
	"sapphiregauge/internal/exch"
	"sapphiregauge/pkg/client"
)

// caller sends requests over connections that are kept open.
type caller struct {
	pool *exch.Pool
	addr string
	path string
}

func newCaller(addr, path string, callers int) *caller {
	return &caller{pool: exch.New(exch.Config{MaxIdlePerAddr: callers}), addr: addr, path: path}
}

func (c *caller) send(query string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + c.addr + c.path + query)
	req.Header.Set("X-Request-Id", "x")
	req.SetBodyString("front left, 12 mm")
	_, err := c.pool.Do(ctx, c.addr, req, resp, false)
	return resp.StatusCode(), err
}

// measureLatency has concurrent callers send a number of requests each and returns how long the
// requests took, in microseconds.
func measureLatency(b *testing.B, callers, requestsEach int, send func() (int, error)) *hdrhistogram.Histogram {
	var mu sync.Mutex
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range requestsEach {
				began := time.Now()
				status, err := send()
				took := time.Since(began)
				if err != nil || status != http.StatusOK {
					b.Errorf("status %d: %v", status, err)
					return
				}
				mu.Lock()
				_ = h.RecordValue(max(1, took.Microseconds()))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return h
}

// BenchmarkOverhead measures the time of a request sent directly to a fake worker and through
// an entry, both in one run, with 8 concurrent callers.
func BenchmarkOverhead(b *testing.B) {
	const callers, requestsEach = 8, 1000
	s := newSite(b, 2, 8)
	s.waitInForce(s.apply(apply.File{Name: "records.yaml", Text: records}).Revision)
	s.entries[0].waitServed(b)
	direct := newCaller(s.workers[0].addr, "/brakes", callers)
	viaEntry := newCaller(s.entries[0].addr, "/v1/services/brakes", callers)
	for b.Loop() {
		directTimes := measureLatency(b, callers, requestsEach, func() (int, error) { return direct.send("") })
		entryTimes := measureLatency(b, callers, requestsEach, func() (int, error) { return viaEntry.send("") })
		for _, percentile := range []float64{50, 99} {
			b.ReportMetric(float64(directTimes.ValueAtQuantile(percentile)), fmt.Sprintf("direct-p%v-us", percentile))
			b.ReportMetric(float64(entryTimes.ValueAtQuantile(percentile)), fmt.Sprintf("entry-p%v-us", percentile))
			b.ReportMetric(float64(entryTimes.ValueAtQuantile(percentile))/float64(directTimes.ValueAtQuantile(percentile)), fmt.Sprintf("ratio-p%v", percentile))
		}
	}
}

const benchRecords = `
kind: pool
schema: 2
name: brakes
promise: {hosts: 4}
---
kind: service
schema: 1
name: brakes
pool: brakes
quick: 1s
limit: 3s
queue: 64
`

// BenchmarkOverload measures the requests answered and refused a second at several times the
// capacity of the workers.
func BenchmarkOverload(b *testing.B) {
	const runTime, duration = 100 * time.Millisecond, 6 * time.Second
	s := newSite(b, 4, 6)
	s.waitInForce(s.apply(apply.File{Name: "records.yaml", Text: benchRecords}).Revision)
	for _, e := range s.entries {
		e.waitServed(b)
	}
	hosts := len(s.entries[0].hosts(context.Background()).InPool("brakes"))
	capacity := float64(hosts*7) / runTime.Seconds() // one slot of each host is not available to quick requests
	for _, load := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprint("load=", load), func(b *testing.B) {
			for b.Loop() {
				good, refused, waits := offerLoad(b, s, capacity*load, duration)
				b.ReportMetric(float64(good)/duration.Seconds()/capacity, "useful-of-capacity")
				b.ReportMetric(float64(refused)/duration.Seconds(), "refused/s")
				b.ReportMetric(float64(waits.ValueAtQuantile(99))/1000, "p99-ms")
			}
		})
	}
}

// offerLoad sends requests at a rate, whether or not earlier ones have been answered.
func offerLoad(b *testing.B, s *site, rate float64, duration time.Duration) (good, refused int64, waits *hdrhistogram.Histogram) {
	var mu sync.Mutex
	waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var callers []*caller
	for _, e := range s.entries {
		callers = append(callers, newCaller(e.addr, "/v1/services/brakes", 512))
	}
	var answered, refusals atomic.Int64
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	began := time.Now()
	for i := 0; time.Since(began) < duration; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		group.Go(func() {
			sent := time.Now()
			status, err := callers[i%len(callers)].send("?run=100ms")
			switch {
			case err != nil:
				b.Error(err)
			case status == http.StatusOK:
				answered.Add(1)
				mu.Lock()
				_ = waits.RecordValue(time.Since(sent).Microseconds())
				mu.Unlock()
			case status == http.StatusServiceUnavailable:
				refusals.Add(1)
			default:
				b.Errorf("status %d", status)
			}
		})
	}
	group.Wait()
	for _, c := range callers {
		c.pool.Close()
	}
	return answered.Load(), refusals.Load(), waits
}

// BenchmarkHeadOfLine measures the time of quick requests while long ones fill a share of the
// capacity of the pool.
func BenchmarkHeadOfLine(b *testing.B) {
	s := newSite(b, 4, 6)
	s.waitInForce(s.apply(apply.File{Name: "records.yaml", Text: benchRecords}).Revision)
	for _, e := range s.entries {
		e.waitServed(b)
	}
	hosts := len(s.entries[0].hosts(context.Background()).InPool("brakes"))
	for _, share := range []float64{0, 0.5, 1, 1.5} {
		b.Run(fmt.Sprint("long=", share), func(b *testing.B) {
			for b.Loop() {
				stop := make(chan struct{})
				var group sync.WaitGroup
				for i := range int(share * float64(hosts*8)) {
					group.Go(func() {
						for {
							select {
							case <-stop:
								return
							default:
							}
							_, err := s.entries[i%4].caller().Do(context.Background(), client.Call{Service: "brakes", Path: "?run=800ms", Long: true, Body: []byte("x")})
							assert.Check(b, err)
						}
					})
				}
				time.Sleep(2 * time.Second) // until the long requests hold all slots that they may
				quick := newCaller(s.entries[0].addr, "/v1/services/brakes", 4)
				h := measureLatency(b, 4, 100, func() (int, error) { return quick.send("?run=20ms") })
				close(stop)
				group.Wait()
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "quick-p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "quick-p99-ms")
			}
		})
	}
}
