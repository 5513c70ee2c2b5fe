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

// slow is a writer whose writes block until release is closed.
type slow struct {
	mu      sync.Mutex
	release chan struct{}
	began   chan struct{} // receives when a write has started
	writes  int
	got     bytes.Buffer
}

func newSlow() *slow { return &slow{release: make(chan struct{}), began: make(chan struct{}, 1)} }

func (s *slow) Write(p []byte) (int, error) {
	select {
	case s.began <- struct{}{}:
	default:
	}
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.got.Write(p)
}

// Guards against an owner's host that has no processor time left for its pool: thousands of tasks a
// second start and end, each logs its lines, and each line costs a goroutine switch and a system
// call of its own.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	s := newSlow()
	b := logs.NewBoundedWriter(s)
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
	close(s.release)
	b.Close()
	assert.Equal(t, s.got.String(), want.String())
	assert.Equal(t, b.Dropped(), int64(0))
	assert.Assert(t, s.writes <= 3, "%d writes", s.writes)
}

// A caller never waits for the underlying writer, and lines that don't fit the queue are counted.
func TestLinesBeyondTheQueueAreDroppedAndCounted(t *testing.T) {
	s := newSlow()
	b := logs.NewBoundedWriter(s)
	_, _ = b.Write([]byte("x\n"))
	<-s.began
	for range 10000 {
		_, _ = b.Write([]byte("x\n"))
	}
	dropped := b.Dropped()
	assert.Assert(t, dropped > 0 && dropped < 10000)
	close(s.release)
	b.Close()
	assert.Equal(t, int64(strings.Count(s.got.String(), "x\n")), 10001-dropped)
}
