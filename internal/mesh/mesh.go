// Package mesh carries calls between entries: msgpack frames over TCP, one
// connection to each peer for the calls made there. Both ends prove that they
// have the shared key before anything else is read.
package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/frame"
)

// Config sets up a Node.
type Config struct {
	Key   []byte        // shared by all entries
	Limit int           // bytes of a frame; default 1 MiB
	Dial  time.Duration // longest time to prove the key; default 1 s
	// Connect is the longest time to connect; default 250 ms. A host that has no power
	// doesn't answer, and the kernel asks again only after a second: tried for longer,
	// an entry that has just started again isn't reached for that second.
	Connect time.Duration
	Quiet   time.Duration // a call unanswered so long closes its connection; default 2 s
	// Closed is told that the connection for calls to a peer has ended; nil: nobody is.
	Closed func(addr string)
}

const (
	defaultLimit = 1 << 20
	defaultDial  = time.Second
	// defaultConnect: data centres are 3 ms apart there and back, and an entry's
	// kernel answers also while its process is slow.
	defaultConnect = 250 * time.Millisecond
	defaultQuiet   = 2 * time.Second
	// callsAtOnce bounds the calls of one connection that run at once, so that
	// a peer gone mad takes no more than its share of memory.
	callsAtOnce = 256
)

// Handler answers one method. The body is the caller's request.
type Handler func(ctx context.Context, body []byte) (any, error)

// Node is one entry's end of the mesh. It implements gauge.Peers.
type Node struct {
	conf     Config
	handlers map[string]Handler
	group    conc.WaitGroup
	bytes    atomic.Int64
	calls    atomic.Int64

	mu     sync.Mutex
	links  map[string]*link
	served map[net.Conn]bool
	listen net.Listener
	closed bool
}

// New makes a Node that handles nothing yet.
func New(c Config) *Node {
	fill.Zero(&c.Limit, defaultLimit)
	fill.Zero(&c.Dial, defaultDial)
	fill.Zero(&c.Connect, defaultConnect)
	fill.Zero(&c.Quiet, defaultQuiet)
	return &Node{
		conf: c, handlers: make(map[string]Handler),
		links: make(map[string]*link), served: make(map[net.Conn]bool),
	}
}

// Handle sets the handler of a method. It is called before Serve.
func (n *Node) Handle(method string, h Handler) { n.handlers[method] = h }

// Open connects to a peer if there is no connection yet, so that its end is told.
func (n *Node) Open(ctx context.Context, addr string) error {
	_, err := n.link(ctx, addr)
	return err
}

// Bytes returns all bytes written so far, both as caller and as called.
func (n *Node) Bytes() int64 { return n.bytes.Load() }

// Calls returns the number of calls made so far.
func (n *Node) Calls() int64 { return n.calls.Load() }

// Serve answers calls until Close.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	n.mu.Lock()
	n.listen = l
	n.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			if n.isClosed() {
				return nil
			}
			return gauge.Fail(gauge.KindInternal, "mesh.Serve").Because(err)
		}
		if !n.track(c) {
			_ = c.Close()
			continue
		}
		n.group.Go(func() { n.serveConn(ctx, c) })
	}
}

// Close ends all connections and waits for what runs.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	if n.listen != nil {
		_ = n.listen.Close()
	}
	for c := range n.served {
		_ = c.Close()
	}
	links := n.links
	n.links = make(map[string]*link)
	n.mu.Unlock()
	for _, k := range links {
		k.close(gauge.Fail(gauge.KindOutage, "this entry is closing"))
	}
	n.group.Wait()
}

func (n *Node) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

func (n *Node) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.served[c] = true
	return true
}

func (n *Node) serveConn(ctx context.Context, c net.Conn) {
	defer func() {
		_ = c.Close()
		n.mu.Lock()
		delete(n.served, c)
		n.mu.Unlock()
	}()
	_ = c.SetDeadline(time.Now().Add(n.conf.Dial))
	if err := n.proveAsServer(c); err != nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	var write sync.Mutex
	var running conc.WaitGroup
	defer running.Wait()
	room := make(chan struct{}, callsAtOnce)
	for {
		f, err := frame.Read(c, n.conf.Limit)
		if err != nil {
			return
		}
		room <- struct{}{}
		running.Go(func() {
			defer func() { <-room }()
			answer := n.answer(ctx, f)
			write.Lock()
			defer write.Unlock()
			n.write(c, answer)
		})
	}
}

// write sends a frame; a failure closes the connection, which the reader sees.
func (n *Node) write(c net.Conn, f frame.Frame) {
	_ = c.SetWriteDeadline(time.Now().Add(n.conf.Quiet))
	sent, err := frame.Write(c, f, n.conf.Limit)
	n.bytes.Add(int64(sent))
	if err != nil {
		_ = c.Close()
	}
}

func (n *Node) answer(ctx context.Context, f frame.Frame) frame.Frame {
	out := frame.Frame{ID: f.ID}
	h := n.handlers[f.Method]
	if h == nil {
		// A newer peer may know methods that this one doesn't: not an error of
		// the connection.
		return faultFrame(out, gauge.Fail(gauge.KindMissing, "method %q", f.Method))
	}
	resp, err := h(ctx, f.Body)
	if err != nil {
		return faultFrame(out, err)
	}
	body, err := frame.Encode(resp)
	if err != nil {
		return faultFrame(out, err)
	}
	out.Body = body
	return out
}

func faultFrame(f frame.Frame, err error) frame.Frame {
	f.Fault = string(gauge.KindOf(err))
	text, encErr := msgpack.Marshal(err.Error())
	if encErr == nil {
		f.Body = text
	}
	return f
}

// Call asks a peer and decodes its answer into resp.
func (n *Node) Call(ctx context.Context, addr, method string, req, resp any) error {
	body, err := frame.Encode(req)
	if err != nil {
		return err
	}
	k, err := n.link(ctx, addr)
	if err != nil {
		return gauge.Fail(gauge.KindOutage, "mesh.Call: %s", addr).Because(err)
	}
	n.calls.Add(1)
	f, err := k.call(ctx, method, body)
	if err != nil {
		return err
	}
	if f.Fault != "" {
		var text string
		_ = frame.Decode(f.Body, &text)
		return gauge.Fail(gauge.Kind(f.Fault), "%s at %s: %s", method, addr, text)
	}
	return frame.Decode(f.Body, resp)
}

// link returns the connection to a peer, made anew if there is none.
func (n *Node) link(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, gauge.Fail(gauge.KindDraining, "this entry is closing")
	}
	k := n.links[addr]
	if k == nil || k.dead() {
		k = newLink(n, addr)
		n.links[addr] = k
	}
	n.mu.Unlock()
	return k, k.open(ctx)
}
