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

// caller sends over connections that are kept open.
type caller struct {
	pool *exch.Pool
	addr string
	path string
}

func newCaller(addr, path string, callers int) *caller {
	return &caller{pool: exch.New(exch.Config{Resting: callers}), addr: addr, path: path}
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

// clocked lets some callers send a number of requests each and returns how
// long they took, in microseconds.
func clocked(b *testing.B, callers, each int, send func() (int, error)) *hdrhistogram.Histogram {
	var mu sync.Mutex
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range each {
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

// BenchmarkOverhead is the time of a request straight to a worker stand-in and
// through an entry, in one run, 8 callers at once.
func BenchmarkOverhead(b *testing.B) {
	const callers, each = 8, 1000
	s := newSite(b, 2, 8)
	s.inForce(s.apply(apply.File{Name: "records.yaml", Text: records}).Revision)
	s.entries[0].served(b)
	straight := newCaller(s.workers[0].addr, "/brakes", callers)
	through := newCaller(s.entries[0].addr, "/v1/services/brakes", callers)
	for b.Loop() {
		x := clocked(b, callers, each, func() (int, error) { return straight.send("") })
		y := clocked(b, callers, each, func() (int, error) { return through.send("") })
		for _, q := range []float64{50, 99} {
			b.ReportMetric(float64(x.ValueAtQuantile(q)), fmt.Sprintf("direct-p%v-us", q))
			b.ReportMetric(float64(y.ValueAtQuantile(q)), fmt.Sprintf("entry-p%v-us", q))
			b.ReportMetric(float64(y.ValueAtQuantile(q))/float64(x.ValueAtQuantile(q)), fmt.Sprintf("ratio-p%v", q))
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

// BenchmarkOverload is the useful answers a second at several times what the
// workers can do, and how many are refused at once.
func BenchmarkOverload(b *testing.B) {
	const run, long = 100 * time.Millisecond, 6 * time.Second
	s := newSite(b, 4, 6)
	s.inForce(s.apply(apply.File{Name: "records.yaml", Text: benchRecords}).Revision)
	for _, e := range s.entries {
		e.served(b)
	}
	hosts := len(s.entries[0].hosts(context.Background()).InPool("brakes"))
	capacity := float64(hosts*7) / run.Seconds() // a slot of each is kept from quick work
	for _, times := range []float64{0.5, 1, 2, 4} {
		b.Run(fmt.Sprint("load=", times), func(b *testing.B) {
			for b.Loop() {
				good, refused, waits := offered(b, s, capacity*times, long)
				b.ReportMetric(float64(good)/long.Seconds()/capacity, "useful-of-capacity")
				b.ReportMetric(float64(refused)/long.Seconds(), "refused/s")
				b.ReportMetric(float64(waits.ValueAtQuantile(99))/1000, "p99-ms")
			}
		})
	}
}

// offered sends requests at a rate, whether or not they are answered.
func offered(b *testing.B, s *site, rate float64, long time.Duration) (good, refused int64, waits *hdrhistogram.Histogram) {
	var mu sync.Mutex
	waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var callers []*caller
	for _, e := range s.entries {
		callers = append(callers, newCaller(e.addr, "/v1/services/brakes", 512))
	}
	var oks, nos atomic.Int64
	var group sync.WaitGroup
	gap := time.Duration(float64(time.Second) / rate)
	began := time.Now()
	for i := 0; time.Since(began) < long; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
		group.Go(func() {
			sent := time.Now()
			status, err := callers[i%len(callers)].send("?run=100ms")
			switch {
			case err != nil:
				b.Error(err)
			case status == http.StatusOK:
				oks.Add(1)
				mu.Lock()
				_ = waits.RecordValue(time.Since(sent).Microseconds())
				mu.Unlock()
			case status == http.StatusServiceUnavailable:
				nos.Add(1)
			default:
				b.Errorf("status %d", status)
			}
		})
	}
	group.Wait()
	for _, c := range callers {
		c.pool.Close()
	}
	return oks.Load(), nos.Load(), waits
}

// BenchmarkHeadOfLine is the time of quick requests while long ones fill the
// pool at a share of its capacity.
func BenchmarkHeadOfLine(b *testing.B) {
	s := newSite(b, 4, 6)
	s.inForce(s.apply(apply.File{Name: "records.yaml", Text: benchRecords}).Revision)
	for _, e := range s.entries {
		e.served(b)
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
				time.Sleep(2 * time.Second) // the long ones have filled what they may
				quick := newCaller(s.entries[0].addr, "/v1/services/brakes", 4)
				h := clocked(b, 4, 100, func() (int, error) { return quick.send("?run=20ms") })
				close(stop)
				group.Wait()
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "quick-p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "quick-p99-ms")
			}
		})
	}
}
