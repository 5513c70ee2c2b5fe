package gate_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/gate"
)

func TestWaitersReturnWhenTheGateChanges(t *testing.T) {
	g := gate.New()
	opened := make(chan bool)
	go func() { opened <- g.WaitOpen(t.Context()) }()
	g.Set(true)
	assert.Assert(t, <-opened)
	closed := make(chan bool)
	go func() { closed <- g.WaitClosed(t.Context(), time.Nanosecond) }()
	g.Set(false)
	assert.Assert(t, <-closed)
}

func TestGateThatReopensSoonIsNotClosed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	g := gate.New()
	closed := make(chan bool)
	go func() { closed <- g.WaitClosed(ctx, time.Hour) }()
	g.Set(true)
	cancel()
	assert.Assert(t, !<-closed)
}

func TestWaitersReturnWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g := gate.New()
	assert.Assert(t, !g.WaitOpen(ctx))
	assert.Assert(t, !g.WaitClosed(ctx, time.Hour))
	g.Set(true)
	assert.Assert(t, !g.WaitOpen(ctx), "a loop on WaitOpen would never end")
}
