package sizing_test

import (
	"fmt"
	"testing"

	gauge "sapphiregauge"
)

// BenchmarkNext measures one round of the fleet lease holder by the number of machines and pools.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ machines, pools int }{{49, 4}, {590, 12}, {5900, 117}} {
		b.Run(fmt.Sprintf("machines=%d/pools=%d", size.machines, size.pools), func(b *testing.B) {
			counts := map[string]int{"spare": size.machines / 6}
			for i := range size.pools {
				counts[fmt.Sprintf("p%03d", i)] = (size.machines - counts["spare"]) / size.pools
			}
			g := newHarness(counts)
			for i := range size.pools {
				g.load(gauge.PoolLoad{Pool: fmt.Sprintf("p%03d", i), Timely: gauge.Demand{RunningCores: 50}}, 0)
			}
			for b.Loop() {
				g.next()
			}
		})
	}
}
