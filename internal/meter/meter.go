// Package meter has the metrics. Each belongs to a promise or a measure of the
// project; label values come from closed sets: error kinds, record names,
// classes.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	gauge "sapphiregauge"
)

// Meter is the metrics of one entry, in a registry of its own.
type Meter struct {
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	ejected  *prometheus.CounterVec
	moves    *prometheus.CounterVec
	values   *prometheus.GaugeVec
	calls    *prometheus.HistogramVec
	events   *prometheus.CounterVec
	owners   *owners
}

const prefix = "sapphiregauge_"

// New makes a Meter.
func New() *Meter {
	m := &Meter{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "requests_total", Help: "Requests answered, by service and error kind (ok: an answer).",
		}, []string{"service", "kind"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: prefix + "request_seconds", Help: "Time from acceptance to the final answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"service", "class"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "attempts_total", Help: "Requests sent to workers, by pool and outcome.",
		}, []string{"pool", "kind"}),
		ejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "ejections_total", Help: "Workers that were ejected for failing.",
		}, []string{"pool"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "moves_total", Help: "Hosts that this entry's controllers gave to a pool, by that pool.",
		}, []string{"pool"}),
		values: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: prefix + "state", Help: "What this entry holds now, by pool and what is counted.",
		}, []string{"pool", "what"}),
	}
	m.calls = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: prefix + "call_seconds", Help: "Calls to the table and to workers, by what was asked.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
	}, []string{"call"})
	m.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: prefix + "events_total", Help: "What happened to jobs, runs, workers and leases, by event.",
	}, []string{"event"})
	m.owners = newOwners()
	m.owners.register(m.Registry)
	m.Registry.MustRegister(
		m.calls, m.events,
		m.requests, m.seconds, m.attempts, m.ejected, m.moves, m.values,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

const ok = "ok"

func label(err error) string {
	if err == nil {
		return ok
	}
	return string(gauge.KindOf(err))
}

// Dropped has the log lines counted that were dropped, as a function tells.
func (m *Meter) Dropped(count func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: prefix + "log_lines_dropped_total", Help: "Log lines dropped because their receiver was too slow.",
	}, func() float64 { return float64(count()) }))
}

// Request counts a request's final answer.
func (m *Meter) Request(service string, class gauge.Class, took time.Duration, err error) {
	m.requests.WithLabelValues(service, label(err)).Inc()
	m.seconds.WithLabelValues(service, string(class)).Observe(took.Seconds())
}

// Attempt counts one dispatch to a worker.
func (m *Meter) Attempt(pool string, err error) { m.attempts.WithLabelValues(pool, label(err)).Inc() }

// Ejected counts a worker's ejection.
func (m *Meter) Ejected(pool string) { m.ejected.WithLabelValues(pool).Inc() }

// Moved counts a host that came into a pool.
func (m *Meter) Moved(pool string) { m.moves.WithLabelValues(pool).Inc() }

// Call counts a call to the table or to a worker.
func (m *Meter) Call(call string, took time.Duration) {
	m.calls.WithLabelValues(call).Observe(took.Seconds())
}

// Event counts something that happened.
func (m *Meter) Event(event string) { m.events.WithLabelValues(event).Inc() }

// Set notes how much of something there is now.
func (m *Meter) Set(pool, what string, value float64) {
	m.values.WithLabelValues(pool, what).Set(value)
}
