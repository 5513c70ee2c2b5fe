// Package meter defines the Prometheus metrics. Each of them supports a service-level objective or
// a performance measurement. Label values come from bounded sets: error kinds, record names,
// classes.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	gauge "sapphiregauge"
)

// Meter holds the metrics of one entry, in a registry of its own.
type Meter struct {
	Registry *prometheus.Registry

	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	tries          *prometheus.CounterVec
	ejections      *prometheus.CounterVec
	moves          *prometheus.CounterVec
	state          *prometheus.GaugeVec
	callSeconds    *prometheus.HistogramVec
	events         *prometheus.CounterVec
	owners         *ownerMetrics
	traffic        *trafficMetrics
}

const prefix = "sapphiregauge_"

// New makes a Meter.
func New() *Meter {
	m := &Meter{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "requests_total", Help: "Requests answered, by service and error kind (ok: an answer).",
		}, []string{"service", "kind"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: prefix + "request_seconds", Help: "Time from acceptance to the final answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"service", "class"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "attempts_total", Help: "Requests sent to workers, by pool and outcome.",
		}, []string{"pool", "kind"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "ejections_total", Help: "Workers that were ejected for failing.",
		}, []string{"pool"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: prefix + "moves_total", Help: "Hosts that this entry's controllers gave to a pool, by that pool.",
		}, []string{"pool"}),
		state: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: prefix + "state", Help: "What this entry holds now, by pool and what is counted.",
		}, []string{"pool", "what"}),
	}
	m.callSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: prefix + "call_seconds", Help: "Calls to the table and to workers, by what was asked.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
	}, []string{"call"})
	m.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: prefix + "events_total", Help: "What happened to jobs, runs, workers and leases, by event.",
	}, []string{"event"})
	m.owners = newOwnerMetrics()
	m.owners.register(m.Registry)
	m.traffic = newTrafficMetrics()
	m.traffic.register(m.Registry)
	m.Registry.MustRegister(
		m.callSeconds, m.events,
		m.requests, m.requestSeconds, m.tries, m.ejections, m.moves, m.state,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

const kindOK = "ok"

// kind returns an error's kind, or ok for nil.
func kind(err error) string {
	if err == nil {
		return kindOK
	}
	return string(gauge.KindOf(err))
}

// RegisterDroppedLines registers a counter of dropped log lines, whose value count returns at each
// scrape.
func (m *Meter) RegisterDroppedLines(count func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: prefix + "log_lines_dropped_total", Help: "Log lines dropped because their receiver was too slow.",
	}, func() float64 { return float64(count()) }))
}

// ObserveRequest records a request's final answer and how long it took.
func (m *Meter) ObserveRequest(service string, class gauge.Class, took time.Duration, err error) {
	m.requests.WithLabelValues(service, kind(err)).Inc()
	m.requestSeconds.WithLabelValues(service, string(class)).Observe(took.Seconds())
}

// CountAttempt counts one request that was sent to a worker.
func (m *Meter) CountAttempt(pool string, err error) { m.tries.WithLabelValues(pool, kind(err)).Inc() }

// CountEjection counts the ejection of a failing worker from a pool.
func (m *Meter) CountEjection(pool string) { m.ejections.WithLabelValues(pool).Inc() }

// CountMove counts a host that was moved into a pool.
func (m *Meter) CountMove(pool string) { m.moves.WithLabelValues(pool).Inc() }

// ObserveCall records the duration of a call to the table or to a worker.
func (m *Meter) ObserveCall(call string, took time.Duration) {
	m.callSeconds.WithLabelValues(call).Observe(took.Seconds())
}

// CountEvent counts an event by its name.
func (m *Meter) CountEvent(event string) { m.events.WithLabelValues(event).Inc() }

// SetState sets a state gauge of a pool; what names the quantity.
func (m *Meter) SetState(pool, what string, value float64) {
	m.state.WithLabelValues(pool, what).Set(value)
}
