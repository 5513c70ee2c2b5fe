// Package httpd serves HTTP/1.1 to clients that aren't trusted. What their connections hold is taken
// from a budget that they share, as it arrives: nothing is taken for what a client only announces. A
// head is parsed once it is whole and there is room for its fields; a body is read once its length is
// known to be within the limit.
//
// It uses the parser and the types of fasthttp. fasthttp's own server takes the announced length of a
// body at once, takes a hundred bytes for a header line of four, and answers connections beyond its
// limit with a 503, which promises callers that their request never runs.
package httpd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/accept"
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/fill"
)

// Config sets up a Server.
type Config struct {
	Name    string // for the Server header
	Handler fasthttp.RequestHandler
	// Refuse answers a request that isn't handled, which has a head but no body. The error is of kind
	// gauge.KindTooLarge, gauge.KindInvalid, or gauge.KindUnready if there is no room for the body.
	Refuse func(c *fasthttp.RequestCtx, err error)
	// MaxBody returns the limit of a body, in bytes, as it is now; nil: there must be no body.
	MaxBody func() int
	// Decompress has bodies decompressed before they are handled: those in gzip and deflate; others are
	// refused.
	Decompress bool
	// MaxHead is the limit of a request line and its header lines, in bytes; default 18 KiB.
	MaxHead     int
	Budget      *budget.Budget // nil: one of its own
	HeadTimeout time.Duration  // from the first byte of a head to its last; default 10 s
	BodyTimeout time.Duration  // from the last byte of a head to that of the body; default 30 s
	IdleTimeout time.Duration  // until the first byte of a connection's first or next request; default 60 s
	// WriteTimeout bounds the writing of a response; default 10 s.
	WriteTimeout time.Duration
}

const (
	// defaultMaxHead has room for 16 KiB of header lines and a request line.
	defaultMaxHead      = 18 << 10
	defaultHeadTimeout  = 10 * time.Second
	defaultBodyTimeout  = 30 * time.Second
	defaultIdleTimeout  = 60 * time.Second
	defaultWriteTimeout = 10 * time.Second
	// lastWriteTimeout bounds the writing of a response once the server is closed: a client that doesn't
	// read must not hold up a stop.
	lastWriteTimeout = time.Second
)

// Server serves one or more listeners.
type Server struct {
	conf  Config
	group sync.WaitGroup // connections

	mu        sync.Mutex
	closed    bool
	listeners []net.Listener
	conns     map[*conn]bool
}

// New returns a Server that serves nothing yet.
func New(c Config) *Server {
	fill.Zero(&c.MaxHead, defaultMaxHead)
	fill.Zero(&c.HeadTimeout, defaultHeadTimeout)
	fill.Zero(&c.BodyTimeout, defaultBodyTimeout)
	fill.Zero(&c.IdleTimeout, defaultIdleTimeout)
	fill.Zero(&c.WriteTimeout, defaultWriteTimeout)
	if c.Budget == nil {
		c.Budget = budget.New(budget.Config{})
	}
	if c.MaxBody == nil {
		c.MaxBody = func() int { return 0 }
	}
	return &Server{conf: c, conns: make(map[*conn]bool)}
}

// Serve serves a listener until Close, also one that was called before.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	accept.Loop(accept.Config{
		Listener: l, ReceiveBuffer: s.conf.Budget.ReceiveBuffer(), Serve: s.start, Exhausted: s.conf.Budget.EvictOldest,
	})
	return nil
}

// start serves a new connection. Without room for it, it is closed without an answer: a 503 would
// promise that its request never runs, which isn't known before the request has been read.
func (s *Server) start(c net.Conn) {
	share := s.conf.Budget.Join(func() { _ = c.Close() })
	if share == nil {
		_ = c.Close()
		return
	}
	k := newConn(s, c, share)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		share.CloseWaiting()
		return
	}
	s.conns[k] = true
	s.group.Go(func() {
		k.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, k)
	})
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// limitWrite sets the time by which a response must have been written.
func (s *Server) limitWrite(k *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := s.conf.WriteTimeout
	if s.closed {
		timeout = min(timeout, lastWriteTimeout)
	}
	_ = k.net.SetWriteDeadline(time.Now().Add(timeout))
}

// Close stops listening, closes the connections that have no whole request, and waits until those
// that have one have been answered, or until ctx ends, whose error it then returns.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for k := range s.conns {
		k.share.CloseWaiting()
		_ = k.net.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	}
	s.mu.Unlock()
	answered := make(chan struct{})
	go func() {
		s.group.Wait()
		close(answered)
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return gauge.Errorf(gauge.KindDraining, "httpd: requests are still being handled").WithCause(ctx.Err())
	}
}
