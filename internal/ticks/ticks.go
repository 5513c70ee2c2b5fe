// Package ticks runs functions periodically.
package ticks

import (
	"context"
	"time"
)

// Every calls do at once and then each period, until ctx is done. It returns only between calls. A
// call that takes longer than the period delays the next one; missed periods are skipped.
func Every(ctx context.Context, period time.Duration, do func(context.Context)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
