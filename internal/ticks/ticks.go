// Package ticks repeats work at a steady pace.
package ticks

import (
	"context"
	"time"
)

// Every does something now and then once each period, until ctx ends. What
// takes longer than the period delays the next turn.
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
