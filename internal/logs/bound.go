package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines may wait to be written: half a second of an owner
	// that starts and ends 3,700 tasks a second, at about 300 bytes each.
	queueLines = 4096
	// writeGap is the least time between two writes. Each wakes the writer up and has a
	// system call, which costs an owner as much as making the line: what comes in
	// between goes together. A line that comes alone is written at once.
	writeGap = 10 * time.Millisecond
)

// Bounded passes lines on without ever making the caller wait: while the
// receiver is slow they queue, beyond the bound they are dropped and counted.
type Bounded struct {
	out     io.Writer
	wake    chan struct{} // lines wait
	closing chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup

	mu    sync.Mutex
	buf   []byte
	lines int // in buf
}

// NewBounded makes a Bounded that writes to out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{})}
	b.done.Go(b.run)
	return b
}

// Write queues one line, or drops it.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.add(line) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (b *Bounded) add(line []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lines >= queueLines {
		return false
	}
	b.buf = append(b.buf, line...)
	b.lines++
	return true
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what is queued. Nothing may be written after it.
func (b *Bounded) Close() {
	close(b.closing)
	b.done.Wait()
}

func (b *Bounded) run() {
	var spare []byte
	for {
		select {
		case <-b.wake:
			spare = b.flush(spare)
			b.rest()
		case <-b.closing:
			b.flush(spare)
			return
		}
	}
}

// rest lets lines gather, unless no more will come.
func (b *Bounded) rest() {
	timer := time.NewTimer(writeGap)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.closing:
	}
}

// flush writes what has gathered, while more may gather in the spare buffer; it
// returns the one that is spare then.
func (b *Bounded) flush(spare []byte) []byte {
	b.mu.Lock()
	full, lines := b.buf, b.lines
	b.buf, b.lines = spare[:0], 0
	b.mu.Unlock()
	if lines == 0 {
		return full
	}
	// With nowhere to tell of it, lines that can't be written are dropped too.
	if _, err := b.out.Write(full); err != nil {
		b.dropped.Add(int64(lines))
	}
	return full
}
