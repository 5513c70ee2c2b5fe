// Package exch does single HTTP exchanges over connections that it owns.
//
// fasthttp's own clients repeat requests by themselves and, on a timeout, give
// the buffers back while the late answer is still to come: the next user of
// the buffer then reads somebody else's answer. Here fasthttp only encodes and
// decodes. One exchange owns one connection until the whole answer is in; a
// connection on which anything went wrong is closed and never used again.
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
	Dial    time.Duration // longest time to connect; default 1 s
	Idle    time.Duration // longest time a connection rests before it is closed; default 20 s
	Answer  int           // longest answer body, bytes; default 1 MiB
	Resting int           // connections kept resting per address; default 16
	Clock   gauge.Clock
}

const (
	defaultDial    = time.Second
	defaultIdle    = 20 * time.Second
	defaultAnswer  = 1 << 20
	defaultResting = 16
	keepProbe      = time.Second
	keepCount      = 4
	bufferSize     = 4 << 10
)

// Pool keeps resting connections by address.
type Pool struct {
	conf   Config
	mu     sync.Mutex
	idle   map[string][]*conn
	pruned time.Time // when old connections were last looked for
}

type conn struct {
	net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	rested time.Time
	addr   string
}

// New makes a Pool.
func New(c Config) *Pool {
	fill.Zero(&c.Dial, defaultDial)
	fill.Zero(&c.Idle, defaultIdle)
	fill.Zero(&c.Answer, defaultAnswer)
	fill.Zero(&c.Resting, defaultResting)
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return &Pool{conf: c, idle: make(map[string][]*conn)}
}

// Do sends req to addr and reads the whole answer into resp before ctx ends.
// Sent is false only if no byte of the request left this process. With fresh
// set a new connection is made: the way to tell a silent connection from a
// silent host, and the only safe way for a request that must not be repeated,
// since a resting connection may have been closed at the other end.
func (p *Pool) Do(ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response, fresh bool) (sent bool, err error) {
	c, err := p.connect(ctx, addr, fresh)
	if err != nil {
		return false, gauge.Fail(gauge.KindOutage, "exch.Do: connect to %s", addr).Because(err)
	}
	return p.use(ctx, c, req, resp)
}

// DoResting is Do on a connection that rests: it reaches the process that has answered on it,
// or nobody, where a new one may reach another process that has the address now. Without one
// nothing is sent, and the kind is KindOutage.
func (p *Pool) DoResting(ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	c := p.wake(addr)
	if c == nil {
		return false, gauge.Fail(gauge.KindOutage, "exch.DoResting: no connection to %s rests", addr)
	}
	return p.use(ctx, c, req, resp)
}

// use sends req on a connection and reads the whole answer into resp before ctx ends.
func (p *Pool) use(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = c.exchange(req, resp, p.conf.Answer)
	inTime := stop()
	if err != nil {
		_ = c.Close() // a late answer may still come on it
		return true, gauge.Fail(gauge.KindUnknown, "exch.Do: %s", c.addr).Because(err)
	}
	if !inTime || resp.ConnectionClose() {
		_ = c.Close()
		return true, nil
	}
	p.rest(c)
	return true, nil
}

// Drop closes all resting connections to an address, since one of them was
// found silent while a new one worked.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	old := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Close closes every resting connection.
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

func (p *Pool) connect(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.wake(addr); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{
		Timeout:         p.conf.Dial,
		Control:         control,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepProbe, Interval: keepProbe, Count: keepCount},
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

// wake takes the connection that rested shortest. Those over the bound are
// closed, since tables between the two ends forget idle connections; so are
// those that the other end closed, or on which there are bytes that nobody asked
// for. A close that arrives later is not seen, so the caller may rely on this
// only for repeatable work.
func (p *Pool) wake(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	for len(cs) > 0 {
		c := cs[len(cs)-1]
		cs = cs[:len(cs)-1]
		p.idle[addr] = cs
		if p.conf.Clock().Sub(c.rested) < p.conf.Idle && peek.Look(c.Conn) == peek.Quiet {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *Pool) rest(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.conf.Resting || c.br.Buffered() > 0 {
		// Bytes nobody asked for would be read as the next answer.
		_ = c.Close()
		return
	}
	c.rested = p.conf.Clock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.prune(c.rested)
}

// prune closes connections that have rested too long, to whatever address: those
// to a worker that is gone would never be woken, and hold their descriptors.
func (p *Pool) prune(now time.Time) {
	if now.Sub(p.pruned) < p.conf.Idle/pruneShare {
		return
	}
	p.pruned = now
	for addr, cs := range p.idle {
		keep := cs[:0]
		for _, c := range cs {
			if now.Sub(c.rested) < p.conf.Idle {
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

// pruneShare: so many times within the longest rest old connections are looked for.
const pruneShare = 4

// exchange writes the request and reads the answer. The caller counts the
// request as sent from here on: a failed write may have left in part.
func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, most int) error {
	if err := req.Write(c.bw); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(c.br, most)
}
