package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/logs"
)

// slow is a receiver that takes a write only when it is let.
type slow struct {
	mu     sync.Mutex
	let    chan struct{}
	began  chan struct{} // a write has begun
	writes int
	got    bytes.Buffer
}

func newSlow() *slow { return &slow{let: make(chan struct{}), began: make(chan struct{}, 1)} }

func (s *slow) Write(p []byte) (int, error) {
	select {
	case s.began <- struct{}{}:
	default:
	}
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.got.Write(p)
}

// Symptom: an owner's host has no processor time left for its pool.
// Sequence: thousands of tasks a second start and end, each with its line.
// Cause: each line wakes the writer up and has a system call of its own.
func TestLinesThatWaitAreWrittenTogether(t *testing.T) {
	s := newSlow()
	b := logs.NewBounded(s)
	_, _ = b.Write([]byte("0\n"))
	<-s.began
	var want strings.Builder
	want.WriteString("0\n")
	for i := range 1000 {
		line := fmt.Sprintf("%d\n", i+1)
		want.WriteString(line)
		_, err := b.Write([]byte(line))
		assert.NilError(t, err)
	}
	close(s.let)
	b.Close()
	assert.Equal(t, s.got.String(), want.String())
	assert.Equal(t, b.Dropped(), int64(0))
	assert.Assert(t, s.writes <= 3, "%d writes", s.writes)
}

// Whoever logs never waits for the receiver, and what doesn't fit is counted.
func TestLinesBeyondTheBoundAreDroppedAndCounted(t *testing.T) {
	s := newSlow()
	b := logs.NewBounded(s)
	_, _ = b.Write([]byte("x\n"))
	<-s.began
	for range 10000 {
		_, _ = b.Write([]byte("x\n"))
	}
	dropped := b.Dropped()
	assert.Assert(t, dropped > 0 && dropped < 10000)
	close(s.let)
	b.Close()
	assert.Equal(t, int64(strings.Count(s.got.String(), "x\n")), 10001-dropped)
}
