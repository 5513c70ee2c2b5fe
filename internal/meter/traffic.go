package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	gauge "sapphiregauge"
)

// trafficMetrics counts the calls to the table service and their bytes. What an entry reads and
// writes must grow with what it does, not with the size of the site; these show where it doesn't.
type trafficMetrics struct {
	calls, sent, received *prometheus.CounterVec
}

func newTrafficMetrics() *trafficMetrics {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: prefix + name, Help: help}, []string{"table", "call"})
	}
	return &trafficMetrics{
		calls:    counter("table_calls_total", "Calls to the table service that got a response, by table and call."),
		sent:     counter("table_sent_bytes_total", "Bytes of these calls, without headers."),
		received: counter("table_received_bytes_total", "Bytes of the responses, without headers."),
	}
}

func (t *trafficMetrics) register(r *prometheus.Registry) {
	r.MustRegister(t.calls, t.sent, t.received)
}

// CountTraffic counts one call to the table service.
func (m *Meter) CountTraffic(t gauge.TableTraffic) {
	m.traffic.calls.WithLabelValues(t.Table, t.Call).Inc()
	m.traffic.sent.WithLabelValues(t.Table, t.Call).Add(float64(t.Sent))
	m.traffic.received.WithLabelValues(t.Table, t.Call).Add(float64(t.Received))
}
