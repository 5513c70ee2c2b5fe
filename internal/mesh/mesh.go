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
	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/accept"
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

// Serve answers calls until Close.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	n.mu.Lock()
	n.listener = l
	n.mu.Unlock()
	accept.Loop(l, func(c net.Conn) {
		share := n.track(c)
		if share == nil {
			_ = c.Close()
			return
		}
		n.group.Go(func() { n.serveConn(ctx, c, share) })
	}, func(error) { n.conf.Budget.EvictOldest() })
	if n.isClosed() {
		return nil
	}
	return gauge.Errorf(gauge.KindInternal, "mesh.Serve: the listener was closed")
}

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

// track records an accepted connection. It returns nil if the node is closed, or there is no room.
func (n *Node) track(c net.Conn) *budget.Share {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	share := n.conf.Budget.Join(func() { _ = c.Close() })
	if share != nil {
		n.accepted[c] = share
	}
	return share
}

func (n *Node) forget(c net.Conn) {
	_ = c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted[c].Leave()
	delete(n.accepted, c)
}

func (n *Node) serveConn(ctx context.Context, c net.Conn, share *budget.Share) {
	defer n.forget(c)
	_ = c.SetDeadline(time.Now().Add(n.conf.Dial))
	if err := n.proveAsServer(c); err != nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	var writeMu sync.Mutex
	var running conc.WaitGroup
	defer running.Wait()
	calls := &callCounter{share: share}
	callSlots := make(chan struct{}, maxConcurrentCalls)
	for {
		f, size, err := n.readCall(c, share)
		if err != nil {
			return
		}
		callSlots <- struct{}{}
		calls.begin()
		running.Go(func() {
			defer func() { <-callSlots }()
			defer calls.end(size)
			answer := n.answer(ctx, f)
			writeMu.Lock()
			defer writeMu.Unlock()
			n.write(c, answer)
		})
	}
}

// readCall reads one call, and returns what it holds of the share.
func (n *Node) readCall(c net.Conn, share *budget.Share) (f frame.Frame, size int, err error) {
	f, err = frame.ReadReserved(c, n.conf.Limit, func(bytes int) error {
		if size == 0 {
			_ = c.SetReadDeadline(time.Now().Add(frameTimeout))
		}
		if !share.Reserve(bytes) {
			return gauge.Errorf(gauge.KindNoRoom, "no room for a call of %s", c.RemoteAddr())
		}
		size += bytes
		return nil
	})
	_ = c.SetReadDeadline(time.Time{})
	return f, size, err
}

// callCounter counts the calls of one connection that are being answered. Meanwhile the connection
// isn't evicted.
type callCounter struct {
	share *budget.Share

	mu      sync.Mutex
	running int
}

func (k *callCounter) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running++
	k.share.Protect()
}

// end counts a call as answered, and gives back what it held.
func (k *callCounter) end(size int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
	k.share.Release(size)
	if k.running == 0 {
		k.share.Wait()
	}
}

// write sends a frame. A failure closes the connection, which ends the goroutine that reads it.
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
		// A newer peer may call methods that this version doesn't have: the connection is
		// still good.
		return errorFrame(out, gauge.Errorf(gauge.KindNotFound, "method %q", f.Method))
	}
	resp, err := h(ctx, f.Body)
	if err != nil {
		return errorFrame(out, err)
	}
	body, err := frame.Encode(resp)
	if err != nil {
		return errorFrame(out, err)
	}
	out.Body = body
	return out
}

// errorFrame adds the kind and the text of an error to an answer.
func errorFrame(f frame.Frame, err error) frame.Frame {
	f.Fault = string(gauge.KindOf(err))
	text, encErr := msgpack.Marshal(err.Error())
	if encErr == nil {
		f.Body = text
	}
	return f
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
