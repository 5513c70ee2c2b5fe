// Package gate lets a goroutine block until its work is wanted, without polling: whoever needs
// the work opens the gate, and closes it when the work is no longer needed.
package gate

import (
	"context"
	"sync"
	"time"
)

// Gate is open or closed; a new one is closed. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	open    bool
	changed chan struct{} // closed at each change, then replaced
}

// New makes a Gate that is closed.
func New() *Gate { return &Gate{changed: make(chan struct{})} }

// Set opens or closes the gate.
func (g *Gate) Set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return
	}
	g.open = open
	close(g.changed)
	g.changed = make(chan struct{})
}

// WaitOpen waits until the gate is open. It returns false if ctx ends first.
func (g *Gate) WaitOpen(ctx context.Context) bool { return g.wait(ctx, true) }

// WaitClosed waits until the gate has been closed for the whole of a period. It returns false if
// ctx ends first.
func (g *Gate) WaitClosed(ctx context.Context, period time.Duration) bool {
	for g.wait(ctx, false) {
		periodCtx, cancel := context.WithTimeout(ctx, period)
		reopened := g.wait(periodCtx, true)
		cancel()
		if !reopened {
			return ctx.Err() == nil
		}
	}
	return false
}

// wait waits until the gate is in the given state. It returns false if ctx ends first.
func (g *Gate) wait(ctx context.Context, open bool) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		reached, changed := g.open == open, g.changed
		g.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
	return false
}
