package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// tableAges is a collector of the age of this entry's view of each table that it follows.
type tableAges struct {
	age  *prometheus.Desc
	ages func() map[string]time.Duration
}

// RegisterTableAges registers a gauge of the age of this entry's view of each followed table. ages
// returns the ages by table at each scrape.
func (m *Meter) RegisterTableAges(ages func() map[string]time.Duration) {
	m.Registry.MustRegister(&tableAges{
		age: prometheus.NewDesc(prefix+"followed_age_seconds",
			"How long ago all that a table holds was known here, by table that is followed.", []string{"table"}, nil),
		ages: ages,
	})
}

// Describe implements prometheus.Collector.
func (t *tableAges) Describe(out chan<- *prometheus.Desc) { out <- t.age }

// Collect implements prometheus.Collector.
func (t *tableAges) Collect(out chan<- prometheus.Metric) {
	for table, age := range t.ages() {
		out <- prometheus.MustNewConstMetric(t.age, prometheus.GaugeValue, age.Seconds(), table)
	}
}
