package waves_test

import (
	"fmt"
	"testing"
	"time"

	"sapphiregauge/internal/waves"
)

// BenchmarkNext measures one round of the fleet lease holder with a wave of half the machines.
func BenchmarkNext(b *testing.B) {
	for _, count := range []int{49, 540, 5900} {
		b.Run(fmt.Sprintf("machines=%d", count), func(b *testing.B) {
			longRunning := func(string) int { return 1 }
			view := waves.View{IsMoving: never, WasOrderedBefore: never, IsShort: never, LongRunningTasks: longRunning}
			for b.Loop() {
				b.StopTimer()
				f := newFleet(nil, count, count/2, count/6)
				b.StartTimer()
				f.scheduler.Next(time.Second, view)
			}
		})
	}
}
