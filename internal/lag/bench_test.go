package lag_test

import (
	"fmt"
	"testing"
	"time"

	"sapphiregauge/internal/lag"
)

// BenchmarkRecord measures the recording of one order at a busy owner: 3,700 orders a second to
// 140 workers.
func BenchmarkRecord(b *testing.B) {
	peers := make([]string, 140)
	for i := range peers {
		peers[i] = fmt.Sprintf("i-21feca%04x", i)
	}
	for _, took := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond} {
		b.Run("took="+took.String(), func(b *testing.B) {
			m := lag.New(lag.Config{Window: time.Second, SlowCall: 150 * time.Millisecond, MinCalls: 10, MinPeers: 3})
			now := time.Hour
			for i := range 3700 {
				m.Record(peers[i%140], took, now+time.Duration(i)*time.Second/3700)
			}
			i := 3700
			b.ReportAllocs()
			for b.Loop() {
				m.Record(peers[i%140], took, now+time.Duration(i)*time.Second/3700)
				i++
			}
		})
	}
}
