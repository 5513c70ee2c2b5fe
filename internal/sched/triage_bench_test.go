package sched_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// BenchmarkPlanClasses measures one plan of a large pool in which ten tasks find room, without and
// with classes by learned run times.
func BenchmarkPlanClasses(b *testing.B) {
	for name, weight := range map[string]float64{"shared=no": 0, "shared=yes": 1} {
		b.Run(name, func(b *testing.B) {
			p := newLargePool(b, largeWorkers, largeJobs, logr.Discard())
			site := &gauge.Site{KeysRequired: true, Contended: true, Accounts: []gauge.ClientAccount{{Name: "garages", Weight: weight}}}
			for i := range largeQueues {
				site.Queues = append(site.Queues, gauge.Queue{Name: queueNameOf(i), Pool: poolName, Stretch: 2, Priority: i % 3})
			}
			p.Configure(site)
			started, late := p.Plan(0)[:10], newLateStartError()
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				for _, o := range started {
					p.OrderAnswered(o, time.Hour, late, time.Millisecond)
				}
				b.StartTimer()
				started = p.Plan(time.Millisecond)
			}
			assert.Equal(b, len(started), 10)
		})
	}
}
