package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// followed tells at each scrape how old what is known of the tables is.
type followed struct {
	age  *prometheus.Desc
	ages func() map[string]time.Duration
}

// Followed has the age of what is known of each table told, as a function gives it.
func (m *Meter) Followed(ages func() map[string]time.Duration) {
	m.Registry.MustRegister(&followed{
		age: prometheus.NewDesc(prefix+"followed_age_seconds",
			"How long ago all that a table holds was known here, by table that is followed.", []string{"table"}, nil),
		ages: ages,
	})
}

// Describe implements prometheus.Collector.
func (f *followed) Describe(out chan<- *prometheus.Desc) { out <- f.age }

// Collect implements prometheus.Collector.
func (f *followed) Collect(out chan<- prometheus.Metric) {
	for table, age := range f.ages() {
		out <- prometheus.MustNewConstMetric(f.age, prometheus.GaugeValue, age.Seconds(), table)
	}
}
