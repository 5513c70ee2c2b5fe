package owner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
)

// stuck are workers that, once they are shut, delay the answers to starts until they are released.
type stuck struct {
	slow
	gate  sync.Mutex
	let   chan struct{} // nil: all starts are answered at once
	calls []gauge.StartCall
	stops []gauge.StopCall
}

func (s *stuck) Start(ctx context.Context, w *gauge.Worker, c gauge.StartCall) (time.Duration, error) {
	s.gate.Lock()
	s.calls = append(s.calls, c)
	let := s.let
	s.gate.Unlock()
	if let != nil {
		select {
		case <-let:
		case <-ctx.Done():
			return 0, gauge.Fail(gauge.KindUnknown, "no answer")
		}
	}
	return s.slow.Start(ctx, w, c)
}

func (s *stuck) Stop(_ context.Context, _ *gauge.Worker, c gauge.StopCall) (time.Duration, error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.stops = append(s.stops, c)
	return s.shows(), nil
}

func (s *stuck) shut() chan struct{} {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.let = make(chan struct{})
	return s.let
}

// sent counts the starts with the given run number.
func (s *stuck) sent(run int) int {
	s.gate.Lock()
	defer s.gate.Unlock()
	n := 0
	for _, c := range s.calls {
		if c.Run == run {
			n++
		}
	}
	return n
}

func (s *stuck) stopped() int {
	s.gate.Lock()
	defer s.gate.Unlock()
	return len(s.stops)
}

// newStuck returns a scene whose owner has such workers.
func newStuck(t *testing.T) (*scene, *stuck) {
	s := &stuck{}
	g := newScene(t, func(c *owner.Config) { c.Workers = s })
	s.clock, s.heard = g.clock, make(map[string]bool)
	g.workers = &s.slow
	return g, s
}

// backed returns an owner with one worker on which one job runs, while three starts of a second job
// get no answer and three more have to wait.
func backed(t *testing.T) (*scene, *stuck, chan struct{}) {
	g, s := newStuck(t)
	g.run("w1")
	g.submit("00000000000000a1")
	let := s.shut()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 6, Needs: gauge.Resources{MilliCPU: 100}}}}
	g.owner.Adopt("00000000000000a2", "sheets", spec, &gauge.JobRow{State: gauge.JobPending, Pool: "p"}, 8)
	g.wait("three are on their way", func() bool { return s.sent(1) == 1+3 })
	return g, s, let
}

// Guards against a task of a cancelled job running on for seconds: orders to a worker take long, so
// starts wait for a slot, and the stop must not wait behind them.
func TestStopDoesNotWaitBehindStarts(t *testing.T) {
	g, s, let := backed(t)
	defer close(let)
	g.owner.Cancel("00000000000000a1", 9)
	g.wait("the run is told to stop", func() bool { return s.stopped() == 1 })
}

// Guards against an owner that hardly starts a task on a saturated link: starts wait for a slot
// longer than they are valid, and each is then sent with its payload and refused as too late. A
// start must be ordered, and its deadline set, only when a slot is free.
func TestStartsAreOrderedWhenTheirTurnAtAWorkerHasCome(t *testing.T) {
	g, s, let := backed(t)
	g.clock.pass(5 * time.Second)
	assert.Equal(t, s.sent(1), 1+3, "the others aren't ordered yet")
	close(let)
	g.wait("the others are ordered", func() bool { return s.sent(1) == 1+6 })
	assert.Equal(t, s.sent(2), 0, "and none twice")
}

// Guards against starting tasks of a job that was cancelled while its starts waited for a slot.
func TestStartOfACancelledJobThatWaitsIsNotSent(t *testing.T) {
	g, s, let := backed(t)
	g.owner.Cancel("00000000000000a2", 9)
	close(let)
	g.wait("those that had started are told to stop", func() bool { return s.stopped() == 3 })
	g.submit("00000000000000a3")
	assert.Equal(t, s.sent(1), 1+3+1)
}
