package front

import (
	"context"
	"net"
	"time"

	"sapphiregauge/internal/peek"
)

// lookEvery is the time between two looks at a caller's connection.
const lookEvery = 250 * time.Millisecond

// whileThere returns a context that ends once the caller is gone. The HTTP
// library does not tell: without a look at the connection a burst of callers
// that give up would keep their places, and workers busy for nobody.
func whileThere(ctx context.Context, c net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var look func()
	look = func() {
		if ctx.Err() != nil {
			return
		}
		if peek.Look(c) == peek.Closed {
			cancel()
			return
		}
		time.AfterFunc(lookEvery, look)
	}
	time.AfterFunc(lookEvery, look)
	return ctx, cancel
}
