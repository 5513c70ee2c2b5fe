package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	gauge "sapphiregauge"
)

// ownerMetrics holds the gauges of the backlogs of the owners that run on this entry, by pool.
type ownerMetrics struct {
	changes, changeAge, ends, endAge, starts, startAge, queued, silent, slow *prometheus.GaugeVec
	oldest                                                                   prometheus.Histogram
}

// newPoolGauge makes a gauge with the label pool.
func newPoolGauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: prefix + "owner_" + name, Help: help}, []string{"pool"})
}

func newOwnerMetrics() *ownerMetrics {
	return &ownerMetrics{
		changes:   newPoolGauge("unwritten_changes", "Jobs with changes that the table doesn't have yet."),
		changeAge: newPoolGauge("oldest_change_seconds", "How long the oldest of these has waited."),
		ends:      newPoolGauge("unacknowledged_ends", "Ends taken in from workers that are not yet to be acknowledged."),
		endAge:    newPoolGauge("oldest_end_seconds", "How long the oldest of these has waited."),
		starts:    newPoolGauge("unanswered_starts", "Starts ordered that have no answer yet."),
		startAge:  newPoolGauge("oldest_start_seconds", "How long the oldest of these has waited."),
		queued:    newPoolGauge("queued_orders", "Orders that wait for their turn at a worker."),
		silent:    newPoolGauge("silent_workers", "Workers on the platform's list whose holds get no answer."),
		slow:      newPoolGauge("slow_calls_ratio", "Share of the orders within the last second that were slow."),
		oldest: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: prefix + "owner_oldest_seconds", Help: "Age of whatever has waited longest at an owner, each quarter of a second.",
			Buckets: prometheus.ExponentialBuckets(0.0625, 2, 12),
		}),
	}
}

func (o *ownerMetrics) gauges() []*prometheus.GaugeVec {
	return []*prometheus.GaugeVec{o.changes, o.changeAge, o.ends, o.endAge, o.starts, o.startAge, o.queued, o.silent, o.slow}
}

func (o *ownerMetrics) register(r *prometheus.Registry) {
	r.MustRegister(o.oldest)
	for _, g := range o.gauges() {
		r.MustRegister(g)
	}
}

// SetBacklog sets the backlog of a pool's owner. With nil the pool is no longer owned here, and its
// gauges are deleted.
func (m *Meter) SetBacklog(pool string, b *gauge.Backlog) {
	o := m.owners
	if b == nil {
		for _, g := range o.gauges() {
			g.DeleteLabelValues(pool)
		}
		return
	}
	o.oldest.Observe(b.OldestAge().Seconds())
	for _, v := range []struct {
		of    *prometheus.GaugeVec
		value float64
	}{
		{o.changes, float64(b.UnwrittenChanges)},
		{o.changeAge, b.ChangeAge.Seconds()},
		{o.ends, float64(b.UnacknowledgedEnds)},
		{o.endAge, b.EndAge.Seconds()},
		{o.starts, float64(b.UnansweredStarts)},
		{o.startAge, b.StartAge.Seconds()},
		{o.queued, float64(b.QueuedOrders)},
		{o.silent, float64(b.SilentWorkers)},
		{o.slow, b.SlowShare()},
	} {
		v.of.WithLabelValues(pool).Set(v.value)
	}
}
