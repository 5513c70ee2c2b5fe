// Package gate tells a loop whether its work is wanted just now. Those who want it open
// the gate, and the loop waits for that instead of asking again and again.
package gate

import (
	"context"
	"sync"
	"time"
)

// Gate is open or shut; a new one is shut. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	open    bool
	changed chan struct{} // closed at each change, then made anew
}

// New makes a Gate that is shut.
func New() *Gate { return &Gate{changed: make(chan struct{})} }

// Set opens or shuts the gate.
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

// Open waits until the gate is open; false: ctx has ended.
func (g *Gate) Open(ctx context.Context) bool { return g.wait(ctx, true) }

// Shut waits until the gate has been shut for some time on end; false: ctx has ended.
func (g *Gate) Shut(ctx context.Context, lasts time.Duration) bool {
	for g.wait(ctx, false) {
		patience, cancel := context.WithTimeout(ctx, lasts)
		again := g.wait(patience, true)
		cancel()
		if !again {
			return ctx.Err() == nil
		}
	}
	return false
}

func (g *Gate) wait(ctx context.Context, open bool) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		there, changed := g.open == open, g.changed
		g.mu.Unlock()
		if there {
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
