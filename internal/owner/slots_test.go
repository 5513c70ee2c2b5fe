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

// stallingWorkers are workers that, once stall is called, delay the answers to starts until they
// are released.
type stallingWorkers struct {
	blockingWorkers
	callsMu sync.Mutex
	release chan struct{} // nil: all starts are answered at once
	calls   []gauge.StartCall
	stops   []gauge.StopCall
}

func (s *stallingWorkers) Start(ctx context.Context, w *gauge.Worker, c gauge.StartCall) (time.Duration, error) {
	s.callsMu.Lock()
	s.calls = append(s.calls, c)
	release := s.release
	s.callsMu.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			return 0, gauge.Errorf(gauge.KindUnknown, "no answer")
		}
	}
	return s.blockingWorkers.Start(ctx, w, c)
}

func (s *stallingWorkers) Stop(_ context.Context, _ *gauge.Worker, c gauge.StopCall) (time.Duration, error) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.stops = append(s.stops, c)
	return s.workerClock(), nil
}

func (s *stallingWorkers) stall() chan struct{} {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.release = make(chan struct{})
	return s.release
}

// startsOfRun counts the starts with the given run number.
func (s *stallingWorkers) startsOfRun(run int) int {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	n := 0
	for _, c := range s.calls {
		if c.Run == run {
			n++
		}
	}
	return n
}

func (s *stallingWorkers) stopCount() int {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	return len(s.stops)
}

// newStallingFixture returns a fixture whose owner has stallingWorkers.
func newStallingFixture(t *testing.T) (*fixture, *stallingWorkers) {
	s := &stallingWorkers{}
	g := newFixture(t, func(c *owner.Config) { c.Workers = s })
	s.clock, s.reported = g.clock, make(map[string]bool)
	g.workers = &s.blockingWorkers
	return g, s
}

// newBackedUpFixture returns an owner with one worker on which one job runs, while three starts of
// a second job get no answer and three more have to wait.
func newBackedUpFixture(t *testing.T) (*fixture, *stallingWorkers, chan struct{}) {
	g, s := newStallingFixture(t)
	g.start("w1")
	g.submit("00000000000000a1")
	release := s.stall()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 6, Needs: gauge.Resources{MilliCPU: 100}}}}
	g.owner.Adopt("00000000000000a2", "sheets", spec, &gauge.JobRow{State: gauge.JobPending, Pool: "p"}, 8)
	g.waitUntil("three starts have been sent", func() bool { return s.startsOfRun(1) == 1+3 })
	return g, s, release
}

// Guards against a task of a cancelled job running on for seconds: orders to a worker take long, so
// starts wait for a slot, and the stop must not wait behind them.
func TestStopDoesNotWaitBehindStarts(t *testing.T) {
	g, s, release := newBackedUpFixture(t)
	defer close(release)
	g.owner.Cancel("00000000000000a1", 9)
	g.waitUntil("the run is told to stop", func() bool { return s.stopCount() == 1 })
}

// Guards against an owner that hardly starts a task on a saturated link: starts wait for a slot
// longer than they are valid, and each is then sent with its payload and refused as too late. A
// start must be ordered, and its deadline set, only when a slot is free.
func TestStartsAreOrderedWhenSlotIsFree(t *testing.T) {
	g, s, let := newBackedUpFixture(t)
	g.clock.advance(5 * time.Second)
	assert.Equal(t, s.startsOfRun(1), 1+3, "the others aren't ordered yet")
	close(let)
	g.waitUntil("the others are ordered", func() bool { return s.startsOfRun(1) == 1+6 })
	assert.Equal(t, s.startsOfRun(2), 0, "and none twice")
}

// Guards against starting tasks of a job that was cancelled while its starts waited for a slot.
func TestWaitingStartOfCancelledJobIsNotSent(t *testing.T) {
	g, s, let := newBackedUpFixture(t)
	g.owner.Cancel("00000000000000a2", 9)
	close(let)
	g.waitUntil("those that had started are told to stop", func() bool { return s.stopCount() == 3 })
	g.submit("00000000000000a3")
	assert.Equal(t, s.startsOfRun(1), 1+3+1)
}
