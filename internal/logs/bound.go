package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait to be written: the output of half a second of an
	// owner that starts and ends 3,700 tasks a second, at about 300 bytes a line.
	maxQueuedLines = 4096
	// minWriteInterval is the least time between two writes. Each write needs a goroutine switch
	// and a system call, which cost an owner as much as formatting the line: the lines that arrive
	// in between are written together. A single line is written at once.
	minWriteInterval = 10 * time.Millisecond
)

// BoundedWriter is an io.Writer that never blocks: while the underlying writer is slow, lines are
// queued, and when the queue is full, they are dropped and counted. It is safe for concurrent
// use.
type BoundedWriter struct {
	out     io.Writer
	queued  chan struct{} // signals that lines are queued
	closing chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup

	mu    sync.Mutex
	buf   []byte
	lines int // in buf
}

// NewBoundedWriter makes a BoundedWriter that writes to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, queued: make(chan struct{}, 1), closing: make(chan struct{})}
	b.done.Go(b.run)
	return b
}

// Write queues one line, or drops it if the queue is full. It returns no error in either case.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.enqueue(line) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.queued <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (b *BoundedWriter) enqueue(line []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lines >= maxQueuedLines {
		return false
	}
	b.buf = append(b.buf, line...)
	b.lines++
	return true
}

// Dropped returns the number of lines that were dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Write must not be called after it.
func (b *BoundedWriter) Close() {
	close(b.closing)
	b.done.Wait()
}

func (b *BoundedWriter) run() {
	var spare []byte
	for {
		select {
		case <-b.queued:
			spare = b.flush(spare)
			b.waitInterval()
		case <-b.closing:
			b.flush(spare)
			return
		}
	}
}

// waitInterval waits for minWriteInterval, or until Close is called, while lines are queued.
func (b *BoundedWriter) waitInterval() {
	timer := time.NewTimer(minWriteInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.closing:
	}
}

// flush swaps the buffer of queued lines for the spare one and writes it. It returns the written
// buffer, which is the next spare one.
func (b *BoundedWriter) flush(spare []byte) []byte {
	b.mu.Lock()
	pending, lines := b.buf, b.lines
	b.buf, b.lines = spare[:0], 0
	b.mu.Unlock()
	if lines == 0 {
		return pending
	}
	// The error can't be logged either; the lines count as dropped.
	if _, err := b.out.Write(pending); err != nil {
		b.dropped.Add(int64(lines))
	}
	return pending
}
