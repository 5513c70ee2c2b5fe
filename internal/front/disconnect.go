package front

import (
	"context"
	"net"
	"time"

	"sapphiregauge/internal/peek"
)

// checkInterval is the time between two checks of a caller's connection.
const checkInterval = 250 * time.Millisecond

// cancelOnDisconnect returns a context that ends once the caller has closed its connection. The
// HTTP library doesn't report that: without the check, a burst of callers that leave would keep
// their slots, and would keep workers busy with answers that nobody reads.
func cancelOnDisconnect(ctx context.Context, c net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var check func()
	check = func() {
		if ctx.Err() != nil {
			return
		}
		if peek.Check(c) == peek.Closed {
			cancel()
			return
		}
		time.AfterFunc(checkInterval, check)
	}
	time.AfterFunc(checkInterval, check)
	return ctx, cancel
}
