package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/accept"
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/frame"
)

// Serve answers calls until Close.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	n.mu.Lock()
	n.listener = l
	n.mu.Unlock()
	accept.Loop(accept.Config{
		Listener: l, ReceiveBuffer: n.conf.Budget.ReceiveBuffer(), Exhausted: n.conf.Budget.EvictOldest,
		Serve: func(c net.Conn) {
			share := n.track(c)
			if share == nil {
				_ = c.Close()
				return
			}
			n.group.Go(func() { n.serveConn(ctx, c, share) })
		},
	})
	if n.isClosed() {
		return nil
	}
	return gauge.Errorf(gauge.KindInternal, "mesh.Serve: the listener was closed")
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
