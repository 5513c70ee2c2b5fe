// Package mesh carries calls between entries: msgpack frames over TCP, with one
// connection to each peer for the calls to it. Both ends prove that they have the
// shared key before anything else is read.
package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/frame"
)

// Config sets up a Node.
type Config struct {
	Key   []byte        // shared by all entries
	Limit int           // maximum size of a frame, in bytes; default 1 MiB
	Dial  time.Duration // timeout of the handshake; default 1 s
	// Connect is the timeout for establishing a TCP connection; default 250 ms. A host
	// without power doesn't answer, and the kernel retransmits the request only after a second:
	// with a longer timeout, an entry that has just been restarted isn't reached for that second.
	Connect time.Duration
	// Quiet is the timeout of a call, and of writing a frame; default 2 s. A call without an
	// answer in this time closes its connection if nothing else was received on it.
	Quiet time.Duration
	// Budget bounds what connections from peers may hold; nil: one of its own.
	Budget *budget.Budget
	// Closed is called when the connection for calls to a peer has ended; it may be nil.
	Closed func(addr string)
}

const (
	defaultMaxFrameSize     = 1 << 20
	defaultHandshakeTimeout = time.Second
	// defaultConnectTimeout is ample: the round trip between data centres takes 3 ms, and an
	// entry's kernel answers even while its process is slow.
	defaultConnectTimeout = 250 * time.Millisecond
	defaultCallTimeout    = 2 * time.Second
	// maxConcurrentCalls bounds the concurrent calls of one connection, so that a misbehaving
	// peer can't use up the memory.
	maxConcurrentCalls = 256
	// frameTimeout bounds the time from the first byte of a call to its last.
	frameTimeout = 10 * time.Second
)

// Handler answers the calls of one method. The body is the encoded request. The result is encoded
// as the answer; for an error, its kind and text are sent instead.
type Handler func(ctx context.Context, body []byte) (any, error)

// Node is one entry's end of the mesh. It implements gauge.Peers.
type Node struct {
	conf     Config
	handlers map[string]Handler
	group    conc.WaitGroup
	bytes    atomic.Int64 // written
	calls    atomic.Int64 // made by this entry

	mu       sync.Mutex
	links    map[string]*link           // connections to peers, by address
	accepted map[net.Conn]*budget.Share // connections from peers
	listener net.Listener
	closed   bool
}

// New makes a Node without handlers.
func New(c Config) *Node {
	fill.Zero(&c.Limit, defaultMaxFrameSize)
	fill.Zero(&c.Dial, defaultHandshakeTimeout)
	fill.Zero(&c.Connect, defaultConnectTimeout)
	fill.Zero(&c.Quiet, defaultCallTimeout)
	if c.Budget == nil {
		c.Budget = budget.New(budget.Config{})
	}
	return &Node{
		conf: c, handlers: make(map[string]Handler),
		links: make(map[string]*link), accepted: make(map[net.Conn]*budget.Share),
	}
}

// Handle sets the handler of a method. It must be called before Serve.
func (n *Node) Handle(method string, h Handler) { n.handlers[method] = h }

// Connect connects to a peer if there is no connection yet, so that Config.Closed is called when
// the connection ends.
func (n *Node) Connect(ctx context.Context, addr string) error {
	_, err := n.link(ctx, addr)
	return err
}

// BytesWritten returns the number of bytes written so far, as client and as server.
func (n *Node) BytesWritten() int64 { return n.bytes.Load() }

// CallCount returns the number of calls made so far.
func (n *Node) CallCount() int64 { return n.calls.Load() }

// Close closes all connections and waits for running calls to end.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for c := range n.accepted {
		_ = c.Close()
	}
	links := n.links
	n.links = make(map[string]*link)
	n.mu.Unlock()
	for _, k := range links {
		k.close(gauge.Errorf(gauge.KindOutage, "this entry is shutting down"))
	}
	n.group.Wait()
}

func (n *Node) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// Call calls a method of the peer at addr and decodes the answer into resp. An error of the peer
// keeps its kind. Of the errors of this end, KindOutage means that the request was not sent, and
// KindUnknown that the peer may have executed it.
func (n *Node) Call(ctx context.Context, addr, method string, req, resp any) error {
	body, err := frame.Encode(req)
	if err != nil {
		return err
	}
	k, err := n.link(ctx, addr)
	if err != nil {
		return gauge.Errorf(gauge.KindOutage, "mesh.Call: %s", addr).WithCause(err)
	}
	n.calls.Add(1)
	f, err := k.call(ctx, method, body)
	if err != nil {
		return err
	}
	if f.Fault != "" {
		var text string
		_ = frame.Decode(f.Body, &text)
		return gauge.Errorf(gauge.Kind(f.Fault), "%s at %s: %s", method, addr, text)
	}
	return frame.Decode(f.Body, resp)
}

// link returns the connection to a peer; it connects if there is none.
func (n *Node) link(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, gauge.Errorf(gauge.KindDraining, "this entry is shutting down")
	}
	k := n.links[addr]
	if k == nil || k.isClosed() {
		k = newLink(n, addr)
		n.links[addr] = k
	}
	n.mu.Unlock()
	return k, k.connect(ctx)
}
