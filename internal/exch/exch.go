// Package exch makes single HTTP exchanges, without retries, over a pool of connections.
//
// fasthttp's own clients retry requests by themselves and, on a timeout, release
// the buffers while the late answer may still arrive: the next user of the buffer
// then reads the answer to another request. Here fasthttp only encodes and decodes.
// One exchange owns one connection until the whole answer has been read; after any
// error the connection is closed and never reused.
package exch

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/peek"
)

// Config sets up a Pool.
type Config struct {
	DialTimeout    time.Duration // timeout for connecting; default 1 s
	IdleTimeout    time.Duration // an idle connection is closed after this time; default 20 s
	MaxBody        int           // maximum size of a response body, in bytes; default 1 MiB
	MaxIdlePerAddr int           // maximum number of idle connections per address; default 16
	Clock          gauge.Clock
}

const (
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = 20 * time.Second
	defaultMaxBody        = 1 << 20
	defaultMaxIdlePerAddr = 16
	keepAliveInterval     = time.Second
	keepAliveProbes       = 4
	bufferSize            = 4 << 10
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	conf      Config
	mu        sync.Mutex
	idle      map[string][]*conn
	lastPrune time.Time // when expired idle connections were last closed
}

type conn struct {
	net.Conn
	br        *bufio.Reader
	bw        *bufio.Writer
	idleSince time.Time
	addr      string
}

// New makes a Pool.
func New(c Config) *Pool {
	fill.Zero(&c.DialTimeout, defaultDialTimeout)
	fill.Zero(&c.IdleTimeout, defaultIdleTimeout)
	fill.Zero(&c.MaxBody, defaultMaxBody)
	fill.Zero(&c.MaxIdlePerAddr, defaultMaxIdlePerAddr)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return &Pool{conf: c, idle: make(map[string][]*conn)}
}

// Do sends req to addr and reads the whole answer into resp before ctx ends. Sent is false only if
// no byte of the request left this process; the error is then of KindOutage, otherwise of
// KindUnknown. With fresh set a new connection is made: this distinguishes an unresponsive
// connection from an unresponsive host, and it is the only safe way for a request that isn't
// idempotent, since the other end may have closed an idle connection.
func (p *Pool) Do(ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response, fresh bool) (sent bool, err error) {
	c, err := p.connect(ctx, addr, fresh)
	if err != nil {
		return false, gauge.Errorf(gauge.KindOutage, "exch.Do: connect to %s", addr).WithCause(err)
	}
	return p.exchangeOn(ctx, c, req, resp)
}

// DoIdle is like Do, but uses only an idle connection. It reaches the process that has answered
// on that connection or none, whereas a new connection may reach another process that has the
// address now. If no connection to addr is idle, nothing is sent and the error is of KindOutage.
func (p *Pool) DoIdle(ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	c := p.takeIdle(addr)
	if c == nil {
		return false, gauge.Errorf(gauge.KindOutage, "exch.DoIdle: no idle connection to %s", addr)
	}
	return p.exchangeOn(ctx, c, req, resp)
}

// exchangeOn sends req on a connection and reads the whole answer into resp before ctx ends.
func (p *Pool) exchangeOn(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = c.exchange(req, resp, p.conf.MaxBody)
	inTime := stop()
	if err != nil {
		_ = c.Close() // a late answer may still come on it
		return true, gauge.Errorf(gauge.KindUnknown, "exch.Do: %s", c.addr).WithCause(err)
	}
	if !inTime || resp.ConnectionClose() {
		_ = c.Close()
		return true, nil
	}
	p.putIdle(c)
	return true, nil
}

// CloseIdle closes all idle connections to an address. Callers use it after one of them gave no
// answer, as the others are often broken too.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	old := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	old := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, cs := range old {
		for _, c := range cs {
			_ = c.Close()
		}
	}
}

// connect returns a connection to addr: an idle one if there is any and fresh is false, otherwise
// a new one.
func (p *Pool) connect(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{
		Timeout:         p.conf.DialTimeout,
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: nc, addr: addr,
		br: bufio.NewReaderSize(nc, bufferSize),
		bw: bufio.NewWriterSize(nc, bufferSize),
	}, nil
}

// takeIdle takes the connection that was used last out of the idle ones, or returns nil. It
// closes those that have been idle for too long, since firewalls in between drop the state of
// idle connections, those that the other end has closed, and those with unexpected bytes to
// read. The other end may still close the connection just afterwards, so only idempotent
// requests should be sent on it.
func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	for len(cs) > 0 {
		c := cs[len(cs)-1]
		cs = cs[:len(cs)-1]
		p.idle[addr] = cs
		if p.conf.Clock().Sub(c.idleSince) < p.conf.IdleTimeout && peek.Check(c.Conn) == peek.Idle {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// putIdle adds a connection to the idle ones, or closes it if there are enough.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.conf.MaxIdlePerAddr || c.br.Buffered() > 0 {
		// Unexpected bytes would be read as the next answer.
		_ = c.Close()
		return
	}
	c.idleSince = p.conf.Clock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.prune(c.idleSince)
}

// prune closes the connections that have been idle for too long, to all addresses: those to a
// worker that no longer exists are never taken again, and would keep their file descriptors.
func (p *Pool) prune(now time.Time) {
	if now.Sub(p.lastPrune) < p.conf.IdleTimeout/prunesPerIdleTimeout {
		return
	}
	p.lastPrune = now
	for addr, cs := range p.idle {
		keep := cs[:0]
		for _, c := range cs {
			if now.Sub(c.idleSince) < p.conf.IdleTimeout {
				keep = append(keep, c)
				continue
			}
			_ = c.Close()
		}
		if p.idle[addr] = keep; len(keep) == 0 {
			delete(p.idle, addr)
		}
	}
}

// prunesPerIdleTimeout is how many times within Config.IdleTimeout prune looks for expired
// connections.
const prunesPerIdleTimeout = 4

// exchange writes the request and reads the answer, with a body of at most maxBody bytes. The
// caller treats the request as sent from here on, as a failed write may have sent a part of it.
func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) error {
	if err := req.Write(c.bw); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(c.br, maxBody)
}
