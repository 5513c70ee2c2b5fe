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

// stuck are workers that answer starts only when they are let, once they are shut.
type stuck struct {
	slow
	gate  sync.Mutex
	let   chan struct{} // nil: all are answered at once
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

// sent lists the starts that came with a run number.
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

// newStuck makes an owner of such workers.
func newStuck(t *testing.T) (*scene, *stuck) {
	s := &stuck{}
	g := newScene(t, func(c *owner.Config) { c.Workers = s })
	s.clock, s.heard = g.clock, make(map[string]bool)
	g.workers = &s.slow
	return g, s
}

// backed has an owner with one worker at which a job runs, while three starts of
// another one get no answer and three more have to wait.
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

// Symptom: a task of a cancelled job runs on for seconds.
// Sequence: orders to a worker take long, so that starts wait for their turn; a job
// that runs there is cancelled.
// Cause: its stop waits behind the starts.
func TestStopDoesNotWaitBehindStarts(t *testing.T) {
	g, s, let := backed(t)
	defer close(let)
	g.owner.Cancel("00000000000000a1", 9)
	g.wait("the run is told to stop", func() bool { return s.stopped() == 1 })
}

// Symptom: an owner's link is full, and hardly a task starts.
// Sequence: starts wait for their turn at a worker longer than they hold; each is sent
// with its payload, and refused as too late.
// Cause: starts were ordered that had to wait, with deadlines of before.
func TestStartsAreOrderedWhenTheirTurnAtAWorkerHasCome(t *testing.T) {
	g, s, let := backed(t)
	g.clock.pass(5 * time.Second)
	assert.Equal(t, s.sent(1), 1+3, "the others aren't ordered yet")
	close(let)
	g.wait("the others are ordered", func() bool { return s.sent(1) == 1+6 })
	assert.Equal(t, s.sent(2), 0, "and none twice")
}

// Symptom: a cancelled job's tasks start.
// Sequence: a start waits for its turn; the job is cancelled.
// Cause: as above.
func TestStartOfACancelledJobThatWaitsIsNotSent(t *testing.T) {
	g, s, let := backed(t)
	g.owner.Cancel("00000000000000a2", 9)
	close(let)
	g.wait("those that had started are told to stop", func() bool { return s.stopped() == 3 })
	g.submit("00000000000000a3")
	assert.Equal(t, s.sent(1), 1+3+1)
}
