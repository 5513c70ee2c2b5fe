// Package budget bounds the memory and the connections that clients hold together.
//
// When it is used up, the client that has gone without a whole request for longest is evicted, so
// that clients that stall, or send little by little, don't keep out those that come after them. A
// client whose request is being handled is not evicted, nor one that hasn't had the time in which
// ordinary requests arrive and answers are read: of many that send large bodies at once, those that
// are nearest to their end would go first.
package budget

import (
	"container/list"
	"sync"
	"time"

	"sapphiregauge/internal/fill"
)

// Config sets up a Budget.
type Config struct {
	Bytes int // memory that all clients may hold together; default 40 MiB
	Conns int // connections that may be open; default 1,000
	// ReceiveBuffer is what the kernel keeps for each connection, in bytes, of what has been sent on it
	// and hasn't been read; default 8 KiB. Larger requests from far away arrive faster with a larger one.
	ReceiveBuffer int
	// MinWait is how long a client must have waited before it may be evicted; default 200 ms.
	MinWait time.Duration
	// Evicted is called for each eviction, and must not block; it may be nil.
	Evicted func()
}

const (
	defaultBytes         = 40 << 20
	defaultConns         = 1000
	defaultReceiveBuffer = 8 << 10
	defaultMinWait       = 200 * time.Millisecond
	// serveBytes is what an open connection takes in the process: a goroutine, and buffers to read and
	// to write.
	serveBytes = 16 << 10
	// receiveFactor is what the kernel makes of a receive buffer that is asked for, for its own records.
	receiveFactor = 2
)

// Budget is shared by the connections of one or more listeners.
type Budget struct {
	conf Config

	mu        sync.Mutex
	bytes     int
	conns     int
	evictable *list.List // of *Share, the one that has waited for longest first
}

// New returns a Budget that nothing is taken from.
func New(c Config) *Budget {
	fill.Zero(&c.Bytes, defaultBytes)
	fill.Zero(&c.Conns, defaultConns)
	fill.Zero(&c.ReceiveBuffer, defaultReceiveBuffer)
	fill.Zero(&c.MinWait, defaultMinWait)
	return &Budget{conf: c, evictable: list.New()}
}

// ReceiveBuffer returns the receive buffer that connections are to have, in bytes.
func (b *Budget) ReceiveBuffer() int { return b.conf.ReceiveBuffer }

// ConnBytes returns what an open connection takes, in bytes.
func (b *Budget) ConnBytes() int { return serveBytes + receiveFactor*b.conf.ReceiveBuffer }

// Share is what one connection holds. Its methods may be called after its eviction.
type Share struct {
	budget    *Budget
	close     func()
	bytes     int
	gone      bool          // evicted, or left
	answering bool          // it waits for its answer to be read, not for a request
	since     time.Time     // when it began to wait
	place     *list.Element // among the evictable ones; nil: protected
}

// Join takes room for a connection, which is evictable from now on. An eviction calls closeConn, which
// must not block. Join returns nil if there is no room, and nobody who may be evicted.
func (b *Budget) Join(closeConn func()) *Share {
	s := &Share{budget: b, close: closeConn}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.conns >= b.conf.Conns {
		if !b.evictOldest(s) {
			return nil
		}
	}
	s.bytes = b.ConnBytes()
	if !b.makeRoom(s, s.bytes) {
		return nil
	}
	b.conns++
	b.bytes += s.bytes
	s.wait()
	return s
}

// EvictOldest evicts the connection that has waited for longest, if there is one that may be evicted.
func (b *Budget) EvictOldest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictOldest(nil)
}

// evictOldest evicts the share that has waited for longest. It returns false if there is none, if that
// is the asking one, or if it hasn't waited for long enough. The caller holds the lock.
func (b *Budget) evictOldest(asking *Share) bool {
	front := b.evictable.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*Share) //nolint:forcetypeassert // the list has nothing else
	if oldest == asking || time.Since(oldest.since) < b.conf.MinWait {
		return false
	}
	b.drop(oldest)
	return true
}

// makeRoom evicts others until there is room for so many bytes. The caller holds the lock.
func (b *Budget) makeRoom(asking *Share, bytes int) bool {
	if bytes > b.conf.Bytes {
		return false
	}
	for b.bytes+bytes > b.conf.Bytes {
		if !b.evictOldest(asking) {
			return false
		}
	}
	return true
}

// drop closes a share's connection and gives its room back. The caller holds the lock.
func (b *Budget) drop(s *Share) {
	s.leave()
	s.close()
	if b.conf.Evicted != nil {
		b.conf.Evicted()
	}
}

// Reserve takes room for more bytes. It returns false if there is none: the share has been evicted, has
// waited for longest itself, or none of the others may be evicted.
func (s *Share) Reserve(bytes int) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.gone || !s.budget.makeRoom(s, bytes) {
		return false
	}
	s.budget.bytes += bytes
	s.bytes += bytes
	return true
}

// Release gives bytes back.
func (s *Share) Release(bytes int) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.gone {
		return
	}
	s.budget.bytes -= bytes
	s.bytes -= bytes
}

// ReleaseAll gives all bytes back but those of the connection itself.
func (s *Share) ReleaseAll() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.gone {
		return
	}
	s.budget.bytes -= s.bytes - s.budget.ConnBytes()
	s.bytes = s.budget.ConnBytes()
}

// Protect excludes the share from eviction, as its request is being handled. It returns false if the
// share has been evicted.
func (s *Share) Protect() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.place != nil {
		s.budget.evictable.Remove(s.place)
		s.place = nil
	}
	return !s.gone
}

// Wait makes the share evictable, as the one that has waited for the shortest time, as a request is
// waited for.
func (s *Share) Wait() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.answering = false
	if !s.gone {
		s.wait()
	}
}

// Answer is Wait, as the client is waited for to read its answer.
func (s *Share) Answer() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.answering = true
	if !s.gone {
		s.wait()
	}
}

// wait makes the share evictable; the caller holds the lock.
func (s *Share) wait() {
	s.since = time.Now()
	if s.place == nil {
		s.place = s.budget.evictable.PushBack(s)
		return
	}
	s.budget.evictable.MoveToBack(s.place)
}

// CloseWaiting closes the share's connection and gives its room back if a request is waited for.
func (s *Share) CloseWaiting() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.place != nil && !s.answering {
		s.leave()
		s.close()
	}
}

// Leave gives everything back, as the connection has been closed.
func (s *Share) Leave() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.leave()
}

// leave is Leave; the caller holds the lock.
func (s *Share) leave() {
	if s.gone {
		return
	}
	s.gone = true
	s.budget.conns--
	s.budget.bytes -= s.bytes
	if s.place != nil {
		s.budget.evictable.Remove(s.place)
		s.place = nil
	}
}
