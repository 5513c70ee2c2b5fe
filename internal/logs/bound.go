package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines may wait to be written: some seconds of a busy
// entry's, at about 300 bytes each.
const queueLines = 4096

// Bounded passes lines on without ever making the caller wait: while the
// receiver is slow they queue, beyond the bound they are dropped and counted.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewBounded makes a Bounded that writes to out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queueLines)}
	b.done.Add(1)
	go b.run()
	return b
}

// Write queues one line, or drops it.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what is queued. Nothing may be written after it.
func (b *Bounded) Close() {
	close(b.lines)
	b.done.Wait()
}

func (b *Bounded) run() {
	defer b.done.Done()
	for line := range b.lines {
		// With nowhere to tell of it, a line that can't be written is dropped too.
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
